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

// Variant is a set of policies under measurement.
type Variant struct {
	Name     string
	Admit    admit.Builder
	Pressure pressure.Builder
	Route    route.Builder
	Budget   retry.Builder
	// HopRetries is the number of repeats that callers and upstreams make on
	// their own at each hop, with a share of the deadline for each.
	HopRetries int
	// Credit is the retry credit of a caller's request.
	Credit int
}

// noBudget allows no retry by the engine.
type noBudget struct{}

func (noBudget) Success(time.Time, string) {}

func (noBudget) Allow(time.Time, string, retry.Failure) bool { return false }

const (
	// unboundedCredit lets upstreams of variant none repeat as they like.
	unboundedCredit = 1 << 20
	// fixedQueue is the queue of variant fixed.
	fixedQueue = 200
)

// None is plain FIFO queueing with three retries at each hop.
func None() Variant {
	return Variant{
		Name: "none", Admit: baseline.FIFO(baseline.Options{}), Pressure: baseline.AdmitAll, Route: route.New,
		Budget: func() retry.Budget { return noBudget{} }, HopRetries: 3, Credit: unboundedCredit,
	}
}

// Fixed is a fixed limit with a bounded queue.
func Fixed() Variant {
	options := baseline.Options{MaxQueue: fixedQueue, CheckDeadline: true}
	return Variant{
		Name: "fixed", Admit: baseline.FIFO(options), Pressure: baseline.AdmitAll, Route: route.New,
		Budget: retry.NewBudget, Credit: extraAttempts,
	}
}

// Product is what toucangwd runs.
func Product() Variant {
	return Variant{
		Name: "toucangw", Admit: admit.New, Pressure: pressure.New, Route: route.New,
		Budget: retry.NewBudget, Credit: extraAttempts,
	}
}

// Variants returns the variants of a full run.
func Variants() []Variant { return []Variant{None(), Fixed(), Product()} }

// Policies returns the steps from FIFO to the product, each with what the ones
// before it have, and the product with the other limits that were weighed.
func Policies() []Variant {
	step := func(name string, m admit.Features) Variant {
		v := Product()
		v.Name = name
		v.Admit = admit.With(m)
		if !m.Thresholds {
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

// world is one run: the nodes, their upstreams and the callers.
type world struct {
	deployment   *Deployment
	variant      Variant
	policy       *policy.Policy
	seed         uint64
	clock        *clock
	nodes        []*node
	byHost       map[member.HostID]*node
	slowness     map[string]float64
	arrivals     *rand.Rand
	load         load
	stopArrivals time.Duration
	requests     []*request
	refusals     map[string]int
}

func newWorld(d *Deployment, v Variant, seed uint64) *world {
	w := &world{
		deployment: d, variant: v, policy: d.policy(v.Credit), seed: seed, clock: newClock(),
		byHost: map[member.HostID]*node{}, slowness: map[string]float64{}, refusals: map[string]int{},
		arrivals: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, s := range d.Services {
		w.slowness[s.Name] = 1
		for i := range s.Hosts {
			zone := i % zones
			h := member.Host{
				ID: member.HostID(fmt.Sprintf("%s-%d", s.Name, i)), Region: region,
				Zone: fmt.Sprintf("zone-%d", zone), Service: s.Name, Incarnation: 1,
			}
			n := &node{world: w, host: h, zone: zone}
			w.nodes = append(w.nodes, n)
			w.byHost[h.ID] = n
		}
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *world) hosts() map[string][]member.Host {
	out := map[string][]member.Host{}
	for _, n := range w.nodes {
		out[n.host.Service] = append(out[n.host.Service], n.host)
	}
	return out
}

func (w *world) service(name string) Service {
	for _, s := range w.deployment.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}

func (w *world) latency(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.zone == b.zone:
		return w.deployment.LocalLatency
	}
	return w.deployment.ZoneLatency
}

// entryNode returns a node that callers can reach, each as likely.
func (w *world) entryNode() *node {
	for {
		n := w.nodes[w.arrivals.IntN(len(w.nodes))]
		if !n.down && !n.cut {
			return n
		}
	}
}

func (w *world) sent(a engine.SendCall) {
	r := w.requests[a.Call.Digest]
	r.sends++
	if a.Attempt > 1 {
		r.retries++
	}
}

func (w *world) recorded(r engine.Record) {
	if r.Kind == engine.DecisionRefuse {
		w.refusals[string(r.Refused)+"@"+r.Service]++
	}
}

// each applies a change to the nodes of a service.
func (w *world) each(service string, change func(n *node)) {
	for _, n := range w.nodes {
		if n.host.Service == service {
			change(n)
		}
	}
}
