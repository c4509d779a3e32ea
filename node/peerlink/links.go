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
	// quietLimit is how long calls may wait without bytes before a ping.
	quietLimit = 100 * time.Millisecond
	// pingTimeout is how long a ping may take before the connection counts as
	// silent.
	pingTimeout = 200 * time.Millisecond
	// freshFor is the age below which a connection counts as new.
	freshFor = 500 * time.Millisecond
	// aliveInterval is the shortest time between two reports that a host lives.
	aliveInterval = time.Second
	// watchRetry is the pause after a broken watch stream.
	watchRetry = time.Second
)

var errClosed = errors.New("peer links are closed")

// Events is told what the links learn about peers.
type Events struct {
	// Leaving reports that a host announced that it leaves.
	Leaving func(host member.HostID, incarnation uint64)
	// Alive reports that a host answered, at most once a second for each.
	Alive func(host member.HostID, incarnation uint64)
	// Silent reports that a connection was replaced because it was silent.
	Silent func(host member.HostID)
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

// link is the present connection to one peer.
type link struct {
	host member.Host
	conn *conn
}

// key names a connection. Peers that are asked at start have no host id yet.
func key(host member.Host) string {
	if host.ID == "" {
		return host.Addr
	}
	return string(host.ID)
}

// NewLinks returns links without connections; they are opened on first use.
func NewLinks(self Self, events Events) *Links {
	return &Links{self: self, events: events, conns: make(map[string]*link)}
}

// Close closes all connections and waits for their watch streams.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for _, k := range conns {
		k.conn.close()
	}
	l.wg.Wait()
}

// Retain closes connections to hosts that are no longer known.
func (l *Links) Retain(known func(member.HostID) bool) {
	l.mu.Lock()
	var dropped []*conn
	for id, k := range l.conns {
		if !known(k.host.ID) && k.conn.inFlight.Load() == 0 {
			dropped = append(dropped, k.conn)
			delete(l.conns, id)
		}
	}
	l.mu.Unlock()
	for _, c := range dropped {
		c.close()
	}
}

// Exchange sends a message of the configuration exchange.
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

// Push sends values that have just changed.
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
// be silent is replaced.
func (l *Links) get(host member.Host, fresh bool) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	k := l.conns[key(host)]
	if k != nil && k.host.Addr == host.Addr && (!fresh || !stale(k.conn)) {
		return k.conn, nil
	}
	if k != nil {
		go k.conn.close()
	}
	return l.open(host)
}

// stale reports whether a connection may be silent.
func stale(c *conn) bool {
	return time.Since(c.opened) > freshFor && c.quiet() > quietLimit
}

func (l *Links) open(host member.Host) (*conn, error) {
	c, err := dial(host.Addr)
	if err != nil {
		return nil, fmt.Errorf("open connection to %s: %w", host.ID, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	l.conns[key(host)] = &link{host: host, conn: c}
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
	if c.heard(aliveInterval) {
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

// Check pings connections on which calls wait without bytes. The run loop
// calls it on every tick.
func (l *Links) Check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.conns {
		if k.conn.quiet() > quietLimit && k.conn.pinging.CompareAndSwap(false, true) {
			l.wg.Go(func() { l.ping(id, k) })
		}
	}
}

// Woke restarts the measurement of silence after a pause of this process.
func (l *Links) Woke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.conns {
		k.conn.touch()
	}
}

func (l *Links) ping(id string, k *link) {
	defer k.conn.pinging.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	started := sinceEpoch()
	_, err := k.conn.client.Ping(ctx, &peer.PingRequest{Sender: l.self.sender()})
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	ownPause := time.Duration(sinceEpoch()-started) > 2*pingTimeout
	if ownPause || k.conn.lastRead.Load() > started {
		return
	}
	l.replace(id, k)
}

// replace opens a new connection beside a silent one and then fails the calls
// on the old one.
func (l *Links) replace(id string, k *link) {
	l.mu.Lock()
	if l.closed || l.conns[id] != k {
		l.mu.Unlock()
		return
	}
	_, err := l.open(k.host)
	l.mu.Unlock()
	if err == nil {
		k.conn.close()
		l.events.Silent(k.host.ID)
	}
}

// watch waits for the announcement that a host leaves.
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
		a, err := stream.Recv()
		if err != nil {
			return
		}
		if a.GetLeaving() && id != "" {
			l.events.Leaving(id, a.GetIncarnation())
		}
	}
}
