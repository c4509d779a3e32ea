package call_test

import (
	"fmt"
	"time"

	"toucangw.example/core/call"
)

// Ranks are ordered by importance, then by worth per slot time of the whole
// call tree.
func ExampleNewRank() {
	signOff := call.NewRank(call.Critical, 20, 19*time.Millisecond, "a")
	qualityRead := call.NewRank(call.Normal, 4, 16*time.Millisecond, "b")
	ledgerRead := call.NewRank(call.Normal, 2, 5*time.Millisecond, "c")
	fmt.Println(signOff.Importance(), signOff > qualityRead)
	fmt.Println(ledgerRead.Importance(), ledgerRead > qualityRead)
	// Output:
	// critical true
	// normal true
}

func ExampleLowestOf() {
	rank := call.NewRank(call.Low, 1, 12*time.Millisecond, "a")
	fmt.Println(rank >= call.LowestOf(call.Low), rank >= call.LowestOf(call.Normal))
	// Output: true false
}
