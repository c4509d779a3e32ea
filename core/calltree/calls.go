package calltree

import (
	"sync"
	"time"
)

// Calls learns which routes are called by upstreams: nearly all requests on
// such a route match a parent, while requests of clients match one only by
// chance; and they begin at one service only, as Origins finds. It is safe for
// concurrent use.
type Calls struct {
	mu     sync.Mutex
	routes map[string]*callRate
}

type callRate struct {
	longest time.Duration // largest time limit seen
	matched float64
	seen    int
	parents map[string]float64 // share of the matches by route of the parent
	chance  map[string]float64 // share that would match by chance alone
	matches int
	only    bool    // begins at one service only
	shown   float64 // share of the calls that expire with their parent
}

const (
	// callWeight is the weight of one request in the rate of a route.
	callWeight = 0.06
	// callShare of the telling requests of a route match if upstreams call it.
	callShare = 0.7
	// callSamples is the number of requests before the rate is used.
	callSamples = 12
	// parentWeight is the weight of one match in the shares of parents.
	parentWeight = 0.03
	// chanceShare is the part of the share that a route has by chance above
	// which it makes calls: where a call finds its own parent, the others
	// match less often than by chance alone.
	chanceShare = 0.9
	// leastShare is the share of the matches of a route that makes calls.
	leastShare = 0.02
	// tellingShare is the part of the largest time limit of a route below
	// which a limit is hardly the sender's own: those of one route differ.
	tellingShare = 0.8
	// parentSamples is the number of matches before the shares are used.
	parentSamples = 30
	// shownWeight is the weight of one call in the share that expires with its
	// parent; shownShare is the least with which deadlines tell the parent.
	shownWeight = 0.02
	shownShare  = 0.3
	// limitSlack is the difference to the largest time limit up to which a
	// limit counts as the sender's own.
	limitSlack = 3 * time.Millisecond
)

// Makes reports whether requests of a route may make calls of another.
func (c *Calls) Makes(own, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[call]
	if r == nil || r.matches < parentSamples {
		return true
	}
	return r.parents[own] >= leastShare && r.parents[own] >= chanceShare*r.chance[own]
}

// Matched counts a call whose parent is told by its deadline. Chance holds the
// numbers of requests by route that match it by chance.
func (c *Calls) Matched(own, call string, chance map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(call)
	r.matches++
	weight := max(parentWeight, 1/float64(r.matches))
	fade(r.parents, weight)
	r.parents[own] += weight
	sum := 0.0
	for _, n := range chance {
		sum += n
	}
	fade(r.chance, weight)
	for name, n := range chance {
		r.chance[name] += weight * n / max(sum, 1)
	}
}

func fade(shares map[string]float64, weight float64) {
	for name := range shares {
		shares[name] *= 1 - weight
	}
}

// Telling reports whether a time limit is so short that it is hardly the
// sender's own, but the time left of the parent.
func (c *Calls) Telling(route string, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(limit) < tellingShare*float64(c.route(route).longest)
}

// Origin takes what Origins found for a route.
func (c *Calls) Origin(route string, only bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route(route).only = only
}

// Only reports whether Origins found that one service alone calls a route.
func (c *Calls) Only(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route(route).only
}

// Expired counts a call whose parent is known by the order of calls, and
// whether it expires with its parent.
func (c *Calls) Expired(route string, withParent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(route)
	value := 0.0
	if withParent {
		value = 1
	}
	r.shown += shownWeight * (value - r.shown)
}

// Shown reports whether deadlines tell the parents of a route's calls. Where
// most calls have a shorter limit of their own, a match is mere chance.
func (c *Calls) Shown(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route(route).shown >= shownShare
}

func (c *Calls) route(name string) *callRate {
	if c.routes == nil {
		c.routes = map[string]*callRate{}
	}
	r := c.routes[name]
	if r == nil {
		r = &callRate{matched: 0.5, shown: 1, parents: map[string]float64{}, chance: map[string]float64{}}
		c.routes[name] = r
	}
	return r
}

// Observe counts a request of a route with a time limit and returns whether
// upstreams call the route. A request without a match says nothing if its
// limit is the largest of its route: that is the sender's own limit.
func (c *Calls) Observe(route string, limit time.Duration, matched bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(route)
	r.longest = max(r.longest, limit)
	if limit < r.longest-limitSlack {
		value := 0.0
		if matched {
			value = 1
		}
		r.matched += callWeight * (value - r.matched)
		r.seen++
	}
	if r.only {
		return true
	}
	if r.seen < callSamples {
		return matched && limit < r.longest-limitSlack
	}
	return r.matched > callShare
}
