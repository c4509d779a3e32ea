// Package gateway is the data path of a node whose routes are published in a
// store: it takes the requests of the clients and of the upstream of its host,
// passes each to the node beside the upstream that is to run it, and guards
// the upstream of its own host.
package gateway

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/balance"
	"toucangw.example/core/calltree"
	"toucangw.example/core/concurrency"
	"toucangw.example/core/dedup"
	"toucangw.example/core/directory"
	"toucangw.example/core/retrybudget"
	"toucangw.example/core/routetable"
	"toucangw.example/node/http1"
)

// HeaderNames are the names of the headers that clients and upstreams use.
type HeaderNames struct {
	// RequestID identifies one attempt of a client; upstreams echo it.
	RequestID string
	// Deadline is the time left for a request in milliseconds.
	Deadline string
	// Signature is set on each answer of an upstream to a request.
	Signature string
	// ExpectedInstance names the upstream that is to run a request.
	ExpectedInstance string
	// NotExecuted marks an answer of an upstream that did not run the request.
	NotExecuted string
	// CallerService names the service of the host where a request began.
	CallerService string
}

// Config of a Gateway.
type Config struct {
	Host     string
	Zone     string         // availability zone
	Service  string         // service of the local upstream
	Upstream netip.AddrPort // the local upstream
	// PeerPort is the port of the peer listener, the same on all hosts.
	PeerPort    uint16
	RetryBudget retrybudget.Allowance
	Headers     HeaderNames
	Logger      *slog.Logger
	// Metrics of this gateway alone: it registers values of its own.
	Metrics *Metrics
	// OnNewer is told that a node has a newer configuration. It must not block.
	OnNewer func(version uint64, peer string)
}

// Gateway is one node's data path. It is safe for concurrent use.
type Gateway struct {
	cfg Config

	routes   atomic.Pointer[routetable.Config]
	hosts    atomic.Pointer[directory.Snapshot]
	own      atomic.Pointer[directory.Own]
	draining atomic.Bool // not ready for clients
	closed   atomic.Bool // the local upstream takes no new work

	balancer   *balance.Balancer
	budget     *retrybudget.Budget
	running    calltree.Register // requests at the local upstream
	calls      calltree.Calls
	origins    calltree.Origins
	demand     *admissionprob.Estimator // at the local upstream
	shares     *admissionprob.Table     // of all services heard of
	usual      admissionprob.Usual
	statements statements
	ledger     *dedup.Ledger[*reply]

	gateMu  sync.Mutex
	gate    *concurrency.Gate
	tickets map[*concurrency.Entry]*ticket

	peers    *http1.Pool // to other nodes
	upstream *http1.Pool // to the local upstream
	keys     keySource
	log      *decisionLog

	inflight atomic.Int64
	began    time.Time
	self     string // own peer listener
}

const (
	peerDialTimeout     = 400 * time.Millisecond
	peerIdle            = 60 * time.Second
	upstreamDialTimeout = 1500 * time.Millisecond
	// upstreamIdle is used where an upstream states no idle timeout.
	upstreamIdle = 4 * time.Second
	// initialSlots is the limit until the entry of the upstream is known.
	initialSlots = 16
)

// New returns a gateway without routes and upstreams.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		balancer: balance.New(cfg.Zone),
		budget:   retrybudget.New(cfg.RetryBudget),
		demand:   admissionprob.NewEstimator(),
		shares:   admissionprob.NewTable(),
		ledger:   dedup.New[*reply](),
		gate:     concurrency.New(initialSlots),
		tickets:  map[*concurrency.Entry]*ticket{},
		peers:    http1.NewPool(http1.Timeouts{Dial: peerDialTimeout, Idle: peerIdle}),
		upstream: http1.NewPool(http1.Timeouts{Dial: upstreamDialTimeout, Idle: upstreamIdle}),
		keys:     newKeySource(cfg.Host),
		log:      newDecisionLog(cfg.Logger, cfg.Metrics.omitted.Inc),
		began:    time.Now(),
		self:     netip.AddrPortFrom(cfg.Upstream.Addr(), cfg.PeerPort).String(),
	}
	cfg.Metrics.observe(g)
	return g
}

// SetRoutes puts a configuration in force. An older one than that in force is
// ignored.
func (g *Gateway) SetRoutes(c *routetable.Config) {
	for {
		old := g.routes.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.routes.CompareAndSwap(old, c) {
			g.cfg.Metrics.version.Set(float64(c.Version))
			return
		}
	}
}

// SetHosts replaces the view of the upstreams.
func (g *Gateway) SetHosts(s *directory.Snapshot) { g.hosts.Store(s) }

// SetLocalUpstream takes what is known of the local upstream.
func (g *Gateway) SetLocalUpstream(s directory.Own) {
	g.own.Store(&s)
	if s.Slots <= 0 {
		return
	}
	g.withGate(func(now time.Time) []concurrency.Decision { return g.gate.SetLimit(now, limitOf(s.Slots)) })
}

// limitOf returns the number of requests to run at once. Upstreams may slow
// down when nearly all of their slots are taken, which costs more than the
// last slots bring.
func limitOf(slots int) int { return max(1, slots*94/100) }

// Ready reports whether the node takes new work.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.routes.Load() != nil && g.hosts.Load() != nil
}

// Drain makes the node not ready. Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// CloseUpstream refuses new work for the local upstream. Requests in progress
// end, and those of local clients are still served.
func (g *Gateway) CloseUpstream() { g.closed.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inflight.Load() }

// Limits returns the limits in force for clients.
func (g *Gateway) Limits() http1.Limits {
	l := http1.Limits{MaxHeader: defaultMaxHeader, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	c := g.routes.Load()
	if c == nil {
		return l
	}
	if n := c.Limits.MaxHeaderBytes; n > 0 {
		l.MaxHeader = n
	}
	if t := c.Limits.HeaderTimeout; t > 0 {
		l.HeaderTimeout = t
	}
	if t := c.Limits.IdleTimeout; t > 0 {
		l.IdleTimeout = t
	}
	return l
}

// Limits that hold until a configuration is known.
const (
	defaultMaxHeader     = 16 << 10
	defaultMaxBody       = 64 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

func (g *Gateway) maxBody() int64 {
	if c := g.routes.Load(); c != nil && c.Limits.MaxBodyBytes > 0 {
		return c.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// Close closes idle connections.
func (g *Gateway) Close() {
	g.peers.Close()
	g.upstream.Close()
}

// StoreCall counts a call to the store in the metrics.
func (g *Gateway) StoreCall(call string, err error) { g.cfg.Metrics.StoreCall(call, err) }

// Upstreams returns the number of upstreams of a service in the node's view.
func (g *Gateway) Upstreams(service string) int {
	hosts := g.hosts.Load()
	if hosts == nil {
		return 0
	}
	return len(hosts.Service(service))
}

// known returns the number of upstreams in the node's view.
func (g *Gateway) known() int {
	hosts := g.hosts.Load()
	if hosts == nil {
		return 0
	}
	return hosts.Len()
}

// Addresses returns the upstreams of a service in the node's view.
func (g *Gateway) Addresses(service string) []netip.AddrPort {
	hosts := g.hosts.Load()
	if hosts == nil {
		return nil
	}
	var out []netip.AddrPort
	for _, u := range hosts.Service(service) {
		out = append(out, u.Address)
	}
	return out
}
