package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"toucangw.example/core/verdict"
)

const testDepth = 25

// tree counts the extra attempts that correct hops make for one request.
type tree struct {
	t     *rapid.T
	extra int
	hops  int
}

// run simulates one hop with the credit delegated to it and returns what it
// reports as unspent. A faulty hop makes no attempts and may report any number.
func (tr *tree) run(credit, depth int) (unspent int, lost bool) {
	tr.hops++
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "faulty"}).Draw(tr.t, "peer") {
	case "faulty":
		return rapid.IntRange(-5, 1000).Draw(tr.t, "claim"), false
	case "lost":
		lost = true
	}
	c := NewCredit(credit)
	if depth < testDepth {
		for range rapid.IntRange(0, 3).Draw(tr.t, "fan-out") {
			tr.subCall(&c, depth)
		}
	}
	return c.Remaining(), lost
}

// subCall makes a sub-call and retries it while it fails and credit is left.
func (tr *tree) subCall(c *Credit, depth int) {
	for tr.hops < 400 {
		delegated := c.Delegate()
		unspent, lost := tr.run(delegated, depth+1)
		if !lost {
			c.Return(delegated, unspent)
		}
		if !rapid.Bool().Draw(tr.t, "failed") || !c.Spend() {
			return
		}
		tr.extra++
	}
}

// Guards the bound on extra attempts at any depth and fan-out, with lost
// replies and with peers that return more than was delegated.
func TestExtraAttemptsStayWithinGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grant := rapid.IntRange(0, 40).Draw(t, "grant")
		tr := &tree{t: t}
		c := NewCredit(grant)
		for range rapid.IntRange(1, 5).Draw(t, "fan-out") {
			tr.subCall(&c, 1)
		}
		if tr.extra+c.Remaining() > grant {
			t.Fatalf("%d extra attempts and %d left of a grant of %d", tr.extra, c.Remaining(), grant)
		}
	})
}

// Guards against a chain whose hops all retry: without the bound, 25 hops with
// one retry each would make 2^25 attempts.
func TestDeepChainThatAlwaysFails(t *testing.T) {
	extra := 0
	var hop func(credit, depth int) int
	hop = func(credit, depth int) int {
		c := NewCredit(credit)
		if depth == testDepth {
			return c.Remaining()
		}
		for {
			delegated := c.Delegate()
			c.Return(delegated, hop(delegated, depth+1))
			if !c.Spend() {
				return c.Remaining()
			}
			extra++
		}
	}
	assert.Zero(t, hop(3, 0))
	assert.Equal(t, 3, extra)
}

// Guards against gaining credit that was never granted.
func TestZeroCreditGrantsNothing(t *testing.T) {
	for _, c := range []Credit{{}, NewCredit(-3)} {
		assert.Zero(t, c.Delegate())
		assert.False(t, c.Spend())
		c.Return(0, 5)
		assert.Zero(t, c.Remaining())
	}
}

var testNow = time.Unix(1_700_000_000, 0)

func lostReply() Failure { return Failure{Reason: verdict.ConnectionLost, Idempotent: true} }

// Guards against retries that keep an overload going: without successes a
// service gets the floor only.
func TestBudgetCutsRetriesInOverload(t *testing.T) {
	b := NewBudget()
	allowed := 0
	for i := range 10_000 { // 10 s at 1000 failures a second
		if b.Allow(testNow.Add(time.Duration(i)*time.Millisecond), "ledger", lostReply()) {
			allowed++
		}
	}
	assert.InDelta(t, BudgetFloorMax+10*BudgetFloor, allowed, 1)
}

// Guards the share of retries under partial failure, and against a burst of
// retries saved up in a long time without failures.
func TestBudgetIsShareOfRecentSuccesses(t *testing.T) {
	b := NewBudget()
	now := testNow
	for range 600_000 { // 10 minutes at 1000 successes a second
		now = now.Add(time.Millisecond)
		b.Success(now, "ledger")
	}
	burst := 0
	for b.Allow(now, "ledger", lostReply()) {
		burst++
	}
	assert.LessOrEqual(t, burst, 300)

	allowed := 0
	for range 10_000 { // half of all calls fail
		now = now.Add(time.Millisecond)
		b.Success(now, "ledger")
		if b.Allow(now, "ledger", lostReply()) {
			allowed++
		}
	}
	assert.InDelta(t, 1000, allowed, 20)
	assert.True(t, b.Allow(now, "quality", lostReply()), "services are independent")
}

// Guards against retries that could run an action twice or that cannot help.
func TestBudgetRefusesUselessRetries(t *testing.T) {
	for _, c := range []struct {
		f    Failure
		want bool
	}{
		{Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}, false},
		{Failure{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer}, false},
		{Failure{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer, Idempotent: true}, true},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.Leaving}, true},
		{Failure{Verdict: verdict.MayHaveRun, Reason: verdict.OwnerUnreachable, Idempotent: true}, true},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.QueueFull, Idempotent: true}, false},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.QueueFull, RoomElsewhere: true}, true},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.UpstreamShed, Idempotent: true}, false},
		{Failure{Reason: verdict.DeadlinePassed, Idempotent: true, RoomElsewhere: true}, false},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.RetryBound, Idempotent: true}, false},
		{Failure{Verdict: verdict.NotRun, Reason: verdict.KeyFenced, RoomElsewhere: true}, false},
	} {
		assert.Equal(t, c.want, NewBudget().Allow(testNow, "s", c.f), "%+v", c.f)
	}
}

// Guards against earning budget when time goes back.
func TestBudgetIgnoresTimeGoingBack(t *testing.T) {
	b := NewBudget()
	for b.Allow(testNow, "s", lostReply()) {
		continue
	}
	assert.False(t, b.Allow(testNow.Add(-time.Hour), "s", lostReply()))
	assert.False(t, b.Allow(testNow, "s", lostReply()))
}
