package admit

import (
	"math"
	"time"

	"toucangw.example/core/call"
)

const (
	// timeWeight is the weight of one run in the mean service time.
	timeWeight = 1.0 / 16
	// timeHalfLife is the half-life of a deviation from the configured cost
	// while no run is observed. Without it, a kind that was refused for its
	// measured slowness would never be measured again.
	timeHalfLife = 300 * time.Millisecond
	// timeGrace is the age up to which a measurement counts in full.
	timeGrace = 200 * time.Millisecond
	// maxKinds bounds the measured kinds; further kinds share one entry.
	maxKinds = 256
)

// serviceTime is the mean time for which a call of one kind holds a slot,
// including its own sub-calls.
type serviceTime struct {
	nominal time.Duration
	mean    float64 // seconds
	seen    time.Time
}

func (s *serviceTime) observe(now time.Time, latency time.Duration) {
	if s.seen.IsZero() {
		s.mean = latency.Seconds()
	} else {
		s.mean += timeWeight * (latency.Seconds() - s.mean)
	}
	s.seen = now
}

func (s *serviceTime) expected(now time.Time) time.Duration {
	if s.seen.IsZero() {
		return s.nominal
	}
	base := s.nominal.Seconds()
	mean := s.mean
	if age := now.Sub(s.seen); age > timeGrace {
		mean = base + (mean-base)*math.Exp2(-float64(age-timeGrace)/float64(timeHalfLife))
	}
	return max(time.Microsecond, time.Duration(mean*float64(time.Second)))
}

func (g *guard) timeOf(kind string, nominal time.Duration) *serviceTime {
	s := g.times[kind]
	if s == nil {
		if len(g.times) >= maxKinds {
			kind = ""
		}
		s = g.times[kind]
	}
	if s == nil {
		s = &serviceTime{}
		g.times[kind] = s
	}
	s.nominal = nominal
	return s
}

func (g *guard) expected(now time.Time, req *call.Request) time.Duration {
	return g.timeOf(req.Kind, nominal(req)).expected(now)
}

func nominal(req *call.Request) time.Duration {
	if req.Cost <= 0 {
		return defaultCost
	}
	return req.Cost
}
