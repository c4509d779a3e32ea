// Package rootshare decides which requests of clients are worth starting while
// a service somewhere in their call trees is short of capacity.
//
// The gate of each upstream knows from which route of a client each call
// descends, and with which probability requests of that route are started. It
// estimates the demand that all of them would cause if all were started, and
// derives the share of each route that fits its capacity, the most important
// routes first. The shares travel back on replies; the node at which a request
// begins starts the smallest share that any service states. So a tree that
// cannot be finished is refused before it costs anything. Estimating the
// demand before refusals, instead of correcting the share by what arrives,
// keeps the loop stable whatever the delay.
package rootshare

import (
	"math"
	"sort"
	"sync"
	"time"
)

const (
	// window is the time constant of the demand estimate.
	window = 600 * time.Millisecond
	// update is the interval at which shares are computed.
	update = 50 * time.Millisecond
	// usable is the part of the capacity that is given out; the rest absorbs
	// the variation of the demand.
	usable = 0.92
	// costWeight is the weight of one call in the mean cost of a route.
	costWeight = 0.05
	// initialCost is assumed until a call of a route has ended.
	initialCost = 40 * time.Millisecond
	// MinShare of each route is started even if nothing of it should fit, so
	// that no route starves and a change is noticed.
	MinShare = 0.08
	// quiet is the demand, in slots, below which a route is forgotten.
	quiet = 0.01
	// announce is how long the share of a route is stated after it was
	// restricted, so that all nodes hear of the end.
	announce = time.Second
)

// Share is the part of a route's requests to start.
type Share struct {
	Route string
	Value float64
}

// Estimator computes the shares at the gate of one upstream. It is safe for
// concurrent use.
type Estimator struct {
	mu       sync.Mutex
	routes   map[string]*demand
	decayed  time.Time // when the demand was aged last
	computed time.Time // when the shares were computed last
	capacity float64
	shares   []Share
}

type demand struct {
	priority   int
	slots      float64 // estimated demand
	cost       float64 // mean seconds per call
	share      float64
	restricted time.Time
}

// NewEstimator returns an estimator without demand.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*demand{}} }

// Arrive counts a call that descends from a request of a route with a priority
// (0 is the most important) whose requests are started with a probability.
func (e *Estimator) Arrive(now time.Time, route string, priority int, started float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	d := e.routes[route]
	if d == nil {
		d = &demand{cost: initialCost.Seconds(), share: 1}
		e.routes[route] = d
	}
	d.priority = priority
	d.slots += d.cost / min(max(started, MinShare), 1) / window.Seconds()
}

// Ended takes the time that a call of a route held a slot.
func (e *Estimator) Ended(route string, held time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.routes[route]; d != nil {
		d.cost += costWeight * (held.Seconds() - d.cost)
	}
}

// Shares returns the shares of the routes that are restricted, or were a short
// while ago, for an upstream with a number of slots.
func (e *Estimator) Shares(now time.Time, slots int) []Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.computed) < update && e.capacity == float64(slots) {
		return e.shares
	}
	e.computed = now
	e.decay(now)
	e.capacity = float64(slots)
	e.divide(now, usable*float64(slots))
	return e.shares
}

// decay ages the demand.
func (e *Estimator) decay(now time.Time) {
	age := now.Sub(e.decayed)
	if e.decayed.IsZero() {
		e.decayed = now
		return
	}
	if age < update {
		return
	}
	e.decayed = now
	factor := math.Exp(-age.Seconds() / window.Seconds())
	for route, d := range e.routes {
		d.slots *= factor
		if d.slots < quiet && now.Sub(d.restricted) > announce {
			delete(e.routes, route)
		}
	}
}

// divide gives the capacity to the routes in order of their priority. Routes
// of one priority get the same share.
func (e *Estimator) divide(now time.Time, capacity float64) {
	names := make([]string, 0, len(e.routes))
	for name := range e.routes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := e.routes[names[i]], e.routes[names[j]]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return names[i] < names[j]
	})
	e.shares = nil
	for from := 0; from < len(names); {
		to, total := from, 0.0
		for to < len(names) && e.routes[names[to]].priority == e.routes[names[from]].priority {
			total += e.routes[names[to]].slots
			to++
		}
		share := 1.0
		if total > capacity {
			share = max(capacity/total, MinShare)
		}
		capacity = max(capacity-total*share, 0)
		for _, name := range names[from:to] {
			e.state(now, name, share)
		}
		from = to
	}
}

// state sets the share of a route and announces it if it matters.
func (e *Estimator) state(now time.Time, name string, share float64) {
	d := e.routes[name]
	d.share = share
	if share < 1 {
		d.restricted = now
	}
	if !d.restricted.IsZero() && now.Sub(d.restricted) <= announce {
		e.shares = append(e.shares, Share{Route: name, Value: share})
	}
}
