package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial is the maximum time to open a connection.
	Dial time.Duration
	// Idle is how long an idle connection is kept unless its server announces
	// another timeout.
	Idle time.Duration
	// MaxHead bounds the bytes of a response head together with the interim
	// responses before it.
	MaxHead int
}

// Pool is a pool of client connections to any number of servers. It is safe for
// concurrent use.
type Pool struct {
	cfg    PoolConfig
	bounds idleBounds

	mu        sync.Mutex
	idle      map[string][]*clientConn // newest last
	lastSweep time.Time
	closed    bool
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool { return &Pool{cfg: cfg, idle: map[string][]*clientConn{}} }

// clientConn is a connection to a server. It carries one request at a time.
type clientConn struct {
	nc          net.Conn
	writer      *connWriter
	input       *limitedReader // between nc and br
	br          *bufio.Reader  // nil while the connection is idle
	address     string
	idleSince   time.Time     // start of the current idle time
	idleTime    time.Duration // idle time before the current request
	usableUntil time.Time     // end of the period in which it may be reused
	maxIdle     time.Duration // idle time allowed after the current request
	carried     bool          // it has carried a request
	reused      bool          // it had carried a request before the current one
	refusedIDs  []string      // of the requests that were refused on the connection
}

// maxRefusedIDs bounds the refusals that a connection may carry.
const maxRefusedIDs = 32

// recordRefusal records that the request with an ID was refused on the connection. It
// reports false if the connection must not be used again.
func (c *clientConn) recordRefusal(id string) bool {
	if id == "" || len(c.refusedIDs) >= maxRefusedIDs {
		return false
	}
	c.refusedIDs = append(c.refusedIDs, id)
	return true
}

// releaseReader returns the read buffer to its pool, unless it was enlarged. No read
// may follow until the next request.
func (c *clientConn) releaseReader() {
	if c.br != nil && c.br.Size() == clientBufferSize {
		putReader(clientReaders, c.br)
	}
	c.br = nil
}

// get returns an idle connection on which no request with the given ID was refused, or
// opens a new one.
func (p *Pool) get(ctx context.Context, address, id string) (*clientConn, error) {
	for {
		c := p.takeIdle(address, id)
		if c == nil {
			break
		}
		if reusable(c.nc) {
			c.reused = c.carried
			return c, nil
		}
		_ = c.nc.Close()
	}
	return p.open(ctx, address)
}

func (p *Pool) takeIdle(address, id string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweep(now)
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if slices.Contains(c.refusedIDs, id) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		c.idleTime = now.Sub(c.idleSince)
		if now.Before(c.usableUntil) && p.bounds.allows(now, address, c.idleTime) {
			return c
		}
		_ = c.nc.Close()
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Dial)
	defer cancel()
	nc, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, writer: &connWriter{nc: nc}, input: &limitedReader{r: nc}, address: address, maxIdle: p.cfg.Idle}, nil
}

// put returns a reusable connection to the pool.
func (p *Pool) put(c *clientConn) {
	_ = c.nc.SetDeadline(time.Time{})
	c.releaseReader()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.nc.Close()
		return
	}
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(c.maxIdle)
	p.idle[c.address] = append(p.idle[c.address], c)
}

// sweep closes connections that have been idle for too long. It runs at most once
// a second.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) {
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

// CloseIdle closes the idle connections to one server, for instance after
// another connection to it has stalled.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.nc.Close()
	}
}

// Close closes all idle connections; those in use are closed when their request
// ends.
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

// keepAliveMargin is subtracted from the idle timeout announced by a server, so
// that no request is sent while the server closes the connection.
const keepAliveMargin = time.Second

// allowedIdle returns how long a connection may stay idle after a response: the
// announced Keep-Alive timeout less keepAliveMargin, or the given default.
func allowedIdle(h http.Header, defaultIdle time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return defaultIdle
}
