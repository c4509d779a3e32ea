package http1

import (
	"sync"
	"time"
)

const (
	// leastForgotten is the shortest idle time that is blamed for the loss of a
	// connection at its next request.
	leastForgotten = 50 * time.Millisecond
	// boundLife is how long a server is expected to go on forgetting.
	boundLife = 10 * time.Second
)

// idleBounds learns which servers drop idle connections sooner than they state
// and without notice: what is sent next on such a connection is reset. It is
// safe for concurrent use.
type idleBounds struct {
	mu     sync.Mutex
	bounds map[string]idleBound // by address
}

type idleBound struct {
	longest time.Duration
	until   time.Time
}

// failed takes the idle time of a connection that was lost at its next request.
func (b *idleBounds) failed(now time.Time, address string, idle time.Duration) {
	if idle < leastForgotten {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bounds == nil {
		b.bounds = map[string]idleBound{}
	}
	longest := idle / 2
	if old, ok := b.bounds[address]; ok && now.Before(old.until) {
		longest = min(longest, old.longest)
	}
	b.bounds[address] = idleBound{longest: longest, until: now.Add(boundLife)}
}

// allows reports whether a connection with an idle time may be used again.
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
	return idle <= bound.longest
}
