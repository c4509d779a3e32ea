package admissionprob

import (
	"sort"
	"sync"
	"time"
)

const (
	// blend is the weight of one statement. The upstreams of a service state
	// shares of their own, nodes hear of them at different times, and a request
	// may go to any of them.
	blend = 0.35
	// lifetime is the age up to which a share holds in full.
	lifetime = 900 * time.Millisecond
	// opening is the time after its lifetime in which a share grows to one.
	opening = 2 * time.Second
	// passOn is the age up to which a share is told to others.
	passOn = 700 * time.Millisecond
	// maxStated bounds the shares on one reply.
	maxStated = 24
)

// Received is the share of a route that a service states.
type Received struct {
	Service     string
	Route       string
	Probability float64
	Age         time.Duration
}

type key struct{ service, route string }

type entry struct {
	value float64
	at    time.Time // when the service stated it
}

// Table holds the shares that a node has heard of. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	entries map[key]*entry
	credit  map[string]float64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[key]*entry{}, credit: map[string]float64{}} }

// Update takes a share from a reply. Age is zero for one that the replying node
// states of its own upstream.
func (t *Table) Update(now time.Time, s Received) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-s.Age)
	k := key{s.Service, s.Route}
	e := t.entries[k]
	switch {
	case e == nil && s.Probability >= 1:
	case e == nil:
		t.entries[k] = &entry{value: 1 + blend*(s.Probability-1), at: at}
	case at.After(e.at):
		e.value += blend * (s.Probability - e.value)
		e.at = at
	}
}

// OnFailure notes that a call of a route's tree was refused or found no upstream:
// starting more of it is in vain as long as this goes on.
func (t *Table) OnFailure(now time.Time, service, route string) {
	t.Update(now, Received{Service: service, Route: route, Probability: MinProbability})
}

// OnSuccess notes that a call of a route's tree was answered, and that its
// service states no share.
func (t *Table) OnSuccess(now time.Time, service, route string) {
	t.Update(now, Received{Service: service, Route: route, Probability: 1})
}

// Probability returns the part of a route's requests to start.
func (t *Table) Probability(now time.Time, route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, _ := t.share(now, route)
	return share
}

// share returns the smallest share of a route and the service that states it.
func (t *Table) share(now time.Time, route string) (share float64, service string) {
	share = 1
	for k, e := range t.entries {
		if k.route != route {
			continue
		}
		if v := e.aged(now); v < share {
			share, service = v, k.service
		}
	}
	return share, service
}

func (e *entry) aged(now time.Time) float64 {
	late := now.Sub(e.at) - lifetime
	if late <= 0 {
		return e.value
	}
	return min(1, e.value+(1-e.value)*late.Seconds()/opening.Seconds())
}

// RemoteProbability returns the share of a route that services other than one state.
func (t *Table) RemoteProbability(now time.Time, service, route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := 1.0
	for k, e := range t.entries {
		if k.route == route && k.service != service {
			share = min(share, e.aged(now))
		}
	}
	return share
}

// Decision is the decision on one request and its inputs.
type Decision struct {
	Probability float64
	Service     string // that states the share; empty if none restricts the route
	Admitted    bool
}

// Admit decides whether a request of a route is started. Requests are dealt
// evenly: of any run of requests, the share is started.
func (t *Table) Admit(now time.Time, route string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	share, service := t.share(now, route)
	if share >= 1 {
		delete(t.credit, route)
		return Decision{Probability: 1, Admitted: true}
	}
	out := Decision{Probability: share, Service: service}
	credit := t.credit[route] + share
	if credit >= 1 {
		credit--
		out.Admitted = true
	}
	t.credit[route] = credit
	return out
}

// Snapshot returns the shares to pass on, the smallest first.
func (t *Table) Snapshot(now time.Time) []Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Received
	for k, e := range t.entries {
		age := now.Sub(e.at)
		if age > lifetime+opening {
			delete(t.entries, k)
			continue
		}
		if age <= passOn {
			out = append(out, Received{Service: k.service, Route: k.route, Probability: e.value, Age: age})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Probability != out[j].Probability {
			return out[i].Probability < out[j].Probability
		}
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Route < out[j].Route
	})
	return out[:min(len(out), maxStated)]
}
