package history

import (
	"time"

	"toucangw.example/core/engine"
)

// scheduleFaults draws up to eight faults, which may overlap and repeat.
func (w *world) scheduleFaults() {
	for range w.rng.IntN(9) {
		w.after(w.between(0, callPhase), w.fault)
	}
}

func (w *world) anyIndex() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

func (w *world) fault() {
	w.stats.Faults++
	n := w.anyIndex()
	until := w.now + w.between(20*time.Millisecond, 1500*time.Millisecond)
	switch w.rng.IntN(11) {
	case 0:
		w.crashFor(n, w.between(0, 800*time.Millisecond))
	case 1:
		w.pause(n, w.between(100*time.Millisecond, 1500*time.Millisecond))
	case 2:
		w.partition(n, w.anyIndex(), until)
	case 3:
		w.isolate(n, until)
	case 4:
		w.silence(n, until)
	case 5:
		for _, m := range w.nodes {
			m.post(w.between(0, 100*time.Millisecond), func() engine.Event {
				return engine.HostsChanged{Hosts: w.list(m, w.chance(70))}
			})
		}
	case 6:
		w.drain(n)
	case 7:
		n.slowUntil, n.slowBy = until, w.between(20*time.Millisecond, 1200*time.Millisecond)
		n.post(0, func() engine.Event { return engine.HealthProbed{Healthy: w.chance(50)} })
	case 8:
		w.trace("lossy network")
		w.net.lossyUntil = until
	case 9:
		w.trace("surge")
		for range 15 {
			w.after(w.between(0, 20*time.Millisecond), w.request)
		}
	case 10:
		changed := w.changedPolicy(1 + w.rng.IntN(4))
		for _, m := range w.nodes {
			m.post(w.between(0, 100*time.Millisecond), func() engine.Event {
				return engine.PolicyChanged{Policy: changed}
			})
		}
	}
}

// crashFor crashes a host and restarts it with a new incarnation.
func (w *world) crashFor(n *node, d time.Duration) {
	if !n.up {
		return
	}
	n.crash()
	epoch := n.epoch
	w.after(d, func() {
		if n.epoch == epoch {
			n.boot()
		}
	})
}

func (w *world) pause(n *node, d time.Duration) {
	if !n.up || w.now < n.pausedUntil {
		return
	}
	w.trace("%s pauses for %v", n.host.ID, d)
	n.pausedUntil, n.pauseStart = w.now+d, w.now
	n.woke = d > 500*time.Millisecond
}

// partition cuts two hosts off from each other in one or both directions.
func (w *world) partition(a, b *node, until time.Duration) {
	w.trace("partition %s %s", a.host.ID, b.host.ID)
	w.net.cut[[2]int{a.index, b.index}] = until
	if w.chance(60) {
		w.net.cut[[2]int{b.index, a.index}] = until
	}
}

func (w *world) isolate(n *node, until time.Duration) {
	w.trace("%s isolated", n.host.ID)
	for _, m := range w.nodes {
		if m != n {
			w.net.cut[[2]int{n.index, m.index}] = until
			w.net.cut[[2]int{m.index, n.index}] = until
		}
	}
}

// drain starts a planned stop. The process ends once it is idle and a new one
// starts some time later.
func (w *world) drain(n *node) {
	if !n.up || n.draining {
		return
	}
	n.post(0, func() engine.Event {
		n.draining, n.drainedAt = true, w.now
		n.causeSoon(StepStop, n)
		if w.chance(30) {
			return engine.HealthProbed{Healthy: true, Draining: true}
		}
		return engine.DrainStarted{}
	})
	n.stopWhenIdle(n.epoch)
}

func (n *node) stopWhenIdle(epoch int) {
	n.w.after(100*time.Millisecond, func() {
		if n.epoch != epoch {
			return
		}
		if !n.eng.Idle() || len(n.runs) > 0 || n.w.now < n.pausedUntil {
			n.stopWhenIdle(epoch)
			return
		}
		n.w.crashFor(n, n.w.between(0, 500*time.Millisecond))
	})
}

// heal ends all faults and publishes the full list.
func (w *world) heal() {
	w.trace("all faults healed")
	clear(w.net.cut)
	clear(w.net.silent)
	w.net.lossyUntil = 0
	for _, n := range w.nodes {
		if !n.up {
			n.boot()
		}
	}
	for _, n := range w.nodes {
		n.post(0, func() engine.Event { return engine.HostsChanged{Hosts: w.list(n, false)} })
	}
}
