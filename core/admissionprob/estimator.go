// Package admissionprob implements root admission: it decides which client
// requests are admitted at the root of their call tree while a service
// somewhere in the tree is short of capacity.
//
// The concurrency limiter of each upstream knows from which client route each
// call descends, and with which admission probability requests of that route
// are admitted. From these it estimates the demand that would arrive if all
// requests were admitted, and derives an admission probability per route that
// fits its capacity, the most important routes first. The probabilities are
// advertised on replies. The node at which a client request arrives admits it
// with the smallest probability that any service advertises for its route, so
// that a tree that cannot be completed is rejected before any work is done for
// it.
//
// Estimating the demand before rejections, instead of correcting the
// probability by the load that arrives, keeps the control loop stable whatever
// its delay. Calls that wait delay the calls that follow them, which hides part
// of the demand. So the probability of a route whose calls wait is lowered
// further until they no longer wait.
package admissionprob

import (
	"math"
	"sort"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the demand estimate.
	demandTimeConstant = 350 * time.Millisecond
	// updateInterval is the interval at which probabilities are computed.
	updateInterval = 50 * time.Millisecond
	// capacityChange is the relative change of the capacity from which on the
	// probabilities are computed at once.
	capacityChange = 0.1
	// usableCapacity is the part of the capacity that is allocated; the rest
	// absorbs the variation of the demand.
	usableCapacity = 0.98
	// costWeight is the weight of one call in the mean cost of a route.
	costWeight = 0.05
	// initialCost is assumed until a call of a route has ended.
	initialCost = 40 * time.Millisecond
	// MinProbability is the least admission probability of a route, whatever
	// the overload, so that no route starves and a change is noticed.
	MinProbability = 0.05
	// remoteMargin is the factor on the remote probability of a route, so that
	// two services that throttle one route do not hold each other down.
	remoteMargin = 1.25
	// minSignificantShare is the part of all arriving demand that a route must
	// cause to be throttled. Below it, throttling the route frees no capacity
	// worth mentioning, and a few calls attributed to the wrong route would
	// throttle it.
	minSignificantShare = 0.025
	// idleDemand is the demand, in slots, below which a route is dropped.
	idleDemand = 0.05
	// targetWait is the mean queue time that a route's calls may have.
	targetWait = 12 * time.Millisecond
	// waitSpan is the queue time above targetWait at which a route is throttled
	// at the full rate.
	waitSpan = 40 * time.Millisecond
	// waitWeight is the weight of one call in the mean queue time of a route.
	waitWeight = 0.08
	// waitTimeConstant is the time constant with which the mean queue time
	// decays.
	waitTimeConstant = 400 * time.Millisecond
	// throttleRate is the relative decrease per second of the probability of a
	// route whose calls wait; recoveryRate is the increase per second once they
	// no longer wait.
	throttleRate = 6
	recoveryRate = 0.6
	// idleRecoveryRate is the increase per second while the arriving demand is
	// below idleUtilization of the capacity, as after a surge. At that load, a
	// probability that is too high cannot overload the upstream at once.
	idleRecoveryRate = 3
	idleUtilization  = 0.7
	// advertisePeriod is how long the probability of a route is still
	// advertised after the route was last throttled, so that all nodes learn
	// that throttling has ended.
	advertisePeriod = time.Second
)

// Advertised is the admission probability that a service advertises for a
// route.
type Advertised struct {
	Route       string
	Probability float64
}

// Estimator computes the admission probabilities at the concurrency limiter of
// one upstream. It is safe for concurrent use.
type Estimator struct {
	mu           sync.Mutex
	routes       map[string]*demand
	lastDecay    time.Time // when the demand was decayed last
	lastComputed time.Time // when the probabilities were computed last
	capacity     float64
	advertised   []Advertised
}

// demand is the demand of one route.
type demand struct {
	priority      int
	offered       float64 // estimated demand before rejections, in slots
	arriving      float64 // demand that arrives, after rejections, in slots
	cost          float64 // mean slot time per call, seconds
	wait          float64 // mean queue time, seconds
	correction    float64 // factor on the probability for the demand that waiting hides
	remoteBound   float64 // bound from the probabilities of other services
	lastThrottled time.Time
}

// NewEstimator returns an estimator without demand.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*demand{}} }

// OnArrival counts a call that descends from a client request of a route with a
// priority (0 is the most important). Probability is the admission probability
// of the requests of that route.
func (e *Estimator) OnArrival(now time.Time, route string, priority int, probability float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	d := e.routes[route]
	if d == nil {
		d = &demand{cost: initialCost.Seconds(), correction: 1}
		e.routes[route] = d
	}
	d.priority = priority
	added := d.cost / demandTimeConstant.Seconds()
	d.arriving += added
	d.offered += added / min(max(probability, MinProbability), 1)
}

// OnComplete records the time for which a call of a route held a slot.
func (e *Estimator) OnComplete(route string, slotTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.routes[route]; d != nil {
		d.cost += costWeight * (slotTime.Seconds() - d.cost)
	}
}

// OnQueued records the time for which a call of a route was queued, whether it
// got a slot or not.
func (e *Estimator) OnQueued(route string, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.routes[route]; d != nil {
		d.wait += waitWeight * (wait.Seconds() - d.wait)
	}
}

// Probabilities returns the probabilities of the routes that are throttled, or
// were until recently, for an upstream with a capacity in slots. Remote returns
// the remote probability of a route: what other services reject leaves room for
// the other routes here.
func (e *Estimator) Probabilities(now time.Time, capacity float64, remote func(route string) float64) []Advertised {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastComputed) < updateInterval && math.Abs(capacity-e.capacity) <= capacityChange*e.capacity {
		return e.advertised
	}
	e.decay(now)
	e.updateCorrections(min(now.Sub(e.lastComputed), 2*updateInterval))
	e.lastComputed = now
	e.capacity = capacity
	for route, d := range e.routes {
		d.remoteBound = min(1, remoteMargin*remote(route))
	}
	e.allocate(now, usableCapacity*capacity)
	return e.advertised
}

// decay decays the demand with time and drops idle routes.
func (e *Estimator) decay(now time.Time) {
	age := now.Sub(e.lastDecay)
	if e.lastDecay.IsZero() {
		e.lastDecay = now
		return
	}
	if age < updateInterval {
		return
	}
	e.lastDecay = now
	remaining := math.Exp(-age.Seconds() / demandTimeConstant.Seconds())
	for route, d := range e.routes {
		d.offered *= remaining
		d.arriving *= remaining
		if d.offered < idleDemand && now.Sub(d.lastThrottled) > advertisePeriod {
			delete(e.routes, route)
		}
	}
}

// updateCorrections adapts the corrections of the routes to their queue times.
// The least important routes in use are throttled first. A more important route
// is throttled only once the less important ones are at their minimum, and only
// if its own calls wait.
func (e *Estimator) updateCorrections(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / waitTimeConstant.Seconds())
	leastImportant := -1
	for _, d := range e.routes {
		d.wait *= decay // otherwise a route without calls would stay throttled
		if d.offered > idleDemand && d.correction > MinProbability {
			leastImportant = max(leastImportant, d.priority)
		}
	}
	maxWait := 0.0
	for _, d := range e.routes {
		if d.priority <= leastImportant {
			maxWait = max(maxWait, d.wait)
		}
	}
	excess := (maxWait - targetWait.Seconds()) / waitSpan.Seconds()
	increase := e.recoveryRate() * elapsed.Seconds()
	for _, d := range e.routes {
		switch {
		case excess <= 0 && d.priority <= leastImportant:
			d.correction = min(1, d.correction+increase)
		case excess > 0 && d.priority == leastImportant:
			d.correction *= math.Exp(-throttleRate * min(excess, 1) * elapsed.Seconds())
			d.correction = max(d.correction, MinProbability)
		case d.priority > leastImportant && d.wait <= targetWait.Seconds():
			d.correction = min(1, d.correction+increase)
		}
	}
}

// recoveryRate returns the increase per second of the probabilities of routes
// whose calls do not wait.
func (e *Estimator) recoveryRate() float64 {
	arriving := 0.0
	for _, d := range e.routes {
		arriving += d.arriving
	}
	if arriving < idleUtilization*e.capacity {
		return idleRecoveryRate
	}
	return recoveryRate
}

// allocate divides the capacity among the routes in order of their priority.
// Routes of one priority get the same probability.
func (e *Estimator) allocate(now time.Time, capacity float64) {
	total := 0.0
	for _, d := range e.routes {
		total += d.arriving
	}
	names := make([]string, 0, len(e.routes))
	for name, d := range e.routes {
		if d.arriving >= minSignificantShare*total {
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
	e.advertised = nil
	for from := 0; from < len(names); {
		to := from
		for to < len(names) && e.routes[names[to]].priority == e.routes[names[from]].priority {
			to++
		}
		group := names[from:to]
		probability := e.fairProbability(group, capacity)
		for _, name := range group {
			d := e.routes[name]
			capacity -= d.offered * min(probability, d.remoteBound)
			e.advertise(now, name, probability)
		}
		capacity = max(capacity, 0)
		from = to
	}
}

// fairProbability returns the common probability at which the routes of one
// priority fill the capacity, where no route takes more than its remote bound
// allows.
func (e *Estimator) fairProbability(group []string, capacity float64) float64 {
	free, offered := capacity, 0.0
	demands := make([]*demand, 0, len(group))
	for _, name := range group {
		d := e.routes[name]
		demands = append(demands, d)
		offered += d.offered
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].remoteBound < demands[j].remoteBound })
	for _, d := range demands {
		if offered <= 0 || d.remoteBound*offered >= free {
			break
		}
		// This route reaches its bound; the others divide the rest.
		free -= d.remoteBound * d.offered
		offered -= d.offered
	}
	if offered <= 1e-9 {
		return 1
	}
	return min(1, max(free, 0)/offered)
}

// advertise applies the correction and the minimum to the probability of a
// route, and advertises the result if the route is throttled or was until
// recently.
func (e *Estimator) advertise(now time.Time, name string, probability float64) {
	d := e.routes[name]
	probability = max(probability*d.correction, MinProbability)
	if probability < 1 {
		d.lastThrottled = now
	}
	if !d.lastThrottled.IsZero() && now.Sub(d.lastThrottled) <= advertisePeriod {
		e.advertised = append(e.advertised, Advertised{Route: name, Probability: probability})
	}
}
