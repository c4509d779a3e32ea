package route

import (
	"math"
	"time"

	"toucangw.example/core/member"
)

const (
	// loadHalfLife ages a reported load. Reports come with each reply, so an
	// old one belongs to a host that is hardly used.
	loadHalfLife = time.Second
	// latencyHalfLife moves the latency of an unused host back to that of its
	// service, so that one slow answer does not exclude it for good.
	latencyHalfLife = 5 * time.Second
	// failureHalfLife ages the failure rate of an unused host.
	failureHalfLife = 2 * time.Second

	latencyGain = 0.2  // weight of a new latency sample
	failureGain = 0.25 // weight of a new outcome; three failures in a row eject

	// ejectRate is the failure rate at which a host is ejected, retrialRate
	// the highest rate after an ejection: one more failure ejects again.
	ejectRate   = 0.5
	retrialRate = 0.4
	// calmRate is the failure rate below which past ejections are forgotten.
	calmRate = 0.1

	// ejectMin doubles with each ejection in a row up to ejectMax, which is
	// short so that a host that has recovered is soon in use again.
	ejectMin = 500 * time.Millisecond
	ejectMax = 2 * time.Second

	rampStart  = 0.1  // weight of a host that has just started
	leastTrust = 0.05 // weight floor of a host that always fails

	// unknownLatency stands in until the service has answered once.
	unknownLatency = time.Millisecond
)

// aged halves a value for each half-life of its age.
func aged(value float64, age, halfLife time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// host is what the router knows of one host.
type host struct {
	member.Host
	hash    uint64    // rendezvous order
	started time.Time // start of the ramp; zero for a host that is warm

	inFlight int
	// inherited counts attempts in flight to an earlier incarnation. Their
	// failures say nothing about the present one.
	inherited int

	report   Report
	reportAt time.Time

	latency   float64 // nanoseconds
	latencyAt time.Time

	failures   float64 // failure rate
	failuresAt time.Time
	badUntil   time.Time
	ejections  int // in a row
}

// restart forgets everything but the attempts in flight.
func (h *host) restart(now time.Time, m member.Host) {
	*h = host{Host: m, hash: h.hash, started: now, inFlight: h.inFlight, inherited: h.inFlight}
}

// forget drops what ages. The ramp and the attempts in flight are facts.
func (h *host) forget() {
	*h = host{Host: h.Host, hash: h.hash, started: h.started, inFlight: h.inFlight, inherited: h.inherited}
}

func (h *host) load(now time.Time) float64 {
	return aged(float64(h.report.Running+h.report.Queued), now.Sub(h.reportAt), loadHalfLife)
}

// utilisation is the share of the host's limit in use; limit stands in when
// the host has reported none.
func (h *host) utilisation(now time.Time, limit int) float64 {
	if h.bad(now) {
		return 1
	}
	if h.report.Limit > 0 {
		limit = h.report.Limit
	}
	return max(h.load(now), float64(h.inFlight)) / float64(max(limit, 1))
}

func (h *host) ramp(now time.Time, coldStart time.Duration) float64 {
	age := now.Sub(h.started)
	if h.started.IsZero() || age >= coldStart {
		return 1
	}
	return rampStart + (1-rampStart)*max(0, float64(age)/float64(coldStart))
}

func (h *host) failureRate(now time.Time) float64 {
	return aged(h.failures, now.Sub(h.failuresAt), failureHalfLife)
}

// trust falls with the square of the failure rate, so that a host that fails
// fast does not attract calls by its short latency.
func (h *host) trust(now time.Time) float64 {
	ok := 1 - h.failureRate(now)
	return max(ok*ok, leastTrust)
}

// expected is the latency to expect, given that of the whole service.
func (h *host) expected(now time.Time, service float64) float64 {
	if h.latencyAt.IsZero() {
		return service
	}
	own := aged(1, now.Sub(h.latencyAt), latencyHalfLife)
	return own*h.latency + (1-own)*service
}

// score is lower for a better host.
func (h *host) score(now time.Time, p *pool) float64 {
	weight := h.ramp(now, p.coldStart) * h.trust(now)
	return (float64(h.inFlight) + h.load(now) + 1) * h.expected(now, p.latency) / weight
}

func (h *host) bad(now time.Time) bool { return now.Before(h.badUntil) }

// settle puts a host whose ejection has ended on trial.
func (h *host) settle(now time.Time) {
	if h.badUntil.IsZero() || h.bad(now) {
		return
	}
	h.badUntil = time.Time{}
	h.failures = min(h.failureRate(now), retrialRate)
	h.failuresAt = now
}

func (h *host) observe(now time.Time, failed bool, random func(n int) int) {
	h.settle(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	rate := h.failureRate(now)
	h.failures = rate + failureGain*(sample-rate)
	h.failuresAt = now
	switch {
	case failed && h.failures >= ejectRate && !h.bad(now):
		h.eject(now, random)
	case !failed && h.failures < ejectRate:
		h.badUntil = time.Time{}
	}
	if h.failures < calmRate {
		h.ejections = 0
	}
}

// eject adds up to a quarter of jitter, so that nodes do not all try the host
// again at the same moment.
func (h *host) eject(now time.Time, random func(n int) int) {
	length := min(ejectMin<<min(h.ejections, 8), ejectMax)
	jitter := time.Duration(random(int(length / 4 / time.Microsecond)))
	h.badUntil = now.Add(length + jitter*time.Microsecond)
	h.ejections++
}

func (h *host) measure(now time.Time, latency time.Duration) {
	if h.latencyAt.IsZero() {
		h.latency = float64(latency)
	}
	h.latency += latencyGain * (float64(latency) - h.latency)
	h.latencyAt = now
}
