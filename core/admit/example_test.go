package admit_test

import (
	"fmt"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/policy"
)

// With one slot, the first call runs at once. When it ends, the more important
// of the two waiting calls runs next, although it arrived later.
func ExampleNew() {
	service := &policy.Service{Name: "ledger", Slots: 1, MaxQueueWait: 100 * time.Millisecond}
	callers := map[string]*policy.Caller{"scheldt": {Name: "scheldt", Share: 1}}
	controller := admit.New(service, callers)
	now := time.Unix(0, 0)
	offer := func(id call.ID, importance call.Importance) {
		decisions := controller.Offer(now, &call.Request{
			ID: id, Caller: "scheldt", Kind: importance.String(), Service: "ledger",
			Rank:     call.NewRank(importance, 1, 10*time.Millisecond, fmt.Sprint(id)),
			Deadline: now.Add(2 * time.Second), Cost: 10 * time.Millisecond,
		})
		fmt.Println("call", id, importance, "runs at once:", len(decisions) == 1 && decisions[0].Run)
	}
	offer(1, call.Low)
	offer(2, call.Low)
	offer(3, call.Critical)
	now = now.Add(10 * time.Millisecond)
	for _, d := range controller.Done(now, 1, admit.Outcome{Latency: 10 * time.Millisecond}) {
		fmt.Println("then call", d.ID, "runs:", d.Run)
	}
	// Output:
	// call 1 low runs at once: true
	// call 2 low runs at once: false
	// call 3 critical runs at once: false
	// then call 3 runs: true
}
