package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// gatedBody is a request body whose bytes are available once the gate is closed.
type gatedBody struct{ gate <-chan struct{} }

// Read implements io.Reader.
func (b gatedBody) Read(p []byte) (int, error) {
	<-b.gate
	time.Sleep(time.Millisecond)
	return len(p), nil
}

// Guards against the loss of a connection that the kernel reports to the writer of the request only: its reader gets an
// end of file.
func TestLossReportedToTheWriterEndsTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, tt := range map[string]struct {
		size       int
		orderly    bool // the body ends before the reset
		writeFirst bool // the writer learns of the reset before the body is read
	}{
		"writer first, buffered":           {100, false, true},
		"writer first, streamed":           {40_000, false, true},
		"together, buffered":               {100, false, false},
		"together, streamed":               {40_000, false, false},
		"orderly, writer first, buffered":  {100, true, true},
		"orderly, writer first, streamed":  {40_000, true, true},
		"orderly, together, small body":    {100, true, false},
		"orderly, together, streamed body": {40_000, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(nc, head+strings.Repeat("a", tt.size))
				if tt.orderly {
					_ = nc.(*net.TCPConn).CloseWrite()
					time.Sleep(20 * time.Millisecond) // the end arrives before the reset
				}
				_ = nc.(*net.TCPConn).SetLinger(0)
				_ = nc.Close()
			})
			p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			r, err := p.Do(ctx, address, &Request{
				Method: http.MethodPost, Target: "/", Host: "x", Body: make([]byte, 32<<10), Stream: gatedBody{closed}, Length: 100 << 20,
			})
			require.NoError(t, err)
			if tt.writeFirst {
				require.Error(t, <-r.writeDone)
			}
			n, err := readToEnd(r)
			if tt.orderly {
				require.NoError(t, err)
				assert.Equal(t, tt.size, n)
				return
			}
			assert.Error(t, err, "%d bytes taken as complete", n)
		})
	}
}

// readToEnd reads a body as the gateway does: a small one at once, the rest of a large
// one from its stream.
func readToEnd(r *ClientResponse) (n int, err error) {
	body, complete, err := r.ReadBody(8 << 10)
	if err != nil || complete {
		return len(body), err
	}
	rest, err := io.Copy(io.Discard, r.Stream())
	r.Close()
	return len(body) + int(rest), err
}
