package idempotency_test

import (
	"fmt"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
)

var start = time.Unix(0, 0)

func newLedger() idempotency.Ledger {
	ledger, err := idempotency.New(idempotency.Config{
		Host: "release-1", Incarnation: 1, Start: start, Secret: make([]byte, idempotency.SecretLen),
		Nonce: func() uint64 { return 7 }, Lifetime: 10 * time.Minute, MaxKeys: 100, MaxAnswerBytes: 1 << 20,
	})
	if err != nil {
		panic(err)
	}
	return ledger
}

// The first submission runs; a second one gets the stored answer.
func ExampleNew() {
	ledger := newLedger()
	key, _ := ledger.Issue(start, "release", "scheldt")
	request := &call.Request{Service: "release", Caller: "scheldt", Digest: 42}

	first := ledger.Submit(start, key, request)
	fmt.Println(first.Action == idempotency.Execute, ledger.MarkRunning(start, key))
	fmt.Println(ledger.Submit(start, key, request).Action == idempotency.Wait)

	ledger.Finish(start, key, &call.Answer{Status: 200, Body: []byte("signed off")})
	again := ledger.Submit(start, key, request)
	fmt.Println(again.Action == idempotency.Replay, string(again.Answer.Body))

	request.Digest = 43
	fmt.Println(ledger.Submit(start, key, request).Refusal)
	// Output:
	// true true
	// true
	// true signed off
	// key-mismatch (may-have-run): the key was used with another request
}

// A fenced key never runs, so "not run" is final.
func ExampleLedger() {
	ledger := newLedger()
	key, _ := ledger.Issue(start, "release", "scheldt")
	state, _ := ledger.Query(start, key, "scheldt")
	fmt.Println(state, "->", ledger.Fence(start, key))
	submission := ledger.Submit(start, key, &call.Request{Service: "release", Caller: "scheldt"})
	fmt.Println(submission.Refusal)
	owner, _ := idempotency.ParseOwner(key)
	fmt.Println(owner.Host, owner.Incarnation)
	// Output:
	// unseen -> fenced
	// key-fenced (not-run): the key was refused before and never runs
	// release-1 1
}
