// Package lineage finds the parent of a call that an upstream makes while it
// runs a request. Calls carry no reference to their parent, but they expire
// with it, so the deadline of a call equals the deadline of one of the
// requests that run at the upstream beside the node.
package lineage

import (
	"sync"
	"time"
)

// tolerance is the largest difference between the deadline of a call and that
// of its parent. Deadlines travel in whole milliseconds, and each hop between
// processes adds a delay.
const tolerance = 12 * time.Millisecond

// Parent is a running request.
type Parent struct {
	Deadline time.Time
	// Priority of the request of a client at the root of the call tree.
	Priority int
	// Route at the root of the call tree.
	Route string
	// Repeat is set for a run that is not the first of its request, and for
	// all calls below one.
	Repeat bool
	// Started is the probability with which requests of the root's route are
	// started.
	Started float64

	place int
}

// Register holds the requests that run at one upstream. It is safe for
// concurrent use.
type Register struct {
	mu      sync.Mutex
	running []*Parent
}

// Add registers a request when it is passed to the upstream.
func (r *Register) Add(p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.place = len(r.running)
	r.running = append(r.running, p)
}

// Remove takes a request out when it has ended.
func (r *Register) Remove(p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.place >= len(r.running) || r.running[p.place] != p {
		return
	}
	last := r.running[len(r.running)-1]
	r.running[p.place] = last
	last.place = p.place
	r.running[len(r.running)-1] = nil
	r.running = r.running[:len(r.running)-1]
}

// Find returns the running request whose deadline is nearest to that of a
// call, or nil if none is near enough.
func (r *Register) Find(deadline time.Time) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Parent
	distance := tolerance + 1
	for _, p := range r.running {
		if d := deadline.Sub(p.Deadline).Abs(); d < distance {
			best, distance = p, d
		}
	}
	return best
}

// MostUrgent returns the most important running request that outlives a
// deadline, or nil. A call whose own time limit is shorter than that of its
// parent matches no deadline.
func (r *Register) MostUrgent(deadline time.Time) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Parent
	for _, p := range r.running {
		if p.Deadline.After(deadline) && (best == nil || p.Priority < best.Priority) {
			best = p
		}
	}
	return best
}

// Len returns the number of running requests.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Calls learns which routes are called by upstreams: nearly all requests on
// such a route have a parent, while requests of clients match one only by
// chance. It is safe for concurrent use.
type Calls struct {
	mu     sync.Mutex
	routes map[string]*callRate
}

type callRate struct {
	matched float64
	seen    int
}

const (
	// callWeight is the weight of one request in the rate of a route.
	callWeight = 0.06
	// callShare of the requests of a route have a parent if upstreams call it.
	callShare = 0.6
	// callSamples is the number of requests before the rate is used.
	callSamples = 12
)

// Observe counts a request of a route and returns whether the route is called
// by upstreams.
func (c *Calls) Observe(route string, matched bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes == nil {
		c.routes = map[string]*callRate{}
	}
	r := c.routes[route]
	if r == nil {
		r = &callRate{matched: 0.5}
		c.routes[route] = r
	}
	value := 0.0
	if matched {
		value = 1
	}
	r.matched += callWeight * (value - r.matched)
	r.seen++
	if r.seen < callSamples {
		return matched
	}
	return r.matched > callShare
}
