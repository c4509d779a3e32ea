// Package relay forwards TCP connections and can delay, hold, drop and silence
// them, as a network does that is slow, cut one way or loses some flows.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay is safe for concurrent use.
type Relay struct {
	lis    net.Listener
	target string
	wg     sync.WaitGroup

	mu     sync.Mutex
	pairs  map[*pair]bool
	faults Faults
	closed bool
}

// Faults delay the bytes of all connections. The zero value has none.
type Faults struct {
	// Delay is waited before each piece is passed on.
	Delay time.Duration
	// HoldRequests and HoldResponses keep the bytes to the target, or from it,
	// until the fault is cleared, as a cut link does that is mended.
	HoldRequests, HoldResponses bool
}

type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

// Listen forwards connections to addr on to target.
func Listen(addr, target string) (*Relay, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{lis: lis, target: target, pairs: make(map[*pair]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address that clients connect to.
func (r *Relay) Addr() string { return r.lis.Addr().String() }

// Blackhole drops all bytes of the connections that are open now, in both
// directions. They stay open, and new connections work.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent.Store(true)
	}
}

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// await waits until bytes in a direction may pass, or the relay is closed.
func (r *Relay) await(toTarget bool) {
	for {
		r.mu.Lock()
		f, closed := r.faults, r.closed
		r.mu.Unlock()
		if closed || (toTarget && !f.HoldRequests) || (!toTarget && !f.HoldResponses) {
			time.Sleep(f.Delay)
			return
		}
		time.Sleep(holdCheck)
	}
}

// holdCheck is the interval at which held bytes look for the end of the fault.
const holdCheck = 5 * time.Millisecond

// CloseConnections ends the connections that are open now. New ones work.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// Close ends all connections.
func (r *Relay) Close() {
	_ = r.lis.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (r *Relay) accept() {
	for {
		client, err := r.lis.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &pair{client: client, server: server}
		r.mu.Lock()
		r.pairs[p] = true
		r.mu.Unlock()
		r.wg.Go(func() { r.forward(p, client, server, true) })
		r.wg.Go(func() { r.forward(p, server, client, false) })
	}
}

func (r *Relay) forward(p *pair, from io.Reader, to io.Writer, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.await(toTarget)
		if n > 0 && !p.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
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
