// Package pressure keeps the admission levels that upstreams report on their
// replies, so that the first node refuses hopeless calls before any work is
// done.
package pressure

import (
	"time"

	"toucangw.example/core/call"
)

// Class is what a level applies to.
type Class struct {
	Service string
	Kind    string
	Caller  string
}

// Table keeps levels per class. Implementations are not safe for concurrent
// use.
type Table interface {
	// Observe records the level that a reply reported.
	Observe(now time.Time, class Class, level call.Rank)
	// Admit decides whether a call of a rank is worth sending. For a refusal
	// it also returns a time after which trying again may help.
	Admit(now time.Time, class Class, rank call.Rank) (ok bool, retryAfter time.Duration)
	// Threshold returns the aged level of a class.
	Threshold(now time.Time, class Class) call.Rank
	// Reset drops all levels, as after a pause.
	Reset()
}

// Builder makes a Table. The random function returns a number in [0, n).
type Builder func(random func(n int) int) Table
