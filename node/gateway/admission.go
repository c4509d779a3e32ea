package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/verdict"
)

// advertiseInterval is the least time between two replies with admission
// probabilities to one node. The probabilities take up most of a reply, and they
// are recomputed only half as often.
const advertiseInterval = 25 * time.Millisecond

// advertisements records when the admission probabilities were last sent to each
// node. It is safe for concurrent use.
type advertisements struct {
	mu       sync.Mutex
	lastSent map[string]time.Time
}

// due reports whether the probabilities are to be sent to a node now, and
// records that they are.
func (a *advertisements) due(now time.Time, node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastSent[node]) < advertiseInterval {
		return false
	}
	if a.lastSent == nil {
		a.lastSent = map[string]time.Time{}
	}
	a.lastSent[node] = now
	return true
}

// advertiseProbabilities adds the admission probabilities to a reply, unless
// they were sent to the same node less than advertiseInterval ago.
func (g *Gateway) advertiseProbabilities(f *forward, r *reply, capacity float64) {
	if g.advertisements.due(time.Now(), f.meta.Sender) {
		r.meta.Probabilities = g.advertisedProbabilities(capacity)
		return
	}
	r.meta.ProbabilitiesOmitted = true
}

// advertisedProbabilities returns the admission probabilities of the local
// upstream, which it also records, and those received from other services.
func (g *Gateway) advertisedProbabilities(capacity float64) []probabilityMeta {
	now := time.Now()
	var out []probabilityMeta
	remote := func(route string) float64 { return g.probabilities.RemoteProbability(now, g.cfg.Service, route) }
	for _, p := range g.demand.Probabilities(now, capacity, remote) {
		out = append(out, probabilityMeta{Service: g.cfg.Service, Route: p.Route, Probability: p.Probability})
		g.probabilities.Update(now, admissionprob.Received{Service: g.cfg.Service, Route: p.Route, Probability: p.Probability})
	}
	for _, p := range g.probabilities.Snapshot(now) {
		if p.Service != g.cfg.Service {
			out = append(out, probabilityMeta{Service: p.Service, Route: p.Route, Probability: p.Probability, AgeMS: max(p.Age.Milliseconds(), 1)})
		}
	}
	return out
}

// updateProbabilities records the admission probabilities received in a reply.
func (g *Gateway) updateProbabilities(received []probabilityMeta) {
	now := time.Now()
	for _, p := range received {
		g.probabilities.Update(now, admissionprob.Received{
			Service: p.Service, Route: p.Route, Probability: p.Probability, Age: time.Duration(p.AgeMS) * time.Millisecond,
		})
	}
}

// admitRoot decides on the root admission of a request. It returns nil if the
// request is admitted.
func (g *Gateway) admitRoot(q *request) *verdict.Refusal {
	decision := g.probabilities.Admit(time.Now(), q.route.Name)
	q.admissionProbability = decision.Probability
	if decision.Admitted {
		return nil
	}
	r := verdict.Refuse(verdict.Pressure, decision.Service+" has no room")
	r.RetryAfter = g.latencies.RetryAfter(q.route.Name, q.route.TargetLatency, decision.Probability, rand.Float64())
	return r
}

// updateAdmission records the result of a call for the root admission of further
// requests of its root route. Nothing is recorded for root requests, for calls
// that were cancelled, have expired or are quarantined, and for answers whose reply contained the
// probability or omitted all probabilities.
func (g *Gateway) updateAdmission(q *request, r *reply) {
	if q.parent == nil {
		return
	}
	now := time.Now()
	if r.answer != nil {
		if r.meta.ProbabilitiesOmitted {
			return
		}
		for _, p := range r.meta.Probabilities {
			if p.Service == q.service && p.Route == q.rootRoute {
				return // the probability was received with this reply
			}
		}
		g.probabilities.OnSuccess(now, q.service, q.rootRoute)
		return
	}
	switch r.meta.Reason {
	case verdict.Cancelled, verdict.DeadlinePassed, verdict.Quarantined:
	default:
		g.probabilities.OnFailure(now, q.service, q.rootRoute)
	}
}
