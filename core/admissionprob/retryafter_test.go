package admissionprob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against clients being sent away for so long that the answer on their
// return is late, and against all coming back at the same moment.
func TestReturnFitsTheTargetLatency(t *testing.T) {
	var u LatencyTracker
	for range 100 {
		u.OnAnswer("read", 400*time.Millisecond)
	}
	const target = 1500 * time.Millisecond
	first := u.RetryAfter("read", target, 0.3, 0)
	last := u.RetryAfter("read", target, 0.3, 0.999)
	assert.Greater(t, last-first, 300*time.Millisecond)
	assert.Less(t, last+400*time.Millisecond, target)
}

// Guards against a hasty return of requests whose answer would be late anyway.
func TestReturnThatMissesTheTargetComesLater(t *testing.T) {
	var u LatencyTracker
	u.OnAnswer("read", 400*time.Millisecond)
	soon := u.RetryAfter("read", 450*time.Millisecond, 0.9, 0.5)
	later := u.RetryAfter("read", 450*time.Millisecond, 0.1, 0.5)
	assert.Greater(t, later, soon)
	assert.GreaterOrEqual(t, soon, lateBase)
}
