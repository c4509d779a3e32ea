package pressure

import (
	"math"
	"time"

	"toucangw.example/core/call"
)

const (
	// fullWeightAge is the age up to which a reported threshold counts in full.
	fullWeightAge = 250 * time.Millisecond
	// halfLife is the half-life of the rejected share after fullWeightAge.
	// Without further reports, the rejected share is below a tenth after half a
	// second.
	halfLife = 120 * time.Millisecond
	// probeInterval is the mean time between calls of a rejected class that are
	// admitted as probes. It is well below fullWeightAge, so that a threshold
	// that still applies does not decay between two probes.
	probeInterval = 150 * time.Millisecond
	// reportWeight is the weight of one report in the moving average. Each host
	// of a service reports its own threshold, and a call may go to any of them.
	reportWeight = 0.3
	// tieBits is the number of low bits of a rank, below importance and
	// density.
	tieBits = 12
	tieSpan = 1 << tieBits
	// negligible is the rejected share below which a class counts as fully
	// admitted.
	negligible = 1.0 / tieSpan
	// maxExpectedOverload bounds the estimate that an overload will last as
	// long again as it has lasted so far.
	maxExpectedOverload = 2 * time.Second
	// minRetryAfter is the shortest retry-after time.
	minRetryAfter = 100 * time.Millisecond
	// maxClasses bounds the table; classes without recent reports are dropped
	// first.
	maxClasses = 100_000
	// maxIdleAge is the age after which a report is no longer of use.
	maxIdleAge = 2 * time.Second
)

// entry is the state of one class. All ranks of a class share importance and
// density, so that a threshold is equivalent to a rejected share of its calls.
type entry struct {
	class         call.Rank // importance and density of the calls, once known
	known         bool
	reported      call.Rank // last threshold reported
	rejected      float64   // rejected share at the time of the last report
	reportedAt    time.Time // time of the last report
	overloadSince time.Time // start of the overload
	probeAt       time.Time // earliest time of the next probe
}

type table struct {
	entries   map[Class]*entry
	random    func(n int) int
	lastSweep time.Time
}

// New returns a Table in which thresholds decay with age and a small share of
// the calls is admitted as probes. Memory is bounded by the number of classes.
func New(random func(n int) int) Table {
	return &table{entries: map[Class]*entry{}, random: random}
}

// rejectedShare returns the share of the calls of a class that is below a
// threshold.
func rejectedShare(class, threshold call.Rank) float64 {
	switch thresholdClass := threshold >> tieBits; {
	case thresholdClass > class:
		return 1
	case thresholdClass < class:
		return 0
	}
	return float64(threshold&(tieSpan-1)) / tieSpan
}

// rejectedNow returns the rejected share, decayed according to the age of the
// last report.
func (e *entry) rejectedNow(now time.Time) float64 {
	age := now.Sub(e.reportedAt)
	if age <= fullWeightAge {
		return e.rejected
	}
	decayed := e.rejected * math.Exp2(-float64(age-fullWeightAge)/float64(halfLife))
	if decayed < negligible {
		return 0
	}
	return decayed
}

// Observe implements Table.
func (t *table) Observe(now time.Time, class Class, threshold call.Rank) {
	e := t.entries[class]
	if e == nil {
		if threshold == 0 {
			return
		}
		e = t.add(now, class)
	}
	before := e.rejectedNow(now)
	e.reported = threshold
	e.reportedAt = now
	if !e.known {
		return
	}
	e.rejected = before + reportWeight*(rejectedShare(e.class, threshold)-before)
	if e.rejected < negligible {
		e.rejected = 0
	}
	if e.rejected == 0 {
		e.overloadSince = time.Time{}
	} else if before == 0 {
		e.overloadSince = now
	}
}

// Admit implements Table.
func (t *table) Admit(now time.Time, class Class, rank call.Rank) (bool, time.Duration) {
	e := t.entries[class]
	if e == nil {
		return true, 0
	}
	e.setClass(now, rank)
	rejected := e.rejectedNow(now)
	tie := float64(rank&(tieSpan-1)) / tieSpan
	if rejected == 0 || tie >= rejected {
		return true, 0
	}
	if rank.Importance() == call.Critical {
		return true, 0
	}
	if !now.Before(e.probeAt) {
		e.probeAt = now.Add(t.jitter(probeInterval))
		return true, 0
	}
	return false, t.retryAfter(now, e, rejected, tie)
}

// setClass records the importance and density of the calls of the class. They
// change only with the configuration.
func (e *entry) setClass(now time.Time, rank call.Rank) {
	class := rank >> tieBits
	if e.known && e.class == class {
		return
	}
	e.class = class
	e.known = true
	e.rejected = rejectedShare(class, e.reported)
	if e.rejected > 0 && e.overloadSince.IsZero() {
		e.overloadSince = now
	}
}

// retryAfter estimates when a call with the given tie bits will be admitted
// again: when the rejected share has decayed below its tie value, and not
// before the overload is likely to end.
func (t *table) retryAfter(now time.Time, e *entry, rejected, tie float64) time.Duration {
	decay := float64(halfLife) * math.Log2(rejected/math.Max(tie, negligible))
	wait := e.reportedAt.Add(fullWeightAge).Sub(now)
	duration := min(now.Sub(e.overloadSince), maxExpectedOverload)
	return t.jitter(max(minRetryAfter, duration, max(wait, 0)+time.Duration(decay)))
}

// jitter returns a random time, uniform over 0.75 to 1.25 of d, so that retries
// and probes do not all come at the same moment.
func (t *table) jitter(d time.Duration) time.Duration {
	const steps = 1024
	factor := 0.75 + 0.5*float64(t.random(steps))/steps
	return time.Duration(factor * float64(d))
}

// Threshold implements Table.
func (t *table) Threshold(now time.Time, class Class) call.Rank {
	e := t.entries[class]
	if e == nil {
		return 0
	}
	if !e.known {
		if now.Sub(e.reportedAt) > fullWeightAge {
			return 0
		}
		return e.reported
	}
	rejected := e.rejectedNow(now)
	if rejected == 0 {
		return 0
	}
	return e.class<<tieBits + call.Rank(math.Round(rejected*tieSpan))
}

// Reset implements Table.
func (t *table) Reset() { clear(t.entries) }

// add returns a new entry for a class, and stores it if there is room.
func (t *table) add(now time.Time, class Class) *entry {
	if len(t.entries) >= maxClasses && now.Sub(t.lastSweep) > maxIdleAge {
		t.lastSweep = now
		for c, e := range t.entries {
			if now.Sub(e.reportedAt) > maxIdleAge {
				delete(t.entries, c)
			}
		}
	}
	e := &entry{reportedAt: now, probeAt: now.Add(t.jitter(probeInterval))}
	if len(t.entries) < maxClasses {
		t.entries[class] = e
	}
	return e
}
