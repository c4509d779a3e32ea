// Package calltree finds the parent of a call that an upstream makes while it
// runs a request. Calls carry no reference to their parent, but they inherit
// its deadline: the deadline of a call equals that of one of the requests that
// run at the local upstream, unless the call has a shorter time limit of its
// own. In that case the parent is estimated from the order of calls.
package calltree

import (
	"math"
	"sync"
	"time"
)

const (
	// maxEarly and maxLate bound the difference between the deadline of a call
	// and that of its parent. Deadlines are sent in whole milliseconds, rounded
	// down twice, and a busy host reads a call late.
	maxEarly = 3 * time.Millisecond
	maxLate  = 4 * time.Millisecond
	// chanceWindow is the period around a deadline from which the number of
	// chance matches is estimated, in multiples of the period in which a
	// deadline matches.
	chanceWindow = 10
	// maxCallGap is the time within which an upstream makes its next call on
	// the same connection after the answer to the one before.
	maxCallGap = 1500 * time.Microsecond
)

const (
	// initialFirstCallAge is the assumed age of a request at its first call
	// until the age has been learned for its route.
	initialFirstCallAge = 20 * time.Millisecond
	// ageWeight is the weight of one first call in the mean age.
	ageWeight = 0.05
)

// Parent is a running request that may make calls. The exported fields are set
// before Tracker.Add and not changed afterwards.
type Parent struct {
	// ID of the request.
	ID       string
	Deadline time.Time
	// Priority of the root request, the request of a client.
	Priority int
	// RootRoute is the route of the root request.
	RootRoute string
	// Route is the route of this request.
	Route string
	// Retry is set for a retry and for all calls below one.
	Retry bool
	// AdmissionProbability is the probability with which requests of the root
	// route are admitted.
	AdmissionProbability float64

	index     int // in Tracker.running; -1 once removed
	startedAt time.Time
	calls     int // calls made so far
	inFlight  int // calls in flight
	lastEndAt time.Time
}

// Tracker tracks the requests that run at one upstream. The zero value tracks
// none and is ready for use. It is safe for concurrent use.
//
// Functions named mayCall report whether requests of a route may make the call
// in question, as RouteGraph.MayCall does. They must not use the Tracker.
type Tracker struct {
	mu           sync.Mutex
	running      []*Parent
	firstCallAge map[string]float64 // mean age at the first call, in seconds, by route
}

// Add adds a request when it is passed to the upstream. Now is the time from
// which its age counts.
func (t *Tracker) Add(now time.Time, p *Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.index, p.startedAt = len(t.running), now
	t.running = append(t.running, p)
}

// Remove removes a request when it has ended. It does nothing if the request has
// been removed already.
func (t *Tracker) Remove(p *Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.index < 0 || p.index >= len(t.running) || t.running[p.index] != p {
		return
	}
	last := t.running[len(t.running)-1]
	t.running[p.index] = last
	last.index = p.index
	p.index = -1
	t.running[len(t.running)-1] = nil
	t.running = t.running[:len(t.running)-1]
}

// Match returns the running request that may make a call with the given deadline
// and whose own deadline matches it, the nearest one if there are several, or
// nil.
func (t *Tracker) Match(deadline time.Time, mayCall func(route string) bool) *Parent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *Parent
	distance := maxEarly + maxLate
	for _, p := range t.running {
		d := deadline.Sub(p.Deadline)
		if d >= -maxEarly && d <= maxLate && d.Abs() < distance && mayCall(p.Route) {
			best, distance = p, d.Abs()
		}
	}
	return best
}

// Next returns previous, the parent of the previous call on a connection, if the
// same request most likely makes the next call on it, or nil: upstreams make the
// calls of one request one after the other, on one connection. Deadline is that
// of the next call; previous may be nil.
func (t *Tracker) Next(now, deadline time.Time, previous *Parent) *Parent {
	t.mu.Lock()
	defer t.mu.Unlock()
	if previous == nil || previous.index < 0 || previous.inFlight > 0 || now.Sub(previous.lastEndAt) > maxCallGap {
		return nil
	}
	if previous.Deadline.Before(deadline.Add(-maxEarly)) {
		return nil // a call of this request would expire with it, not later
	}
	return previous
}

// MatchesDeadline reports whether the deadline of a call matches that of the
// request, within maxEarly and maxLate.
func (p *Parent) MatchesDeadline(deadline time.Time) bool {
	d := deadline.Sub(p.Deadline)
	return d >= -maxEarly && d <= maxLate
}

// Guess returns the most likely parent of a call whose own time limit hides the
// deadline of its parent, or nil. Such a call is most likely the first of a
// request, so the request whose age is nearest to the usual one is preferred. If
// no request is likely to make its first call now, the one whose previous call
// ended last is returned.
func (t *Tracker) Guess(now, deadline time.Time, mayCall func(route string) bool) *Parent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first, other *Parent
	distance := maxDistance
	for _, p := range t.running {
		if p.Deadline.Before(deadline.Add(-maxEarly)) || !mayCall(p.Route) || p.inFlight > 0 {
			continue // a call of this request would expire with it, its route makes no such calls, or one is in flight
		}
		if p.calls > 0 {
			if other == nil || p.lastEndAt.After(other.lastEndAt) {
				other = p
			}
			continue
		}
		if d := t.ageDistance(now, p); d < distance {
			first, distance = p, d
		}
	}
	if first != nil {
		return first
	}
	return other
}

// Any returns a running request that may make the call, or nil. It represents
// the mix of such requests where no single parent is likely.
func (t *Tracker) Any(mayCall func(route string) bool) *Parent {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.running {
		if mayCall(p.Route) {
			return p
		}
	}
	return nil
}

// maxDistance is the largest distance, a factor of five, at which a call may be
// the first of a request.
var maxDistance = math.Log(5)

// ageDistance is the distance, on a logarithmic scale, between the age of a
// request and the usual age of requests of its route at their first call.
func (t *Tracker) ageDistance(now time.Time, p *Parent) float64 {
	firstCallAge := t.firstCallAge[p.Route]
	if firstCallAge == 0 {
		firstCallAge = initialFirstCallAge.Seconds()
	}
	age := max(now.Sub(p.startedAt).Seconds(), 0.001)
	return math.Abs(math.Log(age / firstCallAge))
}

// StartCall counts the start of a call of a request; EndCall must follow when the
// call has ended. Certain is set if the call is deadline-matched; only such calls
// count towards the usual age at the first call.
func (t *Tracker) StartCall(now time.Time, p *Parent, certain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if certain && p.calls == 0 {
		t.recordFirstCall(p.Route, max(now.Sub(p.startedAt).Seconds(), 0.001))
	}
	p.calls++
	p.inFlight++
}

// recordFirstCall updates the mean age of requests at their first call. A mean
// of logarithms gives little weight to requests whose first call came late.
func (t *Tracker) recordFirstCall(route string, age float64) {
	if t.firstCallAge == nil {
		t.firstCallAge = map[string]float64{}
	}
	firstCallAge := t.firstCallAge[route]
	if firstCallAge == 0 {
		firstCallAge = initialFirstCallAge.Seconds()
	}
	t.firstCallAge[route] = math.Exp(math.Log(firstCallAge) + ageWeight*(math.Log(age)-math.Log(firstCallAge)))
}

// EndCall records that a call counted by StartCall has ended.
func (t *Tracker) EndCall(now time.Time, p *Parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.inFlight--
	p.lastEndAt = now
}

// ChanceMatches returns the expected number of running requests, by route, that
// match a deadline by chance, estimated from those that expire a little earlier
// or later.
func (t *Tracker) ChanceMatches(deadline time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]float64{}
	for _, p := range t.running {
		if deadline.Sub(p.Deadline).Abs() <= chanceWindow*(maxEarly+maxLate)/2 {
			out[p.Route] += 1.0 / chanceWindow
		}
	}
	return out
}

// Len returns the number of running requests.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}
