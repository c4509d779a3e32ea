package route

import (
	"math"
	"time"

	"toucangw.example/core/member"
)

const (
	// loadHalfLife is the half-life of a reported load. Every reply carries a
	// report, so an old one belongs to a host that is hardly used.
	loadHalfLife = time.Second
	// latencyHalfLife is the half-life with which the latency of an unused host
	// returns to that of its service, so that one slow answer does not exclude
	// the host for good.
	latencyHalfLife = 5 * time.Second
	// failureHalfLife is the half-life of the failure rate of an unused host.
	failureHalfLife = 2 * time.Second

	latencyGain = 0.2  // weight of a new latency sample
	failureGain = 0.25 // weight of a new outcome; three failures in a row eject a host

	// ejectRate is the failure rate at which a host is ejected. probationRate
	// is the highest rate that a host keeps after an ejection: one more failure
	// ejects it again.
	ejectRate     = 0.5
	probationRate = 0.4
	// ejectionResetRate is the failure rate below which the count of
	// consecutive ejections returns to zero.
	ejectionResetRate = 0.1

	// ejectMin is the length of the first ejection. It doubles with each
	// consecutive ejection up to ejectMax, which is short so that a host that
	// has recovered is soon in use again.
	ejectMin = 500 * time.Millisecond
	ejectMax = 2 * time.Second

	initialRampWeight = 0.1  // weight of a host that has just started
	minReliability    = 0.05 // lowest weight of a host that always fails

	// defaultLatency is assumed until the service has answered once.
	defaultLatency = time.Millisecond
)

// decayed halves a value for each half-life of its age.
func decayed(value float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// host is the state that the router keeps of one host.
type host struct {
	member.Host
	hash          uint64    // rendezvous order
	rampStartedAt time.Time // zero for a host that is warm

	inFlight int
	// inFlightBefore counts attempts in flight to an earlier incarnation. Their
	// failures say nothing about the present one.
	inFlightBefore int

	report     Report
	reportedAt time.Time

	latency          float64 // nanoseconds
	latencyUpdatedAt time.Time

	failures          float64 // failure rate
	failuresUpdatedAt time.Time
	ejectedUntil      time.Time
	ejections         int // consecutive
}

// restart replaces the state by that of a new incarnation. Only the attempts in
// flight are kept.
func (h *host) restart(now time.Time, m member.Host) {
	*h = host{Host: m, hash: h.hash, rampStartedAt: now, inFlight: h.inFlight, inFlightBefore: h.inFlight}
}

// reset drops the state learned from reports and outcomes. The ramp and the
// attempts in flight are kept, since they do not become outdated.
func (h *host) reset() {
	*h = host{Host: h.Host, hash: h.hash, rampStartedAt: h.rampStartedAt, inFlight: h.inFlight, inFlightBefore: h.inFlightBefore}
}

func (h *host) load(now time.Time) float64 {
	return decayed(float64(h.report.Running+h.report.Queued), now.Sub(h.reportedAt), loadHalfLife)
}

// utilisation returns the part of the host's limit that is in use. Limit is
// assumed for a host that has reported none.
func (h *host) utilisation(now time.Time, limit int) float64 {
	if h.ejected(now) {
		return 1
	}
	if h.report.Limit > 0 {
		limit = h.report.Limit
	}
	return max(h.load(now), float64(h.inFlight)) / float64(max(limit, 1))
}

func (h *host) ramp(now time.Time, coldStart time.Duration) float64 {
	age := now.Sub(h.rampStartedAt)
	if h.rampStartedAt.IsZero() || age >= coldStart {
		return 1
	}
	return initialRampWeight + (1-initialRampWeight)*max(0, float64(age)/float64(coldStart))
}

func (h *host) failureRate(now time.Time) float64 {
	return decayed(h.failures, now.Sub(h.failuresUpdatedAt), failureHalfLife)
}

// reliability falls with the square of the failure rate, so that a host that
// fails fast does not attract calls by its short latency.
func (h *host) reliability(now time.Time) float64 {
	ok := 1 - h.failureRate(now)
	return max(ok*ok, minReliability)
}

// expectedLatency returns the latency to expect of the host, given that of the
// whole service.
func (h *host) expectedLatency(now time.Time, service float64) float64 {
	if h.latencyUpdatedAt.IsZero() {
		return service
	}
	weight := decayed(1, now.Sub(h.latencyUpdatedAt), latencyHalfLife)
	return weight*h.latency + (1-weight)*service
}

// score rates the host; lower is better.
func (h *host) score(now time.Time, p *pool) float64 {
	weight := h.ramp(now, p.coldStart) * h.reliability(now)
	return (float64(h.inFlight) + h.load(now) + 1) * h.expectedLatency(now, p.latency) / weight
}

func (h *host) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// endEjection puts a host whose ejection has ended on probation.
func (h *host) endEjection(now time.Time) {
	if h.ejectedUntil.IsZero() || h.ejected(now) {
		return
	}
	h.ejectedUntil = time.Time{}
	h.failures = min(h.failureRate(now), probationRate)
	h.failuresUpdatedAt = now
}

func (h *host) recordOutcome(now time.Time, failed bool, random func(n int) int) {
	h.endEjection(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	rate := h.failureRate(now)
	h.failures = rate + failureGain*(sample-rate)
	h.failuresUpdatedAt = now
	switch {
	case failed && h.failures >= ejectRate && !h.ejected(now):
		h.eject(now, random)
	case !failed && h.failures < ejectRate:
		h.ejectedUntil = time.Time{}
	}
	if h.failures < ejectionResetRate {
		h.ejections = 0
	}
}

// eject excludes the host for a time. Up to a quarter of jitter is added, so
// that nodes do not all try the host again at the same moment.
func (h *host) eject(now time.Time, random func(n int) int) {
	length := min(ejectMin<<min(h.ejections, 8), ejectMax)
	jitter := time.Duration(random(int(length / 4 / time.Microsecond)))
	h.ejectedUntil = now.Add(length + jitter*time.Microsecond)
	h.ejections++
}

func (h *host) recordLatency(now time.Time, latency time.Duration) {
	if h.latencyUpdatedAt.IsZero() {
		h.latency = float64(latency)
	}
	h.latency += latencyGain * (float64(latency) - h.latency)
	h.latencyUpdatedAt = now
}
