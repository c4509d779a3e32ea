package baseline

import (
	"time"

	"toucangw.example/core/retry"
	"toucangw.example/core/verdict"
)

// unlimitedBudget allows retries without a bound on their number.
type unlimitedBudget struct{}

// NewUnlimitedBudget is a retry.Builder. The budget allows each retry that
// cannot run an at-most-once request twice.
func NewUnlimitedBudget() retry.Budget { return unlimitedBudget{} }

func (unlimitedBudget) Success(time.Time, string) {}

func (unlimitedBudget) Allow(_ time.Time, _ string, f retry.Failure) bool {
	return f.Idempotent || f.Verdict == verdict.NotRun
}
