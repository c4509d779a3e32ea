package gateway

import (
	"context"
	"time"

	"toucangw.example/core/concurrency"
	"toucangw.example/core/verdict"
)

// ticket waits for the decision on an entry of the gate.
type ticket struct {
	decided chan *verdict.Refusal // nil: admitted
}

// withGate runs a step of the gate and delivers its decisions.
func (g *Gateway) withGate(step func(now time.Time) []concurrency.Decision) {
	g.gateMu.Lock()
	defer g.gateMu.Unlock()
	for _, d := range step(time.Now()) {
		t := g.tickets[d.Request]
		if t == nil {
			continue
		}
		delete(g.tickets, d.Request)
		t.decided <- d.Refusal
	}
}

// acquire waits for a slot of the local upstream.
func (g *Gateway) acquire(ctx context.Context, e *concurrency.Request) *verdict.Refusal {
	t := &ticket{decided: make(chan *verdict.Refusal, 1)}
	g.withGate(func(now time.Time) []concurrency.Decision {
		g.tickets[e] = t
		return g.gate.Offer(now, e)
	})
	select {
	case refusal := <-t.decided:
		return refusal
	default:
	}
	longest := time.Until(e.Deadline)
	if e.MaxWait > 0 {
		longest = min(longest, e.MaxWait)
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for {
		select {
		case refusal := <-t.decided:
			return refusal
		case <-timer.C:
			g.withGate(g.gate.Expire)
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			return g.cancelled(e, t)
		}
	}
}

// cancelled takes an entry back whose sender has left.
func (g *Gateway) cancelled(e *concurrency.Request, t *ticket) *verdict.Refusal {
	g.gateMu.Lock()
	if g.gate.Cancel(e) {
		delete(g.tickets, e)
	}
	g.gateMu.Unlock()
	select {
	case refusal := <-t.decided:
		if refusal == nil {
			g.release(e, 0)
		}
	default:
	}
	return verdict.Refuse(verdict.Cancelled, "sender has left")
}

// release frees the slot of an admitted entry.
func (g *Gateway) release(e *concurrency.Request, service time.Duration) {
	g.withGate(func(now time.Time) []concurrency.Decision { return g.gate.Done(now, e, service) })
}

func (g *Gateway) load() concurrency.Load {
	g.gateMu.Lock()
	defer g.gateMu.Unlock()
	return g.gate.Load()
}
