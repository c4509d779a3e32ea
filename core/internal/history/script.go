package history

import (
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// Fault is a kind of fault in the fault matrix.
type Fault string

// Kinds of faults.
const (
	SlowSubCalls       Fault = "slow"
	Surge              Fault = "surge"
	ClientRetries      Fault = "client-retries"
	PlatformDown       Fault = "platform-down" // platform unreachable while a host restarts
	PlatformStale      Fault = "platform-stale"
	Pause              Fault = "pause"
	Partition          Fault = "partition"
	StalledConnections Fault = "silence"
	Crash              Fault = "crash"
	Replacement        Fault = "replacement"
	MisleadingHealth   Fault = "misleading-health"
	Drain              Fault = "drain"
)

// Faults lists all kinds of faults.
var Faults = []Fault{
	SlowSubCalls, Surge, ClientRetries, PlatformDown, PlatformStale, Pause,
	Partition, StalledConnections, Crash, Replacement, MisleadingHealth, Drain,
}

// Step is a step of a call or of a process at which a script injects a fault.
type Step string

// Steps of a script. At StepRoute and StepAdmit the fault begins before the
// decision, at StepConnect before the connection attempt, and at the others
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
	StepStop    Step = "stop"  // a planned stop has started
)

// Steps lists all steps of a script.
var Steps = []Step{
	StepRoute, StepConnect, StepSend, StepAdmit, StepQueue, StepRun, StepAnswer, StepRetry, StepStart, StepStop,
}

// InjectedFault is a fault that a script injects at a step.
type InjectedFault struct {
	Fault Fault
	Step  Step
}

// Parameters of a script. A burst of calls makes some of them wait; further
// calls follow until the end of the call phase.
const (
	burstAt       = 100 * time.Millisecond
	burstCalls    = 20
	faultDuration = 700 * time.Millisecond
	skipRange     = 10 // a fault is injected at one of the first 10 occurrences of its step
)

// script is the state of the injected faults of a script.
type script struct {
	faults            []InjectedFault
	skip              int // occurrences of the step to skip before the next fault
	platformDownUntil time.Duration
	misleadingUntil   time.Duration
}

// scheduleScript schedules the calls of a script and the events that reach its
// steps: message loss for StepRetry, a restart for StepStart and a drain for
// StepStop.
func (sim *simulation) scheduleScript() {
	sim.script.faults = sim.opt.Script
	sim.prepareNextFault()
	for range burstCalls {
		sim.after(burstAt+sim.between(0, 20*time.Millisecond), sim.startRequest)
	}
	for _, injected := range sim.opt.Script {
		switch injected.Step {
		case StepRetry:
			sim.net.lossyUntil = time.Second
		case StepStart:
			sim.after(2*burstAt, func() { sim.crashFor(sim.randomNode(), 50*time.Millisecond) })
		case StepStop:
			sim.after(2*burstAt, func() { sim.drain(sim.randomNode()) })
		}
	}
}

func (sim *simulation) prepareNextFault() {
	sim.script.skip = sim.rng.IntN(skipRange)
	if len(sim.script.faults) == 0 {
		return
	}
	if step := sim.script.faults[0].Step; step == StepStart || step == StepStop || step == StepRetry || step == StepQueue {
		sim.script.skip = 0
	}
}

// takeFault reports whether the next fault of the script is due at this step,
// and removes it from the script if so.
func (sim *simulation) takeFault(step Step) (Fault, bool) {
	s := &sim.script
	if len(s.faults) == 0 || s.faults[0].Step != step || sim.now < burstAt {
		return "", false
	}
	if s.skip > 0 {
		s.skip--
		return "", false
	}
	fault := s.faults[0].Fault
	s.faults = s.faults[1:]
	sim.prepareNextFault()
	sim.stats.Faults++
	sim.trace("script: %s at %s", fault, step)
	return fault, true
}

// injectBefore injects a fault that is due before an event is delivered, and
// reports whether it did. The event is then scheduled again unless its process
// has ended.
func (n *node) injectBefore(step Step, deliver func() engine.Event) bool {
	fault, due := n.sim.takeFault(step)
	if !due {
		return false
	}
	generation := n.generation
	n.sim.inject(fault, n)
	if n.generation == generation {
		n.post(0, deliver)
	}
	return true
}

// injectFaults injects the faults that are due at an action of the engine. It
// also checks that refusals of a draining host are allowed.
func (n *node) injectFaults(action engine.Action) {
	sim := n.sim
	if reply, ok := action.(engine.AnswerPeer); ok {
		n.requireWorkFinished(reply)
	}
	if len(sim.script.faults) == 0 {
		return
	}
	switch a := action.(type) {
	case engine.Record:
		switch a.Kind {
		case engine.DecisionQueue:
			n.injectAfterEvent(StepQueue, n)
		case engine.DecisionRetry:
			n.injectAfterEvent(StepRetry, sim.byHost[a.Host])
		}
	case engine.SendCall:
		n.injectAfterEvent(StepSend, []*node{n, sim.byHost[a.Host.ID]}[sim.rng.IntN(2)])
		if to := sim.byHost[a.Host.ID]; to != n {
			if fault, due := sim.takeFault(StepConnect); due {
				sim.inject(fault, to)
			}
		}
	case engine.RunUpstream:
		n.injectAfterEvent(StepRun, n)
	case engine.AnswerPeer:
		n.injectAfterEvent(StepAnswer, []*node{n, n.peers[uint64(a.ID)].attempt.from}[sim.rng.IntN(2)])
	}
}

// requireWorkFinished requires that a draining host rejects as leaving only work
// that arrived after draining began.
func (n *node) requireWorkFinished(a engine.AnswerPeer) {
	p := n.peers[uint64(a.ID)]
	if p == nil || a.Reply.Refusal == nil || a.Reply.Refusal.Reason != verdict.Leaving {
		return
	}
	n.sim.check.require(n.draining && p.arrivedAt >= n.drainedAt,
		"%s refuses call %d as leaving, which arrived before", n.host.ID, p.id)
}

// injectAfterEvent injects a fault that is due at this step right after the
// current event.
func (n *node) injectAfterEvent(step Step, victim *node) {
	if fault, due := n.sim.takeFault(step); due {
		n.sim.after(0, func() { n.sim.inject(fault, victim) })
	}
}

// inject starts a fault; n is the host that it affects if it concerns one host.
func (sim *simulation) inject(fault Fault, n *node) {
	until := sim.now + faultDuration
	switch fault {
	case SlowSubCalls:
		sim.slowLedger(until)
	case Surge:
		for range 3 * burstCalls {
			sim.after(sim.between(0, 50*time.Millisecond), sim.startRequest)
		}
	case ClientRetries:
		sim.retryAll()
	case PlatformDown:
		sim.script.platformDownUntil = until
		sim.crashFor(n, sim.between(0, 20*time.Millisecond))
	case PlatformStale:
		for _, m := range sim.nodes {
			m.post(sim.between(0, 20*time.Millisecond), func() engine.Event {
				return engine.HostsChanged{Hosts: sim.hostList(m, true)}
			})
		}
	case Pause:
		sim.pause(n, sim.between(100*time.Millisecond, 1500*time.Millisecond))
	case Partition:
		sim.partition(n, sim.randomNode(), until)
		sim.isolate(sim.randomNode(), until)
	case StalledConnections:
		sim.stallConnections(n, until)
	case Crash:
		sim.crashFor(n, faultDuration)
	case Replacement:
		sim.crashFor(n, sim.between(0, 20*time.Millisecond))
	case MisleadingHealth:
		n.slowUntil, n.slowBy, sim.script.misleadingUntil = until, sim.between(20*time.Millisecond, time.Second), until
		for i, m := range sim.nodes {
			m.post(0, func() engine.Event { return engine.HealthProbed{Healthy: i%2 == 0} })
		}
	case Drain:
		sim.startOrRepeatDrain(n)
	}
}

// startOrRepeatDrain starts a planned stop, or delivers DrainStarted again to a
// host that is already draining.
func (sim *simulation) startOrRepeatDrain(n *node) {
	if n.draining {
		n.post(0, func() engine.Event { return engine.DrainStarted{} })
	}
	sim.drain(n)
}

// slowLedger slows the upstreams of the ledger service, which the front service
// calls.
func (sim *simulation) slowLedger(until time.Duration) {
	for _, m := range sim.nodes {
		if m.host.Service == ledgerService {
			m.slowUntil, m.slowBy = until, sim.between(20*time.Millisecond, 1200*time.Millisecond)
		}
	}
}

// stallConnections stalls all connections from and to a host.
func (sim *simulation) stallConnections(n *node, until time.Duration) {
	sim.trace("stalled connections at %s", n.host.ID)
	for _, m := range sim.nodes {
		sim.net.stalled[[2]int{n.index, m.index}] = until
		sim.net.stalled[[2]int{m.index, n.index}] = until
	}
}

// retryAll makes every caller that waits for an answer send its request four
// more times.
func (sim *simulation) retryAll() {
	for _, e := range append([]*entryCall(nil), sim.check.entries...) {
		if e.answers > 0 || e.abandoned || e.spec.Egress || e.spec.Path == signPath {
			continue
		}
		for range 4 {
			sim.after(sim.between(0, 200*time.Millisecond), func() { sim.retryRead(e) })
		}
	}
	for _, a := range sim.check.atMostOnceRequests {
		for range 4 {
			sim.after(sim.between(0, 200*time.Millisecond), a.submit)
		}
	}
}

// loadConfiguration delivers the configuration and the host list to a process
// that starts, as soon as the platform answers.
func (n *node) loadConfiguration() {
	wait := n.sim.script.platformDownUntil - n.sim.now
	n.configured = wait <= 0
	if n.configured {
		n.step(engine.PolicyChanged{Policy: n.sim.policy})
		n.step(engine.HostsChanged{Hosts: n.sim.hostList(n, false)})
		return
	}
	n.post(wait, func() engine.Event {
		n.configured = true
		return engine.PolicyChanged{Policy: n.sim.policy}
	})
	n.post(wait, func() engine.Event { return engine.HostsChanged{Hosts: n.sim.hostList(n, false)} })
}

// mislead replaces the load reported in a reply while MisleadingHealth lasts.
func (sim *simulation) mislead(reply *engine.Reply) {
	if sim.now < sim.script.misleadingUntil {
		reply.Load = []route.Report{{Limit: 1 << 20}, {Running: 1 << 20, Queued: 1 << 20, Limit: 1}}[sim.rng.IntN(2)]
	}
}
