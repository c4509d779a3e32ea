package http1

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the size of a request head and the time that a client may take.
type Limits struct {
	MaxHeader     int // bytes of a request head
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Handler handles an exchange, which it ends with Respond or Abort. It runs on a
// goroutine of its own.
type Handler func(*Exchange)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler Handler
	// Limits is called for each request, so that changed limits apply to open
	// connections as well.
	Limits func() Limits
	// OnPanic is called with the value and the stack of a panic in Handler or in
	// the Server. The connection of the request is closed, the others go on.
	OnPanic func(value any, stack []byte)
}

// Server accepts connections and reads requests from them.
type Server struct {
	cfg ServerConfig

	draining atomic.Bool
	serving  atomic.Int64

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
	closed   bool
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, conns: map[*serverConn]struct{}{}}
}

// ErrServerClosed is returned by Serve after CloseListener.
var ErrServerClosed = errors.New("server closed")

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	s.listener = lis
	s.mu.Unlock()
	s.serving.Add(1)
	defer s.serving.Add(-1)
	if s.isClosed() {
		s.limitAccept(lis)
	}
	for {
		nc, err := lis.Accept()
		if err != nil {
			if s.isClosed() {
				_ = lis.Close()
				return ErrServerClosed
			}
			var netErr net.Error
			if errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed) {
				// Out of file descriptors: pending connections are accepted
				// once others have ended.
				delay := time.NewTimer(acceptRetryDelay)
				<-delay.C
				continue
			}
			return err
		}
		setTCPOptions(nc)
		c := newServerConn(s, nc)
		s.add(c)
		go c.serve()
	}
}

const (
	acceptRetryDelay = 5 * time.Millisecond
	// acceptGrace is how long waiting connections are still accepted after
	// CloseListener.
	acceptGrace = 30 * time.Millisecond
	// maxPersistent is the number of open connections from which a new one is
	// closed after its first response, so that idle connections do not use up
	// the file descriptors of a small host.
	maxPersistent = 2000
)

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) add(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeAfterFirst = len(s.conns) >= maxPersistent
	s.conns[c] = struct{}{}
	s.serving.Add(1)
}

// recovered handles a panic of the calling goroutine. It must be deferred.
func (s *Server) recovered(c *serverConn) {
	if v := recover(); v != nil {
		s.cfg.OnPanic(v, debug.Stack())
		c.abort()
	}
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each further response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// limitAccept accepts the connections that wait in the listener's queue, which
// closing it would reset, and lets Serve close it after acceptGrace.
func (s *Server) limitAccept(lis net.Listener) {
	limiter, ok := lis.(interface{ SetDeadline(time.Time) error })
	if !ok || limiter.SetDeadline(time.Now().Add(acceptGrace)) != nil {
		_ = lis.Close()
	}
}

// CloseListener stops accepting connections after those that are waiting, and
// closes those that carry no request.
func (s *Server) CloseListener() {
	s.mu.Lock()
	s.closed = true
	lis := s.listener
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	s.draining.Store(true)
	if lis != nil {
		s.limitAccept(lis)
	}
	for _, c := range conns {
		c.closeIdle()
	}
}

// Serving returns the number of connections that carry a request or may still
// receive one, plus one while connections are accepted. After CloseListener it
// falls to zero.
func (s *Server) Serving() int { return int(s.serving.Load()) }

// Close closes the listener and all connections without waiting for requests in
// flight.
func (s *Server) Close() {
	s.CloseListener()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
