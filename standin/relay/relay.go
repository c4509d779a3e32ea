// Package relay is a TCP proxy with injectable faults: it can delay or hold
// bytes, close connections and discard their bytes. This simulates a slow
// network, a link that is interrupted in one direction, and the loss of single
// flows.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Relay is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	refuses bool
	pairs   map[*connPair]bool
	faults  Faults
	closed  bool
}

// Faults delay the bytes of all connections. The zero value has none.
type Faults struct {
	// Delay is added before each chunk is forwarded.
	Delay time.Duration
	// HoldRequests and HoldResponses buffer the bytes to the target, or from
	// it, until the fault is cleared, like a link that is interrupted and then
	// restored.
	HoldRequests, HoldResponses bool
}

// connPair is a client connection with its connection to the target.
type connPair struct {
	client, server net.Conn
	blackholed     atomic.Bool
}

// Listen accepts connections on addr and forwards them to target.
func Listen(addr, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*connPair]bool)}
	r.wg.Go(func() { r.accept(listener) })
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listener.Addr().String()
}

// Blackhole discards all further bytes of the connections that are open now, in
// both directions. The connections stay open; new connections are not affected.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholed.Store(true)
	}
}

// SetFaults replaces all current faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// waitToForward blocks until bytes may pass in the given direction or the relay
// is closed, and then for the configured delay.
func (r *Relay) waitToForward(toTarget bool) {
	for {
		r.mu.Lock()
		f, closed := r.faults, r.closed
		r.mu.Unlock()
		if closed || (toTarget && !f.HoldRequests) || (!toTarget && !f.HoldResponses) {
			time.Sleep(f.Delay)
			return
		}
		time.Sleep(holdPollInterval)
	}
}

// holdPollInterval is the interval at which held bytes are checked for the end
// of the fault.
const holdPollInterval = 5 * time.Millisecond

// CloseConnections closes the connections that are open now. New connections are
// accepted.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Refuse closes the listener and resets all connections, as the end of the target's
// process does. New connections are refused until Accept.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuses = true
	_ = r.listener.Close()
	for p := range r.pairs {
		p.resetAll()
		p.close()
	}
}

// Accept ends Refuse. It returns an error if the address is in use.
func (r *Relay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.refuses {
		return nil
	}
	listener, err := net.Listen("tcp", r.listener.Addr().String())
	if err != nil {
		return err
	}
	r.refuses, r.listener = false, listener
	r.wg.Go(func() { r.accept(listener) })
	return nil
}

// Close closes the listener and all connections, and waits for the forwarding
// goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	_ = r.listener.Close()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// resetAll makes the end of both connections a reset: that of one connection must not
// look like an orderly end on the other.
func (p *connPair) resetAll() {
	for _, nc := range []net.Conn{p.client, p.server} {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &connPair{client: client, server: server}
		r.mu.Lock()
		r.pairs[p] = true
		if r.refuses {
			p.close()
		}
		r.mu.Unlock()
		r.wg.Go(func() { r.forward(p, client, server, true) })
		r.wg.Go(func() { r.forward(p, server, client, false) })
	}
}

func (r *Relay) forward(p *connPair, from io.Reader, to io.Writer, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.waitToForward(toTarget)
		if n > 0 && !p.blackholed.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			p.resetAll()
		}
		if err != nil {
			break
		}
	}
	p.close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}
