package calltree

import (
	"sync"
	"time"
)

// RouteGraph learns which routes are called by upstreams, and by requests of
// which routes. Nearly all requests of a called route are deadline-matched,
// while requests of clients match a running request only by chance. Requests of
// a called route also enter at few services only, as Origins detects. The zero
// value has learned nothing and is ready for use. It is safe for concurrent use.
type RouteGraph struct {
	mu     sync.Mutex
	routes map[string]*routeStats
}

type routeStats struct {
	longestLimit time.Duration // longest time limit observed
	matchRate    float64
	observed     int
	parents      map[string]float64 // share of the matches, by route of the parent
	chance       map[string]float64 // expected share of the matches by chance alone, by route of the parent
	matches      int
	expiryRate   float64 // share of the calls that expire with their parent
	// calledUntil is the time until which the route counts as called because of
	// its origins.
	calledUntil time.Time
}

const (
	// matchWeight is the weight of one request in the match rate of a route.
	matchWeight = 0.06
	// minMatchRate is the match rate from which a route counts as called by
	// upstreams. Only requests whose limit is below the longest of the route
	// are counted.
	minMatchRate = 0.7
	// minRequests is the number of requests before the match rate is used.
	minRequests = 12
	// parentWeight is the weight of one match in the shares of parent routes.
	parentWeight = 0.03
	// minChanceRatio is the ratio of the share of a route to its share by
	// chance from which it counts as making calls. Where a call finds its own
	// parent, other routes match less often than by chance alone.
	minChanceRatio = 0.9
	// minParentShare is the lowest share of the matches of a route that makes
	// calls.
	minParentShare = 0.02
	// inheritedLimitShare is the fraction of the longest time limit of a route
	// below which a limit is unlikely to be set by the sender itself: the
	// senders' own limits on one route vary by less than that.
	inheritedLimitShare = 0.8
	// minMatches is the number of matches before the shares are used.
	minMatches = 30
	// expiryWeight is the weight of one call in the expiry rate, the share of
	// the calls that expire with their parent. From minExpiryRate on, deadlines
	// identify parents.
	expiryWeight  = 0.02
	minExpiryRate = 0.3
	// calledTTL is how long a route counts as called after an upstream has found
	// that it is.
	calledTTL = 15 * time.Second
	// limitSlack is the difference to the longest time limit up to which a
	// limit counts as the sender's own.
	limitSlack = 3 * time.Millisecond
)

// MayCall reports whether requests of parentRoute may call calledRoute. It
// reports true for any parent until enough calls of calledRoute were counted by
// Matched.
func (g *RouteGraph) MayCall(parentRoute, calledRoute string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.routes[calledRoute]
	if r == nil || r.matches < minMatches {
		return true
	}
	return r.parents[parentRoute] >= minParentShare && r.parents[parentRoute] >= minChanceRatio*r.chance[parentRoute]
}

// Matched counts a deadline-matched call of calledRoute by a request of
// parentRoute. Chance is the result of Tracker.ChanceMatches for the call.
func (g *RouteGraph) Matched(parentRoute, calledRoute string, chance map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.stats(calledRoute)
	r.matches++
	weight := max(parentWeight, 1/float64(r.matches))
	decay(r.parents, weight)
	r.parents[parentRoute] += weight
	sum := 0.0
	for _, n := range chance {
		sum += n
	}
	decay(r.chance, weight)
	for name, n := range chance {
		r.chance[name] += weight * n / max(sum, 1)
	}
}

func decay(shares map[string]float64, weight float64) {
	for name := range shares {
		shares[name] *= 1 - weight
	}
}

// LimitInherited reports whether the time limit of a request of a route is so
// short that it is most likely the remaining time of the parent and not the
// sender's own limit.
func (g *RouteGraph) LimitInherited(route string, limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(limit) < inheritedLimitShare*float64(g.stats(route).longestLimit)
}

// SetCallers records who sends the requests of a route, as found by the Origins
// of one upstream. Each upstream counts for itself, so that one which has found
// callers prevails for calledTTL over those that have not.
func (g *RouteGraph) SetCallers(now time.Time, route string, callers Callers) {
	if callers != CallersUpstreams {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats(route).calledUntil = now.Add(calledTTL)
}

// IsCalled reports whether upstreams call a route, as found by Origins.
func (g *RouteGraph) IsCalled(now time.Time, route string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.stats(route).calledUntil)
}

// Expired counts a call of a route whose parent is known from the order of
// calls. WithParent is set if the call expires with its parent.
func (g *RouteGraph) Expired(route string, withParent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.stats(route)
	value := 0.0
	if withParent {
		value = 1
	}
	r.expiryRate += expiryWeight * (value - r.expiryRate)
}

// DeadlineMatches reports whether deadlines identify the parents of a route's
// calls, as is assumed until Expired has counted enough calls that show
// otherwise. Where most calls have a shorter limit of their own, a match is mere
// chance.
func (g *RouteGraph) DeadlineMatches(route string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats(route).expiryRate >= minExpiryRate
}

func (g *RouteGraph) stats(name string) *routeStats {
	if g.routes == nil {
		g.routes = map[string]*routeStats{}
	}
	r := g.routes[name]
	if r == nil {
		r = &routeStats{matchRate: 0.5, expiryRate: 1, parents: map[string]float64{}, chance: map[string]float64{}}
		g.routes[name] = r
	}
	return r
}

// Observe counts a request of a route with a time limit and returns whether
// upstreams call the route. Matched is set if the deadline of the request
// matches that of a running request. A request whose limit is within limitSlack
// of the longest of its route does not count towards the match rate, since that
// is the sender's own limit.
func (g *RouteGraph) Observe(now time.Time, route string, limit time.Duration, matched bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.stats(route)
	r.longestLimit = max(r.longestLimit, limit)
	if limit < r.longestLimit-limitSlack {
		value := 0.0
		if matched {
			value = 1
		}
		r.matchRate += matchWeight * (value - r.matchRate)
		r.observed++
	}
	if now.Before(r.calledUntil) {
		return true
	}
	if r.observed < minRequests {
		return matched && limit < r.longestLimit-limitSlack
	}
	return r.matchRate > minMatchRate
}
