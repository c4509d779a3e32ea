package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timeouts of a pool.
type Timeouts struct {
	// Dial bounds the time to open a connection.
	Dial time.Duration
	// Idle is how long an unused connection is kept if its server states
	// nothing else.
	Idle time.Duration
}

// Pool keeps connections to any number of servers. It is safe for concurrent
// use.
type Pool struct {
	timeouts Timeouts
	bounds   idleBounds

	mu     sync.Mutex
	idle   map[string][]*clientConn // newest last
	swept  time.Time
	closed bool
}

// NewPool returns an empty pool.
func NewPool(t Timeouts) *Pool { return &Pool{timeouts: t, idle: map[string][]*clientConn{}} }

// clientConn carries one request at a time.
type clientConn struct {
	nc      net.Conn
	br      *bufio.Reader
	bw      *bufio.Writer
	address string
	since   time.Time     // idle since
	idled   time.Duration // idle time before the request that it carries
	usable  time.Time     // not to be used again after it
	keep    time.Duration
	reused  bool
}

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, address string) (*clientConn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if quiet(c.nc) {
			c.reused = true
			return c, nil
		}
		_ = c.nc.Close()
	}
	return p.open(ctx, address)
}

func (p *Pool) takeIdle(address string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list[len(list)-1] = nil
		list = list[:len(list)-1]
		p.idle[address] = list
		c.idled = now.Sub(c.since)
		if now.Before(c.usable) && p.bounds.allows(now, address, c.idled) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeouts.Dial)
	defer cancel()
	nc, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &clientConn{
		nc: nc, address: address, keep: p.timeouts.Idle,
		br: bufio.NewReaderSize(nc, 4<<10), bw: bufio.NewWriterSize(nc, writeBuffer),
	}, nil
}

// put returns a connection that can carry another request.
func (p *Pool) put(c *clientConn) {
	_ = c.nc.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.nc.Close()
		return
	}
	c.since = time.Now()
	c.usable = c.since.Add(c.keep)
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes connections that have been idle for too long, at most once a
// second.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usable) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to one server, as after a connection
// to it has gone silent.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// Close closes all idle connections; those in use are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.nc.Close()
		}
	}
	clear(p.idle)
}

// keepAliveMargin is subtracted from the idle timeout that a server states, so
// that no request crosses the server's close.
const keepAliveMargin = time.Second

// keepFor returns how long a connection may stay idle after a response.
func keepFor(h http.Header, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return otherwise
}
