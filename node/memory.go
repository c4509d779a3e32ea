package node

import (
	"os"
	"runtime/debug"
)

// gcPercent lets the heap of a node, a few megabytes when idle, grow to five
// times its live size. With the default of 100 the collector runs many times a
// second under load, which shows in the latency of the slowest calls.
const gcPercent = 400

// TuneMemory sets the garbage collector of the process for a node, unless the
// environment variable GOGC does.
func TuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
