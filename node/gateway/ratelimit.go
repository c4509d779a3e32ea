package gateway

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/concurrency"
)

// applyRateLimit limits the rate of requests to the local upstream to what it has
// announced last.
func (g *Gateway) applyRateLimit() {
	g.withLimiter(func(now time.Time) []concurrency.Decision {
		limit := g.announced.limit()
		g.cfg.Metrics.rateLimit.Set(limit.PerSecond)
		if limit.Active {
			return g.limiter.SetRate(now, limit.PerSecond)
		}
		return g.limiter.ClearRate(now)
	})
}

// limitedTraffic logs, once a second, how many requests the local upstream gets
// while it announces a rate limit, and from how many hosts. It is safe for
// concurrent use.
type limitedTraffic struct {
	logger *slog.Logger

	mu       sync.Mutex
	second   int64
	requests int
	bySender map[string]int
}

// onRequest counts a request that is sent to the local upstream.
func (t *limitedTraffic) onRequest(now time.Time, sender string, limit advisory.Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if second := now.Unix(); second != t.second {
		t.log()
		t.second, t.requests, t.bySender = second, 0, nil
	}
	if !limit.Active {
		return
	}
	if t.bySender == nil {
		t.bySender = map[string]int{}
	}
	t.requests++
	t.bySender[sender]++
}

// log writes the counts of the last second with requests. t.mu must be held.
func (t *limitedTraffic) log() {
	if t.requests == 0 {
		return
	}
	largest := 0
	for _, n := range t.bySender {
		largest = max(largest, n)
	}
	t.logger.Info("requests to an upstream with a rate limit", "second", t.second, "requests", t.requests,
		"senders", len(t.bySender), "most_from_one", largest)
}

// rateShortage tells whether the rate limit of the local upstream leaves requests
// without an upstream. As long as their senders find others, the limit is no reason
// to admit fewer requests of clients. It is safe for concurrent use.
type rateShortage struct{ lastUnmovable atomic.Int64 }

// shortagePeriod is how long the rate limit bounds the capacity after a request
// that could run nowhere else.
const shortagePeriod = time.Second

// onArrival records a request that can run at no other upstream.
func (s *rateShortage) onArrival(now time.Time) { s.lastUnmovable.Store(now.UnixNano()) }

// usableCapacity returns the capacity to which the demand is compared.
func (s *rateShortage) usableCapacity(now time.Time, load concurrency.Load) float64 {
	if now.UnixNano()-s.lastUnmovable.Load() < int64(shortagePeriod) {
		return load.Capacity
	}
	return float64(load.Limit)
}
