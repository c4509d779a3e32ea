// Package history drives several engines in one process through a generated
// history of calls and faults, on a fake clock, and checks what callers and
// upstreams observe. A seed determines the history.
package history

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/route"
)

// Phases of a history. Faults and calls start in the first phase; at the end
// of the second all faults are healed.
const (
	callPhase  = 2 * time.Second
	healTime   = 4 * time.Second
	lastMoment = 25 * time.Second
)

// Options select a history and what is deliberately broken in it.
type Options struct {
	Seed uint64
	// Trace gets a line for each event and action.
	Trace func(line string)
	// Ledger wraps the key table of each process.
	Ledger func(idempotency.Ledger) idempotency.Ledger
	// Admit wraps the admission of each process.
	Admit func(admit.Admitter) admit.Admitter
	// Call changes a call between nodes on its way.
	Call func(*engine.PeerCall)
	// Reply changes the reply to a call between nodes on its way.
	Reply func(engine.PeerCall, *engine.Reply)
	// Route wraps the router of each process.
	Route func(route.Router) route.Router
	// Script causes these faults one after the other instead of random ones.
	Script []Cue
	// Records counts what an engine remembers of calls; nil for Stats only.
	Records func(*engine.Engine) int
}

// Stats counts what a history exercised.
type Stats struct {
	Calls, Answered, Told, Runs, OnceRuns, Replays, Extra, Fences, Faults, Steps int
}

// Add sums two counts.
func (s *Stats) Add(o Stats) {
	s.Calls += o.Calls
	s.Answered += o.Answered
	s.Told += o.Told
	s.Runs += o.Runs
	s.OnceRuns += o.OnceRuns
	s.Replays += o.Replays
	s.Extra += o.Extra
	s.Fences += o.Fences
	s.Faults += o.Faults
	s.Steps += o.Steps
}

type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

type world struct {
	opt      Options
	rng      *rand.Rand
	now      time.Duration
	order    uint64
	timers   timers
	nodes    []*node
	byHost   map[member.HostID]*node
	policy   *policy.Policy
	net      network
	check    checker
	stats    Stats
	script   script
	serial   int // numbers requests
	lifetime time.Duration
	maxKeys  int
	maxBytes int64
	generous bool // retry budget without bound
}

// Run plays one history and returns its first violation.
func Run(opt Options) (Stats, error) {
	w := &world{
		opt:    opt,
		rng:    rand.New(rand.NewPCG(opt.Seed, 0x746f7563616e)),
		byHost: map[member.HostID]*node{},
		net:    network{cut: map[[2]int]time.Duration{}, silent: map[[2]int]time.Duration{}},
	}
	w.check.init(w)
	w.configure()
	w.start()
	w.scheduleCalls()
	if opt.Script == nil {
		w.scheduleFaults()
	} else {
		w.play()
	}
	w.after(healTime, w.heal)
	w.loop()
	w.check.end()
	if w.check.violation != "" {
		return w.stats, fmt.Errorf("seed %d at %v: %s", opt.Seed, w.now, w.check.violation)
	}
	return w.stats, nil
}

func (w *world) loop() {
	for len(w.timers) > 0 && w.check.violation == "" {
		next := heap.Pop(&w.timers).(timer)
		if next.at > lastMoment {
			return
		}
		w.now = next.at
		if w.quiet() {
			return
		}
		next.run()
	}
}

// quiet reports whether nothing but ticks is left to happen.
func (w *world) quiet() bool {
	if w.now < healTime+time.Second || w.check.openCalls > 0 || w.net.inFlight > 0 {
		return false
	}
	for _, n := range w.nodes {
		if n.up && (!n.eng.Idle() || len(n.runs) > 0) {
			return false
		}
	}
	return true
}

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.timers, timer{at: max(t, w.now), order: w.order, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

// between returns a random duration in [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) trace(format string, args ...any) {
	if w.opt.Trace != nil {
		w.opt.Trace(fmt.Sprintf("%9.3fms ", float64(w.now)/float64(time.Millisecond)) + fmt.Sprintf(format, args...))
	}
}

// node is one host with its node process and its upstream.
type node struct {
	w           *world
	index       int
	host        member.Host
	eng         *engine.Engine
	up          bool
	epoch       int // changes with each start and crash
	pausedUntil time.Duration
	woke        bool // ProcessResumed is due before the next event
	pauseStart  time.Duration
	configured  bool
	skew        time.Duration // of the host's clock
	lastID      uint64
	ticks       int
	draining    bool
	drainedAt   time.Duration
	slowUntil   time.Duration
	slowBy      time.Duration
	entries     map[uint64]*entry
	peers       map[uint64]*peerCall
	runs        map[uint64]*run
	attempts    map[attemptID]*attempt
	replies     map[uint64]func(engine.Action)
	recent      map[string]time.Duration
	keys        idempotency.Ledger
	left        map[member.HostID]uint64 // incarnations that said here that they are leaving
}

func (n *node) clock() time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.w.now + n.skew)
}

func (n *node) nextID() uint64 {
	n.lastID++
	return n.lastID
}

// boot starts a node process with a new incarnation and empty state.
func (n *node) boot() {
	w := n.w
	n.epoch++
	n.up = true
	n.host.Incarnation++
	n.lastID = 0
	n.draining, n.woke, n.pausedUntil = false, false, 0
	n.entries, n.peers = map[uint64]*entry{}, map[uint64]*peerCall{}
	n.runs, n.attempts = map[uint64]*run{}, map[attemptID]*attempt{}
	n.left = map[member.HostID]uint64{}
	n.replies, n.recent = map[uint64]func(engine.Action){}, map[string]time.Duration{}
	source := rand.New(rand.NewPCG(w.opt.Seed, uint64(n.index)<<32|n.host.Incarnation))
	n.eng = engine.New(w.engineConfig(n, source))
	w.trace("%s starts incarnation %d", n.host.ID, n.host.Incarnation)
	n.learn()
	n.tick(n.epoch)
	n.causeSoon(StepStart, n)
}

// idleTicks is the number of ticks of an idle engine of which all but one are
// left out, to save time.
const idleTicks = 10

func (n *node) tick(epoch int) {
	if n.epoch != epoch {
		return
	}
	n.ticks++
	due := n.woke || n.ticks%idleTicks == 0 || !n.eng.Idle()
	if due && n.w.now >= n.pausedUntil {
		n.step(engine.Tick{})
	}
	n.w.after(engine.TickInterval, func() { n.tick(epoch) })
}

// post delivers an event after a delay, unless the process has ended by then.
// A paused process gets it when it wakes.
func (n *node) post(delay time.Duration, event func() engine.Event) {
	epoch := n.epoch
	var deliver func()
	deliver = func() {
		if n.epoch != epoch {
			return
		}
		if n.w.now < n.pausedUntil {
			n.w.at(n.pausedUntil+n.w.between(0, engine.TickInterval), deliver)
			return
		}
		if ev := event(); ev != nil {
			n.step(ev)
		}
	}
	n.w.after(delay, deliver)
}

func (n *node) step(event engine.Event) {
	// Backlog may be handled before the process notices that it was paused.
	if _, tick := event.(engine.Tick); n.woke && (tick || n.w.chance(50)) {
		n.woke = false
		n.step(engine.ProcessResumed{Gap: n.w.now - n.pauseStart})
	}
	traced := n.w.opt.Trace != nil
	if _, tick := event.(engine.Tick); traced && !tick {
		n.w.trace("%s <- %T%+v", n.host.ID, event, event)
	}
	n.w.stats.Steps++
	for _, action := range n.eng.Step(n.clock(), event) {
		if _, record := action.(engine.Record); traced && !record {
			n.w.trace("%s -> %T%+v", n.host.ID, action, action)
		}
		n.observe(action)
		n.act(action)
	}
}
