// Package limit learns the concurrency limit of an upstream: the number of
// calls that it can usefully run at once.
//
// The configured slots are the upper bound. While the upstream is slower than
// its best known speed, trials lower the limit. If the throughput stays the
// same, the calls above the lower limit had only been waiting inside the
// upstream, and the lower limit is kept. If the throughput falls along with the
// limit, the upstream is slow at any concurrency, and the limit is restored.
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
	// minSamples is the least number of completions in a window; it lengthens
	// the window of an upstream with few calls.
	minSamples = 40
	// trialStep is the relative change of the limit in a trial.
	trialStep = 0.25
	// toleratedLoss is the part of trialStep by which throughput may fall
	// before a lowered limit is restored.
	toleratedLoss = 0.5
	// slowRatio is the slowdown, relative to the best known speed, above which
	// a trial of a lower limit is made.
	slowRatio = 1.4
	// bestRatio is the slowdown up to which the upstream counts as at its best,
	// so that the limit grows without a trial. The gap between bestRatio and
	// slowRatio keeps a limit just above the real capacity from oscillating.
	bestRatio = 1.1
	// minBusyShare is the part of the limit that must be in use on average for
	// a window to say anything about the limit.
	minBusyShare = 0.85
	// windowGrowth is the increase of the limit per window while the upstream
	// is at its best.
	windowGrowth = 1.5
	// maxBackoff bounds the number of windows between trials of a slow
	// upstream. Each failed trial costs trialStep of the throughput of two
	// windows.
	maxBackoff    = 64
	backoffGrowth = 4
	// minLimitShare is the part of the slots below which the limit is never
	// lowered, so that a wrong decision can be noticed and undone.
	minLimitShare = 0.1
	// shedStep is the factor on the limit after the upstream has shed a call.
	shedStep = 0.95
	// minShedShare is the part of the limit that one shed call leaves at least,
	// before shedStep is applied.
	minShedShare = 0.5
	// bestDrift raises the best known slowdown per window, so that a lasting
	// change of the calls is accepted as normal after some minutes.
	bestDrift = 1.0005
)

// phase is the state of a trial.
type phase uint8

const (
	steady    phase = iota // no trial is running
	settling               // the limit has changed; the calls started before may still be running
	measuring              // the throughput at the changed limit is measured
)

// Limiter holds the learned concurrency limit of one upstream. It is not safe
// for concurrent use.
type Limiter struct {
	slots int
	fixed bool

	limit        float64
	bestSlowdown float64 // lowest ratio of measured to reference time seen

	windowStart   time.Time
	lastUpdate    time.Time
	busySlotTime  float64 // integral of the calls in flight over the window, seconds
	running       int
	samples       int
	spentTime     float64 // time of the calls completed in the window, seconds
	referenceTime float64 // reference time of the calls completed in the window, seconds

	phase            phase
	trialUp          bool
	limitBefore      float64 // limit before the trial
	throughputBefore float64 // throughput before the trial
	skipWindows      int     // windows until the next trial
	backoff          int
	shedUntil        time.Time // until then, further shed calls do not lower the limit again
}

// New returns a limiter that starts at the configured slots. It does not ramp
// up after a start: an upstream that is slow at any concurrency while it is
// cold would lose capacity, and core/route already sends fewer calls to a new
// incarnation.
func New(slots int) *Limiter {
	slots = max(slots, 1)
	return &Limiter{slots: slots, limit: float64(slots), backoff: 1}
}

// Fixed returns a limiter that stays at the configured slots.
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

// SetInFlight sets the number of calls that run from now on.
func (l *Limiter) SetInFlight(now time.Time, running int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
		l.lastUpdate = now
	}
	l.busySlotTime += float64(l.running) * now.Sub(l.lastUpdate).Seconds()
	l.lastUpdate = now
	l.running = running
}

// OnComplete reports a completed call: the time spent in the upstream itself,
// without its sub-calls, and the time that such a call takes at best.
func (l *Limiter) OnComplete(now time.Time, took, reference time.Duration) {
	l.samples++
	l.spentTime += took.Seconds()
	l.referenceTime += reference.Seconds()
	elapsed := now.Sub(l.windowStart)
	if elapsed < window || l.samples < minSamples {
		return
	}
	l.SetInFlight(now, l.running)
	l.endWindow(elapsed.Seconds())
	l.windowStart = now
	l.busySlotTime = 0
	l.samples = 0
	l.spentTime = 0
	l.referenceTime = 0
}

// OnShed reports that the upstream itself shed a call for load while the given
// number of calls ran: its capacity is lower than that.
func (l *Limiter) OnShed(now time.Time, running int) {
	if l.fixed || now.Before(l.shedUntil) {
		return
	}
	// A single shed call from a nearly idle upstream says little about its
	// capacity.
	capacity := math.Max(float64(running), l.limit*minShedShare)
	l.limit = l.clamp(math.Min(l.limit, capacity) * shedStep)
	l.phase = steady
	l.skipWindows = l.backoff
	// Calls that were sent before the decrease may still be shed.
	l.shedUntil = now.Add(window / 4)
}

// Reset discards the present window and trial, for example after a pause of the
// process.
func (l *Limiter) Reset(now time.Time) {
	l.windowStart = now
	l.lastUpdate = now
	l.busySlotTime = 0
	l.samples = 0
	l.spentTime = 0
	l.referenceTime = 0
	if l.phase != steady {
		l.limit = l.limitBefore
		l.phase = steady
	}
}

func (l *Limiter) clamp(limit float64) float64 {
	floor := math.Max(1, minLimitShare*float64(l.slots))
	return math.Max(floor, math.Min(limit, float64(l.slots)))
}

// endWindow evaluates a window and adapts the limit.
func (l *Limiter) endWindow(seconds float64) {
	if l.fixed || l.referenceTime <= 0 {
		return
	}
	meanRunning := l.busySlotTime / seconds
	throughput := l.referenceTime / seconds
	slowdown := l.spentTime / l.referenceTime
	if l.bestSlowdown == 0 || slowdown < l.bestSlowdown {
		l.bestSlowdown = slowdown
	}
	l.bestSlowdown *= bestDrift
	switch {
	case l.phase == settling:
		l.phase = measuring
	case l.phase == measuring:
		l.evaluateTrial(throughput, meanRunning)
	case slowdown < bestRatio*l.bestSlowdown:
		l.backoff = 1
		l.skipWindows = 0
		l.limit = l.clamp(l.limit*windowGrowth + 1)
	case meanRunning >= minBusyShare*l.limit:
		l.startTrial(throughput, slowdown > slowRatio*l.bestSlowdown)
	}
}

// startTrial starts a trial of another limit: upwards and downwards in turn, or
// only upwards.
func (l *Limiter) startTrial(throughput float64, allowDown bool) {
	if l.skipWindows > 0 {
		l.skipWindows--
		return
	}
	atTop := l.limit >= float64(l.slots)
	if atTop && !allowDown {
		return
	}
	l.limitBefore = l.limit
	l.throughputBefore = throughput
	l.trialUp = !atTop && (!l.trialUp || !allowDown)
	if l.trialUp {
		l.limit = l.clamp(l.limit * (1 + trialStep))
	} else {
		l.limit = l.clamp(l.limit * (1 - trialStep))
	}
	l.phase = settling
}

// evaluateTrial keeps the limit of the trial or restores the one before.
func (l *Limiter) evaluateTrial(throughput, meanRunning float64) {
	l.phase = steady
	step := l.limit/l.limitBefore - 1
	change := throughput/l.throughputBefore - 1
	// An upward trial must raise the throughput, a downward trial must not
	// lower it, by more than toleratedLoss of the step.
	proportional := change > toleratedLoss*step
	if l.trialUp {
		proportional = proportional && meanRunning >= minBusyShare*l.limitBefore
	}
	if proportional && step != 0 {
		l.backoff = 1
		l.skipWindows = 0
		// Continue in the direction that worked: startTrial inverts trialUp.
		l.trialUp = !l.trialUp
		return
	}
	l.limit = l.limitBefore
	l.skipWindows = l.backoff
	l.backoff = min(l.backoff*backoffGrowth, maxBackoff)
}
