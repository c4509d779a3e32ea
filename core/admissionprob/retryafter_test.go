package admissionprob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a retry-after time so long that the answer to the retry misses
// the target latency, and against all clients retrying at the same moment.
func TestRetryFitsTheTargetLatency(t *testing.T) {
	var tracker LatencyTracker
	for range 100 {
		tracker.OnAnswer("read", 400*time.Millisecond)
	}
	const target = 1500 * time.Millisecond
	first := tracker.RetryAfter("read", target, 0.3, 0)
	last := tracker.RetryAfter("read", target, 0.3, 0.999)
	assert.Greater(t, last-first, 300*time.Millisecond)
	assert.Less(t, last+400*time.Millisecond, target)
}

// Guards against retrying too soon where the answer would miss the target
// latency anyway.
func TestRetryThatMissesTheTargetComesLater(t *testing.T) {
	var tracker LatencyTracker
	tracker.OnAnswer("read", 400*time.Millisecond)
	early := tracker.RetryAfter("read", 450*time.Millisecond, 0.9, 0.5)
	late := tracker.RetryAfter("read", 450*time.Millisecond, 0.1, 0.5)
	assert.Greater(t, late, early)
	assert.GreaterOrEqual(t, early, lateBase)
}
