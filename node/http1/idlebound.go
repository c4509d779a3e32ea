package http1

import (
	"sync"
	"time"
)

const (
	// minLossIdle is the shortest idle time for which the loss of a connection
	// at its next request sets a bound. A loss after a shorter idle time is not
	// attributed to the idle time.
	minLossIdle = 50 * time.Millisecond
	// boundTTL is how long a learned bound applies.
	boundTTL = 10 * time.Second
)

// idleBounds learns which servers discard idle connections sooner than they
// announce and without closing them: the next request on such a connection is
// reset. It is safe for concurrent use.
type idleBounds struct {
	mu     sync.Mutex
	bounds map[string]idleBound // by address
}

type idleBound struct {
	maxIdle time.Duration
	until   time.Time
}

// recordLoss records that a connection was lost at its first request after the
// given idle time. Connections to the address may then be idle for half that
// time.
func (b *idleBounds) recordLoss(now time.Time, address string, idle time.Duration) {
	if idle < minLossIdle {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounds == nil {
		b.bounds = map[string]idleBound{}
	}
	maxIdle := idle / 2
	if old, ok := b.bounds[address]; ok && now.Before(old.until) {
		maxIdle = min(maxIdle, old.maxIdle)
	}
	b.bounds[address] = idleBound{maxIdle: maxIdle, until: now.Add(boundTTL)}
}

// allows reports whether a connection that has been idle for the given time may
// be reused.
func (b *idleBounds) allows(now time.Time, address string, idle time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound, ok := b.bounds[address]
	if !ok {
		return true
	}
	if !now.Before(bound.until) {
		delete(b.bounds, address)
		return true
	}
	return idle <= bound.maxIdle
}
