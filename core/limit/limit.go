// Package limit learns how many calls an upstream can usefully run at once.
//
// The configured slots are the upper bound. While the upstream is slower than
// it was at its best, the limit is lowered on trial: if the throughput stays,
// the calls above the lower limit only waited inside the upstream, and the
// lower limit is kept; if the throughput falls with the limit, the upstream is
// slow at any concurrency, and the limit is restored.
package limit

import (
	"math"
	"time"
)

const (
	// window is the shortest time over which throughput is compared. At 25
	// slots and 6 ms per call it holds 400 completions, whose noise is well
	// below half of trialStep.
	window = 100 * time.Millisecond
	// minSamples lengthens the window of an upstream with few calls.
	minSamples = 40
	// trialStep is the relative change of the limit in a trial.
	trialStep = 0.25
	// keepShare is the part of trialStep by which throughput may fall before
	// a lowered limit is taken back.
	keepShare = 0.5
	// slowRatio is the slowdown against the best known speed above which the
	// limit is put in question.
	slowRatio = 1.4
	// bestRatio is the slowdown up to which the upstream counts as at its
	// best, so that the limit grows without a trial. Between the two, a limit
	// just above the real capacity would otherwise swing up and down.
	bestRatio = 1.1
	// busyShare of the limit must be in use on average for a window to say
	// anything about the limit.
	busyShare = 0.85
	// growth is the increase per window while the upstream is at its best.
	growth = 1.5
	// maxBackoff bounds the windows between trials of a slow upstream. Each
	// failed trial costs trialStep of two windows.
	maxBackoff    = 64
	backoffGrowth = 4
	// floorShare of the slots is never gone below, so that a mistake can be
	// noticed and undone.
	floorShare = 0.1
	// shedStep is the decrease after the upstream refused a call for load.
	shedStep = 0.95
	// shedFloor is the part of the limit that one refusal leaves at least.
	shedFloor = 0.5
	// drift raises the best known ratio per window, so that a lasting change
	// of the calls is accepted as normal after some minutes.
	drift = 1.0005
)

type phase uint8

const (
	steady phase = iota
	settling
	measuring
)

// Limiter is the learned limit of one upstream. It is not safe for concurrent
// use.
type Limiter struct {
	slots int
	fixed bool

	limit float64
	best  float64 // lowest time per reference time seen

	windowStart time.Time
	lastChange  time.Time
	busy        float64 // integral of running calls over the window, seconds
	running     int
	samples     int
	spent       float64 // time of the calls completed, seconds
	work        float64 // reference time of the calls completed, seconds

	phase     phase
	trialUp   bool
	before    float64 // limit before the trial
	rate      float64 // throughput before the trial
	skip      int     // windows until the next trial
	backoff   int
	shedUntil time.Time
}

// New returns a limit that starts at the configured slots. It does not ramp up
// after a start: an upstream that is slow at any concurrency while it is cold
// would lose capacity, and core/route already sends a new incarnation less.
func New(slots int) *Limiter {
	slots = max(slots, 1)
	return &Limiter{slots: slots, limit: float64(slots), backoff: 1}
}

// Fixed returns a limit that stays at the configured slots.
func Fixed(slots int) *Limiter {
	l := New(slots)
	l.fixed = true
	return l
}

// SetSlots changes the upper bound. A limit that was at the old bound moves to
// the new one.
func (l *Limiter) SetSlots(slots int) {
	slots = max(slots, 1)
	if l.limit >= float64(l.slots) || l.limit > float64(slots) {
		l.limit = float64(slots)
	}
	l.slots = slots
}

// Current returns the number of calls that may run now.
func (l *Limiter) Current(time.Time) int {
	return max(1, int(math.Round(l.limit)))
}

// SetInFlight tells how many calls run from now on.
func (l *Limiter) SetInFlight(now time.Time, running int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		l.lastChange = now
	}
	l.busy += float64(l.running) * now.Sub(l.lastChange).Seconds()
	l.lastChange = now
	l.running = running
}

// OnComplete reports a completed call: the time spent in the upstream itself,
// without its sub-calls, and the time that such a call takes at best.
func (l *Limiter) OnComplete(now time.Time, took, reference time.Duration) {
	l.samples++
	l.spent += took.Seconds()
	l.work += reference.Seconds()
	elapsed := now.Sub(l.windowStart)
	if elapsed < window || l.samples < minSamples {
		return
	}
	l.SetInFlight(now, l.running)
	l.endWindow(elapsed.Seconds())
	l.windowStart = now
	l.busy = 0
	l.samples = 0
	l.spent = 0
	l.work = 0
}

// OnShed reports that the upstream itself refused a call for load while running
// calls ran: its capacity is below that.
func (l *Limiter) OnShed(now time.Time, running int) {
	if l.fixed || now.Before(l.shedUntil) {
		return
	}
	// One refusal of a nearly idle upstream says little about its capacity.
	bearable := math.Max(float64(running), l.limit*shedFloor)
	l.limit = l.clamp(math.Min(l.limit, bearable) * shedStep)
	l.phase = steady
	l.skip = l.backoff
	// Calls that were sent before the decrease may still be refused.
	l.shedUntil = now.Add(window / 4)
}

// Reset drops the window in progress, as after a pause.
func (l *Limiter) Reset(now time.Time) {
	l.windowStart = now
	l.lastChange = now
	l.busy = 0
	l.samples = 0
	l.spent = 0
	l.work = 0
	if l.phase != steady {
		l.limit = l.before
		l.phase = steady
	}
}

func (l *Limiter) clamp(limit float64) float64 {
	floor := math.Max(1, floorShare*float64(l.slots))
	return math.Max(floor, math.Min(limit, float64(l.slots)))
}

func (l *Limiter) endWindow(seconds float64) {
	if l.fixed || l.work <= 0 {
		return
	}
	mean := l.busy / seconds
	rate := l.work / seconds
	ratio := l.spent / l.work
	if l.best == 0 || ratio < l.best {
		l.best = ratio
	}
	l.best *= drift
	switch {
	case l.phase == settling:
		l.phase = measuring
	case l.phase == measuring:
		l.judge(rate, mean)
	case ratio < bestRatio*l.best:
		l.backoff = 1
		l.skip = 0
		l.limit = l.clamp(l.limit*growth + 1)
	case mean >= busyShare*l.limit:
		l.tryOther(rate, ratio > slowRatio*l.best)
	}
}

// tryOther starts a trial of another limit, upwards and downwards in turn, or
// only upwards.
func (l *Limiter) tryOther(rate float64, down bool) {
	if l.skip > 0 {
		l.skip--
		return
	}
	atTop := l.limit >= float64(l.slots)
	if atTop && !down {
		return
	}
	l.before = l.limit
	l.rate = rate
	l.trialUp = !atTop && (!l.trialUp || !down)
	if l.trialUp {
		l.limit = l.clamp(l.limit * (1 + trialStep))
	} else {
		l.limit = l.clamp(l.limit * (1 - trialStep))
	}
	l.phase = settling
}

func (l *Limiter) judge(rate, mean float64) {
	l.phase = steady
	step := l.limit/l.before - 1
	change := rate/l.rate - 1
	// An upward trial needs the gain, a downward trial must not lose it.
	proportional := change > keepShare*step
	if l.trialUp {
		proportional = proportional && mean >= busyShare*l.before
	}
	if proportional && step != 0 {
		l.backoff = 1
		l.skip = 0
		// Go on in the direction that worked.
		l.trialUp = !l.trialUp
		return
	}
	l.limit = l.before
	l.skip = l.backoff
	l.backoff = min(l.backoff*backoffGrowth, maxBackoff)
}
