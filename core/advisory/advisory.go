// Package advisory keeps what upstreams announce about themselves in their answers:
// the rate at which they take requests, and that they are about to leave.
package advisory

import (
	"sync"
	"time"
)

// Limit is the rate at which an upstream takes requests from all hosts together.
// The zero value is no limit.
type Limit struct {
	Active    bool
	PerSecond float64
}

// Announcement is what one answer of an upstream says about it.
type Announcement struct {
	// Limit is nil if the answer says nothing about a limit, as an answer with a
	// malformed value does.
	Limit   *Limit
	Leaving bool
}

// Instance identifies one incarnation of an upstream.
type Instance struct {
	ID        string
	StartedAt int64 // Unix milliseconds
}

// State is what an instance has announced.
type State struct {
	Limit Limit
	// LimitAt is the time of the last answer that told about the limit; zero if
	// none did.
	LimitAt time.Time
	// Leaving is set for good: an upstream that has announced that it leaves does
	// not come back as the same instance.
	Leaving bool
}

// With returns the state after an announcement.
func (s State) With(now time.Time, a Announcement) State {
	if a.Limit != nil {
		s.Limit, s.LimitAt = *a.Limit, now
	}
	s.Leaving = s.Leaving || a.Leaving
	return s
}

// retention is how long an instance is kept after its last announcement. It
// exceeds the time for which an upstream that leaves still answers or may be
// listed.
const retention = 10 * time.Minute

// Table holds the announcements of upstreams. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	instances map[Instance]*record
	sweptAt   time.Time
}

type record struct {
	state   State
	heardAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{instances: map[Instance]*record{}} }

// State returns what an instance has announced.
func (t *Table) State(i Instance) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if r := t.instances[i]; r != nil {
		return r.state
	}
	return State{}
}

// Record adds an announcement of an instance. It returns the states before and
// after it.
func (t *Table) Record(now time.Time, i Instance, a Announcement) (before, after State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	r := t.instances[i]
	if r == nil {
		r = &record{}
		t.instances[i] = r
	}
	before = r.state
	r.heardAt = now
	r.state = before.With(now, a)
	return before, r.state
}

// sweep drops instances that have announced nothing for the retention.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < retention/10 {
		return
	}
	t.sweptAt = now
	for i, r := range t.instances {
		if now.Sub(r.heardAt) > retention {
			delete(t.instances, i)
		}
	}
}
