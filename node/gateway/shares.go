package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/verdict"
)

// statementPause is the least time between two statements of shares to one
// node. They are computed anew twice as rarely, and take most of a reply.
const statementPause = 25 * time.Millisecond

// statements remembers when each node was told the shares. It is safe for
// concurrent use.
type statements struct {
	mu   sync.Mutex
	told map[string]time.Time
}

// due reports whether a node is to be told the shares now.
func (s *statements) due(now time.Time, node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.told[node]) < statementPause {
		return false
	}
	if s.told == nil {
		s.told = map[string]time.Time{}
	}
	s.told[node] = now
	return true
}

// tellShares adds the shares to a reply, unless the node that asked has been
// told them a moment ago.
func (g *Gateway) tellShares(f *forward, r *reply, limit int) {
	if g.statements.due(time.Now(), f.meta.Sender) {
		r.meta.Shares = g.stateShares(limit)
		return
	}
	r.meta.Told = true
}

// stateShares returns the shares of the local upstream and those heard of
// other services.
func (g *Gateway) stateShares(limit int) []shareMeta {
	now := time.Now()
	var out []shareMeta
	elsewhere := func(route string) float64 { return g.shares.RemoteProbability(now, g.cfg.Service, route) }
	for _, s := range g.demand.Probabilities(now, limit, elsewhere) {
		out = append(out, shareMeta{Service: g.cfg.Service, Route: s.Route, Value: s.Probability})
		g.shares.Update(now, admissionprob.Received{Service: g.cfg.Service, Route: s.Route, Probability: s.Probability})
	}
	for _, s := range g.shares.Snapshot(now) {
		if s.Service != g.cfg.Service {
			out = append(out, shareMeta{Service: s.Service, Route: s.Route, Value: s.Probability, AgeMS: max(s.Age.Milliseconds(), 1)})
		}
	}
	return out
}

// hearShares takes the shares on a reply.
func (g *Gateway) hearShares(shares []shareMeta) {
	now := time.Now()
	for _, s := range shares {
		g.shares.Update(now, admissionprob.Received{
			Service: s.Service, Route: s.Route, Probability: s.Value, Age: time.Duration(s.AgeMS) * time.Millisecond,
		})
	}
}

// start decides whether a request of a client is started.
func (g *Gateway) start(q *request) *verdict.Refusal {
	decision := g.shares.Admit(time.Now(), q.route.Name)
	q.started = decision.Probability
	if decision.Admitted {
		return nil
	}
	r := verdict.Refuse(verdict.Pressure, decision.Service+" has no room")
	r.RetryAfter = g.usual.RetryAfter(q.route.Name, q.route.TargetLatency, decision.Probability, rand.Float64())
	return r
}

// learnCall notes whether a call could be served, for the start of further
// requests of its root's route.
func (g *Gateway) learnCall(q *request, r *reply) {
	if q.parent == nil {
		return
	}
	now := time.Now()
	if r.answer != nil {
		if r.meta.Told {
			return
		}
		for _, s := range r.meta.Shares {
			if s.Service == q.service && s.Route == q.root {
				return // heard already
			}
		}
		g.shares.OnSuccess(now, q.service, q.root)
		return
	}
	switch r.meta.Reason {
	case verdict.Cancelled, verdict.DeadlinePassed:
	default:
		g.shares.OnFailure(now, q.service, q.root)
	}
}
