package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/baseline"
	"toucangw.example/core/engine"
	"toucangw.example/core/limit"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// Variant is a set of policies to measure.
type Variant struct {
	Name     string
	Admit    admit.Builder
	Pressure pressure.Builder
	Route    route.Builder
	Budget   retry.Builder
	// HopRetries is the number of retries that callers and upstreams make on
	// their own at each hop, each attempt with a share of the deadline.
	HopRetries int
	// Credit is the retry credit of a caller's request.
	Credit int
}

// noBudget allows no retries by the engine.
type noBudget struct{}

func (noBudget) Success(time.Time, string) {}

func (noBudget) Allow(time.Time, string, retry.Failure) bool { return false }

const (
	// unboundedCredit is the retry credit of variant none, whose upstreams retry
	// without limit by the engine.
	unboundedCredit = 1 << 20
	// fixedQueueSize is the queue length of variant fixed.
	fixedQueueSize = 200
)

// None is plain FIFO queueing with three retries at each hop, without overload
// control.
func None() Variant {
	return Variant{
		Name: "none", Admit: baseline.FIFO(baseline.Options{}), Pressure: baseline.AdmitAll, Route: route.New,
		Budget: func() retry.Budget { return noBudget{} }, HopRetries: 3, Credit: unboundedCredit,
	}
}

// Fixed is a fixed concurrency limit with a bounded queue.
func Fixed() Variant {
	options := baseline.Options{MaxQueue: fixedQueueSize, CheckDeadline: true}
	return Variant{
		Name: "fixed", Admit: baseline.FIFO(options), Pressure: baseline.AdmitAll, Route: route.New,
		Budget: retry.NewBudget, Credit: extraAttempts,
	}
}

// Product is the set of policies that toucangwd uses.
func Product() Variant {
	return Variant{
		Name: "toucangw", Admit: admit.New, Pressure: pressure.New, Route: route.New,
		Budget: retry.NewBudget, Credit: extraAttempts,
	}
}

// Variants returns the variants of a full run.
func Variants() []Variant { return []Variant{None(), Fixed(), Product()} }

// Policies returns the steps from FIFO to the product, each of which adds a
// policy to the one before, and the product with the alternative concurrency
// limits.
func Policies() []Variant {
	step := func(name string, features admit.Features) Variant {
		v := Product()
		v.Name = name
		v.Admit = admit.With(features)
		if !features.Thresholds {
			v.Pressure = baseline.AdmitAll
		}
		return v
	}
	learned := func(slots int) admit.Limiter { return limit.New(slots) }
	fifo := Fixed()
	fifo.Name = "1-fifo"
	return []Variant{
		fifo,
		step("2-priority", admit.Features{}),
		step("3-deadline", admit.Features{DeadlineDrop: true}),
		step("4-displacement", admit.Features{DeadlineDrop: true, Preemption: true}),
		step("5-limit", admit.Features{DeadlineDrop: true, Preemption: true, Limit: learned}),
		step("6-pressure", admit.Features{DeadlineDrop: true, Preemption: true, Limit: learned, Thresholds: true}),
		step("limit-slots", admit.Features{DeadlineDrop: true, Preemption: true, Thresholds: true}),
		step("limit-gradient",
			admit.Features{DeadlineDrop: true, Preemption: true, Thresholds: true, Limit: baseline.Gradient}),
	}
}

// simulation is one run: the nodes, their upstreams and the callers.
type simulation struct {
	deployment   *Deployment
	variant      Variant
	policy       *policy.Policy
	seed         uint64
	clock        *clock
	nodes        []*node
	byHost       map[member.HostID]*node
	slowFactors  map[string]float64 // by service
	arrivals     *rand.Rand
	load         load
	stopArrivals time.Duration
	requests     []*request
	refusals     map[string]int
}

func newSimulation(d *Deployment, v Variant, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, variant: v, policy: d.policy(v.Credit), seed: seed, clock: newClock(),
		byHost: map[member.HostID]*node{}, slowFactors: map[string]float64{}, refusals: map[string]int{},
		arrivals: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, s := range d.Services {
		sim.slowFactors[s.Name] = 1
		for i := range s.Hosts {
			zone := i % zones
			h := member.Host{
				ID: member.HostID(fmt.Sprintf("%s-%d", s.Name, i)), Region: region,
				Zone: fmt.Sprintf("zone-%d", zone), Service: s.Name, Incarnation: 1,
			}
			n := &node{sim: sim, host: h, zone: zone}
			sim.nodes = append(sim.nodes, n)
			sim.byHost[h.ID] = n
		}
	}
	for _, n := range sim.nodes {
		n.boot()
	}
	return sim
}

func (sim *simulation) hosts() map[string][]member.Host {
	out := map[string][]member.Host{}
	for _, n := range sim.nodes {
		out[n.host.Service] = append(out[n.host.Service], n.host)
	}
	return out
}

func (sim *simulation) service(name string) Service {
	for _, s := range sim.deployment.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}

// latency returns the one-way network latency between two nodes.
func (sim *simulation) latency(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.zone == b.zone:
		return sim.deployment.LocalLatency
	}
	return sim.deployment.ZoneLatency
}

// entryNode returns a node that callers can reach, chosen uniformly at random.
func (sim *simulation) entryNode() *node {
	for {
		n := sim.nodes[sim.arrivals.IntN(len(sim.nodes))]
		if !n.down && !n.partitioned {
			return n
		}
	}
}

// onSend counts a call between nodes.
func (sim *simulation) onSend(a engine.SendCall) {
	r := sim.requests[a.Call.Digest]
	r.callsSent++
	if a.Attempt > 1 {
		r.retries++
	}
}

// onRecord counts refusals.
func (sim *simulation) onRecord(r engine.Record) {
	if r.Kind == engine.DecisionRefuse {
		sim.refusals[string(r.Refused)+"@"+r.Service]++
	}
}

// forEachNode applies a change to all nodes of a service.
func (sim *simulation) forEachNode(service string, change func(n *node)) {
	for _, n := range sim.nodes {
		if n.host.Service == service {
			change(n)
		}
	}
}
