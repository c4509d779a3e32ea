// Package pressure keeps the admission thresholds that upstreams report on
// their replies, so that the first node of a call tree sheds calls that would
// be rejected anyway before any work is done for them.
package pressure

import (
	"time"

	"toucangw.example/core/call"
)

// Class identifies the calls to which a threshold applies.
type Class struct {
	Service string
	Kind    string
	Caller  string
}

// Table keeps the observed admission threshold of each class. Implementations
// are not safe for concurrent use.
type Table interface {
	// Observe records the threshold that a reply reported.
	Observe(now time.Time, class Class, threshold call.Rank)
	// Admit decides whether a call of a rank is worth sending. If it is not,
	// Admit also returns the time after which a retry may succeed.
	Admit(now time.Time, class Class, rank call.Rank) (ok bool, retryAfter time.Duration)
	// Threshold returns the observed threshold of a class, decayed according to
	// its age.
	Threshold(now time.Time, class Class) call.Rank
	// Reset drops all thresholds, for example after a pause of the process.
	Reset()
}

// Builder makes a Table. The random function returns a number in [0, n).
type Builder func(random func(n int) int) Table
