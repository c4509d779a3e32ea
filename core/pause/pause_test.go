package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pause that is missed, reported twice or reported where there
// was none: at the first tick, at slow ticks, and when the clock goes back.
func TestDetector(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var d Detector
	for i, step := range []struct{ at, want time.Duration }{
		{0, 0},
		{50 * time.Millisecond, 0},
		{50*time.Millisecond + Threshold, 0},
		{51*time.Millisecond + 2*Threshold, Threshold + time.Millisecond},
		{101*time.Millisecond + 2*Threshold, 0},
		{0, 0},
		{time.Hour, time.Hour},
		{2 * time.Hour, time.Hour},
	} {
		require.Equal(t, step.want, d.Tick(start.Add(step.at)), "tick %d", i)
	}
}
