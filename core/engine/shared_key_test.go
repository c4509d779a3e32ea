package engine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// peerKeys returns a function that issues keys owned by a peer.
func peerKeys(t *testing.T, host member.HostID) func() string {
	t.Helper()
	keys, err := idempotency.New(idempotency.Config{
		Host: host, Incarnation: 5, Start: start, Secret: make([]byte, idempotency.SecretLen),
		Nonce: func() uint64 { return 1 }, Lifetime: time.Minute, MaxKeys: 10, MaxAnswerBytes: 1 << 10,
	})
	require.NoError(t, err)
	return func() string {
		key, refusal := keys.Issue(start, "ledger", "polder")
		require.Nil(t, refusal)
		return key
	}
}

// twoEqualSubCalls starts an at-most-once run whose upstream makes the same
// at-most-once call twice concurrently, with IDs 3 and 4, and returns their
// attempts.
func twoEqualSubCalls(t *testing.T, e *engine.Engine, issue func() string) (first, second engine.SendCall) {
	t.Helper()
	parentKey := only[engine.AnswerKey](t, e.Step(start, engine.KeyRequested{ID: 1, Service: "ledger", Caller: "polder"}))
	run := only[engine.RunUpstream](t, e.Step(start, engine.PeerCallArrived{ID: 2, Call: engine.PeerCall{
		RequestID: "r", Caller: "polder", Kind: "sign", Service: "ledger", Remaining: time.Second, Credit: 9, Key: parentKey.Key,
	}}))
	for id := call.ID(3); id <= 4; id++ {
		sub := callFrom(id, "POST", "/sign")
		sub.Egress = true
		sub.Token = run.Token
		only[engine.RequestKey](t, e.Step(start, sub))
	}
	first = only[engine.SendCall](t, e.Step(start, engine.KeyIssued{ID: 3, Key: issue()}))
	second = only[engine.SendCall](t, e.Step(start, engine.KeyIssued{ID: 4, Key: issue()}))
	require.Equal(t, first.Call.Key, second.Call.Key)
	return first, second
}

// Guards against a new key, and so a second run, when one of two equal calls
// could not be sent: the other may have run with the shared key.
func TestSharedKeyIsKeptWhenOneCallIsNotSent(t *testing.T) {
	e := newNode(t)
	first, _ := twoEqualSubCalls(t, e, peerKeys(t, "b"))
	actions := e.Step(start, engine.PeerFailed{ID: first.ID, Attempt: first.Attempt, Sent: false})
	again := only[engine.SendCall](t, actions)
	assert.Equal(t, first.Call.Key, again.Call.Key)
	answer := only[engine.AnswerCaller](t, e.Step(start, engine.Cancelled{ID: first.ID}))
	assert.Equal(t, verdict.MayHaveRun, answer.Refusal.Verdict)
}

// Guards against a third key when the owner rejects both of two equal calls: the
// later refusal must not remove the key that replaced the shared one.
func TestReplacementOfSharedKeyIsSharedToo(t *testing.T) {
	e := newNode(t)
	first, second := twoEqualSubCalls(t, e, peerKeys(t, "b"))
	refused := engine.Reply{RequestID: "r", Incarnation: 5, ReturnedCredit: 9, Refusal: verdict.Refuse(verdict.Leaving, "")}
	replacement := peerKeys(t, "c")

	only[engine.RequestKey](t, e.Step(start, engine.PeerReplied{ID: first.ID, Attempt: first.Attempt, Reply: refused}))
	first = only[engine.SendCall](t, e.Step(start, engine.KeyIssued{ID: first.ID, Key: replacement()}))
	only[engine.RequestKey](t, e.Step(start, engine.PeerReplied{ID: second.ID, Attempt: second.Attempt, Reply: refused}))
	second = only[engine.SendCall](t, e.Step(start, engine.KeyIssued{ID: second.ID, Key: replacement()}))
	assert.Equal(t, first.Call.Key, second.Call.Key)
}
