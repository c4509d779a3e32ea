package backend

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Process serves an upstream at an address and can end as a process does: the listener
// and all connections close at once, and new connections are refused until the next
// Start.
type Process struct {
	address string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
	closed bool
}

// NewProcess returns a process that does not run yet.
func NewProcess(address string, handler http.Handler) *Process {
	return &Process{address: address, handler: handler}
}

// errClosed is returned by Start after Close.
var errClosed = errors.New("process is closed")

// Start opens the listener. It returns an error if the address is in use.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	lis, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.address = lis.Addr().String()
	server := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Second}
	p.server = server
	go func() { _ = server.Serve(lis) }()
	return nil
}

// Address returns the address at which the process listens, or listened.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Crash ends the process. It reports whether it was running.
func (p *Process) Crash() bool {
	p.mu.Lock()
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

// Close ends the process for good.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Crash()
}
