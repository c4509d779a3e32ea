package concurrency

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose requests may start at once after a pause.
	burstTime = 500 * time.Millisecond
	// minRate is the rate, in requests per second, at which requests start
	// whatever the limit: only an answer can tell that a limit has ended.
	minRate = 0.25
)

// pacer bounds the rate at which requests start, as a token bucket. The zero value
// does not bound it.
type pacer struct {
	active   bool
	rate     float64 // requests per second
	tokens   float64
	filledAt time.Time
}

// limit bounds the rate from now on.
func (p *pacer) limit(now time.Time, perSecond float64) {
	p.fill(now)
	if !p.active {
		p.tokens = 1
	}
	p.active, p.rate, p.filledAt = true, max(perSecond, minRate), now
	p.tokens = min(p.tokens, p.burst())
}

// unlimit ends the bound.
func (p *pacer) unlimit() { *p = pacer{} }

func (p *pacer) burst() float64 { return max(1, p.rate*burstTime.Seconds()) }

func (p *pacer) fill(now time.Time) {
	if !p.active {
		return
	}
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		p.tokens = min(p.tokens+elapsed.Seconds()*p.rate, p.burst())
		p.filledAt = now
	}
}

// take reports whether a request may start now, and counts it if so.
func (p *pacer) take(now time.Time) bool {
	if !p.active {
		return true
	}
	p.fill(now)
	// The tolerance absorbs rounding, so that a timer set for delay is not early.
	if p.tokens < 1-1e-6 {
		return false
	}
	p.tokens--
	return true
}

// delay returns the time until as many requests as given may have started.
func (p *pacer) delay(now time.Time, requests int) time.Duration {
	if !p.active {
		return 0
	}
	p.fill(now)
	missing := float64(requests) - p.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / p.rate * float64(time.Second)))
}
