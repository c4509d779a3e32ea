package http1

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against idle connections using up the memory of a host: with the 8,192
// descriptors of a host all in use, they may take half of the 128 MB of a node.
// Each connection of this test has both ends in the process.
func TestIdleConnectionsNeedLittleMemory(t *testing.T) {
	const connections = 400
	const perConnection = 128 << 20 / 2 / 8192
	release := make(chan struct{})
	s, lis := startServer(t, func(x *Exchange) {
		<-release
		respondOK(x)
	}, nil)
	go func() { _ = s.Serve(lis) }()
	p := NewPool(PoolConfig{Dial: testDial, Idle: testDial, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	before := heapInUse()
	errs := make(chan error, connections)
	for range connections {
		go func() {
			r, err := p.Do(t.Context(), lis.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "x"})
			if err == nil {
				_, _, err = r.ReadBody(100)
			}
			errs <- err
		}()
	}
	close(release)
	for range connections {
		require.NoError(t, <-errs)
	}
	used := heapInUse() - before
	assert.Less(t, used/connections, int64(2*perConnection))
	runtime.KeepAlive(p)
}

// heapInUse returns the bytes of reachable objects. The second collection empties
// the pools.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc) //nolint:gosec // far below the maximum
}
