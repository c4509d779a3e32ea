package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined is the maximum number of requests of one connection that
	// are handled concurrently.
	maxPipelined = 32
	// lingerTime is how long bytes from the client are discarded after a
	// response that closes the connection. Closing the connection earlier would
	// reset it, and the client might lose the response.
	lingerTime = 2 * time.Second
	// writeTimeout closes a connection whose client does not read.
	writeTimeout = 15 * time.Second
)

// serverConn reads the requests of one connection. Each request is handled on a
// goroutine of its own; responses are written in the order of the requests.
type serverConn struct {
	server *Server
	nc     net.Conn
	input  *input
	br     *bufio.Reader // nil while the connection waits for a request

	ctx    context.Context // ends when the client disconnects
	cancel context.CancelFunc

	closeAfterFirst bool          // closed after its first response
	idle            atomic.Bool   // waiting for a request
	closing         atomic.Bool   // a response that closes the connection is being or was written
	value           atomic.Value  // a connValue
	slots           chan struct{} // one element per exchange being handled
	handlers        sync.WaitGroup
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &serverConn{
		server: s, nc: nc, input: newInput(nc),
		ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPipelined),
	}
}

// serve reads requests until the client disconnects or the connection is closed.
func (c *serverConn) serve() {
	defer c.server.remove(c)
	c.readRequests()
	c.cancel()
	c.handlers.Wait()
	c.server.serving.Add(-1)
	if c.closing.Load() {
		c.linger()
	}
	_ = c.nc.Close()
	c.releaseReader()
}

// buffered returns the number of bytes that have been read ahead.
func (c *serverConn) buffered() int {
	if c.br == nil {
		return 0
	}
	return c.br.Buffered()
}

// releaseReader returns the read buffer to its pool.
func (c *serverConn) releaseReader() {
	if c.br != nil {
		putReader(serverReaders, c.br)
		c.br = nil
	}
}

// readRequests reads requests and starts their handlers until the connection
// brings no more.
func (c *serverConn) readRequests() {
	defer c.server.recovered(c)
	prevDone := closedChan
	for {
		x, err := c.read(prevDone)
		if err != nil {
			c.respondToReadError(err, prevDone)
			return
		}
		prevDone = x.done
		c.handle(x)
		if !c.awaitBody(x) {
			return
		}
	}
}

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

var errConnClosing = errors.New("connection is closing")

// read waits for the next request and reads its head.
func (c *serverConn) read(prevDone <-chan struct{}) (*Exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	limits := c.server.cfg.Limits()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := readHead(c.br, limits.MaxHeader)
	if err != nil {
		return nil, err
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	arrived := time.Now()
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		// A request that may have side effects starts only after the earlier
		// responses, one of which may close the connection.
		select {
		case <-prevDone:
		case <-c.ctx.Done():
			return nil, errConnClosing
		}
		if c.closing.Load() {
			return nil, errConnClosing
		}
	}
	return newExchange(c, req, prevDone, arrived), nil
}

// awaitRequest waits for the first byte of a request. The idle timeout may change
// during the wait; the value at its end applies.
func (c *serverConn) awaitRequest() error {
	if c.buffered() > 0 && !c.closing.Load() {
		return nil
	}
	c.releaseReader()
	c.idle.Store(true)
	defer c.idle.Store(false)
	since := time.Now()
	for {
		if c.server.isClosed() {
			// The listener is closed: no new requests are expected, but the
			// reader must go on detecting a disconnected client while requests
			// are in flight.
			_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
		} else {
			_ = c.nc.SetReadDeadline(since.Add(c.server.cfg.Limits().IdleTimeout))
		}
		if c.closing.Load() {
			return errConnClosing
		}
		br, err := c.input.await(serverReaders)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.br = br
			return err
		}
		if len(c.slots) > 0 {
			since = time.Now()
			continue
		}
		if c.server.isClosed() || time.Since(since) >= c.server.cfg.Limits().IdleTimeout {
			return err
		}
	}
}

// closeGrace is how long a connection without requests is kept open after the
// listener was closed, so that a request already sent by the client is received.
const closeGrace = 20 * time.Millisecond

// closeIdle limits the wait for a request to closeGrace if the connection is
// idle.
func (c *serverConn) closeIdle() {
	if c.idle.Load() {
		_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
	}
}

// respondToReadError responds to a request whose head is invalid or timed out.
// Other errors get no response.
func (c *serverConn) respondToReadError(err error, prevDone <-chan struct{}) {
	status := 0
	var head *headError
	switch {
	case errors.As(err, &head):
		status = head.status
	case errors.Is(err, os.ErrDeadlineExceeded) && c.buffered() > 0:
		status = http.StatusRequestTimeout
	}
	if status == 0 {
		return
	}
	x := newExchange(c, nil, prevDone, time.Now())
	x.closeAfter = true
	_ = x.Respond(NewServerResponse(status, nil, nil))
}

// handle runs the handler of an exchange on a new goroutine. It blocks while
// maxPipelined exchanges are being handled.
func (c *serverConn) handle(x *Exchange) {
	c.slots <- struct{}{}
	c.handlers.Go(func() {
		defer func() { <-c.slots }()
		defer x.finish()
		defer c.server.recovered(c)
		c.server.cfg.Handler(x)
	})
}

// awaitBody waits until the handler has read the body of the request. It reports
// false if the connection must be closed after this request.
func (c *serverConn) awaitBody(x *Exchange) bool {
	select {
	case <-x.bodyDone:
	case <-x.done:
	}
	if x.bodyRead.Load() {
		return true
	}
	<-x.done
	return x.bodyRead.Load() && !c.closing.Load()
}

// linger discards the bytes that the client still sends after the last response.
func (c *serverConn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.nc)
}

// abort closes the connection without waiting for its exchanges.
func (c *serverConn) abort() {
	c.closing.Store(true)
	c.cancel()
	_ = c.nc.Close()
}
