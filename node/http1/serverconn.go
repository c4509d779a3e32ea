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
	// readBuffer holds the largest request head that is accepted.
	readBuffer  = 16<<10 + 512
	writeBuffer = 4 << 10
	// maxPipelined bounds the requests of one connection that are worked on
	// at once.
	maxPipelined = 32
	// lingerTime is how long bytes of a client are discarded after an answer
	// that closes the connection. Closing earlier would reset the connection,
	// and the client might lose the answer.
	lingerTime = 2 * time.Second
	// writeTimeout ends a connection whose client does not read.
	writeTimeout = 15 * time.Second
)

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// serverConn reads the requests of one connection. Each request is handled on
// a goroutine of its own; answers are written in the order of the requests.
type serverConn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer

	ctx    context.Context // ends when the client has left
	cancel context.CancelFunc

	single   bool         // closed after its first answer
	idle     atomic.Bool  // waits for a request
	closing  atomic.Bool  // an answer that closes the connection was written
	value    atomic.Value // of connValue
	slots    chan struct{}
	handlers sync.WaitGroup
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	br := bufferPool.Get().(*bufio.Reader)
	br.Reset(nc)
	ctx, cancel := context.WithCancel(context.Background())
	return &serverConn{
		server: s, nc: nc, br: br, bw: bufio.NewWriterSize(nc, writeBuffer),
		ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPipelined),
	}
}

// serve reads requests until the client leaves or the connection is closed.
func (c *serverConn) serve() {
	defer c.server.remove(c)
	turn := closedTurn
	for {
		x, err := c.read(turn)
		if err != nil {
			c.readFailed(err, turn)
			break
		}
		turn = x.done
		c.start(x)
		if !c.finishBody(x) {
			break
		}
	}
	c.cancel()
	c.handlers.Wait()
	c.server.serving.Add(-1)
	if c.closing.Load() {
		c.linger()
	}
	_ = c.nc.Close()
	c.br.Reset(nil)
	bufferPool.Put(c.br)
}

var closedTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

var errConnClosing = errors.New("connection is closing")

// read waits for the next request and reads its head.
func (c *serverConn) read(turn <-chan struct{}) (*Exchange, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	limits := c.server.limits()
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := readHead(c.br, limits.MaxHeader)
	if err != nil {
		return nil, err
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	arrived := time.Now()
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		// A request that may change something starts after the earlier ones,
		// one of which may close the connection.
		select {
		case <-turn:
		case <-c.ctx.Done():
			return nil, errConnClosing
		}
		if c.closing.Load() {
			return nil, errConnClosing
		}
	}
	return newExchange(c, req, turn, arrived), nil
}

// awaitRequest waits for the first byte of a request, at most for the idle
// timeout that is in force at its end.
func (c *serverConn) awaitRequest() error {
	if c.br.Buffered() > 0 && !c.closing.Load() {
		return nil
	}
	c.idle.Store(true)
	defer c.idle.Store(false)
	since := time.Now()
	for {
		if c.server.isClosed() {
			// New requests go elsewhere, but those in flight still watch for
			// their client.
			_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
		} else {
			_ = c.nc.SetReadDeadline(since.Add(c.server.limits().IdleTimeout))
		}
		if c.closing.Load() {
			return errConnClosing
		}
		_, err := c.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if len(c.slots) > 0 {
			since = time.Now()
			continue
		}
		if c.server.isClosed() || time.Since(since) >= c.server.limits().IdleTimeout {
			return err
		}
	}
}

// closeGrace is how long a connection without requests is kept after the
// listener was closed, for a request that is on its way.
const closeGrace = 20 * time.Millisecond

// closeIdle wakes a connection that waits for a request.
func (c *serverConn) closeIdle() {
	if c.idle.Load() {
		_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
	}
}

// readFailed answers a request whose head could not be read.
func (c *serverConn) readFailed(err error, turn <-chan struct{}) {
	status := 0
	var head *headError
	switch {
	case errors.As(err, &head):
		status = head.status
	case errors.Is(err, os.ErrDeadlineExceeded) && c.br.Buffered() > 0:
		status = http.StatusRequestTimeout
	}
	if status == 0 {
		return
	}
	x := newExchange(c, nil, turn, time.Now())
	x.closeAfter = true
	_ = x.Respond(NewServerResponse(status, nil, nil))
}

// start runs the handler of an exchange.
func (c *serverConn) start(x *Exchange) {
	c.slots <- struct{}{}
	c.handlers.Go(func() {
		defer func() { <-c.slots }()
		c.server.handler(x)
		x.finish()
	})
}

// finishBody waits until the body of a request has been read by its handler.
// It reports false if the connection ends with this request.
func (c *serverConn) finishBody(x *Exchange) bool {
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

// linger discards what the client still sends after the last answer.
func (c *serverConn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.br)
}

// abort closes the connection at once.
func (c *serverConn) abort() {
	c.closing.Store(true)
	c.cancel()
	_ = c.nc.Close()
}
