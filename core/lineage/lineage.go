// Package lineage finds the parent of a call that an upstream makes while it
// runs a request. Calls carry no reference to their parent, but they expire
// with it: the deadline of a call equals that of one of the requests that run
// at the upstream beside the node, unless the call has a shorter time limit of
// its own. In that case the parent is guessed from the order of calls.
package lineage

import (
	"sync"
	"time"
)

const (
	// early and late bound the difference between the deadline of a call and
	// that of its parent. Deadlines travel in whole milliseconds, rounded down
	// twice, and a busy host reads a call late.
	early = 3 * time.Millisecond
	late  = 4 * time.Millisecond
	// succession is the time within which an upstream makes its next call
	// after the answer to the one before.
	succession = 8 * time.Millisecond
)

// Parent is a running request.
type Parent struct {
	Deadline time.Time
	// Priority of the request of a client at the root of the call tree.
	Priority int
	// Route at the root of the call tree.
	Route string
	// Own is the route of the request itself.
	Own string
	// Repeat is set for a run that is not the first of its request, and for
	// all calls below one.
	Repeat bool
	// Started is the probability with which requests of the root's route are
	// started.
	Started float64

	place   int // in the register; -1 once removed
	began   time.Time
	calls   int // made so far
	open    int // calls in progress
	lastEnd time.Time
}

// Register holds the requests that run at one upstream. It is safe for
// concurrent use.
type Register struct {
	mu      sync.Mutex
	running []*Parent
}

// Add registers a request when it is passed to the upstream.
func (r *Register) Add(now time.Time, p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.place, p.began = len(r.running), now
	r.running = append(r.running, p)
}

// Remove takes a request out when it has ended.
func (r *Register) Remove(p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.place < 0 || p.place >= len(r.running) || r.running[p.place] != p {
		return
	}
	last := r.running[len(r.running)-1]
	r.running[p.place] = last
	last.place = p.place
	p.place = -1
	r.running[len(r.running)-1] = nil
	r.running = r.running[:len(r.running)-1]
}

// Match returns the running request whose deadline is that of a call, or nil.
// Makes tells which routes make such calls.
func (r *Register) Match(deadline time.Time, makes func(own string) bool) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *Parent
	distance := early + late
	for _, p := range r.running {
		d := deadline.Sub(p.Deadline)
		if d >= -early && d <= late && d.Abs() < distance && makes(p.Own) {
			best, distance = p, d.Abs()
		}
	}
	return best
}

// Guess returns the running request that most likely makes a call whose own
// time limit hides its parent, or nil. Before is the parent of the previous
// call on the same connection, if any.
func (r *Register) Guess(now, deadline time.Time, before *Parent, makes func(own string) bool) *Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before != nil && before.place >= 0 && before.open == 0 && now.Sub(before.lastEnd) <= succession {
		return before
	}
	var next, first, any *Parent
	for _, p := range r.running {
		if p.Deadline.Before(deadline.Add(-early)) || !makes(p.Own) {
			continue // the call would have its limit, or another route
		}
		any = p
		if p.open > 0 {
			continue
		}
		switch {
		case p.calls == 0:
			if first == nil || p.began.Before(first.began) {
				first = p
			}
		case now.Sub(p.lastEnd) <= succession:
			if next == nil || p.lastEnd.After(next.lastEnd) {
				next = p
			}
		}
	}
	for _, p := range []*Parent{next, first} {
		if p != nil {
			return p
		}
	}
	return any
}

// Called counts a call of a request in progress; End ends it.
func (r *Register) Called(p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.calls++
	p.open++
}

// End reports that a call of a request was answered.
func (r *Register) End(now time.Time, p *Parent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.open--
	p.lastEnd = now
}

// Len returns the number of running requests.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}
