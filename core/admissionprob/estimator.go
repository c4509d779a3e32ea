// Package admissionprob decides which requests of clients are worth starting while
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
// keeps the loop stable whatever the delay. Calls that wait slow down the calls
// after them, which hides a part of the demand, so that a route whose calls
// wait is restricted further until they do not.
package admissionprob

import (
	"math"
	"sort"
	"sync"
	"time"
)

const (
	// window is the time constant of the demand estimate.
	window = 350 * time.Millisecond
	// update is the interval at which shares are computed.
	update = 50 * time.Millisecond
	// usable is the part of the capacity that is given out; the rest absorbs
	// the variation of the demand.
	usable = 0.98
	// costWeight is the weight of one call in the mean cost of a route.
	costWeight = 0.05
	// initialCost is assumed until a call of a route has ended.
	initialCost = 40 * time.Millisecond
	// MinProbability of each route is started even if nothing of it should fit, so
	// that no route starves and a change is noticed.
	MinProbability = 0.05
	// elsewhereMargin is added to the share that other services leave, so that
	// two services that restrict one route do not hold each other down.
	elsewhereMargin = 1.25
	// notable is the part of all arrivals that a route must cause to be
	// restricted. Below it, refusing the route frees nothing, and a few calls
	// that were attributed to the wrong route would close it.
	notable = 0.025
	// quiet is the demand, in slots, below which a route is forgotten.
	quiet = 0.05
	// waitTarget is the queue time that a route's calls may have on average.
	waitTarget = 12 * time.Millisecond
	// waitSpan is the queue time above waitTarget at which a route is
	// restricted at the full pace.
	waitSpan = 40 * time.Millisecond
	// waitWeight is the weight of one call in the mean queue time of a route.
	waitWeight = 0.08
	// waitLife is the time constant with which a queue time is forgotten.
	waitLife = 400 * time.Millisecond
	// restrictPace is the relative decrease per second of the share of a route
	// whose calls wait; openPace is the increase per second once they do not.
	restrictPace = 6
	openPace     = 0.6
	// idlePace is the increase per second while the arrivals fill less than
	// idleShare of the capacity, as after a surge: then a share that is too
	// large cannot overload the upstream at once.
	idlePace  = 3
	idleShare = 0.7
	// announce is how long the share of a route is stated after it was
	// restricted, so that all nodes hear of the end.
	announce = time.Second
)

// Advertised is the part of a route's requests to start.
type Advertised struct {
	Route       string
	Probability float64
}

// Estimator computes the shares at the gate of one upstream. It is safe for
// concurrent use.
type Estimator struct {
	mu       sync.Mutex
	routes   map[string]*demand
	decayed  time.Time // when the demand was aged last
	computed time.Time // when the shares were computed last
	capacity float64
	shares   []Advertised
}

type demand struct {
	priority   int
	slots      float64 // estimated demand
	arrived    float64 // demand that arrives, after refusals
	cost       float64 // mean seconds per call
	wait       float64 // mean seconds in the queue
	factor     float64 // correction of the share for what the wait hides
	bound      float64 // share that other services leave
	restricted time.Time
}

// NewEstimator returns an estimator without demand.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*demand{}} }

// OnArrival counts a call that descends from a request of a route with a priority
// (0 is the most important) whose requests are started with a probability.
func (e *Estimator) OnArrival(now time.Time, route string, priority int, started float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	d := e.routes[route]
	if d == nil {
		d = &demand{cost: initialCost.Seconds(), factor: 1}
		e.routes[route] = d
	}
	d.priority = priority
	arrived := d.cost / window.Seconds()
	d.arrived += arrived
	d.slots += arrived / min(max(started, MinProbability), 1)
}

// OnComplete takes the time that a call of a route held a slot.
func (e *Estimator) OnComplete(route string, held time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.routes[route]; d != nil {
		d.cost += costWeight * (held.Seconds() - d.cost)
	}
}

// OnQueued takes the time that a call of a route was queued, whether it got a
// slot or not.
func (e *Estimator) OnQueued(route string, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.routes[route]; d != nil {
		d.wait += waitWeight * (wait.Seconds() - d.wait)
	}
}

// Probabilities returns the shares of the routes that are restricted, or were a short
// while ago, for an upstream with a number of slots. Elsewhere returns the
// share of a route that other services state: what they refuse leaves room for
// the other routes here.
func (e *Estimator) Probabilities(now time.Time, slots int, elsewhere func(route string) float64) []Advertised {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.computed) < update && e.capacity == float64(slots) {
		return e.shares
	}
	e.decay(now)
	e.correct(min(now.Sub(e.computed), 2*update))
	e.computed = now
	e.capacity = float64(slots)
	for route, d := range e.routes {
		d.bound = min(1, elsewhereMargin*elsewhere(route))
	}
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
		d.arrived *= factor
		if d.slots < quiet && now.Sub(d.restricted) > announce {
			delete(e.routes, route)
		}
	}
}

// correct adapts the factors of the routes to their queue times. The least
// important routes in use give way first: a more important one is restricted
// once nothing can be taken from them, and only if it waits itself.
func (e *Estimator) correct(passed time.Duration) {
	fade := math.Exp(-passed.Seconds() / waitLife.Seconds())
	last := -1
	for _, d := range e.routes {
		d.wait *= fade // a route without calls must not stay restricted
		if d.slots > quiet && d.factor > MinProbability {
			last = max(last, d.priority)
		}
	}
	worst := 0.0
	for _, d := range e.routes {
		if d.priority <= last {
			worst = max(worst, d.wait)
		}
	}
	over := (worst - waitTarget.Seconds()) / waitSpan.Seconds()
	open := e.openPace() * passed.Seconds()
	for _, d := range e.routes {
		switch {
		case over <= 0 && d.priority <= last:
			d.factor = min(1, d.factor+open)
		case over > 0 && d.priority == last:
			d.factor *= math.Exp(-restrictPace * min(over, 1) * passed.Seconds())
			d.factor = max(d.factor, MinProbability)
		case d.priority > last && d.wait <= waitTarget.Seconds():
			d.factor = min(1, d.factor+open)
		}
	}
}

// openPace returns the increase per second of the shares of routes whose calls
// do not wait.
func (e *Estimator) openPace() float64 {
	arrived := 0.0
	for _, d := range e.routes {
		arrived += d.arrived
	}
	if arrived < idleShare*e.capacity {
		return idlePace
	}
	return openPace
}

// divide gives the capacity to the routes in order of their priority. Routes
// of one priority get the same share.
func (e *Estimator) divide(now time.Time, capacity float64) {
	total := 0.0
	for _, d := range e.routes {
		total += d.arrived
	}
	names := make([]string, 0, len(e.routes))
	for name, d := range e.routes {
		if d.arrived >= notable*total {
			names = append(names, name)
		}
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
		to := from
		for to < len(names) && e.routes[names[to]].priority == e.routes[names[from]].priority {
			to++
		}
		group := names[from:to]
		share := e.level(group, capacity)
		for _, name := range group {
			d := e.routes[name]
			capacity -= d.slots * min(share, d.bound)
			e.state(now, name, share)
		}
		capacity = max(capacity, 0)
		from = to
	}
}

// level returns the share of the routes of one priority with which they fill
// the capacity, where each takes no more than other services leave it.
func (e *Estimator) level(group []string, capacity float64) float64 {
	free, open := capacity, 0.0
	bounded := make([]*demand, 0, len(group))
	for _, name := range group {
		d := e.routes[name]
		bounded = append(bounded, d)
		open += d.slots
	}
	sort.Slice(bounded, func(i, j int) bool { return bounded[i].bound < bounded[j].bound })
	for _, d := range bounded {
		if open <= 0 || d.bound*open >= free {
			break
		}
		// The route takes all that it may, and the others share the rest.
		free -= d.bound * d.slots
		open -= d.slots
	}
	if open <= 1e-9 {
		return 1
	}
	return min(1, max(free, 0)/open)
}

// state sets the share of a route and announces it if it matters.
func (e *Estimator) state(now time.Time, name string, share float64) {
	d := e.routes[name]
	share = max(share*d.factor, MinProbability)
	if share < 1 {
		d.restricted = now
	}
	if !d.restricted.IsZero() && now.Sub(d.restricted) <= announce {
		e.shares = append(e.shares, Advertised{Route: name, Probability: share})
	}
}
