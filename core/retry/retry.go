// Package retry bounds the extra attempts made for one caller's request over
// its whole call tree, and the share of retries per service.
package retry

import (
	"time"

	"toucangw.example/core/verdict"
)

// Credit holds the retry credit that one hop was lent. The zero value has no
// credit. It is not safe for concurrent use.
type Credit struct {
	credit int
}

// NewCredit returns a pool with the given credit; a negative credit counts as
// zero.
func NewCredit(credit int) Credit { return Credit{credit: max(credit, 0)} }

// Remaining returns the extra attempts left.
func (p *Credit) Remaining() int { return p.credit }

// Spend takes one extra attempt. It reports false if none is left.
func (p *Credit) Spend() bool {
	if p.credit == 0 {
		return false
	}
	p.credit--
	return true
}

// Delegate takes half of the credit, rounded up, for a sub-call.
func (p *Credit) Delegate() int {
	lent := (p.credit + 1) / 2
	p.credit -= lent
	return lent
}

// Return gives back what a sub-call did not spend. More than was lent is
// ignored, so that a faulty peer cannot raise the bound. A lost reply is
// never returned and so forfeits its credit.
func (p *Credit) Return(lent, unspent int) {
	p.credit += min(max(unspent, 0), lent)
}

// Failure describes a failed attempt to Budget.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// RoomElsewhere is set when another host of the service reports room.
	RoomElsewhere bool
}

// Budget decides per service whether a failed attempt may be followed by
// another, apart from the credit of the request. Implementations are not safe
// for concurrent use.
type Budget interface {
	// Success reports an answered call and earns budget.
	Success(now time.Time, service string)
	// Allow decides on one retry and spends budget if it allows it.
	Allow(now time.Time, service string, f Failure) bool
}

// Builder makes a Budget.
type Builder func() Budget
