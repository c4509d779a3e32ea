package retry_test

import (
	"fmt"
	"time"

	"toucangw.example/core/retry"
	"toucangw.example/core/verdict"
)

// A hop lends half of its credit to a sub-call. What the sub-call did not spend
// comes back; together they never spend more than the grant.
func ExampleCredit() {
	pool := retry.NewCredit(3)
	lent := pool.Delegate()
	fmt.Println("lent", lent, "left", pool.Remaining())
	pool.Return(lent, 1)
	fmt.Println("left", pool.Remaining())
	fmt.Println(pool.Spend(), pool.Spend(), pool.Spend())
	// Output:
	// lent 2 left 1
	// left 2
	// true true false
}

// A refusal for load is retried only where another host reports room, and a
// request that must not run twice only if it did not run.
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
