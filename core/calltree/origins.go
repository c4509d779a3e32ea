package calltree

import (
	"math"
	"sync"
	"time"
)

const (
	// originHalfLife is the half-life of the counts of origins. All routes forget
	// at the same rate, so that they see the same hosts: those that reach this
	// upstream now.
	originHalfLife = 3 * time.Second
	// minOriginSamples is the decayed number of requests of a route before its
	// origins are used, and minOtherSamples that of a route with which they are
	// compared.
	minOriginSamples = 32
	minOtherSamples  = 12
	// minDivergence is the divergence, in nats, of the origins of a route from
	// those of clients at which the route counts as called. The origins of a
	// client route diverge by less than 0.1; those of a route that one or two
	// services call by more, unless these run on most hosts.
	minDivergence = 0.4
	// minOtherDivergence is the divergence of another route's origins at which the
	// two routes have different senders. With minOtherSamples requests, routes with
	// the same senders rarely diverge by half of it.
	minOtherDivergence = 0.6
	// absentShare stands for the share of a service without a host or request.
	absentShare = 0.005
)

// Callers tells who sends the requests of a route.
type Callers int

// Values of Callers.
const (
	// CallersUnknown means that too few requests were counted.
	CallersUnknown Callers = iota
	// CallersUpstreams means that upstreams of some services call the route.
	CallersUpstreams
	// CallersClients means that requests enter as those of clients do.
	CallersClients
)

// Origins learns at which services the requests that reach one upstream enter.
// Clients enter at the hosts of all services, while the calls of an upstream
// enter at the node in front of it. So where the origins of a route diverge from
// the shares of the services in the hosts, upstreams call that route, unless the
// other routes have the same origins: then only these hosts reach the upstream.
// The zero value has learned nothing and is ready for use. It is safe for
// concurrent use.
type Origins struct {
	mu      sync.Mutex
	routes  map[string]*originCounts
	clients []map[string]float64 // possible shares of origins of client requests
}

// SetClients sets the shares of the services among the hosts of which clients may
// enter: one map for all hosts, and one for each availability zone, as the
// requests that reach an upstream may come mostly from one of them.
func (o *Origins) SetClients(shares []map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clients = shares
}

// originCounts holds the decayed numbers of requests of a route by service of
// origin.
type originCounts struct {
	byOrigin  map[string]float64
	total     float64
	decayedAt time.Time
}

// decay lets the counts fade until now.
func (c *originCounts) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(c.decayedAt).Seconds() / originHalfLife.Seconds())
	c.decayedAt = now
	for name := range c.byOrigin {
		c.byOrigin[name] *= factor
	}
	c.total *= factor
}

func (c *originCounts) share(service string) float64 { return c.byOrigin[service] / c.total }

// divergence returns the Kullback-Leibler divergence of the shares from those that
// other returns.
func (c *originCounts) divergence(other func(service string) float64) float64 {
	sum := 0.0
	for name, n := range c.byOrigin {
		if share := n / c.total; share > 0 {
			sum += share * math.Log(share/max(other(name), absentShare))
		}
	}
	return sum
}

// Count counts a request of a route that entered at a host of the service
// origin, and returns what is known of the senders of the route's requests.
func (o *Origins) Count(now time.Time, route, origin string) Callers {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil {
		o.routes = map[string]*originCounts{}
	}
	c := o.routes[route]
	if c == nil {
		c = &originCounts{byOrigin: map[string]float64{}, decayedAt: now}
		o.routes[route] = c
	}
	c.decay(now)
	c.byOrigin[origin]++
	c.total++
	if c.total < minOriginSamples || len(o.clients) == 0 {
		return CallersUnknown
	}
	for _, clients := range o.clients {
		if c.divergence(func(service string) float64 { return clients[service] }) < minDivergence {
			return CallersClients
		}
	}
	if o.othersDiverge(now, c) {
		return CallersUpstreams
	}
	return CallersUnknown
}

// othersDiverge reports whether the requests of another route enter at other
// services than those counted by c.
func (o *Origins) othersDiverge(now time.Time, c *originCounts) bool {
	for _, other := range o.routes {
		if other == c {
			continue
		}
		other.decay(now)
		if other.total >= minOtherSamples && other.divergence(c.share) >= minOtherDivergence {
			return true
		}
	}
	return false
}
