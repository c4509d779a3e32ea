package peerlink

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"toucangw.example/peer"
)

const (
	// connectTimeout bounds a connection attempt including the HTTP/2
	// handshake, so that calls to a stopped peer do not wait until their
	// deadline.
	connectTimeout = 500 * time.Millisecond
	dialBackoff    = 50 * time.Millisecond
	dialBackoffMax = time.Second
)

// conn is one client connection. It records when bytes were last received, so
// that stalled connections can be detected.
type conn struct {
	cc            *grpc.ClientConn
	client        peer.PeerClient
	opened        time.Time
	inFlight      atomic.Int64
	busySince     atomic.Int64 // monotonicNow when the number of calls in flight last left 0
	lastRead      atomic.Int64 // monotonicNow at the last bytes received
	pinging       atomic.Bool
	aliveReported atomic.Int64       // monotonicNow at the last Alive event
	stop          context.CancelFunc // ends the watch stream
}

// clockOrigin is the zero point of monotonicNow.
var clockOrigin = time.Now()

// monotonicNow returns the nanoseconds since clockOrigin on the monotonic
// clock, so that times can be kept in atomic integers.
func monotonicNow() int64 { return int64(time.Since(clockOrigin)) }

// readConn records when bytes are received.
type readConn struct {
	net.Conn
	lastRead *atomic.Int64
}

func (c *readConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(monotonicNow())
	}
	return n, err
}

func dial(addr string) (*conn, error) {
	c := &conn{opened: time.Now()}
	dialer := &net.Dialer{Timeout: connectTimeout}
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessage),
			grpc.MaxCallSendMsgSize(MaxMessage),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: dialBackoffMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return &readConn{Conn: raw, lastRead: &c.lastRead}, nil
		}),
	)
	if err != nil {
		return nil, err
	}
	c.cc = cc
	c.client = peer.NewPeerClient(cc)
	return c, nil
}

func (c *conn) close() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.cc.Close()
}

func (c *conn) begin() {
	if c.inFlight.Add(1) == 1 {
		c.busySince.Store(monotonicNow())
	}
}

func (c *conn) end() { c.inFlight.Add(-1) }

// stalledFor returns how long calls have been in flight without any bytes
// received; 0 without calls in flight.
func (c *conn) stalledFor() time.Duration {
	if c.inFlight.Load() == 0 {
		return 0
	}
	return time.Duration(monotonicNow() - max(c.lastRead.Load(), c.busySince.Load()))
}

// claimAlive reports whether an Alive event is due and, if so, records that it
// is sent now.
func (c *conn) claimAlive(interval time.Duration) bool {
	now, last := monotonicNow(), c.aliveReported.Load()
	due := last == 0 || now-last >= int64(interval)
	return due && c.aliveReported.CompareAndSwap(last, now)
}

// resetStall restarts the time that stalledFor measures, as after a pause of
// this process.
func (c *conn) resetStall() { c.lastRead.Store(monotonicNow()) }

type sentKey struct{}

// sentHandler records in the context value sentKey whether a call was handed to
// the transport.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
