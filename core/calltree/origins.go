package calltree

import "sync"

const (
	// originWeight is the weight of one request in the shares of origins.
	originWeight = 1.0 / 64
	// minOriginSamples is the number of requests of a route before its origins
	// are used.
	minOriginSamples = 64
	// singleOriginShare is the share of one service from which all requests of
	// a route count as entering at that service.
	singleOriginShare = 0.97
	// maxOriginShare is the highest share of one service at which the requests
	// of a route count as entering at several services.
	maxOriginShare = 0.8
)

// Origins learns at which services the requests that reach one upstream enter.
// Clients enter at the hosts of all services, while the calls of an upstream
// enter at the node in front of it. Where the requests of one route enter at
// several services and those of another at one only, that service calls the
// other route. The zero value has learned nothing and is ready for use. It is
// safe for concurrent use.
type Origins struct {
	mu     sync.Mutex
	routes map[string]*originShares
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

// Count counts a request of a route that entered at a host of the service
// origin, and returns whether that service alone calls the route. It returns
// false until enough requests were counted, and while no other route has requests
// that enter at several services.
func (o *Origins) Count(route, origin string) bool {
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
	if s.count < minOriginSamples || s.byOrigin[origin] < singleOriginShare {
		return false
	}
	for _, other := range o.routes {
		if other.severalOrigins() {
			return true
		}
	}
	return false
}

// severalOrigins reports whether requests enter at several services.
func (s *originShares) severalOrigins() bool {
	if s.count < minOriginSamples {
		return false
	}
	for _, share := range s.byOrigin {
		if share > maxOriginShare {
			return false
		}
	}
	return true
}
