package peerlink

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"toucangw.example/core/engine"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/peer"
)

const (
	// stallThreshold is how long calls may wait without bytes received before
	// the connection is pinged.
	stallThreshold = 100 * time.Millisecond
	// pingTimeout is how long a ping may take before the connection counts as
	// stalled.
	pingTimeout = 200 * time.Millisecond
	// newConnAge is the age up to which a connection is not replaced as
	// possibly stalled.
	newConnAge = 500 * time.Millisecond
	// aliveInterval is the shortest time between two Alive events of a
	// connection.
	aliveInterval = time.Second
	// watchRetry is the delay before a broken watch stream is opened again.
	watchRetry = time.Second
)

var errClosed = errors.New("peer links are closed")

// Events holds the callbacks for events of peers and their connections.
type Events struct {
	// Leaving reports that a host announced that it is leaving.
	Leaving func(host member.HostID, incarnation uint64)
	// Alive reports that a host answered, at most once a second for each
	// connection.
	Alive func(host member.HostID, incarnation uint64)
	// Stalled reports that a connection was replaced because it was stalled.
	Stalled func(host member.HostID)
}

// Links holds the client connections to peers. It is safe for concurrent use.
type Links struct {
	self   Self
	events Events

	mu     sync.Mutex
	conns  map[string]*link
	closed bool
	wg     sync.WaitGroup
}

// link is the current connection to one peer.
type link struct {
	host member.Host
	conn *conn
}

// linkKey returns the key of a host in Links.conns. Peers contacted during
// bootstrap have no host ID yet and are keyed by their address.
func linkKey(host member.Host) string {
	if host.ID == "" {
		return host.Addr
	}
	return string(host.ID)
}

// NewLinks returns links without connections; they are opened on first use.
func NewLinks(self Self, events Events) *Links {
	return &Links{self: self, events: events, conns: make(map[string]*link)}
}

// Close closes all connections and waits until their watch streams have ended.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for _, lk := range conns {
		lk.conn.close()
	}
	l.wg.Wait()
}

// Retain closes connections without calls in flight to hosts that are no longer
// known.
func (l *Links) Retain(known func(member.HostID) bool) {
	l.mu.Lock()
	var unused []*conn
	for id, lk := range l.conns {
		if !known(lk.host.ID) && lk.conn.inFlight.Load() == 0 {
			unused = append(unused, lk.conn)
			delete(l.conns, id)
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		c.close()
	}
}

// Exchange sends an anti-entropy exchange of the gossip protocol.
func (l *Links) Exchange(ctx context.Context, host member.Host, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	c, err := l.get(host, false)
	if err != nil {
		return nil, err
	}
	m.Sender = l.self.sender()
	c.begin()
	defer c.end()
	return c.client.Exchange(ctx, m)
}

// Push sends a push of the gossip protocol.
func (l *Links) Push(ctx context.Context, host member.Host, m *peer.PushRequest) (*peer.PushReply, error) {
	c, err := l.get(host, false)
	if err != nil {
		return nil, err
	}
	m.Sender = l.self.sender()
	c.begin()
	defer c.end()
	return c.client.Push(ctx, m)
}

// get returns the connection to a host. With fresh set, a connection that may
// be stalled is replaced.
func (l *Links) get(host member.Host, fresh bool) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	lk := l.conns[linkKey(host)]
	if lk != nil && lk.host.Addr == host.Addr && (!fresh || !maybeStalled(lk.conn)) {
		return lk.conn, nil
	}
	if lk != nil {
		go lk.conn.close()
	}
	return l.open(host)
}

// maybeStalled reports whether a connection may be stalled, based only on its age
// and the time without received bytes, without a ping.
func maybeStalled(c *conn) bool {
	return time.Since(c.opened) > newConnAge && c.stalledFor() > stallThreshold
}

func (l *Links) open(host member.Host) (*conn, error) {
	c, err := dial(host.Addr)
	if err != nil {
		return nil, fmt.Errorf("open connection to %s: %w", host.ID, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	l.conns[linkKey(host)] = &link{host: host, conn: c}
	l.wg.Go(func() { l.watch(ctx, host.ID, c) })
	return c, nil
}

// Call implements driver.Peers.
func (l *Links) Call(ctx context.Context, host member.Host, fresh bool, pc engine.PeerCall, p driver.Payload) (*engine.Reply, *engine.PeerFailed) {
	c, err := l.get(host, fresh)
	if err != nil {
		return nil, &engine.PeerFailed{Detail: err.Error()}
	}
	var sent atomic.Bool
	c.begin()
	reply, err := c.client.Call(context.WithValue(ctx, sentKey{}, &sent), encodeCall(l.self, &pc, p))
	c.end()
	if err != nil {
		return nil, &engine.PeerFailed{
			Sent:    sent.Load(),
			Timeout: status.Code(err) == codes.DeadlineExceeded,
			Detail:  err.Error(),
		}
	}
	if c.claimAlive(aliveInterval) {
		l.events.Alive(host.ID, reply.GetIncarnation())
	}
	decoded, err := decodeReply(pc.RequestID, reply)
	if err != nil {
		return nil, &engine.PeerFailed{Sent: true, Detail: fmt.Sprintf("reply of %s: %v", host.ID, err)}
	}
	return decoded, nil
}

// IssueKey implements driver.Peers.
func (l *Links) IssueKey(ctx context.Context, host member.Host, service, caller string) (string, *verdict.Refusal) {
	c, err := l.get(host, false)
	if err != nil {
		return "", verdict.Refuse(verdict.OwnerUnreachable, err.Error())
	}
	c.begin()
	defer c.end()
	reply, err := c.client.IssueKey(ctx, &peer.IssueKeyRequest{Sender: l.self.sender(), Service: service, Caller: caller})
	if err != nil {
		return "", verdict.Refuse(verdict.OwnerUnreachable, err.Error())
	}
	if reply.GetKey() == "" && reply.GetRefusal() == nil {
		return "", verdict.Refuse(verdict.OwnerUnreachable, "the peer returned neither key nor refusal")
	}
	return reply.GetKey(), decodeRefusal(reply.GetRefusal())
}

// QueryKey implements driver.Peers.
func (l *Links) QueryKey(ctx context.Context, host member.Host, key, caller string, fence bool) (driver.KeyState, error) {
	c, err := l.get(host, false)
	if err != nil {
		return driver.KeyState{}, err
	}
	c.begin()
	defer c.end()
	reply, err := c.client.QueryKey(ctx, &peer.QueryKeyRequest{Sender: l.self.sender(), Key: key, Caller: caller, Fence: fence})
	if err != nil {
		return driver.KeyState{}, err
	}
	state, err := parseState(reply.GetState())
	if err != nil || reply.GetAnswer() == nil {
		return driver.KeyState{State: state}, err
	}
	answer, err := decodeAnswer(reply.GetAnswer())
	return driver.KeyState{State: state, Answer: answer}, err
}

// Check pings connections on which calls have waited for stallThreshold without
// bytes received. The run loop calls it on every tick.
func (l *Links) Check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, lk := range l.conns {
		if lk.conn.stalledFor() > stallThreshold && lk.conn.pinging.CompareAndSwap(false, true) {
			l.wg.Go(func() { l.ping(id, lk) })
		}
	}
}

// OnResume restarts stall detection after a pause of this process, during which
// no bytes could be read.
func (l *Links) OnResume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lk := range l.conns {
		lk.conn.resetStall()
	}
}

// ping replaces a connection if a ping times out and no bytes were received
// since it was sent, unless this process itself was paused meanwhile.
func (l *Links) ping(id string, lk *link) {
	defer lk.conn.pinging.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	started := monotonicNow()
	_, err := lk.conn.client.Ping(ctx, &peer.PingRequest{Sender: l.self.sender()})
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	selfPaused := time.Duration(monotonicNow()-started) > 2*pingTimeout
	if selfPaused || lk.conn.lastRead.Load() > started {
		return
	}
	l.replace(id, lk)
}

// replace opens a new connection in place of a stalled one and then closes the
// old one, which fails its calls.
func (l *Links) replace(id string, lk *link) {
	l.mu.Lock()
	if l.closed || l.conns[id] != lk {
		l.mu.Unlock()
		return
	}
	_, err := l.open(lk.host)
	l.mu.Unlock()
	if err == nil {
		lk.conn.close()
		l.events.Stalled(lk.host.ID)
	}
}

// watch keeps a watch stream open, on which a host announces that it is leaving.
func (l *Links) watch(ctx context.Context, id member.HostID, c *conn) {
	for ctx.Err() == nil {
		l.watchOnce(ctx, id, c)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (l *Links) watchOnce(ctx context.Context, id member.HostID, c *conn) {
	stream, err := c.client.Watch(ctx, &peer.WatchRequest{Sender: l.self.sender()}, grpc.WaitForReady(true))
	if err != nil {
		return
	}
	for {
		announcement, err := stream.Recv()
		if err != nil {
			return
		}
		if announcement.GetLeaving() && id != "" {
			l.events.Leaving(id, announcement.GetIncarnation())
		}
	}
}
