package engine_test

import (
	"fmt"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// An entry node without a local upstream. The program that drives the engine
// passes events to Step and carries out the returned actions; the engine itself
// does no I/O.
func ExampleEngine_Step() {
	now := time.Unix(0, 0)
	keys, err := idempotency.New(idempotency.Config{
		Host: "entry-1", Incarnation: 1, Start: now, Secret: make([]byte, idempotency.SecretLen),
		Nonce: func() uint64 { return 7 }, Lifetime: time.Minute, MaxKeys: 10,
	})
	if err != nil {
		panic(err)
	}
	e := engine.New(engine.Config{
		Host: "entry-1", Incarnation: 1, Zone: "flanders-a",
		Random: func(int) int { return 0 }, Token: func() string { return "token" },
		Admit: admit.New, Route: route.New, Budget: retry.NewBudget, Pressure: pressure.New,
		Keys: keys, ParseOwner: idempotency.ParseOwner,
	})
	request := engine.CallArrived{
		ID: 1, Service: "ledger", Method: "GET", Path: "/ledger/1", Caller: "scheldt", RequestID: "r1",
	}
	printActions(e.Step(now, request))

	e.Step(now, engine.PolicyChanged{Policy: &policy.Policy{
		Revision: 1,
		Services: map[string]*policy.Service{"ledger": {Name: "ledger", Slots: 4}},
		Callers:  map[string]*policy.Caller{"scheldt": {Name: "scheldt", Share: 1}},
		Kinds: []*policy.Kind{{
			Name: "ledger-read", Service: "ledger", Method: "GET", PathPrefix: "/ledger", Importance: call.Normal,
			Worth: 2, Deadline: 400 * time.Millisecond, Cost: 5 * time.Millisecond, TreeCost: 5 * time.Millisecond,
		}},
	}})
	e.Step(now, engine.HostsChanged{Hosts: map[string][]member.Host{
		"ledger": {{ID: "ledger-1", Zone: "flanders-a", Service: "ledger", Incarnation: 3}},
	}})
	request.ID = 2
	printActions(e.Step(now, request))

	now = now.Add(6 * time.Millisecond)
	printActions(e.Step(now, engine.PeerReplied{ID: 2, Attempt: 1, Reply: engine.Reply{
		RequestID: "r1", Incarnation: 3, Answer: &call.Answer{Status: 200, Body: []byte("lot 17")},
	}}))
	// Output:
	// record: refuse by rule starting
	// answer to call 1: starting (not-run): no configuration in force yet
	// record: route by rule only-host
	// send call 2 to ledger-1 with 395ms left
	// answer to call 2: 200 lot 17
}

func printActions(actions []engine.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Record:
			fmt.Println("record:", a.Kind, "by rule", a.Reason)
		case engine.SendCall:
			fmt.Println("send call", a.ID, "to", a.Host.ID, "with", a.Call.Remaining, "left")
		case engine.AnswerCaller:
			if a.Refusal != nil {
				fmt.Printf("answer to call %d: %v\n", a.ID, a.Refusal)
				continue
			}
			fmt.Printf("answer to call %d: %d %s\n", a.ID, a.Answer.Status, a.Answer.Body)
		}
	}
}
