package http1

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// aliveTime is how long a new connection must stay open to show that its server
// lives. A process that ends closes its connections and its listener one after the
// other.
const aliveTime = 20 * time.Millisecond

// Refused reports whether a server refuses connections because no process listens at
// its address. A connection that stays open is kept for the next request.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	for range 2 {
		c, err := p.open(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(aliveTime))
		n, err := c.nc.Read(make([]byte, 1))
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			p.put(c)
			return false
		}
		_ = c.nc.Close()
	}
	return false
}

// ConnectionLost reports whether err means that the server closed or reset the
// connection.
func ConnectionLost(err error) bool { return connLost(err) }
