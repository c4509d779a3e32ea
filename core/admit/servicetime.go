package admit

import (
	"math"
	"time"

	"toucangw.example/core/call"
)

const (
	// meanWeight is the weight of one run in the mean service time.
	meanWeight = 1.0 / 16
	// deviationHalfLife is the half-life of the deviation of the mean from the
	// configured cost while no run is observed. Without this decay, a kind
	// whose calls are rejected because they were measured to be slow would
	// never be measured again.
	deviationHalfLife = 300 * time.Millisecond
	// fullWeightAge is the age up to which a measurement counts in full.
	fullWeightAge = 200 * time.Millisecond
	// slowMeanWeight is the weight of one run in the slow mean, whose lowest
	// value is taken as the best time. The noise of the slow mean is about 4%
	// of its value.
	slowMeanWeight = 1.0 / 64
	// minBestRuns is the number of runs from which on the slow mean is used.
	minBestRuns = 64
	// bestDrift raises the best time with each run, so that a lasting change of
	// the calls is accepted as normal after some minutes.
	bestDrift = 1 + 1e-6
	// maxKinds bounds the number of measured kinds; further kinds share one
	// entry.
	maxKinds = 256
)

// serviceTime is the mean time for which a call of one kind holds a slot,
// including the time of its sub-calls.
type serviceTime struct {
	configuredCost time.Duration
	mean           float64 // seconds
	lastObserved   time.Time
	runs           int
	slowMean       float64 // mean time in the upstream itself over more runs, seconds
	bestMean       float64 // lowest value of slowMean, seconds
}

// observe records the time for which a call held its slot, and the part of it
// spent in the upstream itself.
func (s *serviceTime) observe(now time.Time, latency, upstreamTime time.Duration) {
	if s.lastObserved.IsZero() {
		s.mean = latency.Seconds()
	} else {
		s.mean += meanWeight * (latency.Seconds() - s.mean)
	}
	s.lastObserved = now
	s.runs++
	s.slowMean += max(slowMeanWeight, 1/float64(s.runs)) * (upstreamTime.Seconds() - s.slowMean)
	s.bestMean *= bestDrift
	if s.runs >= minBestRuns && (s.bestMean == 0 || s.slowMean < s.bestMean) {
		s.bestMean = s.slowMean
	}
}

// reference returns the best known time in the upstream itself, the reference
// for slowness. It is kept per kind, since the mix of kinds in an overload
// differs from the mix before it.
func (s *serviceTime) reference() time.Duration {
	if s.bestMean > 0 {
		return time.Duration(s.bestMean * float64(time.Second))
	}
	return time.Duration(max(s.slowMean, 1e-6) * float64(time.Second))
}

// expected returns the expected time for which a call will hold a slot.
func (s *serviceTime) expected(now time.Time) time.Duration {
	if s.lastObserved.IsZero() {
		return s.configuredCost
	}
	configured := s.configuredCost.Seconds()
	mean := s.mean
	if age := now.Sub(s.lastObserved); age > fullWeightAge {
		mean = configured + (mean-configured)*math.Exp2(-float64(age-fullWeightAge)/float64(deviationHalfLife))
	}
	return max(time.Microsecond, time.Duration(mean*float64(time.Second)))
}

// serviceTimeOf returns the service time of a kind and updates its configured
// cost.
func (c *controller) serviceTimeOf(kind string, configuredCost time.Duration) *serviceTime {
	s := c.serviceTimes[kind]
	if s == nil {
		if len(c.serviceTimes) >= maxKinds {
			kind = ""
		}
		s = c.serviceTimes[kind]
	}
	if s == nil {
		s = &serviceTime{}
		c.serviceTimes[kind] = s
	}
	s.configuredCost = configuredCost
	return s
}

func (c *controller) expected(now time.Time, req *call.Request) time.Duration {
	return c.serviceTimeOf(req.Kind, configuredCost(req)).expected(now)
}

// configuredCost returns the configured cost of a call, or the default.
func configuredCost(req *call.Request) time.Duration {
	if req.Cost <= 0 {
		return defaultCost
	}
	return req.Cost
}
