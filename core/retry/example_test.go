package retry_test

import (
	"fmt"
	"time"

	"toucangw.example/core/retry"
	"toucangw.example/core/verdict"
)

// A hop delegates half of its credit to a sub-call. What the sub-call did not
// spend is returned; together they never spend more than the grant.
func ExampleCredit() {
	credit := retry.NewCredit(3)
	delegated := credit.Delegate()
	fmt.Println("lent", delegated, "left", credit.Remaining())
	credit.Return(delegated, 1)
	fmt.Println("left", credit.Remaining())
	fmt.Println(credit.Spend(), credit.Spend(), credit.Spend())
	// Output:
	// lent 2 left 1
	// left 2
	// true true false
}

// A call that was shed is retried only if another host reports free capacity,
// and a request that must not run twice only if it did not run.
func ExampleNewBudget() {
	budget := retry.NewBudget()
	now := time.Unix(0, 0)
	full := retry.Failure{Verdict: verdict.NotRun, Reason: verdict.QueueFull, Idempotent: true}
	fmt.Println(budget.Allow(now, "ledger", full))
	full.RoomElsewhere = true
	fmt.Println(budget.Allow(now, "ledger", full))
	fmt.Println(budget.Allow(now, "ledger", retry.Failure{Reason: verdict.ConnectionLost}))
	// Output:
	// false
	// true
	// false
}
