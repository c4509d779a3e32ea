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
	// bestWeight is the weight of one run in the slower mean whose lowest value
	// is the best time; its noise is about 4% of the mean.
	bestWeight = 1.0 / 64
	// bestAfter is the number of runs before the slower mean counts.
	bestAfter = 64
	// bestDrift raises the best time per run, so that a lasting change of the
	// calls counts as normal after some minutes.
	bestDrift = 1 + 1e-6
	// maxKinds bounds the measured kinds; further kinds share one entry.
	maxKinds = 256
)

// serviceTime is the mean time for which a call of one kind holds a slot,
// including its own sub-calls.
type serviceTime struct {
	nominal time.Duration
	mean    float64 // seconds
	seen    time.Time
	runs    int
	slower  float64 // mean time in the upstream itself over more runs, seconds
	best    float64 // lowest value of slower, seconds
}

// observe takes in the time for which a run held its slot, and the part of it
// spent in the upstream itself.
func (s *serviceTime) observe(now time.Time, latency, own time.Duration) {
	if s.seen.IsZero() {
		s.mean = latency.Seconds()
	} else {
		s.mean += timeWeight * (latency.Seconds() - s.mean)
	}
	s.seen = now
	s.runs++
	s.slower += max(bestWeight, 1/float64(s.runs)) * (own.Seconds() - s.slower)
	s.best *= bestDrift
	if s.runs >= bestAfter && (s.best == 0 || s.slower < s.best) {
		s.best = s.slower
	}
}

// reference is the time in the upstream itself at its best, against which
// slowness is judged. It is kept for each
// kind, since the kinds of an overload differ from those before it.
func (s *serviceTime) reference() time.Duration {
	if s.best > 0 {
		return time.Duration(s.best * float64(time.Second))
	}
	return time.Duration(max(s.slower, 1e-6) * float64(time.Second))
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
