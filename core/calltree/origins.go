package calltree

import "sync"

const (
	// originWeight is the weight of one request in the shares of origins.
	originWeight = 1.0 / 64
	// originSamples is the number of requests of a route before its origins
	// are used.
	originSamples = 64
	// onlyShare of the requests of a called route begin at one service.
	onlyShare = 0.97
	// spreadShare is the most that one service may have of the requests of a
	// route for them to begin at several.
	spreadShare = 0.8
)

// Origins follows at which services the requests that reach one upstream
// begin. Clients enter at the hosts of all services, while the calls of an
// upstream enter beside it: where the requests of one route begin at several
// services and those of another at one only, that service calls the other
// route. It is safe for concurrent use.
type Origins struct {
	mu     sync.Mutex
	routes map[string]*shares
}

// shares are the parts of the requests by service of origin.
type shares struct {
	part  map[string]float64
	count int
}

func (s *shares) add(origin string) {
	if s.part == nil {
		s.part = map[string]float64{}
	}
	s.count++
	weight := max(originWeight, 1/float64(s.count))
	for name := range s.part {
		s.part[name] *= 1 - weight
	}
	s.part[origin] += weight
}

// Count takes a request of a route that began at a host of a service, and
// returns whether that service alone calls the route.
func (o *Origins) Count(route, origin string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.routes == nil {
		o.routes = map[string]*shares{}
	}
	s := o.routes[route]
	if s == nil {
		s = &shares{}
		o.routes[route] = s
	}
	s.add(origin)
	if s.count < originSamples || s.part[origin] < onlyShare {
		return false
	}
	for _, other := range o.routes {
		if other.spread() {
			return true
		}
	}
	return false
}

// spread reports whether requests begin at several services.
func (s *shares) spread() bool {
	if s.count < originSamples {
		return false
	}
	for _, part := range s.part {
		if part > spreadShare {
			return false
		}
	}
	return true
}
