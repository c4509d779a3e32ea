package admissionprob

import (
	"sync"
	"time"
)

const (
	// soonShare and soonSpan place the return of a refused request within the
	// time that its target latency leaves, spread over clients.
	soonShare = 0.2
	soonSpan  = 0.6
	// leastRoom is the time below which a return cannot meet the target.
	leastRoom = 60 * time.Millisecond
	// lateBase and lateSpread apply to those: the more is refused, the later
	// they come back, so that they meet the end of a short surge.
	lateBase   = 300 * time.Millisecond
	lateSpread = 1200 * time.Millisecond
	// usualMargin allows for answers that are slower than usual.
	usualMargin = 1.3
	// answerWeight is the weight of one answer in the usual time of a route.
	answerWeight = 0.05
)

// LatencyTracker follows the time of answers by route. It is safe for concurrent use.
type LatencyTracker struct {
	mu      sync.Mutex
	seconds map[string]float64
}

// OnAnswer takes the time of an answer.
func (u *LatencyTracker) OnAnswer(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seconds == nil {
		u.seconds = map[string]float64{}
	}
	mean, ok := u.seconds[route]
	if !ok {
		mean = took.Seconds()
	}
	u.seconds[route] = mean + answerWeight*(took.Seconds()-mean)
}

// RetryAfter advises when a client comes back whose request was refused for
// load. A client that comes back is treated like a new one, so waiting does not
// raise its chance while an overload lasts; an answer is worth most within the
// target latency, which counts from the first attempt. So the advice is the
// part of that time which an answer does not need. Random is in [0, 1).
func (u *LatencyTracker) RetryAfter(route string, target time.Duration, share, random float64) time.Duration {
	u.mu.Lock()
	usual := time.Duration(usualMargin * u.seconds[route] * float64(time.Second))
	u.mu.Unlock()
	if room := target - usual; room >= leastRoom {
		return time.Duration((soonShare + soonSpan*random) * float64(room))
	}
	late := lateBase + time.Duration((1-share)*float64(lateSpread))
	return time.Duration((0.6 + 0.8*random) * float64(late))
}
