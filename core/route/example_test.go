package route_test

import (
	"fmt"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/route"
)

// A host of the local availability zone is preferred. Once it has been tried, a
// host of another zone is chosen.
func ExampleNew() {
	first := func(int) int { return 0 }
	router := route.New(route.Locality{Host: "batchlog-1", Zone: "flanders-a", Region: "flanders"}, first)
	now := time.Unix(0, 0)
	router.SetHosts(now, "ledger", []member.Host{
		{ID: "ledger-1", Zone: "flanders-a", Region: "flanders"},
		{ID: "ledger-2", Zone: "flanders-b", Region: "flanders"},
	})
	request := &call.Request{Service: "ledger"}
	choice, ok := router.Pick(now, request, nil)
	fmt.Println(choice.Host.ID, choice.Reason, ok)
	choice, ok = router.Pick(now, request, []member.HostID{"ledger-1"})
	fmt.Println(choice.Host.ID, choice.Reason, ok)
	_, ok = router.Pick(now, request, []member.HostID{"ledger-1", "ledger-2"})
	fmt.Println(ok)
	// Output:
	// ledger-1 only-host true
	// ledger-2 only-host true
	// false
}
