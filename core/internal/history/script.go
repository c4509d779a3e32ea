package history

import (
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// Fault is a fault of the fault matrix.
type Fault string

// Faults of a script.
const (
	SlowDeep      Fault = "slow"
	Surge         Fault = "surge"
	ClientRetries Fault = "client-retries"
	PlatformDown  Fault = "platform-down" // while a host restarts
	PlatformStale Fault = "platform-stale"
	Pause         Fault = "pause"
	Partition     Fault = "partition"
	Silence       Fault = "silence"
	Crash         Fault = "crash"
	Replacement   Fault = "replacement"
	Misleading    Fault = "misleading-health"
	Drain         Fault = "drain"
)

// Faults lists all faults of a script.
var Faults = []Fault{
	SlowDeep, Surge, ClientRetries, PlatformDown, PlatformStale, Pause,
	Partition, Silence, Crash, Replacement, Misleading, Drain,
}

// Step is a step of a call at which a script causes a fault.
type Step string

// Steps of a script. At StepRoute and StepAdmit the fault begins before the
// decision, at StepConnect before the connection is tried, and at the others
// while the call is in the step.
const (
	StepRoute   Step = "route"
	StepConnect Step = "connect"
	StepSend    Step = "send"
	StepAdmit   Step = "admit"
	StepQueue   Step = "queue"
	StepRun     Step = "run"
	StepAnswer  Step = "answer"
	StepRetry   Step = "retry"
	StepStart   Step = "start" // a process has started
	StepStop    Step = "stop"  // a planned stop is under way
)

// Steps lists all steps of a script.
var Steps = []Step{
	StepRoute, StepConnect, StepSend, StepAdmit, StepQueue, StepRun, StepAnswer, StepRetry, StepStart, StepStop,
}

// Cue is one fault at one step.
type Cue struct {
	Fault Fault
	Step  Step
}

// Times of a script. Its calls begin in a burst, so that some of them wait,
// and go on until the end of the call phase.
const (
	burstAt    = 100 * time.Millisecond
	burstCalls = 20
	faultTime  = 700 * time.Millisecond
	cueSpread  = 10 // a cue is taken at one of the first steps of its kind
)

// script causes faults at steps.
type script struct {
	cues      []Cue
	skip      int // steps to let pass before the next cue
	downUntil time.Duration
	lieUntil  time.Duration
}

// play schedules the calls of a script and what its steps need: losses for
// retries, a restart for the start and a drain for the stop.
func (w *world) play() {
	w.script.cues = w.opt.Script
	w.nextCue()
	for range burstCalls {
		w.after(burstAt+w.between(0, 20*time.Millisecond), w.request)
	}
	for _, cue := range w.opt.Script {
		switch cue.Step {
		case StepRetry:
			w.net.lossyUntil = time.Second
		case StepStart:
			w.after(2*burstAt, func() { w.crashFor(w.anyIndex(), 50*time.Millisecond) })
		case StepStop:
			w.after(2*burstAt, func() { w.drain(w.anyIndex()) })
		}
	}
}

func (w *world) nextCue() {
	w.script.skip = w.rng.IntN(cueSpread)
	if len(w.script.cues) == 0 {
		return
	}
	if step := w.script.cues[0].Step; step == StepStart || step == StepStop || step == StepRetry || step == StepQueue {
		w.script.skip = 0
	}
}

// due reports whether the next fault is due at this step, and takes it.
func (w *world) due(step Step) (Fault, bool) {
	s := &w.script
	if len(s.cues) == 0 || s.cues[0].Step != step || w.now < burstAt {
		return "", false
	}
	if s.skip > 0 {
		s.skip--
		return "", false
	}
	fault := s.cues[0].Fault
	s.cues = s.cues[1:]
	w.nextCue()
	w.stats.Faults++
	w.trace("script: %s at %s", fault, step)
	return fault, true
}

// interrupted causes a fault before an event is delivered, which is then
// delivered again unless its process has ended.
func (n *node) interrupted(step Step, deliver func() engine.Event) bool {
	fault, due := n.w.due(step)
	if !due {
		return false
	}
	epoch := n.epoch
	n.w.cause(fault, n)
	if n.epoch == epoch {
		n.post(0, deliver)
	}
	return true
}

// observe causes the faults whose step is an action.
func (n *node) observe(action engine.Action) {
	w := n.w
	if reply, ok := action.(engine.AnswerPeer); ok {
		n.finishesWork(reply)
	}
	if len(w.script.cues) == 0 {
		return
	}
	switch a := action.(type) {
	case engine.Record:
		switch a.Kind {
		case engine.DecisionQueue:
			n.causeSoon(StepQueue, n)
		case engine.DecisionRetry:
			n.causeSoon(StepRetry, w.byHost[a.Host])
		}
	case engine.SendCall:
		n.causeSoon(StepSend, []*node{n, w.byHost[a.Host.ID]}[w.rng.IntN(2)])
		if to := w.byHost[a.Host.ID]; to != n {
			if fault, due := w.due(StepConnect); due {
				w.cause(fault, to)
			}
		}
	case engine.RunUpstream:
		n.causeSoon(StepRun, n)
	case engine.AnswerPeer:
		n.causeSoon(StepAnswer, []*node{n, n.peers[uint64(a.ID)].attempt.from}[w.rng.IntN(2)])
	}
}

// finishesWork requires that only work which arrived after the host began to
// leave is refused for that.
func (n *node) finishesWork(a engine.AnswerPeer) {
	p := n.peers[uint64(a.ID)]
	if p == nil || a.Reply.Refusal == nil || a.Reply.Refusal.Reason != verdict.Leaving {
		return
	}
	n.w.check.require(n.draining && p.arrivedAt >= n.drainedAt,
		"%s refuses call %d as leaving, which arrived before", n.host.ID, p.id)
}

// causeSoon causes a fault that is due right after the present event.
func (n *node) causeSoon(step Step, victim *node) {
	if fault, due := n.w.due(step); due {
		n.w.after(0, func() { n.w.cause(fault, victim) })
	}
}

// cause begins a fault that is centred on one host.
func (w *world) cause(fault Fault, n *node) {
	until := w.now + faultTime
	switch fault {
	case SlowDeep:
		w.slowDeep(until)
	case Surge:
		for range 3 * burstCalls {
			w.after(w.between(0, 50*time.Millisecond), w.request)
		}
	case ClientRetries:
		w.repeatAll()
	case PlatformDown:
		w.script.downUntil = until
		w.crashFor(n, w.between(0, 20*time.Millisecond))
	case PlatformStale:
		for _, m := range w.nodes {
			m.post(w.between(0, 20*time.Millisecond), func() engine.Event {
				return engine.HostsChanged{Hosts: w.list(m, true)}
			})
		}
	case Pause:
		w.pause(n, w.between(100*time.Millisecond, 1500*time.Millisecond))
	case Partition:
		w.partition(n, w.anyIndex(), until)
		w.isolate(w.anyIndex(), until)
	case Silence:
		w.silence(n, until)
	case Crash:
		w.crashFor(n, faultTime)
	case Replacement:
		w.crashFor(n, w.between(0, 20*time.Millisecond))
	case Misleading:
		n.slowUntil, n.slowBy, w.script.lieUntil = until, w.between(20*time.Millisecond, time.Second), until
		for i, m := range w.nodes {
			m.post(0, func() engine.Event { return engine.HealthProbed{Healthy: i%2 == 0} })
		}
	case Drain:
		w.drainAgain(n)
	}
}

// drainAgain starts a planned stop, or asks for it once more.
func (w *world) drainAgain(n *node) {
	if n.draining {
		n.post(0, func() engine.Event { return engine.DrainStarted{} })
	}
	w.drain(n)
}

// slowDeep slows the service that is called by the other one.
func (w *world) slowDeep(until time.Duration) {
	for _, m := range w.nodes {
		if m.host.Service == ledger {
			m.slowUntil, m.slowBy = until, w.between(20*time.Millisecond, 1200*time.Millisecond)
		}
	}
}

// silence makes all connections of a host silent.
func (w *world) silence(n *node, until time.Duration) {
	w.trace("silent connections at %s", n.host.ID)
	for _, m := range w.nodes {
		w.net.silent[[2]int{n.index, m.index}] = until
		w.net.silent[[2]int{m.index, n.index}] = until
	}
}

// repeatAll is every caller that waits for an answer sending its request again
// several times.
func (w *world) repeatAll() {
	for _, e := range append([]*entry(nil), w.check.entries...) {
		if e.answers > 0 || e.abandoned || e.spec.Egress || e.spec.Path == signPath {
			continue
		}
		for range 4 {
			w.after(w.between(0, 200*time.Millisecond), func() { w.repeatRead(e) })
		}
	}
	for _, a := range w.check.actions {
		for range 4 {
			w.after(w.between(0, 200*time.Millisecond), a.submit)
		}
	}
}

// learn gives a process that starts its configuration and list, once the
// platform answers.
func (n *node) learn() {
	wait := n.w.script.downUntil - n.w.now
	n.configured = wait <= 0
	if n.configured {
		n.step(engine.PolicyChanged{Policy: n.w.policy})
		n.step(engine.HostsChanged{Hosts: n.w.list(n, false)})
		return
	}
	n.post(wait, func() engine.Event {
		n.configured = true
		return engine.PolicyChanged{Policy: n.w.policy}
	})
	n.post(wait, func() engine.Event { return engine.HostsChanged{Hosts: n.w.list(n, false)} })
}

// mislead changes a reported load while health and load mislead.
func (w *world) mislead(reply *engine.Reply) {
	if w.now < w.script.lieUntil {
		reply.Load = []route.Report{{Limit: 1 << 20}, {Running: 1 << 20, Queued: 1 << 20, Limit: 1}}[w.rng.IntN(2)]
	}
}
