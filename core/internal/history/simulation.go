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

// Phases of a history. Random faults and most calls start within callPhase; at
// healAt all faults end; no event happens after timeLimit.
const (
	callPhase = 2 * time.Second
	healAt    = 4 * time.Second
	timeLimit = 25 * time.Second
)

// Options select a history and the defects that a test adds to it.
type Options struct {
	Seed uint64
	// Trace receives a line for each event and action except ticks and
	// records, and for each fault.
	Trace func(line string)
	// Ledger wraps the ledger of idempotency keys of each process.
	Ledger func(idempotency.Ledger) idempotency.Ledger
	// Admit wraps the admission controller of each process.
	Admit func(admit.Controller) admit.Controller
	// Call modifies a call between nodes in transit.
	Call func(*engine.PeerCall)
	// Reply modifies the reply to a call between nodes in transit.
	Reply func(engine.PeerCall, *engine.Reply)
	// Route wraps the router of each process.
	Route func(route.Router) route.Router
	// Script injects these faults one after the other instead of random ones.
	Script []InjectedFault
	// Records counts the records of calls that an engine holds; it must be zero at
	// the end. If Records is nil, only Engine.Stats is checked.
	Records func(*engine.Engine) int
}

// Stats counts what a history exercised.
type Stats struct {
	Calls, Answered, ReportedNotRun, Runs, AtMostOnceRuns, Replays, ExtraAttempts, Fences, Faults, Steps int
}

// Add adds the counts of o.
func (s *Stats) Add(o Stats) {
	s.Calls += o.Calls
	s.Answered += o.Answered
	s.ReportedNotRun += o.ReportedNotRun
	s.Runs += o.Runs
	s.AtMostOnceRuns += o.AtMostOnceRuns
	s.Replays += o.Replays
	s.ExtraAttempts += o.ExtraAttempts
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

type simulation struct {
	opt              Options
	rng              *rand.Rand
	now              time.Duration
	order            uint64
	timers           timers
	nodes            []*node
	byHost           map[member.HostID]*node
	policy           *policy.Policy
	net              network
	check            checker
	stats            Stats
	script           script
	serial           int // number of the last request
	keyLifetime      time.Duration
	maxKeys          int
	maxBytes         int64
	unlimitedRetries bool // nodes have an unlimited retry budget
}

// Run runs one history. Its error is the first violation of an invariant.
func Run(opt Options) (Stats, error) {
	sim := &simulation{
		opt:    opt,
		rng:    rand.New(rand.NewPCG(opt.Seed, 0x746f7563616e)),
		byHost: map[member.HostID]*node{},
		net:    network{partitioned: map[[2]int]time.Duration{}, stalled: map[[2]int]time.Duration{}},
	}
	sim.check.init(sim)
	sim.configure()
	sim.createNodes()
	sim.scheduleCalls()
	if opt.Script == nil {
		sim.scheduleFaults()
	} else {
		sim.scheduleScript()
	}
	sim.after(healAt, sim.heal)
	sim.runEvents()
	sim.check.checkEnd()
	if sim.check.violation != "" {
		return sim.stats, fmt.Errorf("seed %d at %v: %s", opt.Seed, sim.now, sim.check.violation)
	}
	return sim.stats, nil
}

func (sim *simulation) runEvents() {
	for len(sim.timers) > 0 && sim.check.violation == "" {
		next := heap.Pop(&sim.timers).(timer)
		if next.at > timeLimit {
			return
		}
		sim.now = next.at
		if sim.quiescent() {
			return
		}
		next.run()
	}
}

// quiescent reports whether no events other than ticks are left.
func (sim *simulation) quiescent() bool {
	if sim.now < healAt+time.Second || sim.check.openCalls > 0 || sim.net.inFlight > 0 {
		return false
	}
	for _, n := range sim.nodes {
		if n.up && (!n.eng.Idle() || len(n.runs) > 0) {
			return false
		}
	}
	return true
}

func (sim *simulation) at(t time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.timers, timer{at: max(t, sim.now), order: sim.order, run: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now+d, run) }

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

// between returns a random duration in [low, high).
func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)))
}

func (sim *simulation) trace(format string, args ...any) {
	if sim.opt.Trace != nil {
		sim.opt.Trace(fmt.Sprintf("%9.3fms ", float64(sim.now)/float64(time.Millisecond)) + fmt.Sprintf(format, args...))
	}
}

// node is one host with its node process and its upstream.
type node struct {
	sim           *simulation
	index         int
	host          member.Host
	eng           *engine.Engine
	up            bool
	generation    int // incremented by each start and crash of the process
	pausedUntil   time.Duration
	resumePending bool // the end of a pause must still be delivered to the engine
	pausedAt      time.Duration
	configured    bool
	skew          time.Duration // offset of the host's clock
	lastID        uint64
	ticks         int
	draining      bool
	drainedAt     time.Duration
	slowUntil     time.Duration
	slowBy        time.Duration
	entries       map[uint64]*entryCall
	peers         map[uint64]*peerCall
	runs          map[uint64]*run
	attempts      map[attemptID]*attempt
	replies       map[uint64]func(engine.Action)
	recent        map[string]time.Duration
	keys          idempotency.Ledger
	leaving       map[member.HostID]uint64 // newest incarnation of each host that announced to this process that it is leaving
}

func (n *node) clock() time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.sim.now + n.skew)
}

func (n *node) nextID() uint64 {
	n.lastID++
	return n.lastID
}

// boot starts a node process with a new incarnation and empty state.
func (n *node) boot() {
	sim := n.sim
	n.generation++
	n.up = true
	n.host.Incarnation++
	n.lastID = 0
	n.draining, n.resumePending, n.pausedUntil = false, false, 0
	n.entries, n.peers = map[uint64]*entryCall{}, map[uint64]*peerCall{}
	n.runs, n.attempts = map[uint64]*run{}, map[attemptID]*attempt{}
	n.leaving = map[member.HostID]uint64{}
	n.replies, n.recent = map[uint64]func(engine.Action){}, map[string]time.Duration{}
	source := rand.New(rand.NewPCG(sim.opt.Seed, uint64(n.index)<<32|n.host.Incarnation))
	n.eng = engine.New(sim.engineConfig(n, source))
	sim.trace("%s starts incarnation %d", n.host.ID, n.host.Incarnation)
	n.loadConfiguration()
	n.tick(n.generation)
	n.injectAfterEvent(StepStart, n)
}

// idleTickInterval is the interval between the ticks that an idle engine gets, as
// a number of tick intervals. The other ticks are left out to save time.
const idleTickInterval = 10

func (n *node) tick(generation int) {
	if n.generation != generation {
		return
	}
	n.ticks++
	due := n.resumePending || n.ticks%idleTickInterval == 0 || !n.eng.Idle()
	if due && n.sim.now >= n.pausedUntil {
		n.step(engine.Tick{})
	}
	n.sim.after(engine.TickInterval, func() { n.tick(generation) })
}

// post delivers an event after a delay, unless the process has ended by then.
// A paused process receives it when the pause ends.
func (n *node) post(delay time.Duration, event func() engine.Event) {
	generation := n.generation
	var deliver func()
	deliver = func() {
		if n.generation != generation {
			return
		}
		if n.sim.now < n.pausedUntil {
			n.sim.at(n.pausedUntil+n.sim.between(0, engine.TickInterval), deliver)
			return
		}
		if ev := event(); ev != nil {
			n.step(ev)
		}
	}
	n.sim.after(delay, deliver)
}

func (n *node) step(event engine.Event) {
	// Events that queued up may be handled before the process notices the pause.
	if _, isTick := event.(engine.Tick); n.resumePending && (isTick || n.sim.chance(50)) {
		n.resumePending = false
		n.step(engine.ProcessResumed{Gap: n.sim.now - n.pausedAt})
	}
	traced := n.sim.opt.Trace != nil
	if _, isTick := event.(engine.Tick); traced && !isTick {
		n.sim.trace("%s <- %T%+v", n.host.ID, event, event)
	}
	n.sim.stats.Steps++
	for _, action := range n.eng.Step(n.clock(), event) {
		if _, isRecord := action.(engine.Record); traced && !isRecord {
			n.sim.trace("%s -> %T%+v", n.host.ID, action, action)
		}
		n.injectFaults(action)
		n.execute(action)
	}
}
