package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startTimes offers a request every interval for a time, and returns when each
// request that started did so.
func startTimes(l *Limiter, interval, length time.Duration) []time.Time {
	var starts []time.Time
	running := []*Request{}
	for now := testNow; now.Before(testNow.Add(length)); now = now.Add(interval) {
		var decisions []Decision
		for _, req := range running {
			decisions = append(decisions, l.Done(now, req, 10*time.Millisecond)...)
		}
		running = nil
		decisions = append(decisions, l.Offer(now, &Request{Deadline: now.Add(time.Second)})...)
		for _, d := range append(decisions, l.Expire(now)...) {
			if d.Refusal == nil {
				starts = append(starts, now)
				running = append(running, d.Request)
			}
		}
	}
	return starts
}

// Guards against more starts than a rate limit allows in any window, and against a limit that is not used.
func TestRateLimitHoldsInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0, 1.5, 10, 60} {
		l := New(8)
		l.SetRate(testNow, rate)
		starts := startTimes(l, 5*time.Millisecond, 12*time.Second)
		most := 0
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < window {
					n++
				}
			}
			most = max(most, n)
		}
		assert.LessOrEqual(t, float64(most), 1.5*window.Seconds()*rate+5, "rate %v", rate)
		assert.GreaterOrEqual(t, float64(len(starts)), 0.9*12*rate, "rate %v", rate)
		assert.NotEmpty(t, starts, "only an answer tells that a limit has ended")
	}
}

// Guards against requests that wait for a rate limit until they cannot run elsewhere, and against important ones behind them.
func TestRequestsBeyondTheRateLimitAreRejectedEarly(t *testing.T) {
	l := New(8)
	l.SetRate(testNow, 10)
	require.Nil(t, l.Offer(testNow, testRequest(1))[0].Refusal)
	second, third := testRequest(2), testRequest(2)
	require.Empty(t, l.Offer(testNow, second), "it may start in 100 ms")
	require.Empty(t, l.Offer(testNow, third), "it may start in 200 ms")
	d := l.Offer(testNow, testRequest(2))
	require.Len(t, d, 1)
	require.NotNil(t, d[0].Refusal, "300 ms are more than a quarter of its time")
	assert.Positive(t, d[0].Refusal.RetryAfter)
	important := testRequest(0)
	d = l.Offer(testNow, important)
	require.Len(t, d, 1)
	assert.Same(t, third, d[0].Request, "the last one makes room")
	delay, waiting := l.NextStart(testNow)
	assert.True(t, waiting)
	started := l.Expire(testNow.Add(delay))
	require.Len(t, started, 1)
	assert.Same(t, important, started[0].Request)
}

// Guards against requests that still wait once a rate limit has ended.
func TestRateLimitEnds(t *testing.T) {
	l := New(8)
	l.SetRate(testNow, 1)
	l.Offer(testNow, testRequest(1))
	waiting := &Request{Deadline: testNow.Add(10 * time.Second)}
	require.Empty(t, l.Offer(testNow, waiting))
	assert.Less(t, l.Load(testNow).Capacity, 1.0)
	d := l.ClearRate(testNow)
	require.Len(t, d, 1)
	assert.Same(t, waiting, d[0].Request)
	assert.Equal(t, 8.0, l.Load(testNow).Capacity)
}
