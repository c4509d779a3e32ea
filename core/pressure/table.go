package pressure

import (
	"math"
	"time"

	"toucangw.example/core/call"
)

const (
	// grace is the time for which a reported level counts in full.
	grace = 250 * time.Millisecond
	// halfLife is the half-life of the refused share after grace. A level
	// without news is below a tenth after half a second.
	halfLife = 120 * time.Millisecond
	// probeEvery is the mean time between calls that are let through while a
	// class is refused. It is well below grace, so that a level that still
	// holds does not decay between two probes.
	probeEvery = 150 * time.Millisecond
	// blend is the weight of one report. The hosts of a service report levels
	// of their own, and a call may go to any of them.
	blend = 0.3
	// tieBits is the part of a rank below importance and density.
	tieBits = 12
	tieSpan = 1 << tieBits
	// negligible is the refused share below which a class is open.
	negligible = 1.0 / tieSpan
	// maxLindy bounds the advice that overload will last as long again as it
	// has lasted.
	maxLindy = 2 * time.Second
	// minAdvice is the shortest retry-after.
	minAdvice = 100 * time.Millisecond
	// maxClasses bounds the table; classes without news are dropped first.
	maxClasses = 100_000
	// idleAfter is the age after which a class holds no information.
	idleAfter = 2 * time.Second
)

// entry is the knowledge about one class. All ranks of a class share importance and
// density, so that a level amounts to a refused share of its calls.
type entry struct {
	class   call.Rank // importance and density of the calls, once known
	known   bool
	report  call.Rank // last level reported
	refused float64   // share refused at the time of the last report
	at      time.Time // time of the last report
	since   time.Time // begin of the overload
	probeAt time.Time // earliest time of the next probe
}

type table struct {
	entries map[Class]*entry
	random  func(n int) int
	swept   time.Time
}

// New returns a Table that ages levels and lets a small share through as a
// probe. Memory is bounded by the number of classes.
func New(random func(n int) int) Table {
	return &table{entries: map[Class]*entry{}, random: random}
}

// share returns the refused share of a class that a level amounts to.
func share(class, level call.Rank) float64 {
	switch at := level >> tieBits; {
	case at > class:
		return 1
	case at < class:
		return 0
	}
	return float64(level&(tieSpan-1)) / tieSpan
}

func (e *entry) aged(now time.Time) float64 {
	age := now.Sub(e.at)
	if age <= grace {
		return e.refused
	}
	left := e.refused * math.Exp2(-float64(age-grace)/float64(halfLife))
	if left < negligible {
		return 0
	}
	return left
}

// Observe implements Table.
func (t *table) Observe(now time.Time, class Class, level call.Rank) {
	e := t.entries[class]
	if e == nil {
		if level == 0 {
			return
		}
		e = t.add(now, class)
	}
	was := e.aged(now)
	e.report = level
	e.at = now
	if !e.known {
		return
	}
	e.refused = was + blend*(share(e.class, level)-was)
	if e.refused < negligible {
		e.refused = 0
	}
	if e.refused == 0 {
		e.since = time.Time{}
	} else if was == 0 {
		e.since = now
	}
}

// Admit implements Table.
func (t *table) Admit(now time.Time, class Class, rank call.Rank) (bool, time.Duration) {
	e := t.entries[class]
	if e == nil {
		return true, 0
	}
	e.learn(now, rank)
	refused := e.aged(now)
	tie := float64(rank&(tieSpan-1)) / tieSpan
	if refused == 0 || tie >= refused {
		return true, 0
	}
	if rank.Importance() == call.Critical {
		return true, 0
	}
	if !now.Before(e.probeAt) {
		e.probeAt = now.Add(t.jitter(probeEvery))
		return true, 0
	}
	return false, t.advice(now, e, refused, tie)
}

// learn takes over the importance and density of the calls of the class. They
// change only with the configuration.
func (e *entry) learn(now time.Time, rank call.Rank) {
	class := rank >> tieBits
	if e.known && e.class == class {
		return
	}
	e.class = class
	e.known = true
	e.refused = share(class, e.report)
	if e.refused > 0 && e.since.IsZero() {
		e.since = now
	}
}

// advice estimates when a call with a tie value is admitted again: when the
// level has decayed below it, and not before the overload is likely to end.
func (t *table) advice(now time.Time, e *entry, refused, tie float64) time.Duration {
	decay := float64(halfLife) * math.Log2(refused/math.Max(tie, negligible))
	wait := e.at.Add(grace).Sub(now)
	lasted := min(now.Sub(e.since), maxLindy)
	return t.jitter(max(minAdvice, lasted, max(wait, 0)+time.Duration(decay)))
}

// jitter spreads a time evenly over 0.75 to 1.25 of itself, so that callers
// and probes do not act at the same moment.
func (t *table) jitter(d time.Duration) time.Duration {
	const grains = 1024
	part := 0.75 + 0.5*float64(t.random(grains))/grains
	return time.Duration(part * float64(d))
}

// Threshold implements Table.
func (t *table) Threshold(now time.Time, class Class) call.Rank {
	e := t.entries[class]
	if e == nil {
		return 0
	}
	if !e.known {
		if now.Sub(e.at) > grace {
			return 0
		}
		return e.report
	}
	refused := e.aged(now)
	if refused == 0 {
		return 0
	}
	return e.class<<tieBits + call.Rank(math.Round(refused*tieSpan))
}

// Reset implements Table.
func (t *table) Reset() { clear(t.entries) }

// add makes room for a class and returns its entry.
func (t *table) add(now time.Time, class Class) *entry {
	if len(t.entries) >= maxClasses && now.Sub(t.swept) > idleAfter {
		t.swept = now
		for c, e := range t.entries {
			if now.Sub(e.at) > idleAfter {
				delete(t.entries, c)
			}
		}
	}
	e := &entry{at: now, probeAt: now.Add(t.jitter(probeEvery))}
	if len(t.entries) < maxClasses {
		t.entries[class] = e
	}
	return e
}
