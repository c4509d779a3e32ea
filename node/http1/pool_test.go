package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// forgetful answers requests, and resets a connection at the request after it
// was idle for longer than patience.
func forgetful(t *testing.T, patience time.Duration) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				idle := time.Now()
				for {
					_, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if time.Since(idle) > patience {
						_ = nc.(*net.TCPConn).SetLinger(0)
						return
					}
					_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					idle = time.Now()
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards requests that may run only once against servers that forget idle
// connections: after the first loss, such connections are not used again.
func TestForgottenConnectionsAreNotUsedAgain(t *testing.T) {
	address := forgetful(t, 100*time.Millisecond)
	p := NewPool(Timeouts{Dial: time.Second, Idle: time.Minute})
	t.Cleanup(p.Close)
	failed := 0
	for range 6 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		r, err := p.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "x"})
		if err != nil {
			failed++
		} else {
			_, whole, err := r.ReadBody(1)
			assert.True(t, whole)
			assert.NoError(t, err)
		}
		cancel()
		time.Sleep(150 * time.Millisecond)
	}
	assert.Equal(t, 1, failed)
}

// Guards connections of servers that work: a loss soon after another request
// says nothing of idle times, and what was learned is forgotten in time.
func TestIdleBoundsAreNarrow(t *testing.T) {
	var b idleBounds
	now := time.Now()
	b.failed(now, "a", 10*time.Millisecond)
	assert.True(t, b.allows(now, "a", time.Minute))
	b.failed(now, "a", 400*time.Millisecond)
	assert.False(t, b.allows(now, "a", 250*time.Millisecond))
	assert.True(t, b.allows(now, "a", 150*time.Millisecond))
	assert.True(t, b.allows(now, "b", time.Minute))
	assert.True(t, b.allows(now.Add(boundLife), "a", time.Minute))
}
