// Package retrybudget bounds the retries that one node sends to a service, so
// that the sum over all nodes stays within a bound without any shared counter:
// each node allows a fraction of the requests that it has counted itself, and
// its part of the fixed minimum Config.MinRetries.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// buckets is the number of parts into which the window is divided.
	buckets = 20
	// spendableShare is the part of the budget that is spent on retries. The
	// rest covers the calls made by requests that were themselves retries,
	// which count as retries as well.
	spendableShare = 0.45
)

// Config is the bound that holds over all nodes.
type Config struct {
	Ratio      float64       // retries per request
	Window     time.Duration // length of any window in which the bound holds
	MinRetries float64       // retries per window allowed in addition to Ratio
}

// Limiter counts the requests and retries of one node per service. It is safe
// for concurrent use.
type Limiter struct {
	config Config

	mu       sync.Mutex
	services map[string]*window
}

// New returns a limiter that has counted nothing.
func New(config Config) *Limiter {
	return &Limiter{config: config, services: map[string]*window{}}
}

// OnRequest counts a request for a service.
func (l *Limiter) OnRequest(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(service)
	w.advance(now, l.config.Window)
	w.requests[w.current]++
}

// Allow decides on one retry to a service and counts it if it is allowed. Nodes
// is the number of nodes among which MinRetries is divided.
func (l *Limiter) Allow(now time.Time, service string, nodes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(service)
	w.advance(now, l.config.Window)
	minRetries := l.config.MinRetries / float64(max(nodes, 1))
	if float64(sum(&w.retries)+1) > spendableShare*(l.config.Ratio*float64(sum(&w.requests))+minRetries) {
		return false
	}
	w.retries[w.current]++
	return true
}

// OnUnplannedRetry counts a retry for which Allow was not called, such as a
// call made by a request that was itself a retry.
func (l *Limiter) OnUnplannedRetry(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.window(service)
	w.advance(now, l.config.Window)
	w.retries[w.current]++
}

func (l *Limiter) window(service string) *window {
	w := l.services[service]
	if w == nil {
		w = &window{}
		l.services[service] = w
	}
	return w
}

// window counts over a sliding window in buckets.
type window struct {
	bucketStart time.Time // start of the current bucket
	current     int       // index of the current bucket
	requests    [buckets]int
	retries     [buckets]int
}

func (w *window) advance(now time.Time, length time.Duration) {
	span := length / buckets
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > 2*length {
		*w = window{bucketStart: now}
		return
	}
	for now.Sub(w.bucketStart) >= span {
		w.bucketStart = w.bucketStart.Add(span)
		w.current = (w.current + 1) % buckets
		w.requests[w.current] = 0
		w.retries[w.current] = 0
	}
}

func sum(counts *[buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
