package engine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

var start = time.Unix(1_700_000_000, 0)

// newNode returns the engine of host a, whose local upstream serves "ledger", as
// do hosts b and c. The functions change its configuration.
func newNode(t *testing.T, change ...func(*engine.Config)) *engine.Engine {
	t.Helper()
	keys, err := idempotency.New(idempotency.Config{
		Host: "a", Incarnation: 1, Start: start, Secret: make([]byte, idempotency.SecretLen),
		Nonce: func() uint64 { return 7 }, Lifetime: time.Minute, MaxKeys: 10, MaxAnswerBytes: 1 << 10,
	})
	require.NoError(t, err)
	cfg := engine.Config{
		Host: "a", Incarnation: 1, Zone: "z", Service: "ledger",
		Random: func(int) int { return 0 }, Token: func() string { return "token" },
		Admit: admit.New, Route: route.New, Budget: retry.NewBudget, Pressure: pressure.New,
		Keys: keys, ParseOwner: idempotency.ParseOwner,
	}
	for _, c := range change {
		c(&cfg)
	}
	e := engine.New(cfg)
	e.Step(start, engine.PolicyChanged{Policy: &policy.Policy{
		Services: map[string]*policy.Service{"ledger": {Name: "ledger", Slots: 4}},
		Callers:  map[string]*policy.Caller{"polder": {Name: "polder", Share: 1}},
		Limits:   policy.Limits{MaxDepth: 25},
		Kinds: []*policy.Kind{
			{Name: "check", Service: "ledger", Method: "GET", PathPrefix: "/check", Importance: call.Critical,
				Internal: true, Deadline: time.Second, Cost: time.Millisecond, TreeCost: time.Millisecond},
			{Name: "read", Service: "ledger", Method: "GET", PathPrefix: "/", Importance: call.Normal, Worth: 1,
				Deadline: time.Second, ExtraAttempts: 2, Cost: time.Millisecond, TreeCost: time.Millisecond},
			{Name: "sign", Service: "ledger", Method: "POST", PathPrefix: "/", Importance: call.Critical, Worth: 9,
				OnceOnly: true, Deadline: time.Second, ExtraAttempts: 2, Cost: time.Millisecond, TreeCost: time.Millisecond},
		},
	}})
	e.Step(start, engine.HostsChanged{Hosts: map[string][]member.Host{"ledger": {
		{ID: "b", Zone: "z", Service: "ledger", Incarnation: 5},
		{ID: "c", Zone: "z", Service: "ledger", Incarnation: 5},
	}}})
	return e
}

func callFrom(id call.ID, method, path string) engine.CallArrived {
	return engine.CallArrived{
		ID: id, Service: "ledger", Method: method, Path: path, Caller: "polder", RequestID: "r", Digest: 1,
	}
}

// only returns the action of type T, which must occur exactly once.
func only[T engine.Action](t *testing.T, actions []engine.Action) T {
	t.Helper()
	var found []T
	for _, a := range actions {
		if match, ok := a.(T); ok {
			found = append(found, match)
		}
	}
	require.Len(t, found, 1, "%v", actions)
	return found[0]
}

// Guards against callers that get the importance of a sub-call by sending it
// directly.
func TestCallerCannotUseInternalKind(t *testing.T) {
	e := newNode(t)
	answer := only[engine.AnswerCaller](t, e.Step(start, callFrom(1, "GET", "/check/1")))
	assert.Equal(t, verdict.UnknownKind, answer.Refusal.Reason)
	assert.Equal(t, verdict.NotRun, answer.Refusal.Verdict)
	assert.True(t, e.Idle())
}

// Guards against new retry credit for a request that the caller itself retries.
func TestRetriedRequestGetsNoCredit(t *testing.T) {
	e := newNode(t)
	first := only[engine.SendCall](t, e.Step(start, callFrom(1, "GET", "/x")))
	second := only[engine.SendCall](t, e.Step(start, callFrom(2, "GET", "/x")))
	assert.Equal(t, 1, first.Call.Credit)
	assert.Zero(t, second.Call.Credit)
}

// Guards against an at-most-once request that gets no retry credit because the
// request that fetched its key had the same ID.
func TestKeyedSubmissionAfterKeyFetchGetsCredit(t *testing.T) {
	e := newNode(t)
	e.Step(start, callFrom(1, "POST", "/sign"))
	only[engine.AnswerCaller](t, e.Step(start, engine.KeyIssued{ID: 1, Key: keyOf(t, "b")}))
	submission := callFrom(2, "POST", "/sign")
	submission.Key = keyOf(t, "b")
	first := only[engine.SendCall](t, e.Step(start, submission))
	assert.Equal(t, 1, first.Call.Credit)
	submission.ID = 3
	assert.Zero(t, only[engine.SendCall](t, e.Step(start, submission)).Call.Credit)
}

// keyOf returns a key issued by a host.
func keyOf(t *testing.T, host member.HostID) string {
	t.Helper()
	keys, err := idempotency.New(idempotency.Config{
		Host: host, Incarnation: 5, Start: start, Secret: make([]byte, idempotency.SecretLen),
		Nonce: func() uint64 { return 1 }, Lifetime: time.Minute, MaxKeys: 1, MaxAnswerBytes: 1,
	})
	require.NoError(t, err)
	key, refusal := keys.Issue(start, "ledger", "polder")
	require.Nil(t, refusal)
	return key
}

// Guards against "not run" after an attempt with an indeterminate outcome: the
// second host's refusal proves nothing about the first.
func TestIndeterminateOutcomeOutweighsLaterRefusal(t *testing.T) {
	e := newNode(t)
	sent := only[engine.SendCall](t, e.Step(start, callFrom(1, "GET", "/x")))
	again := only[engine.SendCall](t, e.Step(start, engine.PeerFailed{ID: 1, Attempt: sent.Attempt, Sent: true}))
	require.NotEqual(t, sent.Host.ID, again.Host.ID)
	reply := engine.Reply{RequestID: "r", Refusal: verdict.Refuse(verdict.KeyMismatch, "")}
	answer := only[engine.AnswerCaller](t, e.Step(start, engine.PeerReplied{ID: 1, Attempt: again.Attempt, Reply: reply}))
	assert.Equal(t, verdict.MayHaveRun, answer.Refusal.Verdict)
}

// Guards against "not run" by a node that does not own the key: the same key
// may have been submitted through another node.
func TestOnlyOwnerReportsNotRunForKey(t *testing.T) {
	e := newNode(t)
	ev := callFrom(1, "POST", "/sign")
	ev.Key = keyOf(t, "gone")
	answer := only[engine.AnswerCaller](t, e.Step(start, ev))
	assert.Equal(t, verdict.OwnerUnreachable, answer.Refusal.Reason)
	assert.Equal(t, verdict.MayHaveRun, answer.Refusal.Verdict)
}

// Guards against an at-most-once request that runs twice because its idempotent
// parent call is retried on another host.
func TestAtMostOnceSubCallNeedsAtMostOnceParent(t *testing.T) {
	e := newNode(t)
	run := only[engine.RunUpstream](t, e.Step(start, engine.PeerCallArrived{ID: 1, Call: engine.PeerCall{
		RequestID: "r", Caller: "polder", Kind: "read", Service: "ledger", Remaining: time.Second, Idempotent: true,
	}}))
	sub := callFrom(2, "POST", "/sign")
	sub.Egress = true
	sub.Token = run.Token
	answer := only[engine.AnswerCaller](t, e.Step(start, sub))
	assert.Equal(t, verdict.BadRequest, answer.Refusal.Reason)
	assert.Equal(t, verdict.NotRun, answer.Refusal.Verdict)
}

// Guards against an at-most-once call that an upstream makes without context and
// retries with a new key each time.
func TestAtMostOnceCallWithoutContextNeedsKey(t *testing.T) {
	e := newNode(t)
	sub := callFrom(2, "POST", "/sign")
	sub.Egress = true
	only[engine.RequestKey](t, e.Step(start, sub))
	answer := only[engine.AnswerCaller](t, e.Step(start, engine.KeyIssued{ID: 2, Key: "k"}))
	assert.Equal(t, verdict.KeyRequired, answer.Refusal.Reason)
	assert.Equal(t, "k", answer.Key)
}

// Guards against "not run" after a refusal with nothing but Retry-After, which
// does not state that the request was not run, and against the loss of the
// recommended delay.
func TestShedRunIsNotRunOnlyIfProven(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		e := newNode(t)
		e.Step(start, engine.PeerCallArrived{ID: 1, Call: engine.PeerCall{
			RequestID: "r", Caller: "polder", Service: "ledger", Remaining: time.Second, Idempotent: true,
		}})
		reply := only[engine.AnswerPeer](t, e.Step(start, engine.UpstreamReplied{
			ID: 1, Shed: true, MayHaveRun: mayHaveRun, RetryAfter: 3 * time.Second,
		})).Reply
		assert.Equal(t, mayHaveRun, reply.Refusal.Verdict == verdict.MayHaveRun)
		assert.Equal(t, verdict.UpstreamShed, reply.Refusal.Reason)
		assert.Equal(t, 3*time.Second, reply.Refusal.RetryAfter)
	}
}

// Guards against records of refusals without the caller, and against refusals
// that name an unreachable key owner before there is a key.
func TestRefusalsNameCallerAndCause(t *testing.T) {
	e := newNode(t)
	record := only[engine.Record](t, e.Step(start, engine.CallArrived{ID: 1, Service: "none", Caller: "polder"}))
	assert.Equal(t, "polder", record.Caller)
	e.Step(start, callFrom(2, "POST", "/sign"))
	unreachable := &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.OwnerUnreachable}
	e.Step(start, engine.KeyIssued{ID: 2, Refusal: unreachable})
	answer := only[engine.AnswerCaller](t, e.Step(start, engine.KeyIssued{ID: 2, Refusal: unreachable}))
	assert.Equal(t, verdict.NoUpstream, answer.Refusal.Reason)
	assert.Equal(t, verdict.NotRun, answer.Refusal.Verdict)
}

// Guards against new work for a host that announced its departure, while an
// outdated host list still shows it as live.
func TestLateListDoesNotBringBackLeavingHost(t *testing.T) {
	e := newNode(t)
	sent := only[engine.SendCall](t, e.Step(start, callFrom(1, "GET", "/x")))
	e.Step(start, engine.PeerReplied{ID: 1, Attempt: 1, Reply: engine.Reply{
		RequestID: "r", Incarnation: 5, Leaving: true, Answer: &call.Answer{Status: 200},
	}})
	e.Step(start, engine.HostsChanged{Hosts: map[string][]member.Host{"ledger": {
		{ID: "b", Zone: "z", Service: "ledger", Incarnation: 5},
		{ID: "c", Zone: "z", Service: "ledger", Incarnation: 5},
	}}})
	for id := call.ID(2); id < 30; id++ {
		next := only[engine.SendCall](t, e.Step(start, callFrom(id, "GET", "/x")))
		require.NotEqual(t, sent.Host.ID, next.Host.ID)
	}
}

// shedAll is a pressure table that sheds every call.
type shedAll struct{ pressure.Table }

func (shedAll) Admit(time.Time, pressure.Class, call.Rank) (bool, time.Duration) { return false, 0 }

// Guards against a request with a key that a node other than the owner sheds.
// Without a key the request is provably not run, so it may be shed.
func TestOnlyRequestsWithoutKeyAreShed(t *testing.T) {
	e := newNode(t, func(c *engine.Config) {
		c.Pressure = func(random func(int) int) pressure.Table { return shedAll{pressure.New(random)} }
	})
	answer := only[engine.AnswerCaller](t, e.Step(start, callFrom(1, "POST", "/sign")))
	assert.Equal(t, verdict.Pressure, answer.Refusal.Reason)
	assert.Equal(t, verdict.NotRun, answer.Refusal.Verdict)
	keyed := callFrom(2, "POST", "/sign")
	keyed.Key = keyOf(t, "b")
	assert.Equal(t, member.HostID("b"), only[engine.SendCall](t, e.Step(start, keyed)).Host.ID)
}
