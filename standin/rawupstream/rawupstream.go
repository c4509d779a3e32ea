// Package rawupstream is a fake upstream for development and tests that writes the
// bytes of its responses itself, so that they can be broken in any way.
package rawupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Exchange is one request and the connection on which it came.
type Exchange struct {
	// Request is the head. Its body has not been read.
	Request *http.Request
	// Number counts the requests of the connection, from 1.
	Number int
	Conn   net.Conn
}

// ID returns the ID of the request.
func (x *Exchange) ID() string { return x.Request.Header.Get("Request-Id") }

// ReadBody reads the body of the request.
func (x *Exchange) ReadBody() []byte {
	body, _ := io.ReadAll(x.Request.Body)
	return body
}

// Write writes bytes of a response. Errors show at the next read.
func (x *Exchange) Write(text string) { _, _ = io.WriteString(x.Conn, text) }

// Reset makes the end of the connection a reset.
func (x *Exchange) Reset() { _ = x.Conn.(*net.TCPConn).SetLinger(0) }

// closeWriteLinger is how long the requests that still arrive after CloseWrite are
// discarded. Closing the connection earlier would reset it.
const closeWriteLinger = 2 * time.Second

// CloseWrite ends the responses of the connection in an orderly way, and discards what
// still arrives.
func (x *Exchange) CloseWrite() {
	_ = x.Conn.(*net.TCPConn).CloseWrite()
	_ = x.Conn.SetReadDeadline(time.Now().Add(closeWriteLinger))
	_, _ = io.Copy(io.Discard, x.Conn)
}

// Handler responds to a request. It reports whether the connection stays open for
// another one.
type Handler func(x *Exchange) (keep bool)

// Server accepts connections and reads requests from them.
type Server struct {
	listener net.Listener
	handler  Handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen starts a server.
func Listen(address string, h Handler) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: lis, handler: h, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		_ = nc.Close()
	}
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[nc] = struct{}{}
		s.mu.Unlock()
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, nc)
	}()
	br := bufio.NewReader(nc)
	for number := 1; ; number++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !s.handler(&Exchange{Request: req, Number: number, Conn: nc}) {
			return
		}
	}
}
