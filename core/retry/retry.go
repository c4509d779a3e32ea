// Package retry bounds the extra attempts made for one client request over its
// whole call tree, and the share of retries per service.
package retry

import (
	"time"

	"toucangw.example/core/verdict"
)

// Credit is the retry credit of one hop: the extra attempts that it may still
// make or delegate. The zero value has no credit. It is not safe for concurrent
// use.
type Credit struct {
	remaining int
}

// NewCredit returns a credit of the given number of extra attempts; a negative
// number counts as zero.
func NewCredit(credit int) Credit { return Credit{remaining: max(credit, 0)} }

// Remaining returns the extra attempts left.
func (c *Credit) Remaining() int { return c.remaining }

// Spend takes one extra attempt. It reports false if none is left.
func (c *Credit) Spend() bool {
	if c.remaining == 0 {
		return false
	}
	c.remaining--
	return true
}

// Delegate takes half of the credit, rounded up, for a sub-call.
func (c *Credit) Delegate() int {
	delegated := (c.remaining + 1) / 2
	c.remaining -= delegated
	return delegated
}

// Return adds the credit that a sub-call did not spend. More than was delegated
// is ignored, so that a faulty peer cannot raise the bound. The credit of a
// sub-call whose reply was lost is never returned.
func (c *Credit) Return(delegated, unspent int) {
	c.remaining += min(max(unspent, 0), delegated)
}

// Failure describes a failed attempt to Budget.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// Idempotent requests may be sent again after an indeterminate outcome.
	Idempotent bool
	// RoomElsewhere is set when another host of the service reports free
	// capacity.
	RoomElsewhere bool
}

// Budget decides per service whether a failed attempt may be followed by a
// retry, apart from the retry credit of the request. Implementations are not
// safe for concurrent use.
type Budget interface {
	// Success reports an answered call and earns budget.
	Success(now time.Time, service string)
	// Allow decides on one retry and spends budget if it allows it.
	Allow(now time.Time, service string, f Failure) bool
}

// Builder makes a Budget.
type Builder func() Budget
