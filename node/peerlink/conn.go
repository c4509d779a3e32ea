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
	// handshake, so that a stopped peer does not hold calls until their
	// deadline.
	connectTimeout = 500 * time.Millisecond
	dialBackoff    = 50 * time.Millisecond
	dialBackoffMax = time.Second
)

// conn is one client connection with what is known of the bytes received.
type conn struct {
	cc       *grpc.ClientConn
	client   peer.PeerClient
	opened   time.Time
	inFlight atomic.Int64
	busy     atomic.Int64 // nanoseconds since epoch from when calls are in flight
	lastRead atomic.Int64 // nanoseconds since epoch of the last bytes received
	pinging  atomic.Bool
	reported atomic.Int64       // nanoseconds since epoch of the last report that the host lives
	stop     context.CancelFunc // ends the watch stream
}

// epoch makes times comparable as integers on the monotonic clock.
var epoch = time.Now()

func sinceEpoch() int64 { return int64(time.Since(epoch)) }

// readConn records when bytes arrive.
type readConn struct {
	net.Conn
	lastRead *atomic.Int64
}

func (c *readConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(sinceEpoch())
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
		c.busy.Store(sinceEpoch())
	}
}

func (c *conn) end() { c.inFlight.Add(-1) }

// quiet returns how long calls have waited without any bytes received.
func (c *conn) quiet() time.Duration {
	if c.inFlight.Load() == 0 {
		return 0
	}
	return time.Duration(sinceEpoch() - max(c.lastRead.Load(), c.busy.Load()))
}

// heard reports whether it is time to report again that the host lives.
func (c *conn) heard(interval time.Duration) bool {
	now, last := sinceEpoch(), c.reported.Load()
	due := last == 0 || now-last >= int64(interval)
	return due && c.reported.CompareAndSwap(last, now)
}

// touch restarts the measurement of silence, as after a pause of this process.
func (c *conn) touch() { c.lastRead.Store(sinceEpoch()) }

type sentKey struct{}

// sentHandler notes whether a call was handed to the transport.
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
