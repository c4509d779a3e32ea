// Package retrybudget bounds the repeats that one node sends to a service, so
// that the sum over all nodes stays within the fleet's allowance without any
// shared count: each node spends a share of the requests that it has seen
// itself, and its part of the fixed slack.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// buckets is the number of parts into which the window is divided.
	buckets = 20
	// safety is the part of the allowance that is spent. The rest covers the
	// calls made by runs that were repeats, which count as repeats as well.
	safety = 0.45
)

// Config is the bound that holds over all nodes.
type Config struct {
	Ratio      float64       // repeats per request
	Window     time.Duration // length of any window in which the bound holds
	MinRetries float64       // repeats per window that are free
}

// Limiter counts the requests and repeats of one node per service. It is safe
// for concurrent use.
type Limiter struct {
	allowance Config

	mu       sync.Mutex
	services map[string]*window
}

// New returns a budget.
func New(a Config) *Limiter {
	return &Limiter{allowance: a, services: map[string]*window{}}
}

// OnRequest counts a request for a service.
func (b *Limiter) OnRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.allowance.Window)
	w.requests[w.at]++
}

// Allow asks for one repeat to a service and counts it if it is allowed.
// Nodes is the number of nodes among which the slack is divided.
func (b *Limiter) Allow(now time.Time, service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.allowance.Window)
	slack := b.allowance.MinRetries / float64(max(nodes, 1))
	if float64(sum(&w.repeats)+1) > safety*(b.allowance.Ratio*float64(sum(&w.requests))+slack) {
		return false
	}
	w.repeats[w.at]++
	return true
}

// OnUnplannedRetry counts a repeat that was not asked for, such as a call made by a run
// that was itself a repeat.
func (b *Limiter) OnUnplannedRetry(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.advance(now, b.allowance.Window)
	w.repeats[w.at]++
}

func (b *Limiter) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// window counts over a sliding span in buckets.
type window struct {
	started  time.Time // of the current bucket
	at       int
	requests [buckets]int
	repeats  [buckets]int
}

func (w *window) advance(now time.Time, length time.Duration) {
	span := length / buckets
	if w.started.IsZero() || now.Sub(w.started) > 2*length {
		*w = window{started: now}
		return
	}
	for now.Sub(w.started) >= span {
		w.started = w.started.Add(span)
		w.at = (w.at + 1) % buckets
		w.requests[w.at] = 0
		w.repeats[w.at] = 0
	}
}

func sum(counts *[buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
