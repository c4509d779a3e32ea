package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startIdleResetServer starts a server that resets a connection at the first
// request after an idle time longer than maxIdle. It returns the address of the
// server.
func startIdleResetServer(t *testing.T, maxIdle time.Duration) string {
	return startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
		idle := time.Now()
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if time.Since(idle) > maxIdle {
				_ = nc.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			idle = time.Now()
		}
	})
}

// Guards against repeated failures with a server that discards idle connections
// without closing them, which at-most-once requests cannot retry: after the
// first loss, connections with such idle times are not reused.
func TestPoolAvoidsLongIdleConnectionsAfterReset(t *testing.T) {
	address := startIdleResetServer(t, 100*time.Millisecond)
	p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	failed := 0
	for range 6 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		r, err := p.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "x"})
		if err != nil {
			failed++
		} else {
			_, complete, err := r.ReadBody(1)
			assert.True(t, complete)
			assert.NoError(t, err)
		}
		cancel()
		time.Sleep(150 * time.Millisecond)
	}
	assert.Equal(t, 1, failed)
}

// Guards against closing usable connections: a loss after a short idle time sets
// no bound, a bound applies to one address, and it expires.
func TestIdleBoundScopeAndExpiry(t *testing.T) {
	var b idleBounds
	now := time.Now()
	b.recordLoss(now, "a", 10*time.Millisecond)
	assert.True(t, b.allows(now, "a", time.Minute))
	b.recordLoss(now, "a", 400*time.Millisecond)
	assert.False(t, b.allows(now, "a", 250*time.Millisecond))
	assert.True(t, b.allows(now, "a", 150*time.Millisecond))
	assert.True(t, b.allows(now, "b", time.Minute))
	assert.True(t, b.allows(now.Add(boundTTL), "a", time.Minute))
}
