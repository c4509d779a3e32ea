// Package engine makes every decision of one node. It combines admission
// control, routing, retries, load shedding on observed admission thresholds and
// idempotency keys in one event-driven state machine: Step takes an event and
// returns actions. The engine does no I/O, reads no clock and starts no
// goroutine. Its driver passes the events and carries out the actions: package
// node/driver in the daemon, a simulation in tests.
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
	Service     string // service of the local upstream

	Random func(n int) int // number in [0, n), from a seeded source
	Token  func() string   // returns a new unguessable token

	Admit    admit.Builder
	Route    route.Builder
	Budget   retry.Builder
	Pressure pressure.Builder
	Keys     idempotency.Ledger
	// ParseOwner returns the owner encoded in an idempotency key.
	ParseOwner func(key string) (idempotency.Owner, bool)
}

// Engine is not safe for concurrent use.
type Engine struct {
	cfg       Config
	policy    *policy.Policy
	admission admit.Controller // nil until a policy configures the local service
	router    route.Router
	budget    retry.Budget
	pressure  pressure.Table
	keys      idempotency.Ledger

	hosts       map[member.HostID]member.Host
	services    map[string][]member.HostID
	departed    map[member.HostID]uint64 // incarnation that announced its departure
	loads       map[member.HostID]loadReport
	recent      *recentRequests
	leaving     bool
	entries     map[call.ID]*entryCall
	localCalls  map[call.ID]*localCall
	byToken     map[string]*localCall
	byKey       map[string]*localCall
	duplicateOf map[call.ID]*localCall
	actions     []Action
	latestNow   time.Time
}

// loadReport is the latest load that a host reported.
type loadReport struct {
	at     time.Time
	report route.Report
}

// New returns an engine without configuration. It rejects all calls as not run
// until the first PolicyChanged.
func New(cfg Config) *Engine {
	self := route.Locality{Host: cfg.Host, Zone: cfg.Zone, Region: cfg.Region}
	return &Engine{
		cfg:         cfg,
		router:      cfg.Route(self, cfg.Random),
		budget:      cfg.Budget(),
		pressure:    cfg.Pressure(cfg.Random),
		keys:        cfg.Keys,
		hosts:       make(map[member.HostID]member.Host),
		services:    make(map[string][]member.HostID),
		departed:    make(map[member.HostID]uint64),
		loads:       make(map[member.HostID]loadReport),
		recent:      newRecentRequests(),
		entries:     make(map[call.ID]*entryCall),
		localCalls:  make(map[call.ID]*localCall),
		byToken:     make(map[string]*localCall),
		byKey:       make(map[string]*localCall),
		duplicateOf: make(map[call.ID]*localCall),
	}
}

// Step handles one event and returns the actions to carry out, in order. If now
// is before the time of an earlier call, that time is used instead.
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
	case KeyQueried:
		e.keyQueried(now, ev)
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
	case ProcessResumed:
		e.processResumed(now)
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
	if e.admission == nil {
		e.admission = e.cfg.Admit(service, p.Callers)
		return
	}
	e.admission.SetPolicy(now, service, p.Callers)
}

// healthProbed acts only on draining. The health of the upstream is derived from
// traffic, since its health endpoint may be late or wrong.
func (e *Engine) healthProbed(now time.Time, ev HealthProbed) {
	if ev.Draining {
		e.upstreamDraining(now)
	}
}

// upstreamDraining stops new work because the local upstream is draining.
func (e *Engine) upstreamDraining(now time.Time) {
	if e.leaving {
		return
	}
	e.leave(now)
	e.emit(SelfLeaving{})
}

// leave stops new work on this host for the rest of the life of the process.
func (e *Engine) leave(now time.Time) {
	e.leaving = true
	e.departed[e.cfg.Host] = e.cfg.Incarnation
	e.updateRouter(now, e.cfg.Service)
}

// tick expires overdue calls and keys. The driver ends attempts and runs at
// their deadlines; tick covers those whose end it did not report.
func (e *Engine) tick(now time.Time) {
	e.keys.Tick(now)
	e.recent.sweep(now)
	e.expireEntries(now, expiryGrace)
	e.expireDuplicates(now)
	if e.admission != nil {
		e.applyDecisions(now, e.admission.Tick(now))
	}
}

// processResumed discards the state that became outdated during a pause of the
// process, before any further decision is based on it.
func (e *Engine) processResumed(now time.Time) {
	e.pressure.Reset()
	e.router.Reset(now)
	clear(e.loads)
	e.expireEntries(now, 0)
	e.expireDuplicates(now)
	if e.admission != nil {
		e.applyDecisions(now, e.admission.RejectQueued(now, pausedReason))
	}
}

// Idle reports whether no call is in flight, which completes a planned stop.
func (e *Engine) Idle() bool {
	return len(e.entries) == 0 && len(e.localCalls) == 0 && len(e.duplicateOf) == 0
}

// Stats is a snapshot of the engine for the status that operators read.
type Stats struct {
	Revision   uint64
	Leaving    bool
	Calls      int // calls from callers and from the local upstream, in flight
	Runs       int // calls to the local upstream, running or queued
	Keys       int
	KeyBytes   int64
	Load       admit.Load
	Thresholds map[string]call.Rank // admission threshold of the local upstream by caller
}

// Stats returns a snapshot.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Leaving: e.leaving, Calls: len(e.entries), Runs: len(e.localCalls)}
	s.Keys, s.KeyBytes = e.keys.Len()
	if e.policy == nil {
		return s
	}
	s.Revision = e.policy.Revision
	if e.admission == nil {
		return s
	}
	s.Load = e.admission.Load(now)
	s.Thresholds = make(map[string]call.Rank, len(e.policy.Callers))
	for name := range e.policy.Callers {
		s.Thresholds[name] = e.admission.Threshold(now, name)
	}
	return s
}

// sortedIDs returns the keys of a map of calls in ascending order, so that no
// decision depends on the iteration order of the map.
func sortedIDs[V any](m map[call.ID]V) []call.ID {
	return slices.Sorted(maps.Keys(m))
}
