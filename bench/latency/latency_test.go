package latency

import (
	"context"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards that the measurement works and that two nodes add no more than a coarse
// bound, which holds on a busy machine too. The target of 0.73 ms is checked by
// the full measurement.
func TestRun(t *testing.T) {
	calls := 400
	if n, err := strconv.Atoi(os.Getenv("LATENCY_CALLS")); err == nil {
		calls = n
	}
	r, err := Run(context.Background(), Config{
		Calls: calls, Workers: 4, Body: 1 << 10, LogDir: t.TempDir(), Pause: time.Millisecond,
	})
	require.NoError(t, err)
	t.Logf("%+v", *r)
	require.Equal(t, calls, r.Calls)
	require.Positive(t, r.AddedP50Ms)
	require.Less(t, r.AddedP50Ms, 20.0)
	require.Positive(t, r.DecisionLogBytes)
}
