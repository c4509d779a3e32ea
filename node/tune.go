package node

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// gcPercent lets the heap of a node, a few megabytes when idle, grow to
	// five times its live size. With the default of 100 the collector runs many
	// times a second under load, which shows in the latency of the slowest
	// calls.
	gcPercent = 400

	// memoryLimit makes the collector run earlier where five times the live
	// heap would exceed the 128 MB of a node: at 21,000 hosts the live heap is
	// above 25 MB.
	memoryLimit = 112 << 20

	// maxProcs is enough for several thousand calls a second. With more, the
	// hand-overs between goroutines of one call wake other cores, which costs
	// more than it gains, and the node shares its host with an upstream.
	maxProcs = 4
)

// Tune sets the scheduler and the garbage collector of the process for a node,
// unless the environment variables GOMAXPROCS, GOGC and GOMEMLIMIT do.
func Tune() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.GOMAXPROCS(0)))
	}
}
