package admissionprob

import (
	"sort"
	"sync"
	"time"
)

const (
	// receivedWeight is the weight of one received probability in the moving
	// average. Each upstream of a service advertises its own probability, nodes
	// receive it at different times, and a request may go to any of the
	// upstreams.
	receivedWeight = 0.35
	// fullWeightAge is the age up to which a probability applies in full.
	fullWeightAge = 900 * time.Millisecond
	// recoveryTime is the time after fullWeightAge in which a probability
	// returns to one.
	recoveryTime = 2 * time.Second
	// maxForwardAge is the age up to which a probability is forwarded to other
	// nodes.
	maxForwardAge = 700 * time.Millisecond
	// maxForwarded bounds the number of probabilities on one reply.
	maxForwarded = 24
)

// Received is the admission probability of a route, received from a service.
type Received struct {
	Service     string
	Route       string
	Probability float64
	Age         time.Duration
}

type key struct{ service, route string }

// entry is the averaged probability of one route at one service.
type entry struct {
	probability float64
	at          time.Time // when the service advertised it
}

// Table holds the probabilities that a node has received. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[key]*entry
	carry   map[string]float64 // per route, the fraction of a request left over for the next decision
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[key]*entry{}, carry: map[string]float64{}} }

// Update records a probability from a reply. Age is zero for one that the
// replying node advertises for its own local upstream.
func (t *Table) Update(now time.Time, r Received) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-r.Age)
	k := key{r.Service, r.Route}
	e := t.entries[k]
	switch {
	case e == nil && r.Probability >= 1:
	case e == nil:
		t.entries[k] = &entry{probability: 1 + receivedWeight*(r.Probability-1), at: at}
	case at.After(e.at):
		e.probability += receivedWeight * (r.Probability - e.probability)
		e.at = at
	}
}

// OnFailure records that a call of a route's tree was rejected or found no
// upstream: as long as this goes on, admitting more requests of the route is
// futile.
func (t *Table) OnFailure(now time.Time, service, route string) {
	t.Update(now, Received{Service: service, Route: route, Probability: MinProbability})
}

// OnSuccess records that a call of a route's tree was answered and that its
// service advertises no probability.
func (t *Table) OnSuccess(now time.Time, service, route string) {
	t.Update(now, Received{Service: service, Route: route, Probability: 1})
}

// Probability returns the admission probability of a route: the smallest of all
// services.
func (t *Table) Probability(now time.Time, route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	probability, _ := t.probability(now, route)
	return probability
}

// probability returns the smallest probability of a route and the service that
// advertises it.
func (t *Table) probability(now time.Time, route string) (probability float64, service string) {
	probability = 1
	for k, e := range t.entries {
		if k.route != route {
			continue
		}
		if v := e.current(now); v < probability {
			probability, service = v, k.service
		}
	}
	return probability, service
}

// current returns the probability, returning to one as it gets old.
func (e *entry) current(now time.Time) float64 {
	excess := now.Sub(e.at) - fullWeightAge
	if excess <= 0 {
		return e.probability
	}
	return min(1, e.probability+(1-e.probability)*excess.Seconds()/recoveryTime.Seconds())
}

// RemoteProbability returns the smallest probability of a route among the
// services other than the given one.
func (t *Table) RemoteProbability(now time.Time, service, route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	probability := 1.0
	for k, e := range t.entries {
		if k.route == route && k.service != service {
			probability = min(probability, e.current(now))
		}
	}
	return probability
}

// Decision is the root admission decision on one request, with its inputs.
type Decision struct {
	Probability float64
	Service     string // that advertises the probability; empty if none throttles the route
	Admitted    bool
}

// Admit decides whether a request of a route is admitted. Admissions are evenly
// spaced, so that the fraction admitted is close to the probability for any
// number of successive requests.
func (t *Table) Admit(now time.Time, route string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	probability, service := t.probability(now, route)
	if probability >= 1 {
		delete(t.carry, route)
		return Decision{Probability: 1, Admitted: true}
	}
	out := Decision{Probability: probability, Service: service}
	carry := t.carry[route] + probability
	if carry >= 1 {
		carry--
		out.Admitted = true
	}
	t.carry[route] = carry
	return out
}

// Snapshot returns the probabilities to forward to other nodes, the smallest
// first.
func (t *Table) Snapshot(now time.Time) []Received {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Received
	for k, e := range t.entries {
		age := now.Sub(e.at)
		if age > fullWeightAge+recoveryTime {
			delete(t.entries, k)
			continue
		}
		if age <= maxForwardAge {
			out = append(out, Received{Service: k.service, Route: k.route, Probability: e.probability, Age: age})
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
	return out[:min(len(out), maxForwarded)]
}
