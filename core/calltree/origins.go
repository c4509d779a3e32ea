package calltree

import (
	"math"
	"sync"
)

const (
	// originWeight is the weight of one request in the shares of origins.
	originWeight = 1.0 / 64
	// minOriginSamples is the number of requests of a route before its origins
	// are used.
	minOriginSamples = 32
	// minDivergence is the divergence, in nats, of the origins of a route from
	// those of clients at which the route counts as called. The origins of a
	// client route diverge by less than 0.1; those of a route that one or two
	// services call by more, unless these run on most hosts.
	minDivergence = 0.4
	// absentShare stands for the share of a service without a host.
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
// the shares of the services in the hosts, upstreams call that route. The zero
// value has learned nothing and is ready for use. It is safe for concurrent use.
type Origins struct {
	mu      sync.Mutex
	routes  map[string]*originShares
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

// originShares holds the shares of the requests of a route by service of
// origin.
type originShares struct {
	byOrigin map[string]float64
	count    int
}

func (s *originShares) add(origin string) {
	if s.byOrigin == nil {
		s.byOrigin = map[string]float64{}
	}
	s.count++
	weight := max(originWeight, 1/float64(s.count))
	for name := range s.byOrigin {
		s.byOrigin[name] *= 1 - weight
	}
	s.byOrigin[origin] += weight
}

// divergence returns the Kullback-Leibler divergence of the shares from those of
// clients.
func (s *originShares) divergence(clients map[string]float64) float64 {
	sum := 0.0
	for name, share := range s.byOrigin {
		if share > 0 {
			sum += share * math.Log(share/max(clients[name], absentShare))
		}
	}
	return sum
}

// Count counts a request of a route that entered at a host of the service
// origin, and returns what is known of the senders of the route's requests.
func (o *Origins) Count(route, origin string) Callers {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil {
		o.routes = map[string]*originShares{}
	}
	s := o.routes[route]
	if s == nil {
		s = &originShares{}
		o.routes[route] = s
	}
	s.add(origin)
	if s.count < minOriginSamples || len(o.clients) == 0 {
		return CallersUnknown
	}
	for _, clients := range o.clients {
		if s.divergence(clients) < minDivergence {
			return CallersClients
		}
	}
	return CallersUpstreams
}
