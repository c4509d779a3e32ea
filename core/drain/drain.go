// Package drain decides which requests a node that is about to stop still takes:
// those that end before it does. A request that is taken and cannot end is lost to
// its caller, and one that is refused has not run and can be sent again.
package drain

import (
	"sync"
	"time"
)

// headroom is the factor by which a request may take longer than the slowest recent
// one of its route.
const headroom = 1.5

// Plan is the course of a planned stop. The zero value is no stop.
type Plan struct {
	// Announced is the end of the period in which clients learn of the stop.
	Announced time.Time
	// End is the time at which connections are closed.
	End time.Time
}

// Work is a request that a stopping node may take.
type Work struct {
	// Deadline is when the request ends at the latest.
	Deadline time.Time
	// Longest is the time that the slowest recent request of the route took; zero
	// if it is not known.
	Longest time.Duration
	// Nested is set for work on which a request in progress depends: a call of the
	// local upstream. Its refusal fails that request.
	Nested bool
}

// Takes reports whether a request may be taken, or may still be passed on after it
// was taken. Until clients have learned of the stop, and for nested work also later,
// the slowest recent request is a sufficient bound; others must end by their deadline.
func (p Plan) Takes(now time.Time, w Work) bool {
	if p.End.IsZero() {
		return true
	}
	if !w.Deadline.After(p.End) {
		return true
	}
	return (w.Nested || now.Before(p.Announced)) && w.Longest > 0 && p.Slack(now, w) >= 0
}

// Slack is the time for which a request may wait before it runs and still end before
// the node does.
func (p Plan) Slack(now time.Time, w Work) time.Duration {
	return p.End.Sub(now) - time.Duration(headroom*float64(w.Longest))
}

// window is the time for which the duration of a request is kept; it is dropped
// between one and two windows later.
const window = 30 * time.Second

// Durations tracks the time that the slowest recent request of each route took. The
// zero value has seen none and is ready for use. It is safe for concurrent use.
type Durations struct {
	mu                sync.Mutex
	since             time.Time // start of the current window
	current, previous map[string]time.Duration
}

// Observe records a request that has ended.
func (d *Durations) Observe(now time.Time, route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	if d.current == nil {
		d.current = map[string]time.Duration{}
	}
	d.current[route] = max(d.current[route], took)
}

// Longest returns the time that the slowest recent request of a route took, or zero
// if there was none.
func (d *Durations) Longest(now time.Time, route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	return max(d.current[route], d.previous[route])
}

// rotate starts a new window if the current one has ended. d.mu must be held.
func (d *Durations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if age < window {
		return
	}
	d.previous = d.current
	if age >= 2*window {
		d.previous = nil
	}
	d.since, d.current = now, nil
}
