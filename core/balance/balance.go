// Package balance chooses the upstream that runs a request, from the load that
// nodes report in their replies and from the node's own traffic.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"toucangw.example/core/directory"
)

const (
	// sampleSize is the number of upstreams compared for one request. Comparing
	// a few random ones spreads the requests of nodes that have the same
	// reports.
	sampleSize = 4
	// otherZonePenalty is the utilisation by which an upstream in the local
	// availability zone may be busier than one in another zone.
	otherZonePenalty = 0.25
	// coldStartFactor is the expected slowness of an upstream that has just
	// started.
	coldStartFactor = 1.6
	// maxReportAge is the age after which a load report is no longer used.
	maxReportAge = 2 * time.Second
	// minCapacity bounds the effect of a very low rate limit.
	minCapacity = 0.1
	// maxLimitAge is the age after which a reported rate limit is no longer used.
	maxLimitAge = 10 * time.Second
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.12
	// failureHalfLife is the half-life of the failure rate, after which an
	// upstream that failed is tried again.
	failureHalfLife = 2 * time.Second
	// failurePenalty multiplies the score per unit of failure rate.
	failurePenalty = 12
	// slownessWeight is the weight of one answer in the slowness.
	slownessWeight = 0.15
	// slownessHalfLife is the half-life of the slowness, after which an
	// upstream that was slow is tried again.
	slownessHalfLife = 4 * time.Second
	// maxSlowness bounds the effect of a single answer.
	maxSlowness = 20
	// minSuspension is the first suspension of an unreachable upstream. It
	// doubles with each failed contact up to maxSuspension.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
	// leavingSuspension is how long an upstream is avoided after it refused
	// because it or its node is draining. Within this time its entry in the
	// directory changes, or its node is back.
	leavingSuspension = 1500 * time.Millisecond
	// meanWeight is the weight of one answer in the mean service time of a
	// route.
	meanWeight = 0.05
)

// Report is the load of an upstream, as reported by the node in front of it.
type Report struct {
	Running, Queued int
	// Capacity is the number of requests that run at once when the upstream is
	// fully used. It is below one for an upstream with a low rate limit.
	Capacity float64
	// Limited is set if a rate limit leaves less capacity than the slots.
	Limited bool
}

// Result is the result of one attempt.
type Result struct {
	// Report is nil if no reply came.
	Report *Report
	// Service is the service time of the upstream; zero if it gave no answer.
	Service time.Duration
	// Route is the route of the request. Service times are compared with the
	// mean of the route.
	Route string
	// Unreachable is set if the node in front of the upstream did not answer.
	Unreachable bool
	// Leaving is set if the upstream or its node takes no new work.
	Leaving bool
	// Failed is set if the connection to the upstream broke, or if it sent an
	// invalid answer or refused.
	Failed bool
	// Refused is set if the node had no free slot in time.
	Refused bool
}

// upstreamState is what the balancer has observed of one upstream.
type upstreamState struct {
	inFlight        int
	report          Report
	reportedAt      time.Time
	sentSinceReport int // requests sent since the last report

	failures          float64
	failuresUpdatedAt time.Time

	slowness          float64 // logarithm of the service time relative to the mean
	slownessUpdatedAt time.Time

	suspendedUntil time.Time // no requests before this time
	suspension     time.Duration
}

// Balancer chooses upstreams. It is safe for concurrent use.
type Balancer struct {
	zone string

	mu        sync.Mutex
	upstreams map[string]*upstreamState // by id
	means     map[string]float64        // mean service time in seconds by route
	sweptAt   time.Time
}

// New returns a balancer for a node in an availability zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, upstreams: map[string]*upstreamState{}, means: map[string]float64{}}
}

// Choice is the upstream chosen, with the figures behind the choice.
type Choice struct {
	Upstream   *directory.Upstream
	Score      float64
	Candidates int // number of eligible upstreams
}

// Pick chooses an upstream and counts a request in flight to it. Upstreams for
// which skip returns true are left out. The choice has no upstream if none is
// eligible.
func (b *Balancer) Pick(now time.Time, list []*directory.Upstream, skip func(*directory.Upstream) bool) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	candidates := b.eligible(now, list, skip)
	if len(candidates) == 0 {
		return Choice{}
	}
	best := Choice{Score: math.Inf(1), Candidates: len(candidates)}
	for i := range min(sampleSize, len(candidates)) {
		j := i + rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		if score := b.score(now, candidates[i]); score < best.Score {
			best.Upstream, best.Score = candidates[i], score
		}
	}
	s := b.state(best.Upstream.ID)
	s.inFlight++
	s.sentSinceReport++
	if s.suspension > 0 && !now.Before(s.suspendedUntil) {
		// After a suspension, one request at a time tests the upstream.
		s.suspendedUntil = now.Add(s.suspension)
	}
	return best
}

// eligible returns the upstreams that take new work. If all are suspended, it
// returns those that have failed only once. If all of them have failed
// repeatedly, it returns none until the next test is due: a request that could
// only wait for another failure is refused at once.
func (b *Balancer) eligible(now time.Time, list []*directory.Upstream, skip func(*directory.Upstream) bool) []*directory.Upstream {
	var available, failedOnce []*directory.Upstream
	for _, u := range list {
		if u.State != directory.Ready || skip(u) {
			continue
		}
		if s := b.upstreams[u.ID]; s != nil && now.Before(s.suspendedUntil) {
			if s.suspension <= minSuspension {
				failedOnce = append(failedOnce, u)
			}
			continue
		}
		available = append(available, u)
	}
	if len(available) == 0 {
		return failedOnce
	}
	return available
}

// score is the expected utilisation of the upstream, weighted by its slowness,
// failure rate and zone; lower is better.
func (b *Balancer) score(now time.Time, u *directory.Upstream) float64 {
	s := b.state(u.ID)
	load := float64(s.inFlight)
	limit := float64(max(u.Slots, 1))
	age := now.Sub(s.reportedAt)
	if age < maxReportAge {
		load = max(load, float64(s.report.Running+s.report.Queued+s.sentSinceReport))
	}
	if age < maxReportAge || s.report.Limited && age < maxLimitAge {
		limit = max(s.report.Capacity, minCapacity)
	}
	utilisation := (load + 1) / limit
	if u.Zone != b.zone {
		utilisation += otherZonePenalty
	}
	slowness := math.Exp(decayed(s.slowness, now.Sub(s.slownessUpdatedAt), slownessHalfLife))
	if u.ColdRemaining > 0 {
		slowness = max(slowness, coldStartFactor)
	}
	failures := decayed(s.failures, now.Sub(s.failuresUpdatedAt), failureHalfLife)
	return utilisation * slowness * (1 + failurePenalty*failures)
}

// OnDone records the end of an attempt that Pick counted.
func (b *Balancer) OnDone(now time.Time, id string, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
	if r.Report != nil {
		s.report, s.reportedAt, s.sentSinceReport = *r.Report, now, 0
	}
	switch {
	case r.Unreachable:
		s.suspension = min(max(2*s.suspension, minSuspension), maxSuspension)
		s.suspendedUntil = now.Add(s.suspension)
	case r.Leaving:
		s.suspendedUntil = now.Add(leavingSuspension)
		s.suspension = minSuspension
	case r.Report != nil:
		s.suspension = 0
	}
	if !r.Refused && !r.Leaving && !r.Unreachable {
		s.recordOutcome(now, r.Failed)
	}
	if r.Service > 0 {
		b.recordServiceTime(now, s, r)
	}
}

// recordOutcome adds an outcome to the failure rate.
func (s *upstreamState) recordOutcome(now time.Time, failed bool) {
	rate := decayed(s.failures, now.Sub(s.failuresUpdatedAt), failureHalfLife)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures = rate + failureWeight*(outcome-rate)
	s.failuresUpdatedAt = now
}

// recordServiceTime compares the service time of an answer with the mean of its
// route.
func (b *Balancer) recordServiceTime(now time.Time, s *upstreamState, r Result) {
	seconds := r.Service.Seconds()
	mean, ok := b.means[r.Route]
	if !ok {
		b.means[r.Route] = seconds
		return
	}
	ratio := math.Log(min(max(seconds/mean, 1.0/maxSlowness), maxSlowness))
	slowness := decayed(s.slowness, now.Sub(s.slownessUpdatedAt), slownessHalfLife)
	s.slowness = slowness + slownessWeight*(ratio-slowness)
	s.slownessUpdatedAt = now
	// A slow upstream must not raise the reference for all others.
	b.means[r.Route] = mean + meanWeight*(min(seconds, 3*mean)-mean)
}

func (b *Balancer) state(id string) *upstreamState {
	s := b.upstreams[id]
	if s == nil {
		s = &upstreamState{}
		b.upstreams[id] = s
	}
	return s
}

// sweep drops the state of upstreams without recent traffic.
func (b *Balancer) sweep(now time.Time) {
	const retention = time.Minute
	if now.Sub(b.sweptAt) < retention {
		return
	}
	b.sweptAt = now
	for id, s := range b.upstreams {
		if s.inFlight == 0 && now.Sub(s.reportedAt) > retention && now.After(s.suspendedUntil) {
			delete(b.upstreams, id)
		}
	}
}

func decayed(value float64, age, halfLife time.Duration) float64 {
	if value == 0 || age <= 0 {
		return value
	}
	return value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}
