// Package gateway is the data path of a node that takes its routes from a store.
// It accepts the requests of the clients and of the upstream on its host and
// forwards each to the node in front of the upstream that is to run it. For the
// upstream on its own host it runs a concurrency limiter and a queue.
package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"toucangw.example/core/admissionprob"
	"toucangw.example/core/advisory"
	"toucangw.example/core/balance"
	"toucangw.example/core/calltree"
	"toucangw.example/core/concurrency"
	"toucangw.example/core/dedup"
	"toucangw.example/core/directory"
	"toucangw.example/core/drain"
	"toucangw.example/core/quarantine"
	"toucangw.example/core/retrybudget"
	"toucangw.example/core/routetable"
	"toucangw.example/node/http1"
)

// HeaderNames holds the names of the headers that clients and upstreams use.
type HeaderNames struct {
	// RequestID identifies one attempt of a client; upstreams echo it.
	RequestID string
	// Deadline is the time left for a request in milliseconds.
	Deadline string
	// Signature is set by an upstream on each answer to a request.
	Signature string
	// ExpectedInstance is the ID of the upstream that is to run a request.
	ExpectedInstance string
	// NotExecuted is set by an upstream that did not run the request.
	NotExecuted string
	// CallerService is the service of the host from which a request was sent.
	CallerService string
	// RateLimit is set by an upstream in need: the requests per second that it
	// takes from all hosts together, for as long as it sets the header.
	RateLimit string
	// Leaving is "1" on the answers of an upstream that is about to leave.
	Leaving string
}

// Config configures a Gateway.
type Config struct {
	Host     string
	Zone     string         // availability zone
	Service  string         // service of the local upstream
	Upstream netip.AddrPort // address of the local upstream
	// PeerPort is the port of the peer listener, the same on all hosts.
	PeerPort    uint16
	RetryBudget retrybudget.Config
	Headers     HeaderNames
	Logger      *slog.Logger
	// Metrics must not be shared by gateways: each registers its own gauges.
	Metrics *Metrics
	// OnNewer is called when another node has a newer configuration. It must
	// not block.
	OnNewer func(version uint64, peer string)
	// OnUpstream is called with the ID of the local upstream when it has answered as
	// an incarnation of which SetLocalUpstream has not told. It must not block.
	OnUpstream func(id string)
	// ListAge returns the time since the store was read for the list of
	// upstreams. If it is nil, other nodes take each list as just read.
	ListAge func() time.Duration
	// ReadsStore reports whether this node reads the store itself. If it is nil,
	// the node always does.
	ReadsStore func() bool
}

// Gateway is the data path of one node. It is safe for concurrent use.
type Gateway struct {
	cfg Config

	routes         atomic.Pointer[routetable.Config]
	hosts          atomic.Pointer[directory.Snapshot]
	localUpstream  atomic.Pointer[directory.LocalUpstream]
	draining       atomic.Bool                // makes Ready report false
	stop           atomic.Pointer[drain.Plan] // nil until a planned stop begins
	upstreamClosed atomic.Bool                // rejects new requests for the local upstream
	viewChanged    changeSignal

	balancer       *balance.Balancer
	budget         *retrybudget.Limiter
	callTree       calltree.Tracker // requests at the local upstream
	routeGraph     calltree.RouteGraph
	origins        calltree.Origins
	demand         *admissionprob.Estimator // at the local upstream
	probabilities  *admissionprob.Table     // of all services
	latencies      admissionprob.LatencyTracker
	durations      drain.Durations // of the requests of local clients that were sent to an upstream
	localDurations drain.Durations // of the requests at the local upstream, without their time in the queue
	advertisements advertisements
	ledger         *dedup.Ledger[*reply]
	advisories     *advisory.Table // announcements of upstreams in their answers
	announced      localAnnouncements
	limitedTraffic limitedTraffic // to the local upstream
	rateShortage   rateShortage   // of the local upstream
	processEnds    endDetector    // of the local upstream
	answered       quarantine.Recent
	quarantine     *quarantine.Table
	sharing        *quarantineSharing

	limiterMu  sync.Mutex
	limiter    *concurrency.Limiter
	waiters    map[*concurrency.Request]*waiter
	startTimer *time.Timer // nil until a rate limit makes requests wait

	peerPool     *http1.Pool // to other nodes
	upstreamPool *http1.Pool // to the local upstream
	keys         keySource
	log          *decisionLog

	inflight    atomic.Int64
	startedAt   time.Time
	selfAddress string // address of this node's peer listener
}

const (
	peerDialTimeout     = 400 * time.Millisecond
	peerIdle            = 60 * time.Second
	upstreamDialTimeout = 1500 * time.Millisecond
	// upstreamIdle applies if an upstream does not announce an idle timeout.
	upstreamIdle = 4 * time.Second
	// maxAnswerHead bounds the head of an upstream's answer. A head from a peer
	// also holds the admission probabilities of all root routes.
	maxAnswerHead = 32 << 10
	maxReplyHead  = 256 << 10
	// maxKeptAnswers bounds the answers to at-most-once requests that are kept for
	// queries of their outcome, in bytes.
	maxKeptAnswers = 16 << 20
	// initialSlots is the concurrency limit until the store's entry of the local
	// upstream is known.
	initialSlots = 16
)

// New returns a gateway that has no routes and no upstreams yet.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:           cfg,
		balancer:      balance.New(cfg.Zone),
		budget:        retrybudget.New(cfg.RetryBudget),
		demand:        admissionprob.NewEstimator(),
		probabilities: admissionprob.NewTable(),
		ledger:        dedup.New((*reply).size, maxKeptAnswers),
		advisories:    advisory.NewTable(),
		limiter:       concurrency.New(initialSlots),
		waiters:       map[*concurrency.Request]*waiter{},
		peerPool:      http1.NewPool(http1.PoolConfig{Dial: peerDialTimeout, Idle: peerIdle, MaxHead: maxReplyHead}),
		upstreamPool:  http1.NewPool(http1.PoolConfig{Dial: upstreamDialTimeout, Idle: upstreamIdle, MaxHead: maxAnswerHead}),
		keys:          newKeySource(cfg.Host),
		log:           newDecisionLog(cfg.Logger, cfg.Metrics.omitted.Inc),
		startedAt:     time.Now(),
		selfAddress:   netip.AddrPortFrom(cfg.Upstream.Addr(), cfg.PeerPort).String(),
	}
	g.limitedTraffic.logger = cfg.Logger
	g.sharing = newQuarantineSharing(g)
	g.quarantine = quarantine.NewTable(g.sharing.wake)
	g.sharing.decide = quarantine.NewSharing(g.quarantine, rand.IntN)
	cfg.Metrics.registerGauges(g)
	return g
}

// SetRoutes activates a configuration unless the active one is as new or newer.
func (g *Gateway) SetRoutes(c *routetable.Config) {
	for {
		old := g.routes.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.routes.CompareAndSwap(old, c) {
			g.cfg.Metrics.version.Set(float64(c.Version))
			g.viewChanged.notify()
			return
		}
	}
}

// SetHosts replaces the list of upstreams.
func (g *Gateway) SetHosts(s *directory.Snapshot) {
	old := g.hosts.Swap(s)
	if old == nil || old.Fingerprint() != s.Fingerprint() {
		g.viewChanged.notify()
	}
	g.origins.SetClients(s.ServiceShares())
}

// SetLocalUpstream replaces the state of the local upstream.
func (g *Gateway) SetLocalUpstream(s directory.LocalUpstream) {
	before := g.announced.limit()
	g.localUpstream.Store(&s)
	g.announced.follow(&s)
	if !s.Draining {
		g.onNextIncarnation(advisory.Instance{ID: s.ID, StartedAt: s.StartedAt.UnixMilli()})
	}
	if g.announced.limit() != before {
		g.applyRateLimit()
	}
	if s.Slots <= 0 {
		return
	}
	g.withLimiter(func(now time.Time) []concurrency.Decision { return g.limiter.SetLimit(now, concurrencyLimit(s.Slots)) })
}

// concurrencyLimit returns the concurrency limit for an upstream with a number
// of slots. It is 94 % of the slots: an upstream may slow down when nearly all
// of its slots are taken, which costs more than the last slots gain.
func concurrencyLimit(slots int) int { return max(1, slots*94/100) }

// Ready reports whether the node is ready for requests of clients.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.routes.Load() != nil && g.hosts.Load() != nil
}

// Drain makes Ready report false. Requests that end in time are still served.
func (g *Gateway) Drain(plan drain.Plan) {
	g.stop.Store(&plan)
	g.draining.Store(true)
	g.viewChanged.notify()
}

// CloseUpstream rejects new requests for the local upstream. Requests in flight
// are finished, and requests of local clients are still served.
func (g *Gateway) CloseUpstream() { g.upstreamClosed.Store(true) }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inflight.Load() }

// UpstreamInFlight returns the number of requests that run at the local upstream or
// wait for it.
func (g *Gateway) UpstreamInFlight() int64 {
	load := g.load()
	return int64(load.Running + load.Queued)
}

// Limits returns the limits for connections and requests of clients.
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

// Limits that apply if the configuration does not set them.
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

// OnPanic logs and counts a panic that was confined to a connection or a loop.
func (g *Gateway) OnPanic(value any, stack []byte) {
	g.cfg.Metrics.panics.Inc()
	g.cfg.Logger.Error("panic", "value", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxLoggedStack)]))
}

// maxLoggedStack bounds the bytes of a stack in the log.
const maxLoggedStack = 4 << 10

// Close closes idle connections and stops timers.
func (g *Gateway) Close() {
	g.sharing.close()
	g.limiterMu.Lock()
	if g.startTimer != nil {
		g.startTimer.Stop()
	}
	g.limiterMu.Unlock()
	g.peerPool.Close()
	g.upstreamPool.Close()
}

// StoreCall counts a call to the store and its result in the metrics.
func (g *Gateway) StoreCall(call string, err error) { g.cfg.Metrics.StoreCall(call, err) }

// Upstreams returns the number of known upstreams of a service.
func (g *Gateway) Upstreams(service string) int {
	hosts := g.hosts.Load()
	if hosts == nil {
		return 0
	}
	return len(hosts.Service(service))
}

// listAge returns the time since the store was read for the list of upstreams.
func (g *Gateway) listAge() time.Duration {
	if g.cfg.ListAge == nil {
		return 0
	}
	return g.cfg.ListAge()
}

func (g *Gateway) readsStore() bool { return g.cfg.ReadsStore == nil || g.cfg.ReadsStore() }

// upstreamCount returns the number of known upstreams.
func (g *Gateway) upstreamCount() int {
	hosts := g.hosts.Load()
	if hosts == nil {
		return 0
	}
	return hosts.Len()
}

// Addresses returns the addresses of the known upstreams of a service.
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
