// Package balance chooses the upstream of a service that runs a request, from
// what replies say about load and from the node's own traffic.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"toucangw.example/core/directory"
)

const (
	// choices is the number of upstreams compared for one request. A few
	// random ones spread the requests of nodes that hold the same reports.
	choices = 4
	// otherZone is the utilisation by which an upstream in the own
	// availability zone may be busier than one elsewhere.
	otherZone = 0.25
	// coldFactor is the expected slowness of an upstream that has just started.
	coldFactor = 1.6
	// reportLife is the age after which a load report says nothing.
	reportLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.12
	// failureHalfLife lets an upstream that failed be tried again.
	failureHalfLife = 2 * time.Second
	// failurePenalty multiplies the score per unit of failure rate.
	failurePenalty = 12
	// slownessWeight is the weight of one answer in the slowness.
	slownessWeight = 0.15
	// slownessHalfLife lets an upstream that was slow be tried again.
	slownessHalfLife = 4 * time.Second
	// maxSlowness bounds the effect of single answers.
	maxSlowness = 20
	// firstSuspension doubles with each failed contact up to maxSuspension.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
	// leavingFor is how long an upstream that refused because it or its node
	// leaves is avoided. Its entry in the directory changes meanwhile, or its
	// node is back.
	leavingFor = 1500 * time.Millisecond
	// meanWeight is the weight of one answer in the mean time of a route.
	meanWeight = 0.05
)

// Report is the load that a node states about its upstream.
type Report struct {
	Running, Queued, Limit int
}

// Result is the end of one attempt.
type Result struct {
	// Report is nil if no reply came.
	Report *Report
	// Service is the time that the upstream needed; zero if it gave no answer.
	Service time.Duration
	// Route names the kind of work, whose mean time is the reference.
	Route string
	// Unreachable is set if the node beside the upstream did not answer.
	Unreachable bool
	// Leaving is set if the upstream or its node takes no new work.
	Leaving bool
	// Failed is set if the upstream broke off, answered nonsense or refused.
	Failed bool
	// Refused is set if the node had no slot in time.
	Refused bool
}

type host struct {
	inflight  int
	report    Report
	reported  time.Time
	sentSince int // requests sent since the report

	failures float64
	failedAt time.Time

	slowness float64 // logarithm of the time relative to the mean
	slowAt   time.Time

	suspended  time.Time // no requests before
	suspension time.Duration
}

// Balancer is safe for concurrent use.
type Balancer struct {
	zone string

	mu    sync.Mutex
	hosts map[string]*host
	means map[string]float64 // seconds by route
	swept time.Time
}

// New returns a balancer of a node in an availability zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, hosts: map[string]*host{}, means: map[string]float64{}}
}

// Choice is the upstream chosen and the inputs that decided.
type Choice struct {
	Upstream *directory.Upstream
	Score    float64
	Among    int // candidates considered
}

// Pick chooses an upstream and counts a request in flight to it. Skip excludes
// upstreams. The choice has no upstream if none is usable.
func (b *Balancer) Pick(now time.Time, list []*directory.Upstream, skip func(*directory.Upstream) bool) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	usable := b.usable(now, list, skip)
	if len(usable) == 0 {
		return Choice{}
	}
	best := Choice{Score: math.Inf(1), Among: len(usable)}
	for i := range min(choices, len(usable)) {
		j := i + rand.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
		if score := b.score(now, usable[i]); score < best.Score {
			best.Upstream, best.Score = usable[i], score
		}
	}
	h := b.host(best.Upstream.ID)
	h.inflight++
	h.sentSince++
	if h.suspension > 0 && !now.Before(h.suspended) {
		// One request at a time tests an upstream that was suspended.
		h.suspended = now.Add(h.suspension)
	}
	return best
}

// usable returns the upstreams that take new work. If all are suspended, those
// that failed only once are returned. Where all have failed again and again,
// there is none between two tests: a request that would only wait for another
// failure is refused at once.
func (b *Balancer) usable(now time.Time, list []*directory.Upstream, skip func(*directory.Upstream) bool) []*directory.Upstream {
	var open, suspended []*directory.Upstream
	for _, u := range list {
		if u.State != directory.Ready || skip(u) {
			continue
		}
		if h := b.hosts[u.ID]; h != nil && now.Before(h.suspended) {
			if h.suspension <= firstSuspension {
				suspended = append(suspended, u)
			}
			continue
		}
		open = append(open, u)
	}
	if len(open) == 0 {
		return suspended
	}
	return open
}

// score is the expected share of the upstream's limit in use, weighted by its
// speed, failures and distance; lower is better.
func (b *Balancer) score(now time.Time, u *directory.Upstream) float64 {
	h := b.host(u.ID)
	busy := float64(h.inflight)
	limit := float64(max(u.Slots, 1))
	if now.Sub(h.reported) < reportLife {
		busy = max(busy, float64(h.report.Running+h.report.Queued+h.sentSince))
		limit = float64(max(h.report.Limit, 1))
	}
	used := (busy + 1) / limit
	if u.Zone != b.zone {
		used += otherZone
	}
	slowness := math.Exp(decayed(h.slowness, now.Sub(h.slowAt), slownessHalfLife))
	if u.ColdRemaining > 0 {
		slowness = max(slowness, coldFactor)
	}
	failures := decayed(h.failures, now.Sub(h.failedAt), failureHalfLife)
	return used * slowness * (1 + failurePenalty*failures)
}

// Ended reports the end of an attempt that Pick counted.
func (b *Balancer) Ended(now time.Time, id string, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.host(id)
	h.inflight = max(h.inflight-1, 0)
	if r.Report != nil {
		h.report, h.reported, h.sentSince = *r.Report, now, 0
	}
	switch {
	case r.Unreachable:
		h.suspension = min(max(2*h.suspension, firstSuspension), maxSuspension)
		h.suspended = now.Add(h.suspension)
	case r.Leaving:
		h.suspended = now.Add(leavingFor)
		h.suspension = firstSuspension
	case r.Report != nil:
		h.suspension = 0
	}
	if !r.Refused && !r.Leaving && !r.Unreachable {
		h.fail(now, r.Failed)
	}
	if r.Service > 0 {
		b.learn(now, h, r)
	}
}

// fail adds an outcome to the failure rate.
func (h *host) fail(now time.Time, failed bool) {
	rate := decayed(h.failures, now.Sub(h.failedAt), failureHalfLife)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	h.failures = rate + failureWeight*(outcome-rate)
	h.failedAt = now
}

// learn compares the time of an answer with the mean of its route.
func (b *Balancer) learn(now time.Time, h *host, r Result) {
	took := r.Service.Seconds()
	mean, ok := b.means[r.Route]
	if !ok {
		b.means[r.Route] = took
		return
	}
	ratio := math.Log(min(max(took/mean, 1.0/maxSlowness), maxSlowness))
	slowness := decayed(h.slowness, now.Sub(h.slowAt), slownessHalfLife)
	h.slowness = slowness + slownessWeight*(ratio-slowness)
	h.slowAt = now
	// A slow upstream must not raise the reference of all others.
	b.means[r.Route] = mean + meanWeight*(min(took, 3*mean)-mean)
}

func (b *Balancer) host(id string) *host {
	h := b.hosts[id]
	if h == nil {
		h = &host{}
		b.hosts[id] = h
	}
	return h
}

// sweep drops what is known of upstreams without traffic.
func (b *Balancer) sweep(now time.Time) {
	const keep = time.Minute
	if now.Sub(b.swept) < keep {
		return
	}
	b.swept = now
	for id, h := range b.hosts {
		if h.inflight == 0 && now.Sub(h.reported) > keep && now.After(h.suspended) {
			delete(b.hosts, id)
		}
	}
}

func decayed(value float64, age, halfLife time.Duration) float64 {
	if value == 0 || age <= 0 {
		return value
	}
	return value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
