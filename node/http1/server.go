package http1

import (
	"errors"
	"net"
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

// Server accepts connections and reads requests from them.
type Server struct {
	handler Handler
	limits  func() Limits

	draining atomic.Bool
	serving  atomic.Int64

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
	closed   bool
}

// NewServer returns a server. limits is called for each request, so that changed
// limits apply to open connections as well.
func NewServer(handler Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: map[*serverConn]struct{}{}}
}

// ErrServerClosed is returned by Serve after CloseListener.
var ErrServerClosed = errors.New("server closed")

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	s.listener = lis
	s.mu.Unlock()
	for {
		nc, err := lis.Accept()
		if err != nil {
			if s.isClosed() {
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

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each further response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseListener stops accepting connections and closes those that carry no
// request.
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
		_ = lis.Close()
	}
	for _, c := range conns {
		c.closeIdle()
	}
}

// Serving returns the number of connections that carry a request or may still
// receive one. After CloseListener it falls to zero.
func (s *Server) Serving() int { return int(s.serving.Load()) }

// Close closes the listener and all connections without waiting for requests in
// flight.
func (s *Server) Close() {
	s.CloseListener()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.nc.Close()
	}
}
