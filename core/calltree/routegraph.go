package calltree

import (
	"sync"
	"time"
)

// RouteGraph learns which routes are called by upstreams, and by requests of which
// routes. Nearly all requests of a called route are deadline-matched, while
// requests of clients match a running request only by chance. Requests of a
// called route also enter at one service only, as Origins detects. It is safe
// for concurrent use.
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
	singleCaller bool    // requests enter at one service only
	expiryRate   float64 // share of the calls that expire with their parent
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
	// limitSlack is the difference to the longest time limit up to which a
	// limit counts as the sender's own.
	limitSlack = 3 * time.Millisecond
)

// MayCall reports whether requests of a route may call another route.
func (c *RouteGraph) MayCall(parentRoute, calledRoute string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[calledRoute]
	if r == nil || r.matches < minMatches {
		return true
	}
	return r.parents[parentRoute] >= minParentShare && r.parents[parentRoute] >= minChanceRatio*r.chance[parentRoute]
}

// Matched counts a deadline-matched call. Chance holds the expected numbers of
// running requests, by route, that match it by chance.
func (c *RouteGraph) Matched(parentRoute, calledRoute string, chance map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.stats(calledRoute)
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

// LimitInherited reports whether a time limit is so short that it is most likely the
// remaining time of the parent and not the sender's own limit.
func (c *RouteGraph) LimitInherited(route string, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(limit) < inheritedLimitShare*float64(c.stats(route).longestLimit)
}

// SetSingleCaller records whether Origins found a single caller of a route.
func (c *RouteGraph) SetSingleCaller(route string, single bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats(route).singleCaller = single
}

// HasSingleCaller reports whether Origins found that one service alone calls a route.
func (c *RouteGraph) HasSingleCaller(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats(route).singleCaller
}

// Expired counts a call whose parent is known from the order of calls, and
// whether it expires with its parent.
func (c *RouteGraph) Expired(route string, withParent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.stats(route)
	value := 0.0
	if withParent {
		value = 1
	}
	r.expiryRate += expiryWeight * (value - r.expiryRate)
}

// DeadlineMatches reports whether deadlines identify the parents of a route's calls.
// Where most calls have a shorter limit of their own, a match is mere chance.
func (c *RouteGraph) DeadlineMatches(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats(route).expiryRate >= minExpiryRate
}

func (c *RouteGraph) stats(name string) *routeStats {
	if c.routes == nil {
		c.routes = map[string]*routeStats{}
	}
	r := c.routes[name]
	if r == nil {
		r = &routeStats{matchRate: 0.5, expiryRate: 1, parents: map[string]float64{}, chance: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}

// Observe counts a request of a route with a time limit and returns whether
// upstreams call the route. An unmatched request is not counted if its limit is
// the longest of its route, since that is the sender's own limit.
func (c *RouteGraph) Observe(route string, limit time.Duration, matched bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.stats(route)
	r.longestLimit = max(r.longestLimit, limit)
	if limit < r.longestLimit-limitSlack {
		value := 0.0
		if matched {
			value = 1
		}
		r.matchRate += matchWeight * (value - r.matchRate)
		r.observed++
	}
	if r.singleCaller {
		return true
	}
	if r.observed < minRequests {
		return matched && limit < r.longestLimit-limitSlack
	}
	return r.matchRate > minMatchRate
}
