package tuning

import (
	"math"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a memory limit far below the 128 MB that a node may use: the
// garbage collector of a busy node near its limit takes the processor time that
// requests need.
func TestGatewayMemoryLimitLeavesRoom(t *testing.T) {
	for _, name := range []string{"GOGC", "GOMEMLIMIT", "GOMAXPROCS"} {
		t.Setenv(name, "")
	}
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(math.MaxInt64)
	procs := runtime.GOMAXPROCS(0)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
		runtime.GOMAXPROCS(procs)
	})
	Gateway()
	const perNode = 128 << 20
	set := debug.SetMemoryLimit(-1)
	assert.Less(t, set, int64(perNode))
	assert.Greater(t, set, int64(perNode)*3/4)
}
