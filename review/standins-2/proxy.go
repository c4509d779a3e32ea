package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy relays the connections of one node to the store. While it is cut, it holds the
// bytes of all connections, in both directions, and those of new ones.
type Proxy struct {
	Address string
	target  string
	lis     net.Listener

	mu    sync.Mutex
	cut   bool
	moved chan struct{} // closed at each change of cut

	listCalls chan listCall
}

// listCall is a read of all entries that the node sends, at its time.
type listCall struct {
	at  time.Time
	cut bool // it is held
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: lis.Addr().String(), target: target, lis: lis, moved: make(chan struct{}), listCalls: make(chan listCall, 1000)}
	go p.accept()
	return p, nil
}

// Close stops the proxy.
func (p *Proxy) Close() { _ = p.lis.Close() }

// SetCut cuts the connections or heals them.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	close(p.moved)
	p.moved = make(chan struct{})
}

// await waits until the connections are not cut.
func (p *Proxy) await() {
	for {
		p.mu.Lock()
		cut, moved := p.cut, p.moved
		p.mu.Unlock()
		if !cut {
			return
		}
		<-moved
	}
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) accept() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

func (p *Proxy) relay(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, true); done <- struct{}{} }()
	go func() { p.copy(c, up, false); done <- struct{}{} }()
	<-done
}

var listRequest = []byte("GET /api/kv-range")

func (p *Proxy) copy(to io.Writer, from io.Reader, fromNode bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if fromNode && bytes.Contains(buf[:n], listRequest) {
				select {
				case p.listCalls <- listCall{time.Now(), p.isCut()}:
				default:
				}
			}
			p.await()
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			p.await()
			return
		}
	}
}
