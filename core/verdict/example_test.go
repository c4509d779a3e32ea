package verdict_test

import (
	"errors"
	"fmt"
	"time"

	"toucangw.example/core/verdict"
)

// A wrapped refusal keeps its verdict. An error without a verdict never counts
// as "not run".
func ExampleOf() {
	refusal := verdict.Refuse(verdict.QueueFull, "")
	refusal.RetryAfter = 120 * time.Millisecond
	err := fmt.Errorf("call to ledger: %w", refusal)
	fmt.Println(err)
	fmt.Println(verdict.Of(err), verdict.Of(errors.New("connection reset")))
	// Output:
	// call to ledger: queue-full (not-run)
	// not-run may-have-run
}

func ExampleParse() {
	v, err := verdict.Parse("run")
	fmt.Println(v, err)
	v, err = verdict.Parse("perhaps")
	fmt.Println(v, err)
	// Output:
	// run <nil>
	// may-have-run unknown verdict "perhaps"
}
