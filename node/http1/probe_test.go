package http1

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a server that resets connections, or keeps them, being taken for one that has ended.
func TestOnlyAClosedListenerRefusesConnections(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pool := NewPool(PoolConfig{Dial: time.Second, Idle: time.Second, MaxHead: 1 << 10})
	defer pool.Close()
	address := lis.Addr().String()
	assert.False(t, pool.Refused(context.Background(), address), "kept open")
	resets := make(chan struct{})
	go func() {
		defer close(resets)
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		}
	}()
	assert.False(t, pool.Refused(context.Background(), address), "reset")
	require.NoError(t, lis.Close())
	<-resets
	assert.True(t, pool.Refused(context.Background(), address))
}
