// Package driver runs the decision engine: it passes events to the engine one at
// a time, under a mutex, and carries out the returned actions outside it.
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
	// failure is set; the driver sets ID and Attempt. With fresh, the attempt
	// uses no connection that may be stalled.
	Call(ctx context.Context, host member.Host, fresh bool, c engine.PeerCall, p Payload) (*engine.Reply, *engine.PeerFailed)
	// IssueKey requests an idempotency key from a host.
	IssueKey(ctx context.Context, host member.Host, service, caller string) (string, *verdict.Refusal)
	// QueryKey queries the state of a key at its owner. With fence, the key is
	// fenced if it is unseen or queued.
	QueryKey(ctx context.Context, host member.Host, key, caller string, fence bool) (KeyState, error)
}

// Run is a request to the local upstream.
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

// Upstream runs requests on the local upstream. Run returns
// engine.UpstreamReplied or engine.UpstreamFailed; the driver sets the ID.
// Implementations are safe for concurrent use.
type Upstream interface {
	Run(ctx context.Context, r Run) engine.Event
}

// Observer receives the decisions of the engine and the ends of calls.
// Implementations are safe for concurrent use and never block.
type Observer interface {
	Record(r engine.Record)
	Answered(a Answered)
}

// Answered describes the end of a call from a caller or from the local upstream.
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

// Config configures a Driver. Now is time.Now if nil.
type Config struct {
	Self        member.HostID
	Incarnation uint64
	Engine      Engine
	Peers       Peers
	Upstream    Upstream
	Observer    Observer
	Now         func() time.Time
	// PeerLeaving is called when a host has announced its departure.
	PeerLeaving func(host member.HostID, incarnation uint64)
	// SelfLeaving announces that this host is leaving, since its upstream is
	// draining.
	SelfLeaving func()
	// OnResume is called when this process has resumed after a pause of length gap.
	OnResume func(gap time.Duration)
}

// Driver is safe for concurrent use.
type Driver struct {
	cfg      Config
	workers  *workers
	nextID   atomic.Uint64
	inFlight atomic.Int64 // calls whose client still waits
	started  chan struct{}

	mu      sync.Mutex
	entries map[call.ID]*entry
	hosts   map[member.HostID]member.Host
	pauses  pause.Detector
}

// New returns a driver. Afterwards the engine may only be used through the
// driver; see With.
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

// entry is the state of one call in the driver until the call ends.
type entry struct {
	run      Run
	peerCall bool
	service  string
	started  time.Time
	expires  time.Time // when Sweep removes a cancelled peer call
	result   chan any  // receives the action that ends the call; has capacity 1

	importance   call.Importance
	caller       string // as recorded by the engine: for an outgoing call, the caller of its parent call
	kind         string
	host         member.HostID // of the last attempt
	disconnected bool          // the client no longer waits
	answered     bool
	running      bool
	cancelRun    context.CancelFunc
	attempts     []attempt
}

type attempt struct {
	number int
	cancel context.CancelFunc
}

// finished reports whether the entry can be removed. A peer call whose client has
// disconnected stays until the engine answers it or Sweep removes it.
func (e *entry) finished() bool {
	return !e.running && len(e.attempts) == 0 && (e.answered || e.disconnected && !e.peerCall)
}

// Step passes an event to the engine and carries out the returned actions.
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
	// The engine handles the pause first, so that no decision is based on state
	// that became outdated during it. Ticks keep the gap between events short, so
	// a long gap means a pause.
	t := tasks{immediate: []func(){func() { d.cfg.OnResume(gap) }}}
	t.add(d.prepare(now, d.cfg.Engine.Step(now, engine.ProcessResumed{Gap: gap})))
	t.add(d.prepare(now, d.cfg.Engine.Step(now, event)))
	return t
}

// handle registers a call, passes its first event to the engine and returns the
// action that ends the call, or nil if the client disconnects first. The first
// blocking task of the event runs on this goroutine, which waits anyway: each
// hand-over to another goroutine adds latency.
func (d *Driver) handle(ctx context.Context, id call.ID, e *entry, event engine.Event) any {
	d.mu.Lock()
	d.entries[id] = e
	t := d.stepLocked(event)
	d.mu.Unlock()
	if len(t.blocking) > 0 {
		first := t.blocking[0]
		t.blocking = t.blocking[1:]
		d.perform(t)
		stop := context.AfterFunc(ctx, func() { d.cancelled(id, e) })
		first()
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

// cancelled reports to the engine, once for each call, that the client has
// disconnected.
func (d *Driver) cancelled(id call.ID, e *entry) {
	d.mu.Lock()
	if e.disconnected {
		d.mu.Unlock()
		return
	}
	e.disconnected = true
	t := d.stepLocked(engine.Cancelled{ID: id})
	d.removeIfFinished(id, e)
	d.mu.Unlock()
	d.perform(t)
}

// removeIfFinished removes the entry of a call in which nothing is left to do.
func (d *Driver) removeIfFinished(id call.ID, e *entry) {
	if e.finished() {
		delete(d.entries, id)
	}
}

// Close ends the idle goroutines of the driver.
func (d *Driver) Close() { d.workers.close() }

// Sweep removes cancelled peer calls whose deadline has passed.
func (d *Driver) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.entries {
		if e.disconnected && !e.running && now.After(e.expires) {
			delete(d.entries, id)
		}
	}
}

// SetHosts replaces the hosts of all services, by service.
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

// countCall counts a call as in flight and signals Started if it is the only one.
func (d *Driver) countCall() {
	if d.inFlight.Add(1) > 1 {
		return
	}
	select {
	case d.started <- struct{}{}:
	default:
	}
}

// Waiting reports whether a client waits for a call.
func (d *Driver) Waiting() bool { return d.inFlight.Load() > 0 }

// Started receives a value when a call arrives while no client waits.
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

// With calls f while no event is processed, for access to the engine's state.
func (d *Driver) With(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *Driver) newID() call.ID { return call.ID(d.nextID.Add(1)) }
