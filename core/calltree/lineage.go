// Package calltree finds the parent of a call that an upstream makes while it
// runs a request. Calls carry no reference to their parent, but they expire
// with it: the deadline of a call equals that of one of the requests that run
// at the upstream beside the node, unless the call has a shorter time limit of
// its own. In that case the parent is guessed from the order of calls.
package calltree

import (
	"math"
	"sync"
	"time"
)

const (
	// early and late bound the difference between the deadline of a call and
	// that of its parent. Deadlines travel in whole milliseconds, rounded down
	// twice, and a busy host reads a call late.
	early = 3 * time.Millisecond
	late  = 4 * time.Millisecond
	// chanceSpan is the time around a deadline from which the number of chance
	// matches is estimated, in units of the time in which a deadline matches.
	chanceSpan = 10
	// succession is the time within which an upstream makes its next call
	// after the answer to the one before, on the same connection.
	succession = 1500 * time.Microsecond
)

const (
	// initialAge is the age of a request at its first call until it is known.
	initialAge = 20 * time.Millisecond
	// ageWeight is the weight of one first call in the usual age.
	ageWeight = 0.05
)

// Parent is a running request.
type Parent struct {
	// ID of the request.
	ID       string
	Deadline time.Time
	// Priority of the request of a client at the root of the call tree.
	Priority int
	// Route at the root of the call tree.
	Route string
	// Own is the route of the request itself.
	Own string
	// Repeat is set for a run that is not the first of its request, and for
	// all calls below one.
	Repeat bool
	// Started is the probability with which requests of the root's route are
	// started.
	Started float64

	place   int // in the register; -1 once removed
	began   time.Time
	calls   int // made so far
	open    int // calls in progress
	lastEnd time.Time
}

// Register holds the requests that run at one upstream. It is safe for
// concurrent use.
type Register struct {
	mu      sync.Mutex
	running []*Parent
	usual   map[string]float64 // seconds to the first call, by route
}

// Add registers a request when it is passed to the upstream.
func (r *Register) Add(now time.Time, p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.place, p.began = len(r.running), now
	r.running = append(r.running, p)
}

// Remove takes a request out when it has ended.
func (r *Register) Remove(p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.place < 0 || p.place >= len(r.running) || r.running[p.place] != p {
		return
	}
	last := r.running[len(r.running)-1]
	r.running[p.place] = last
	last.place = p.place
	p.place = -1
	r.running[len(r.running)-1] = nil
	r.running = r.running[:len(r.running)-1]
}

// Match returns the running request whose deadline is that of a call, or nil.
// Makes tells which routes make such calls.
func (r *Register) Match(deadline time.Time, makes func(own string) bool) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Parent
	distance := early + late
	for _, p := range r.running {
		d := deadline.Sub(p.Deadline)
		if d >= -early && d <= late && d.Abs() < distance && makes(p.Own) {
			best, distance = p, d.Abs()
		}
	}
	return best
}

// Next returns the parent of the previous call on a connection, if the next
// call on it is most likely made by the same request, or nil: upstreams make
// the calls of one request one after the other, on one connection.
func (r *Register) Next(now, deadline time.Time, before *Parent) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before == nil || before.place < 0 || before.open > 0 || now.Sub(before.lastEnd) > succession {
		return nil
	}
	if before.Deadline.Before(deadline.Add(-early)) {
		return nil // the call would have its limit
	}
	return before
}

// Expires reports whether a deadline is that of a request.
func (p *Parent) Expires(deadline time.Time) bool {
	d := deadline.Sub(p.Deadline)
	return d >= -early && d <= late
}

// Guess returns the running request that most likely makes a call whose own
// time limit hides its parent, or nil. Such a call is the first of its parent,
// most likely of the one whose age fits best.
func (r *Register) Guess(now, deadline time.Time, makes func(own string) bool) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first, other *Parent
	distance := maxDistance
	for _, p := range r.running {
		if p.Deadline.Before(deadline.Add(-early)) || !makes(p.Own) || p.open > 0 {
			continue // the call would have its limit, or another route
		}
		if p.calls > 0 {
			if other == nil || p.lastEnd.After(other.lastEnd) {
				other = p
			}
			continue
		}
		if d := r.distance(now, p); d < distance {
			first, distance = p, d
		}
	}
	if first != nil {
		return first
	}
	return other
}

// Any returns a running request that makes such calls, or nil. It stands for
// the mix of them where no parent is likely.
func (r *Register) Any(makes func(own string) bool) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.running {
		if makes(p.Own) {
			return p
		}
	}
	return nil
}

// maxDistance is the largest distance, a factor of five, at which a call may be
// the first of a request.
var maxDistance = math.Log(5)

// distance compares the age of a request with that at which requests of its
// route usually make their first call, on a logarithmic scale.
func (r *Register) distance(now time.Time, p *Parent) float64 {
	usual := r.usual[p.Own]
	if usual == 0 {
		usual = initialAge.Seconds()
	}
	age := max(now.Sub(p.began).Seconds(), 0.001)
	return math.Abs(math.Log(age / usual))
}

// Called counts a call of a request in progress; End ends it. Certain is set
// if the deadline tells the parent.
func (r *Register) Called(now time.Time, p *Parent, certain bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if certain && p.calls == 0 {
		r.learn(p.Own, max(now.Sub(p.began).Seconds(), 0.001))
	}
	p.calls++
	p.open++
}

// learn follows the age of requests at their first call. The mean of the
// logarithms gives little weight to those that were called late.
func (r *Register) learn(own string, age float64) {
	if r.usual == nil {
		r.usual = map[string]float64{}
	}
	usual := r.usual[own]
	if usual == 0 {
		usual = initialAge.Seconds()
	}
	r.usual[own] = math.Exp(math.Log(usual) + ageWeight*(math.Log(age)-math.Log(usual)))
}

// End reports that a call of a request was answered.
func (r *Register) End(now time.Time, p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.open--
	p.lastEnd = now
}

// Chance returns the number of running requests, by route, that match a
// deadline by chance, from those that expire a little earlier or later.
func (r *Register) Chance(deadline time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for _, p := range r.running {
		if deadline.Sub(p.Deadline).Abs() <= chanceSpan*(early+late)/2 {
			out[p.Own] += 1.0 / chanceSpan
		}
	}
	return out
}

// Len returns the number of running requests.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}
