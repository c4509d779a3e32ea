// Package driver runs the decision engine: it serialises events under one
// mutex and carries out the returned actions outside it.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/member"
	"toucangw.example/core/pause"
	"toucangw.example/core/verdict"
)

// Engine is the part of engine.Engine that the driver uses.
type Engine interface {
	Step(now time.Time, event engine.Event) []engine.Action
	Idle() bool
}

// Payload is the body of a request.
type Payload struct {
	ContentType string
	Body        []byte
}

// Peers sends calls to other nodes. Implementations are safe for concurrent
// use.
type Peers interface {
	// Call sends one attempt and waits for the reply. Exactly one of reply and
	// failure is set; ID and Attempt are left to the caller.
	Call(ctx context.Context, host member.Host, fresh bool, c engine.PeerCall, p Payload) (*engine.Reply, *engine.PeerFailed)
	// IssueKey asks a host for a key.
	IssueKey(ctx context.Context, host member.Host, service, caller string) (string, *verdict.Refusal)
	// QueryKey asks the owner of a key for its state.
	QueryKey(ctx context.Context, host member.Host, key, caller string, fence bool) (KeyState, error)
}

// Run is a request to the guarded upstream.
type Run struct {
	Method     string
	Path       string
	RequestID  string
	Caller     string
	Key        string
	Token      string
	Idempotent bool
	Deadline   time.Time
	Payload    Payload
}

// Upstream runs requests on the guarded upstream. It returns
// engine.UpstreamReplied or engine.UpstreamFailed; the driver sets the ID.
// Implementations are safe for concurrent use.
type Upstream interface {
	Run(ctx context.Context, r Run) engine.Event
}

// Observer is told what the engine decides. Implementations are safe for
// concurrent use and never block.
type Observer interface {
	Record(r engine.Record)
	Answered(a Answered)
}

// Answered describes the end of a call that a caller or the local upstream
// made.
type Answered struct {
	RequestID  string
	Service    string
	Caller     string
	Kind       string
	Host       member.HostID // of the last attempt; empty if none was made
	Importance call.Importance
	Refusal    *verdict.Refusal // nil for an answer
	Latency    time.Duration
}

// Config lists what a Driver needs. Now is time.Now outside tests.
type Config struct {
	Self        member.HostID
	Incarnation uint64
	Engine      Engine
	Peers       Peers
	Upstream    Upstream
	Observer    Observer
	Now         func() time.Time
	// PeerLeaving passes on what a host said of itself.
	PeerLeaving func(host member.HostID, incarnation uint64)
	// SelfLeaving announces that this host is leaving.
	SelfLeaving func()
	// Woke is told of a pause of this process.
	Woke func(gap time.Duration)
}

// Driver is safe for concurrent use.
type Driver struct {
	cfg      Config
	workers  *workers
	nextID   atomic.Uint64
	inFlight atomic.Int64 // calls whose sender still waits
	started  chan struct{}

	mu      sync.Mutex
	entries map[call.ID]*entry
	hosts   map[member.HostID]member.Host
	pauses  pause.Detector
}

// New returns a driver. The engine must not be used by others afterwards.
func New(cfg Config) *Driver {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Driver{
		cfg:     cfg,
		workers: newWorkers(),
		started: make(chan struct{}, 1),
		entries: make(map[call.ID]*entry),
		hosts:   make(map[member.HostID]member.Host),
	}
}

// entry holds what the runtime knows of one call until the call ends.
type entry struct {
	run      Run
	peerCall bool
	service  string
	started  time.Time
	expires  time.Time // when a cancelled peer call is forgotten
	result   chan any  // the action that ends the call; holds one

	importance call.Importance
	caller     string // as the engine knows it: that of the parent for an outgoing call
	kind       string
	host       member.HostID // of the last attempt
	gone       bool          // the sender no longer waits
	answered   bool
	running    bool
	cancelRun  context.CancelFunc
	attempts   []attempt
}

type attempt struct {
	number int
	cancel context.CancelFunc
}

func (e *entry) finished() bool {
	return !e.running && len(e.attempts) == 0 && (e.answered || e.gone && !e.peerCall)
}

// Step hands an event to the engine and carries out the actions.
func (d *Driver) Step(event engine.Event) {
	d.mu.Lock()
	t := d.stepLocked(event)
	d.mu.Unlock()
	d.perform(t)
}

func (d *Driver) stepLocked(event engine.Event) tasks {
	now := d.cfg.Now()
	gap := d.pauses.Tick(now)
	if gap == 0 {
		return d.prepare(now, d.cfg.Engine.Step(now, event))
	}
	// The pause is handled before anything else is decided on knowledge from
	// before it. Without pauses, ticks keep the gap between events short.
	t := tasks{quick: []func(){func() { d.cfg.Woke(gap) }}}
	t.add(d.prepare(now, d.cfg.Engine.Step(now, engine.ProcessResumed{Gap: gap})))
	t.add(d.prepare(now, d.cfg.Engine.Step(now, event)))
	return t
}

// handle registers a call, hands its first event to the engine and returns the
// action that ends the call, or nil when the sender went away first. A send or
// run that the event leads to happens on this goroutine, which waits anyway:
// each hand-over to another goroutine costs latency.
func (d *Driver) handle(ctx context.Context, id call.ID, e *entry, event engine.Event) any {
	d.mu.Lock()
	d.entries[id] = e
	t := d.stepLocked(event)
	d.mu.Unlock()
	if len(t.slow) > 0 {
		own := t.slow[0]
		t.slow = t.slow[1:]
		d.perform(t)
		stop := context.AfterFunc(ctx, func() { d.cancelled(id, e) })
		own()
		stop()
	} else {
		d.perform(t)
	}
	select {
	case action := <-e.result:
		return action
	case <-ctx.Done():
		d.cancelled(id, e)
		return nil
	}
}

// cancelled tells the engine once that the sender of a call went away.
func (d *Driver) cancelled(id call.ID, e *entry) {
	d.mu.Lock()
	if e.gone {
		d.mu.Unlock()
		return
	}
	e.gone = true
	t := d.stepLocked(engine.Cancelled{ID: id})
	d.forget(id, e)
	d.mu.Unlock()
	d.perform(t)
}

func (d *Driver) forget(id call.ID, e *entry) {
	if e.finished() {
		delete(d.entries, id)
	}
}

// Close ends the goroutines of the driver that wait for work.
func (d *Driver) Close() { d.workers.close() }

// Sweep forgets cancelled peer calls whose deadline has passed.
func (d *Driver) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.entries {
		if e.gone && !e.running && now.After(e.expires) {
			delete(d.entries, id)
		}
	}
}

// SetHosts replaces the hosts that calls may go to.
func (d *Driver) SetHosts(hosts map[string][]member.Host) {
	byID := make(map[member.HostID]member.Host)
	for _, list := range hosts {
		for _, h := range list {
			byID[h.ID] = h
		}
	}
	d.mu.Lock()
	d.hosts = byID
	t := d.stepLocked(engine.HostsChanged{Hosts: hosts})
	d.mu.Unlock()
	d.perform(t)
}

// begin counts a call.
func (d *Driver) begin() {
	if d.inFlight.Add(1) > 1 {
		return
	}
	select {
	case d.started <- struct{}{}:
	default:
	}
}

// Waiting reports whether a sender waits for a call.
func (d *Driver) Waiting() bool { return d.inFlight.Load() > 0 }

// Started receives a value when a call arrives while no sender waits.
func (d *Driver) Started() <-chan struct{} { return d.started }

// Idle reports whether no call is in flight.
func (d *Driver) Idle() bool {
	if d.inFlight.Load() > 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		if e.running {
			return false
		}
	}
	return d.cfg.Engine.Idle()
}

// With calls f while no event is handled, for reading the engine's state.
func (d *Driver) With(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *Driver) newID() call.ID { return call.ID(d.nextID.Add(1)) }
