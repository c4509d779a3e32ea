package history

import (
	"time"

	"toucangw.example/core/engine"
)

// scheduleFaults schedules up to eight random faults, which may overlap and
// repeat.
func (sim *simulation) scheduleFaults() {
	for range sim.rng.IntN(9) {
		sim.after(sim.between(0, callPhase), sim.injectRandomFault)
	}
}

func (sim *simulation) randomNode() *node { return sim.nodes[sim.rng.IntN(len(sim.nodes))] }

// injectRandomFault starts a random fault. A fault of one host affects a random
// one.
func (sim *simulation) injectRandomFault() {
	sim.stats.Faults++
	n := sim.randomNode()
	until := sim.now + sim.between(20*time.Millisecond, 1500*time.Millisecond)
	switch sim.rng.IntN(11) {
	case 0:
		sim.crashFor(n, sim.between(0, 800*time.Millisecond))
	case 1:
		sim.pause(n, sim.between(100*time.Millisecond, 1500*time.Millisecond))
	case 2:
		sim.partition(n, sim.randomNode(), until)
	case 3:
		sim.isolate(n, until)
	case 4:
		sim.stallConnections(n, until)
	case 5:
		for _, m := range sim.nodes {
			m.post(sim.between(0, 100*time.Millisecond), func() engine.Event {
				return engine.HostsChanged{Hosts: sim.hostList(m, sim.chance(70))}
			})
		}
	case 6:
		sim.drain(n)
	case 7:
		n.slowUntil, n.slowBy = until, sim.between(20*time.Millisecond, 1200*time.Millisecond)
		n.post(0, func() engine.Event { return engine.HealthProbed{Healthy: sim.chance(50)} })
	case 8:
		sim.trace("lossy network")
		sim.net.lossyUntil = until
	case 9:
		sim.trace("surge")
		for range 15 {
			sim.after(sim.between(0, 20*time.Millisecond), sim.startRequest)
		}
	case 10:
		changed := sim.changedPolicy(1 + sim.rng.IntN(4))
		for _, m := range sim.nodes {
			m.post(sim.between(0, 100*time.Millisecond), func() engine.Event {
				return engine.PolicyChanged{Policy: changed}
			})
		}
	}
}

// crashFor crashes a host and restarts it after d with a new incarnation.
func (sim *simulation) crashFor(n *node, d time.Duration) {
	if !n.up {
		return
	}
	n.crash()
	generation := n.generation
	sim.after(d, func() {
		if n.generation == generation {
			n.boot()
		}
	})
}

// pause pauses a node process for d. As package pause does, the runtime reports
// only pauses longer than 500 ms (pause.Threshold) to the engine.
func (sim *simulation) pause(n *node, d time.Duration) {
	if !n.up || sim.now < n.pausedUntil {
		return
	}
	sim.trace("%s pauses for %v", n.host.ID, d)
	n.pausedUntil, n.pausedAt = sim.now+d, sim.now
	n.resumePending = d > 500*time.Millisecond
}

// partition blocks messages from a to b, and in 60 % of cases from b to a too.
func (sim *simulation) partition(a, b *node, until time.Duration) {
	sim.trace("partition %s %s", a.host.ID, b.host.ID)
	sim.net.partitioned[[2]int{a.index, b.index}] = until
	if sim.chance(60) {
		sim.net.partitioned[[2]int{b.index, a.index}] = until
	}
}

func (sim *simulation) isolate(n *node, until time.Duration) {
	sim.trace("%s isolated", n.host.ID)
	for _, m := range sim.nodes {
		if m != n {
			sim.net.partitioned[[2]int{n.index, m.index}] = until
			sim.net.partitioned[[2]int{m.index, n.index}] = until
		}
	}
}

// drain starts a planned stop. The process ends once it is idle, and a new one
// starts up to 500 ms later.
func (sim *simulation) drain(n *node) {
	if !n.up || n.draining {
		return
	}
	n.post(0, func() engine.Event {
		n.draining, n.drainedAt = true, sim.now
		n.injectAfterEvent(StepStop, n)
		if sim.chance(30) {
			return engine.HealthProbed{Healthy: true, Draining: true}
		}
		return engine.DrainStarted{}
	})
	n.stopWhenIdle(n.generation)
}

func (n *node) stopWhenIdle(generation int) {
	n.sim.after(100*time.Millisecond, func() {
		if n.generation != generation {
			return
		}
		if !n.eng.Idle() || len(n.runs) > 0 || n.sim.now < n.pausedUntil {
			n.stopWhenIdle(generation)
			return
		}
		n.sim.crashFor(n, n.sim.between(0, 500*time.Millisecond))
	})
}

// heal ends network faults, starts all crashed nodes and publishes the full host
// list.
func (sim *simulation) heal() {
	sim.trace("all faults healed")
	clear(sim.net.partitioned)
	clear(sim.net.stalled)
	sim.net.lossyUntil = 0
	for _, n := range sim.nodes {
		if !n.up {
			n.boot()
		}
	}
	for _, n := range sim.nodes {
		n.post(0, func() engine.Event { return engine.HostsChanged{Hosts: sim.hostList(n, false)} })
	}
}
