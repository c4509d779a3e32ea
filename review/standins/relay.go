package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay is a TCP proxy between two processes. It can hold or reset the bytes of
// its connections.
type relay struct {
	lis    net.Listener
	target string

	mu       sync.Mutex
	pairs    map[*pair]bool
	holdTo   bool // hold bytes to the target
	holdFrom bool // hold bytes from the target
}

type pair struct{ client, server net.Conn }

func newRelay(address, target string) (*relay, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{lis: lis, target: target, pairs: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		client, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.open(client)
	}
}

func (r *relay) open(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(client) // as a port without a listener does
		return
	}
	p := &pair{client: client, server: server}
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	go r.forward(p, client, server, true)
	go r.forward(p, server, client, false)
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) set(holdTo, holdFrom bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdTo, r.holdFrom = holdTo, holdFrom
}

// resetAll resets the connections that are open now.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		reset(p.client)
		reset(p.server)
	}
}

func (r *relay) held(toTarget bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return toTarget && r.holdTo || !toTarget && r.holdFrom
}

func (r *relay) forward(p *pair, from, to net.Conn, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for r.held(toTarget) {
			time.Sleep(2 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				break
			}
		}
		reset(p.client)
		reset(p.server)
		break
	}
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (r *relay) close() {
	_ = r.lis.Close()
	r.resetAll()
}
