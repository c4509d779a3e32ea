package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// serve starts a server that accepts connections.
func serve(t *testing.T, handler Handler) net.Listener {
	s, lis := startServer(t, handler, nil)
	go func() { _ = s.Serve(lis) }()
	return lis
}

// Guards against the writer of a long body that reads its client's buffer after the exchange has ended, when the buffer
// belongs to another connection.
func TestBodyIsNotReadAfterItsExchange(t *testing.T) {
	ended := make(chan *Exchange, 1)
	lis := serve(t, func(x *Exchange) {
		_ = x.Respond(NewServerResponse(http.StatusOK, nil, nil))
		ended <- x
	})
	dialAndSend(t, lis, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nbody")
	x := <-ended
	n, err := x.Stream().Read(make([]byte, 10))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, ErrExchangeEnded)
}

// Guards against an exchange that cannot end while the writer of its body waits for the client.
func TestExchangeEndsWhileItsBodyIsAwaited(t *testing.T) {
	const clients = 40
	var writers sync.WaitGroup
	lis := serve(t, func(x *Exchange) {
		reading := make(chan struct{})
		writers.Go(func() {
			_, _ = x.Stream().Read(make([]byte, 4))
			close(reading)
			_, err := io.Copy(io.Discard, x.Stream())
			assert.Error(t, err)
		})
		<-reading
		_ = x.Respond(NewServerResponse(http.StatusOK, nil, nil))
	})
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			nc, err := net.Dial("tcp", lis.Addr().String())
			if !assert.NoError(t, err) {
				return
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
			_, err = fmt.Fprintf(nc, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nbody", i)
			assert.NoError(t, err)
			head := make([]byte, 15)
			_, err = io.ReadFull(nc, head)
			assert.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 200 OK", string(head))
			_, _ = nc.Write(make([]byte, 1000))
		})
	}
	group.Wait()
	writers.Wait()
}
