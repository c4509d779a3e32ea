// Package dedup records, at the node in front of an upstream, the outcome of
// at-most-once requests. A node that lost its connection after it had sent such
// a request queries the outcome by the idempotency key of the request: a request
// that has not started is fenced and never runs, a running one is waited for,
// and a finished one is answered again.
//
// It serves gateway mode, in which the sending node generates a new key for each
// attempt. In engine mode, the node in front of the upstream issues the keys, and
// a retry after an indeterminate outcome uses the same key; see package
// idempotency.
package dedup

import (
	"slices"
	"sync"
	"time"
)

// State is the state of a key.
type State uint8

// States of a key.
const (
	// Unseen keys were fenced by a query before their request arrived: this
	// process never ran it and never will. An earlier process on the host may
	// have; NeverRun decides.
	Unseen State = iota
	// Fenced requests arrived at this process, have not run and never will.
	Fenced
	Queued
	Running
	Done
	// Dropped requests have run; their answer is not kept any more.
	Dropped
	// Unknown keys could not be fenced, since too many are stored: their requests
	// may still run.
	Unknown
)

const (
	// retention is how long a key is kept after its last change. It exceeds any
	// time for which a request can be in transit between two nodes that wait
	// for each other.
	retention = 30 * time.Second
	// maxKeys is the number of keys from which on Begin refuses new ones, to
	// bound the memory. QueryOrFence adds the keys that it fences up to maxFenced.
	maxKeys   = 50_000
	maxFenced = 2 * maxKeys
	// clockMargin allows for the clocks of two hosts running at different rates
	// when the age of a request is compared with the uptime of a process.
	clockMargin = 250 * time.Millisecond
)

// NeverRun reports whether a request whose key is Unseen has never run anywhere.
// Uptime is that of the process that returned Unseen; sinceSent is the time since
// the request was sent, read by its sender after the reply was received, so that
// a delay of the query or of the reply cannot make it too small. The process must
// have started before the request was sent, and must not have dropped the key.
func NeverRun(uptime, sinceSent time.Duration) bool {
	return sinceSent+clockMargin <= min(uptime, retention)
}

// Ledger maps keys to answers of type A. It is safe for concurrent use.
type Ledger[A any] struct {
	size     func(A) int // of an answer, bytes; one of size zero is never dropped
	maxBytes int

	mu      sync.Mutex
	keys    map[string]*record[A]
	bytes   int      // of the answers that are kept
	done    []string // keys in the order in which they were finished
	sweptAt time.Time
}

type record[A any] struct {
	state     State
	answer    A
	size      int // of answer, bytes
	changedAt time.Time
	waiters   []func(A)
}

// New returns an empty ledger that keeps answers of up to maxBytes together.
func New[A any](size func(A) int, maxBytes int) *Ledger[A] {
	return &Ledger[A]{size: size, maxBytes: maxBytes, keys: map[string]*record[A]{}}
}

// Begin registers a key as queued. It reports false, and the request must not
// run, if the key is known, which includes fenced keys, or if maxKeys keys are stored.
func (l *Ledger[A]) Begin(now time.Time, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if r := l.keys[key]; r != nil {
		if r.state == Unseen {
			r.state = Fenced // the request was sent to this process, not to an earlier one
		}
		return false
	}
	if len(l.keys) >= maxKeys {
		return false
	}
	l.keys[key] = &record[A]{state: Queued, changedAt: now}
	return true
}

// MarkRunning marks a queued key as running. It reports false, and the request
// must not run, if the key has been fenced.
func (l *Ledger[A]) MarkRunning(now time.Time, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.keys[key]
	if r == nil || r.state != Queued {
		return false
	}
	r.state, r.changedAt = Running, now
	return true
}

// Finish stores the answer of a key and delivers it to the queries that wait
// for it. The answers that were finished first are dropped if all of them are too
// large together.
func (l *Ledger[A]) Finish(now time.Time, key string, answer A) {
	l.mu.Lock()
	r := l.keys[key]
	if r == nil {
		l.mu.Unlock()
		return
	}
	waiters := r.waiters
	r.state, r.answer, r.changedAt, r.waiters = Done, answer, now, nil
	r.size = l.size(answer)
	l.bytes += r.size
	l.done = append(l.done, key)
	for l.bytes > l.maxBytes {
		l.dropOldest()
	}
	l.mu.Unlock()
	for _, f := range waiters {
		f(answer)
	}
}

// dropOldest drops the answer that was finished first. l.mu must be held.
func (l *Ledger[A]) dropOldest() {
	r := l.keys[l.done[0]]
	l.done = l.done[1:]
	if r == nil || r.state != Done || r.size == 0 {
		return
	}
	var none A
	l.bytes -= r.size
	r.state, r.answer, r.size = Dropped, none, 0
}

// Reject fences a queued key whose request was rejected before it ran.
func (l *Ledger[A]) Reject(now time.Time, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.keys[key]; r != nil && r.state == Queued {
		r.state, r.changedAt = Fenced, now
	}
}

// QueryOrFence returns the state of a key after fencing it if it has not
// started. For a running key, deliver is called once with the answer; for a
// finished one, it is called before QueryOrFence returns.
func (l *Ledger[A]) QueryOrFence(now time.Time, key string, deliver func(A)) State {
	l.mu.Lock()
	l.sweep(now)
	r := l.keys[key]
	if r == nil && len(l.keys) >= maxFenced {
		l.mu.Unlock()
		return Unknown
	}
	if r == nil {
		l.keys[key] = &record[A]{state: Unseen, changedAt: now}
		l.mu.Unlock()
		return Unseen
	}
	r.changedAt = now
	switch r.state {
	case Queued:
		r.state = Fenced
	case Running:
		r.waiters = append(r.waiters, deliver)
	case Done:
		answer := r.answer
		l.mu.Unlock()
		deliver(answer)
		return Done
	}
	state := r.state
	l.mu.Unlock()
	return state
}

// sweep drops old keys, at most once a second.
func (l *Ledger[A]) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for key, r := range l.keys {
		if r.state != Running && r.state != Queued && now.Sub(r.changedAt) > retention {
			l.bytes -= r.size
			delete(l.keys, key)
		}
	}
	l.done = slices.DeleteFunc(l.done, func(key string) bool { return l.keys[key] == nil })
}
