// Package engine makes every decision of one node. It composes admission,
// routing, retries, pressure and once-only keys: events go in, actions come
// out. It does no I/O, reads no clock and starts no goroutine, so that the
// daemon and a test bench drive it alike.
package engine

import (
	"maps"
	"slices"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// TickInterval is the time between Tick events.
const TickInterval = 50 * time.Millisecond

// Config describes a node and the implementations that its engine uses.
type Config struct {
	Host        member.HostID
	Incarnation uint64
	Zone        string
	Region      string
	Service     string // service of the guarded upstream

	Random func(n int) int // number in [0, n), from a seeded source
	Token  func() string   // unguessable text, new at each call

	Admit    admit.Builder
	Route    route.Builder
	Budget   retry.Builder
	Pressure pressure.Builder
	Keys     idempotency.Ledger
	// ParseOwner reads the owner from a key.
	ParseOwner func(key string) (idempotency.Owner, bool)
}

// Engine is not safe for concurrent use.
type Engine struct {
	cfg      Config
	policy   *policy.Policy
	admitter admit.Controller // nil until a policy names the guarded service
	router   route.Router
	budget   retry.Budget
	pressure pressure.Table
	keys     idempotency.Ledger

	hosts     map[member.HostID]member.Host
	services  map[string][]member.HostID
	departed  map[member.HostID]uint64 // incarnation that said it is leaving
	loads     map[member.HostID]loadReport
	recent    *recentRequests
	leaving   bool
	entries   map[call.ID]*entryCall
	guards    map[call.ID]*guardCall
	byToken   map[string]*guardCall
	byKey     map[string]*guardCall
	joinedTo  map[call.ID]*guardCall
	actions   []Action
	latestNow time.Time
}

// loadReport is the last load that a host reported.
type loadReport struct {
	at     time.Time
	report route.Report
}

// New returns an engine without configuration; it refuses all calls as not run
// until PolicyChanged.
func New(cfg Config) *Engine {
	self := route.Locality{Host: cfg.Host, Zone: cfg.Zone, Region: cfg.Region}
	return &Engine{
		cfg:      cfg,
		router:   cfg.Route(self, cfg.Random),
		budget:   cfg.Budget(),
		pressure: cfg.Pressure(cfg.Random),
		keys:     cfg.Keys,
		hosts:    make(map[member.HostID]member.Host),
		services: make(map[string][]member.HostID),
		departed: make(map[member.HostID]uint64),
		loads:    make(map[member.HostID]loadReport),
		recent:   newRecentRequests(),
		entries:  make(map[call.ID]*entryCall),
		guards:   make(map[call.ID]*guardCall),
		byToken:  make(map[string]*guardCall),
		byKey:    make(map[string]*guardCall),
		joinedTo: make(map[call.ID]*guardCall),
	}
}

// Step handles one event and returns the actions to carry out, in order. Time
// must not go back between calls; an earlier time counts as the latest one.
func (e *Engine) Step(now time.Time, event Event) []Action {
	if now.Before(e.latestNow) {
		now = e.latestNow
	}
	e.latestNow = now
	e.actions = nil
	e.dispatch(now, event)
	return e.actions
}

func (e *Engine) dispatch(now time.Time, event Event) {
	switch ev := event.(type) {
	case CallArrived:
		e.callArrived(now, ev)
	case PeerCallArrived:
		e.peerCallArrived(now, ev)
	case PeerReplied:
		e.peerReplied(now, ev)
	case PeerFailed:
		e.peerFailed(now, ev)
	case UpstreamReplied:
		e.upstreamReplied(now, ev)
	case UpstreamFailed:
		e.upstreamFailed(now, ev)
	case Cancelled:
		e.cancelled(now, ev.ID)
	default:
		e.dispatchControl(now, event)
	}
}

func (e *Engine) dispatchControl(now time.Time, event Event) {
	switch ev := event.(type) {
	case KeyIssued:
		e.keyIssued(now, ev)
	case KeyRequested:
		e.keyRequested(now, ev)
	case KeyAsked:
		e.keyAsked(now, ev)
	case Tick:
		e.tick(now)
	case PolicyChanged:
		e.policyChanged(now, ev.Policy)
	case HostsChanged:
		e.hostsChanged(now, ev.Hosts)
	case HealthProbed:
		e.healthProbed(now, ev)
	case DrainStarted:
		e.leave(now)
	case Woke:
		e.woke(now)
	}
}

func (e *Engine) emit(actions ...Action) { e.actions = append(e.actions, actions...) }

func (e *Engine) policyChanged(now time.Time, p *policy.Policy) {
	e.policy = p
	e.router.SetPolicy(now, p)
	service := p.Services[e.cfg.Service]
	if service == nil {
		return
	}
	if e.admitter == nil {
		e.admitter = e.cfg.Admit(service, p.Callers)
		return
	}
	e.admitter.SetPolicy(now, service, p.Callers)
}

// healthProbed acts only on draining: whether the upstream is well is judged
// from traffic, since its health endpoint lags or misleads.
func (e *Engine) healthProbed(now time.Time, ev HealthProbed) {
	if ev.Draining {
		e.upstreamDrains(now)
	}
}

// upstreamDrains stops new work because the guarded upstream is going away.
func (e *Engine) upstreamDrains(now time.Time) {
	if e.leaving {
		return
	}
	e.leave(now)
	e.emit(SelfLeaving{})
}

// leave stops new work on this host. It holds for the life of the process.
func (e *Engine) leave(now time.Time) {
	e.leaving = true
	e.departed[e.cfg.Host] = e.cfg.Incarnation
	e.updateRouter(now, e.cfg.Service)
}

// tick expires what is overdue. The runtime ends attempts and runs at their
// deadlines; this is the backstop for what it did not report.
func (e *Engine) tick(now time.Time) {
	e.keys.Tick(now)
	e.recent.sweep(now)
	e.expireEntries(now, expiryGrace)
	e.expireJoined(now)
	if e.admitter != nil {
		e.apply(now, e.admitter.Tick(now))
	}
}

// woke drops what this process knew before a pause, before anything else is
// decided on it.
func (e *Engine) woke(now time.Time) {
	e.pressure.Reset()
	e.router.Forget(now)
	clear(e.loads)
	e.expireEntries(now, 0)
	e.expireJoined(now)
	if e.admitter != nil {
		e.apply(now, e.admitter.RejectQueued(now, pausedReason))
	}
}

// Idle reports whether no call is in flight, which ends a planned stop.
func (e *Engine) Idle() bool {
	return len(e.entries) == 0 && len(e.guards) == 0 && len(e.joinedTo) == 0
}

// Stats is a snapshot of the engine for the operators' show command.
type Stats struct {
	Revision uint64
	Leaving  bool
	Calls    int // calls of callers and of the local upstream in flight
	Runs     int // calls on the guarded upstream, running or queued
	Keys     int
	KeyBytes int64
	Load     admit.Load
	Levels   map[string]call.Rank // admission level of the guard by caller
}

// Stats returns a snapshot.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Leaving: e.leaving, Calls: len(e.entries), Runs: len(e.guards)}
	s.Keys, s.KeyBytes = e.keys.Len()
	if e.policy == nil {
		return s
	}
	s.Revision = e.policy.Revision
	if e.admitter == nil {
		return s
	}
	s.Load = e.admitter.Load(now)
	s.Levels = make(map[string]call.Rank, len(e.policy.Callers))
	for name := range e.policy.Callers {
		s.Levels[name] = e.admitter.Threshold(now, name)
	}
	return s
}

// sortedIDs returns the keys of a map of calls in order, so that no decision
// depends on map order.
func sortedIDs[V any](m map[call.ID]V) []call.ID {
	return slices.Sorted(maps.Keys(m))
}
