package gateway

import (
	"context"
	"time"

	"toucangw.example/core/concurrency"
	"toucangw.example/core/verdict"
)

// waiter receives the decision of the limiter on a request.
type waiter struct {
	decided chan *verdict.Refusal // nil: admitted
}

// withLimiter runs one operation of the limiter and delivers its decisions.
func (g *Gateway) withLimiter(step func(now time.Time) []concurrency.Decision) {
	g.limiterMu.Lock()
	defer g.limiterMu.Unlock()
	for _, d := range step(time.Now()) {
		w := g.waiters[d.Request]
		if w == nil {
			continue
		}
		delete(g.waiters, d.Request)
		w.decided <- d.Refusal
	}
	g.scheduleStart()
}

// minStartDelay bounds how often the limiter is asked for requests to start.
const minStartDelay = time.Millisecond

// scheduleStart sets the timer that starts the next waiting request if only the
// rate limit of the upstream holds it back. g.limiterMu must be held.
func (g *Gateway) scheduleStart() {
	delay, waiting := g.limiter.NextStart(time.Now())
	if !waiting {
		return
	}
	delay = max(delay, minStartDelay)
	if g.startTimer == nil {
		g.startTimer = time.AfterFunc(delay, func() { g.withLimiter(g.limiter.Expire) })
		return
	}
	g.startTimer.Reset(delay)
}

// acquire waits for a slot of the local upstream. It returns nil once the
// request has one.
func (g *Gateway) acquire(ctx context.Context, req *concurrency.Request) *verdict.Refusal {
	w := &waiter{decided: make(chan *verdict.Refusal, 1)}
	g.withLimiter(func(now time.Time) []concurrency.Decision {
		g.waiters[req] = w
		return g.limiter.Offer(now, req)
	})
	select {
	case refusal := <-w.decided:
		return refusal
	default:
	}
	longest := time.Until(req.Deadline)
	if req.MaxWait > 0 {
		longest = min(longest, req.MaxWait)
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	for {
		select {
		case refusal := <-w.decided:
			return refusal
		case <-timer.C:
			g.withLimiter(g.limiter.Expire)
			timer.Reset(time.Millisecond)
		case <-ctx.Done():
			return g.cancelQueued(req, w)
		}
	}
}

// cancelQueued removes a request from the queue because its sender has
// disconnected, or frees the slot that it was given meanwhile.
func (g *Gateway) cancelQueued(req *concurrency.Request, w *waiter) *verdict.Refusal {
	g.limiterMu.Lock()
	if g.limiter.Cancel(req) {
		delete(g.waiters, req)
	}
	g.limiterMu.Unlock()
	select {
	case refusal := <-w.decided:
		if refusal == nil {
			g.release(req, 0)
		}
	default:
	}
	return verdict.Refuse(verdict.Cancelled, "sender has left")
}

// release frees the slot of an admitted request.
func (g *Gateway) release(req *concurrency.Request, service time.Duration) {
	g.withLimiter(func(now time.Time) []concurrency.Decision { return g.limiter.Done(now, req, service) })
}

// load returns the current state of the limiter.
func (g *Gateway) load() concurrency.Load {
	g.limiterMu.Lock()
	defer g.limiterMu.Unlock()
	return g.limiter.Load(time.Now())
}
