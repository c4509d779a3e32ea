package bench

import (
	"time"

	"toucangw.example/core/engine"
)

const (
	// warmUp is the time before any load, in which the cold-start ramps of new hosts
	// end.
	warmUp = 1100 * ms
	// settleTime is the time under load before anything is measured.
	settleTime = 300 * ms
	// baselineTime is the time measured before the disturbances.
	baselineTime = 200 * ms
	// observationTime is how long a run is observed after the end of its
	// disturbances.
	observationTime = 1200 * ms
	// normalLoad is the load outside surges, as a share of capacity.
	normalLoad = 0.8
	// downtime is the time for which restarted hosts are down.
	downtime = 200 * ms
	// oracleStep is the time for which the oracle assumes constant conditions.
	oracleStep = 20 * ms
)

// Disturbance is a change of load, capacity or network during a run.
type Disturbance struct {
	Name   string
	Length time.Duration
	// Surge is the load as a multiple of the capacity; zero leaves the load
	// unchanged.
	Surge float64
	// Retries is the number of rapid retries of a failed request by its
	// caller; zero leaves the callers unchanged. It remains in effect after
	// Length.
	Retries int
	begin   func(sim *simulation)
	end     func(sim *simulation)
	// conditions returns the capacities at a time, relative to the start.
	conditions func(d *Deployment, at time.Duration) conditions
}

// Scenario consists of one or two disturbances that start together.
type Scenario struct {
	Name         string
	Disturbances []Disturbance
}

func (s Scenario) length() time.Duration {
	longest := time.Duration(0)
	for _, d := range s.Disturbances {
		longest = max(longest, d.Length)
	}
	return longest
}

// loadAt returns the load and the capacities at a time, relative to the start of
// the disturbances.
func (s Scenario) loadAt(d *Deployment, at time.Duration) (float64, conditions) {
	rate := normalLoad
	out := conditions{slotShares: map[string]float64{}, slowFactors: map[string]float64{}}
	for _, disturbance := range s.Disturbances {
		if at < 0 || at >= disturbance.Length {
			continue
		}
		if disturbance.Surge > 0 {
			rate = disturbance.Surge
		}
		if disturbance.conditions == nil {
			continue
		}
		part := disturbance.conditions(d, at)
		for name := range part.slotShares {
			out.slotShares[name] = out.slotShare(name) * part.slotShares[name]
		}
		for name := range part.slowFactors {
			out.slowFactors[name] = out.slowFactor(name) * part.slowFactors[name]
		}
	}
	return rate * d.Capacity(), out
}

func surge(factor float64) Disturbance {
	return Disturbance{Name: "surge", Length: time.Second, Surge: factor}
}

// slowDeep slows down the deepest service at any concurrency.
func slowDeep(factor float64) Disturbance {
	return Disturbance{
		Name: "slow-deep", Length: 1200 * ms,
		begin: func(sim *simulation) { sim.setSlow(sim.deployment.Deep, factor) },
		end:   func(sim *simulation) { sim.setSlow(sim.deployment.Deep, 1) },
		conditions: func(d *Deployment, _ time.Duration) conditions {
			return conditions{slowFactors: map[string]float64{d.Deep: factor}}
		},
	}
}

// halvedCapacity halves the actual capacity of the deepest service without a
// change of its configuration: excess calls wait inside the upstreams.
func halvedCapacity() Disturbance {
	set := func(factor float64) func(sim *simulation) {
		return func(sim *simulation) {
			slots := sim.service(sim.deployment.Deep).Slots
			sim.forEachNode(sim.deployment.Deep, func(n *node) { n.upstream.slots = max(1, int(factor*float64(slots))) })
		}
	}
	return Disturbance{
		Name: "halved", Length: 1200 * ms, begin: set(0.5), end: set(1),
		conditions: func(d *Deployment, _ time.Duration) conditions {
			return conditions{slotShares: map[string]float64{d.Deep: 0.5}}
		},
	}
}

func (sim *simulation) setSlow(service string, factor float64) {
	sim.slowFactors[service] = factor
	sim.forEachNode(service, func(n *node) { n.upstream.slowFactor = factor })
}

// hardRetries lets callers retry aggressively, ignoring advice to wait.
func hardRetries() Disturbance {
	return Disturbance{Name: "hard-retries", Length: time.Second, Retries: 10}
}

// coldRestart restarts all hosts of the shared service, whose upstreams are
// slow at any concurrency at first.
func coldRestart() Disturbance {
	return restart("cold-restart", false, func(service string, warm float64) conditions {
		return conditions{slowFactors: map[string]float64{service: 1 + (initialSlowdown-1)*(1-warm)}}
	})
}

// coldRestartNarrow restarts all hosts of the shared service, whose upstreams
// lose throughput beyond a concurrency that grows over the cold start.
func coldRestartNarrow() Disturbance {
	return restart("cold-restart-narrow", true, func(service string, warm float64) conditions {
		return conditions{slotShares: map[string]float64{service: coldSlotShare(warm)}}
	})
}

// restart restarts the hosts of the shared service cold. The function cold
// returns the conditions when the fraction warm of the cold start has passed.
func restart(name string, narrow bool, cold func(service string, warm float64) conditions) Disturbance {
	return Disturbance{
		Name: name, Length: downtime + time.Second,
		begin: func(sim *simulation) {
			sim.forEachNode(sim.deployment.Shared, func(n *node) {
				n.crash()
				sim.clock.after(downtime, func() {
					n.boot()
					n.upstream.narrow = narrow
					n.upstream.coldDuration = sim.deployment.ColdStart
					n.upstream.coldUntil = sim.clock.now + sim.deployment.ColdStart
				})
			})
		},
		conditions: func(d *Deployment, at time.Duration) conditions {
			if at < downtime {
				return conditions{slotShares: map[string]float64{d.Shared: 0}}
			}
			return cold(d.Shared, min(1, float64(at-downtime)/float64(d.ColdStart)))
		},
	}
}

// misleadingHealth slows down one host that reports itself as healthy, while a
// fast one reports itself as unhealthy.
func misleadingHealth() Disturbance {
	const factor = 10
	return Disturbance{
		Name: "lying-health", Length: time.Second,
		begin: func(sim *simulation) {
			slow, fast := sim.firstTwoHosts(sim.deployment.Shared)
			slow.upstream.slowFactor *= factor
			reportHealth(sim, slow, true, sim.clock.now+time.Second)
			reportHealth(sim, fast, false, sim.clock.now+time.Second)
		},
		end: func(sim *simulation) {
			slow, _ := sim.firstTwoHosts(sim.deployment.Shared)
			slow.upstream.slowFactor = sim.slowFactors[sim.deployment.Shared]
		},
		conditions: func(d *Deployment, _ time.Duration) conditions {
			hosts := float64(hostCount(d, d.Shared))
			return conditions{slotShares: map[string]float64{d.Shared: (hosts - 1 + 1.0/factor) / hosts}}
		},
	}
}

// firstTwoHosts returns the first two nodes of a service.
func (sim *simulation) firstTwoHosts(service string) (first, second *node) {
	for _, n := range sim.nodes {
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

// reportHealth repeats a false result of the health check of a node's upstream.
func reportHealth(sim *simulation, n *node, healthy bool, until time.Duration) {
	if n.down || sim.clock.now >= until {
		return
	}
	n.step(engine.HealthProbed{Healthy: healthy})
	sim.clock.after(100*ms, func() { reportHealth(sim, n, healthy, until) })
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
func zoneLost() Disturbance {
	set := func(partitioned bool) func(sim *simulation) {
		return func(sim *simulation) {
			for _, n := range sim.nodes {
				if n.zone == zones-1 {
					n.partitioned = partitioned
				}
				clear(n.stallAt)
			}
		}
	}
	return Disturbance{
		Name: "zone-lost", Length: 1200 * ms, begin: set(true), end: set(false),
		conditions: func(d *Deployment, _ time.Duration) conditions {
			out := conditions{slotShares: map[string]float64{}}
			for _, s := range d.Services {
				lost := s.Hosts / zones
				out.slotShares[s.Name] = float64(s.Hosts-lost) / float64(s.Hosts)
			}
			return out
		},
	}
}

// Scenarios returns the scenarios of a full run.
func Scenarios() []Scenario {
	newScenario := func(name string, d ...Disturbance) Scenario { return Scenario{Name: name, Disturbances: d} }
	return []Scenario{
		newScenario("steady-1x", surge(1)),
		newScenario("surge-1.5x", surge(1.5)),
		newScenario("surge-3x", surge(3)),
		newScenario("surge-10x", surge(10)),
		newScenario("slow-deep-5x", slowDeep(5)),
		newScenario("halved-capacity", halvedCapacity()),
		newScenario("hard-retries", hardRetries(), slowDeep(3)),
		newScenario("cold-restart", coldRestart()),
		newScenario("cold-restart-narrow", coldRestartNarrow()),
		newScenario("lying-health", misleadingHealth()),
		newScenario("zone-lost", zoneLost()),
		newScenario("surge-3x+slow-deep", surge(3), slowDeep(5)),
		newScenario("surge-3x+zone-lost", surge(3), zoneLost()),
		newScenario("surge-3x+hard-retries", surge(3), hardRetries()),
		newScenario("cold-restart+hard-retries", coldRestart(), hardRetries()),
		newScenario("lying-health+slow-deep", misleadingHealth(), slowDeep(3)),
	}
}
