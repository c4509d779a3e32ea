package bench

import (
	"time"

	"toucangw.example/core/engine"
)

const (
	// warmUp lets the ramps of new hosts pass before any load.
	warmUp = 1100 * ms
	// settleTime passes under load before anything is measured.
	settleTime = 300 * ms
	beforeTime = 200 * ms
	// afterTime is how long a run is observed after the end of its cause.
	afterTime = 1200 * ms
	// normalLoad is the load outside surges, as a share of capacity.
	normalLoad = 0.8
	// deadTime is the time that restarted hosts are away.
	deadTime = 200 * ms
	// oracleStep is the time for which the oracle takes conditions as fixed.
	oracleStep = 20 * ms
)

// Cause is one disturbance of a run. Times count from its begin.
type Cause struct {
	Name   string
	Length time.Duration
	// Surge multiplies the capacity to give the load; zero leaves the load.
	Surge float64
	// Retries makes callers repeat failed requests at once.
	Retries int
	begin   func(w *world)
	end     func(w *world)
	// conditions returns the capacities at a time after the begin.
	conditions func(d *Deployment, at time.Duration) conditions
}

// Scenario is one or two causes that begin together.
type Scenario struct {
	Name   string
	Causes []Cause
}

func (s Scenario) length() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Causes {
		longest = max(longest, c.Length)
	}
	return longest
}

// at returns the load and the capacities at a time after the begin of the
// causes.
func (s Scenario) at(d *Deployment, at time.Duration) (float64, conditions) {
	rate := normalLoad
	out := conditions{slots: map[string]float64{}, slow: map[string]float64{}}
	for _, c := range s.Causes {
		if at < 0 || at >= c.Length {
			continue
		}
		if c.Surge > 0 {
			rate = c.Surge
		}
		if c.conditions == nil {
			continue
		}
		part := c.conditions(d, at)
		for name := range part.slots {
			out.slots[name] = out.slotShare(name) * part.slots[name]
		}
		for name := range part.slow {
			out.slow[name] = out.slowness(name) * part.slow[name]
		}
	}
	return rate * d.Capacity(), out
}

func surge(factor float64) Cause {
	return Cause{Name: "surge", Length: time.Second, Surge: factor}
}

// slowDeep slows the deepest service for any concurrency.
func slowDeep(factor float64) Cause {
	return Cause{
		Name: "slow-deep", Length: 1200 * ms,
		begin: func(w *world) { w.setSlow(w.deployment.Deep, factor) },
		end:   func(w *world) { w.setSlow(w.deployment.Deep, 1) },
		conditions: func(d *Deployment, _ time.Duration) conditions {
			return conditions{slow: map[string]float64{d.Deep: factor}}
		},
	}
}

// halved takes half of the real capacity of the deepest service, which its
// configuration does not show: further calls wait inside the upstreams.
func halved() Cause {
	set := func(factor float64) func(w *world) {
		return func(w *world) {
			slots := w.service(w.deployment.Deep).Slots
			w.each(w.deployment.Deep, func(n *node) { n.upstream.slots = max(1, int(factor*float64(slots))) })
		}
	}
	return Cause{
		Name: "halved", Length: 1200 * ms, begin: set(0.5), end: set(1),
		conditions: func(d *Deployment, _ time.Duration) conditions {
			return conditions{slots: map[string]float64{d.Deep: 0.5}}
		},
	}
}

func (w *world) setSlow(service string, factor float64) {
	w.slowness[service] = factor
	w.each(service, func(n *node) { n.upstream.slow = factor })
}

// hardRetries lets callers repeat without regard to any advice.
func hardRetries() Cause {
	return Cause{Name: "hard-retries", Length: time.Second, Retries: 10}
}

// coldRestart restarts all hosts of the shared service, whose upstreams are
// slow at any concurrency at first.
func coldRestart() Cause {
	return restart("cold-restart", false, func(service string, warm float64) conditions {
		return conditions{slow: map[string]float64{service: 1 + (coldFactor-1)*(1-warm)}}
	})
}

// coldRestartNarrow restarts all hosts of the shared service, whose upstreams
// lose throughput beyond a concurrency that grows over the cold start.
func coldRestartNarrow() Cause {
	return restart("cold-restart-narrow", true, func(service string, warm float64) conditions {
		return conditions{slots: map[string]float64{service: coldWidth(warm)}}
	})
}

// restart takes the hosts of the shared service away and brings them back
// cold. The function cold returns the conditions after a part of the cold start.
func restart(name string, narrow bool, cold func(service string, warm float64) conditions) Cause {
	return Cause{
		Name: name, Length: deadTime + time.Second,
		begin: func(w *world) {
			w.each(w.deployment.Shared, func(n *node) {
				n.crash()
				w.clock.after(deadTime, func() {
					n.boot()
					n.upstream.narrow = narrow
					n.upstream.cold = w.deployment.ColdStart
					n.upstream.coldTil = w.clock.now + w.deployment.ColdStart
				})
			})
		},
		conditions: func(d *Deployment, at time.Duration) conditions {
			if at < deadTime {
				return conditions{slots: map[string]float64{d.Shared: 0}}
			}
			return cold(d.Shared, min(1, float64(at-deadTime)/float64(d.ColdStart)))
		},
	}
}

// lyingHealth slows one host that reports itself well, while a fast one
// reports itself ill.
func lyingHealth() Cause {
	const factor = 10
	return Cause{
		Name: "lying-health", Length: time.Second,
		begin: func(w *world) {
			slow, fast := w.hostsOf(w.deployment.Shared)
			slow.upstream.slow *= factor
			probe(w, slow, true, w.clock.now+time.Second)
			probe(w, fast, false, w.clock.now+time.Second)
		},
		end: func(w *world) {
			slow, _ := w.hostsOf(w.deployment.Shared)
			slow.upstream.slow = w.slowness[w.deployment.Shared]
		},
		conditions: func(d *Deployment, _ time.Duration) conditions {
			hosts := float64(hostCount(d, d.Shared))
			return conditions{slots: map[string]float64{d.Shared: (hosts - 1 + 1.0/factor) / hosts}}
		},
	}
}

func (w *world) hostsOf(service string) (first, second *node) {
	for _, n := range w.nodes {
		if n.host.Service != service {
			continue
		}
		if first == nil {
			first = n
			continue
		}
		return first, n
	}
	return first, first
}

// probe repeats a false answer of a health endpoint.
func probe(w *world, n *node, healthy bool, until time.Duration) {
	if n.down || w.clock.now >= until {
		return
	}
	n.step(engine.HealthProbed{Healthy: healthy})
	w.clock.after(100*ms, func() { probe(w, n, healthy, until) })
}

func hostCount(d *Deployment, service string) int {
	for _, s := range d.Services {
		if s.Name == service {
			return s.Hosts
		}
	}
	return 0
}

// zoneLost cuts off the last availability zone from the others and from the
// callers.
func zoneLost() Cause {
	set := func(cut bool) func(w *world) {
		return func(w *world) {
			for _, n := range w.nodes {
				if n.zone == zones-1 {
					n.cut = cut
				}
				clear(n.silent)
			}
		}
	}
	return Cause{
		Name: "zone-lost", Length: 1200 * ms, begin: set(true), end: set(false),
		conditions: func(d *Deployment, _ time.Duration) conditions {
			out := conditions{slots: map[string]float64{}}
			for _, s := range d.Services {
				lost := s.Hosts / zones
				out.slots[s.Name] = float64(s.Hosts-lost) / float64(s.Hosts)
			}
			return out
		},
	}
}

// Scenarios returns the scenarios of a full run.
func Scenarios() []Scenario {
	one := func(name string, causes ...Cause) Scenario { return Scenario{Name: name, Causes: causes} }
	return []Scenario{
		one("steady-1x", surge(1)),
		one("surge-1.5x", surge(1.5)),
		one("surge-3x", surge(3)),
		one("surge-10x", surge(10)),
		one("slow-deep-5x", slowDeep(5)),
		one("halved-capacity", halved()),
		one("hard-retries", hardRetries(), slowDeep(3)),
		one("cold-restart", coldRestart()),
		one("cold-restart-narrow", coldRestartNarrow()),
		one("lying-health", lyingHealth()),
		one("zone-lost", zoneLost()),
		one("surge-3x+slow-deep", surge(3), slowDeep(5)),
		one("surge-3x+zone-lost", surge(3), zoneLost()),
		one("surge-3x+hard-retries", surge(3), hardRetries()),
		one("cold-restart+hard-retries", coldRestart(), hardRetries()),
		one("lying-health+slow-deep", lyingHealth(), slowDeep(3)),
	}
}
