package admissionprob

import (
	"sync"
	"time"
)

const (
	// retryOffset and retrySpan place the retry of a rejected request within
	// the slack, the time that its target latency leaves beyond the usual
	// latency of an answer. The span spreads the retries of different clients.
	retryOffset = 0.2
	retrySpan   = 0.6
	// minSlack is the slack below which a retry counts as unable to meet the
	// target latency.
	minSlack = 60 * time.Millisecond
	// lateBase and lateSpread apply to retries that cannot meet the target
	// latency: the lower the admission probability, the later they come, so
	// that they arrive at the end of a short surge.
	lateBase   = 300 * time.Millisecond
	lateSpread = 1200 * time.Millisecond
	// latencyMargin allows for answers that are slower than the mean.
	latencyMargin = 1.3
	// latencyWeight is the weight of one answer in the mean latency of a route.
	latencyWeight = 0.05
)

// LatencyTracker tracks the mean latency of answers by route. It is safe for
// concurrent use.
type LatencyTracker struct {
	mu    sync.Mutex
	means map[string]float64 // mean latency in seconds
}

// OnAnswer records the latency of an answer.
func (t *LatencyTracker) OnAnswer(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil {
		t.means = map[string]float64{}
	}
	mean, ok := t.means[route]
	if !ok {
		mean = took.Seconds()
	}
	t.means[route] = mean + latencyWeight*(took.Seconds()-mean)
}

// RetryAfter returns the time after which a client whose request was shed
// should retry. A retry is treated like a new request, so waiting does not
// raise its chance of admission while an overload lasts. An answer is worth
// most within the target latency, which counts from the first attempt. So the
// advised time is a part of the slack. Random is in [0, 1).
func (t *LatencyTracker) RetryAfter(route string, target time.Duration, probability, random float64) time.Duration {
	t.mu.Lock()
	latency := time.Duration(latencyMargin * t.means[route] * float64(time.Second))
	t.mu.Unlock()
	if slack := target - latency; slack >= minSlack {
		return time.Duration((retryOffset + retrySpan*random) * float64(slack))
	}
	late := lateBase + time.Duration((1-probability)*float64(lateSpread))
	return time.Duration((0.6 + 0.8*random) * float64(late))
}
