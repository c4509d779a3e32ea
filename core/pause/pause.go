// Package pause detects that the process was paused and has resumed.
package pause

import "time"

// Threshold is the gap between ticks above which the process counts as
// paused. Garbage collection and scheduling stay well below it.
const Threshold = 500 * time.Millisecond

// Detector compares the time between ticks with the expected time. It is not
// safe for concurrent use.
type Detector struct {
	lastTick time.Time
}

// Tick records a tick and returns the length of the pause that it ended, or
// zero.
func (d *Detector) Tick(now time.Time) time.Duration {
	last := d.lastTick
	d.lastTick = now
	if last.IsZero() {
		return 0
	}
	if gap := now.Sub(last); gap > Threshold {
		return gap
	}
	return 0
}
