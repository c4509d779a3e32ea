// Package tuning configures the scheduler and the garbage collector of a node.
package tuning

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// gcPercent is high, so that the heap of a node, a few megabytes when idle,
	// grows up to memoryLimit before a collection. With 400 the collector ran
	// several times a second under load, and two nodes added 0.68 to 0.80 ms to
	// the p99 latency instead of 0.58 to 0.60 ms.
	gcPercent = 1600

	// memoryLimit makes the collector run earlier if the heap would exceed it.
	// Together with the program itself it stays below 128 MB.
	memoryLimit = 96 << 20

	// maxProcs suffices for several thousand calls a second. With more, hand-overs
	// between the goroutines of a call wake other cores, which costs more than it
	// gains, and the node shares its host with an upstream.
	maxProcs = 4
)

const (
	// gatewayGCPercent saves memory, which is scarcer on small hosts than in engine
	// mode, at no measurable processor time: a gateway allocates only short-lived
	// buffers.
	gatewayGCPercent = 100
	// gatewayMemoryLimit is the part of a node's 128 MB that the program itself
	// does not need. Near the limit the collector takes up to half of the
	// processor time.
	gatewayMemoryLimit = 112 << 20
)

// Engine configures the scheduler and the garbage collector for a node in engine
// mode. The environment variables GOMAXPROCS, GOGC and GOMEMLIMIT take precedence.
func Engine() { set(gcPercent, memoryLimit) }

// Gateway is Engine for a node in gateway mode.
func Gateway() { set(gatewayGCPercent, gatewayMemoryLimit) }

func set(gcPercent int, memoryLimit int64) {
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
