package admit_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

var t0 = time.Unix(1000, 0)

const cost = 10 * time.Millisecond

func service(slots, reserved int) *policy.Service {
	return &policy.Service{Name: "ledger", Slots: slots, Reserved: reserved, MaxQueueWait: 100 * time.Millisecond}
}

func shares(names ...string) map[string]*policy.Caller {
	out := map[string]*policy.Caller{}
	for _, n := range names {
		out[n] = &policy.Caller{Name: n, Share: 1}
	}
	return out
}

// req returns a request with a deadline after 2 s.
func req(id int, importance call.Importance, caller string, now time.Time) *call.Request {
	return &call.Request{
		ID: call.ID(id), Caller: caller, Kind: importance.String(), Service: "ledger",
		Rank:     call.NewRank(importance, 1, cost, fmt.Sprint("r", id)),
		Deadline: now.Add(2 * time.Second), Cost: cost,
	}
}

// ids returns the calls of the decisions to run, or of those to reject.
func ids(decisions []admit.Decision, run bool) []int {
	var out []int
	for _, d := range decisions {
		if d.Run == run {
			out = append(out, int(d.ID))
		}
	}
	return out
}

// Guards against a call of lower importance getting the slot of a critical one
// that was shed only because it had waited for too long.
func TestCriticalOutlastsLessImportantInQueue(t *testing.T) {
	c := admit.New(service(1, 0), shares("a"))
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, []int{1}, ids(c.Offer(t0, req(1, call.Low, "a", t0)), true))
	require.Empty(t, c.Offer(at(5), req(2, call.Critical, "a", at(5))))
	require.Empty(t, c.Offer(at(60), req(3, call.Low, "a", at(60))))
	require.Empty(t, c.Tick(at(120)), "the bound on waiting has passed for the critical call")
	assert.Equal(t, []int{2}, ids(finish(c, at(130), 1), true))
	out := finish(c, at(140), 2)
	assert.Equal(t, []int{3}, ids(out, true))
	require.Empty(t, c.Offer(at(150), req(4, call.Critical, "a", at(150))))
	assert.Equal(t, []int{4}, ids(c.Tick(at(300)), false), "without waiting calls of lower importance, the bound on waiting applies")
}

// finish reports the end of a call with the usual latency.
func finish(c admit.Controller, now time.Time, id int) []admit.Decision {
	return c.Done(now, call.ID(id), admit.Outcome{Latency: cost})
}

// Guards against shedding calls of higher importance before those of lower
// importance.
func TestPreemptsLessImportantFirst(t *testing.T) {
	c := admit.New(service(1, 0), shares("a"))
	require.Equal(t, []int{1}, ids(c.Offer(t0, req(1, call.Low, "a", t0)), true))
	var rejected []int
	for id := 2; id <= 9; id++ {
		rejected = append(rejected, ids(c.Offer(t0, req(id, call.Low, "a", t0)), false)...)
	}
	assert.Empty(t, rejected, "80 ms of queued calls are within the queue bound")
	for id := 10; id <= 20; id++ {
		out := c.Offer(t0, req(id, call.Critical, "a", t0))
		rejected = append(rejected, ids(out, false)...)
	}
	low := 0
	for _, id := range rejected {
		if id < 10 {
			low++
		}
	}
	assert.Equal(t, 8, low, "all waiting calls of low importance were shed first")
	assert.LessOrEqual(t, len(rejected)-low, 1)
	assert.GreaterOrEqual(t, ids(finish(c, t0, 1), true)[0], 10)
}

// Guards against a caller that starves others of the same importance.
func TestFairBetweenCallers(t *testing.T) {
	c := admit.New(service(4, 0), shares("flood", "calm"))
	served := simulate(t, c, 3*time.Second, func(now time.Time, step int) []*call.Request {
		var out []*call.Request
		for i := range 4 { // 4,000/s against a capacity of 400/s
			out = append(out, req(step*10+i+1, call.Normal, "flood", now))
		}
		if step%6 == 0 { // 167/s, within the fair share of 200/s
			out = append(out, req(step*10+9, call.Normal, "calm", now))
		}
		return out
	})
	assert.Greater(t, served["calm"], 0.95*500)
	assert.Greater(t, served["flood"], 0.85*600, "the rest of the capacity is used")
}

// Guards against starvation of a caller with a small share.
func TestSmallShareIsServed(t *testing.T) {
	callers := shares("big", "small")
	callers["small"].Share = 0.1
	c := admit.New(service(4, 0), callers)
	served := simulate(t, c, 3*time.Second, func(now time.Time, step int) []*call.Request {
		return []*call.Request{
			req(step*10+1, call.Normal, "big", now),
			req(step*10+2, call.Normal, "small", now),
		}
	})
	assert.InDelta(t, 0.1/1.1*1200, served["small"], 40)
}

// Guards against running calls whose deadline passes before they finish.
func TestShedsCallsThatCannotMeetDeadline(t *testing.T) {
	c := admit.New(service(1, 0), shares("a"))
	c.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 5; id++ {
		c.Offer(t0, req(id, call.High, "a", t0))
	}
	late := req(6, call.Normal, "a", t0)
	late.Deadline = t0.Add(30 * time.Millisecond)
	out := c.Offer(t0, late)
	require.Len(t, out, 1)
	assert.Equal(t, verdict.DeadlineUnmet, out[0].Reason)
	assert.Positive(t, out[0].RetryAfter)

	// A waiting call is shed as soon as it can no longer meet its deadline, not
	// only at its turn.
	queued := req(7, call.Critical, "a", t0)
	queued.Deadline = t0.Add(80 * time.Millisecond)
	require.Empty(t, c.Offer(t0, queued))
	assert.Equal(t, []int{7}, ids(c.Tick(t0.Add(75*time.Millisecond)), false))
}

// Guards against calls of lower importance that occupy all slots when a
// critical call arrives.
func TestReservesSlotsForCritical(t *testing.T) {
	c := admit.New(service(4, 2), shares("a"))
	var run []int
	for id := 1; id <= 4; id++ {
		run = append(run, ids(c.Offer(t0, req(id, call.High, "a", t0)), true)...)
	}
	assert.Equal(t, []int{1, 2}, run)
	assert.Equal(t, []int{5}, ids(c.Offer(t0, req(5, call.Critical, "a", t0)), true))
}

// Guards against shedding critical calls although their own demand fits the
// capacity.
func TestCriticalThatFitsIsAdmitted(t *testing.T) {
	c := admit.New(service(4, 1), shares("a", "b"))
	critical := 0
	served := simulate(t, c, 2*time.Second, func(now time.Time, step int) []*call.Request {
		var out []*call.Request
		for i := range 6 {
			out = append(out, req(step*10+i+1, call.Low, "a", now))
		}
		if step%4 == 0 && step < 1900 { // 250/s of 400/s
			r := req(step*10+9, call.Critical, "b", now)
			out = append(out, r)
			critical++
		}
		return out
	})
	assert.Equal(t, float64(critical), served["b"])
}

// Guards against cancelled calls that still occupy the queue.
func TestCancelFreesQueueSpace(t *testing.T) {
	c := admit.New(service(1, 0), shares("a"))
	c.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 9; id++ {
		c.Offer(t0, req(id, call.Normal, "a", t0))
	}
	for id := 2; id <= 8; id++ {
		assert.Empty(t, c.Cancel(t0, call.ID(id)))
	}
	assert.Equal(t, 1, c.Load(t0).Queued)
	assert.Empty(t, c.Offer(t0, req(10, call.Low, "a", t0)), "the queue has space again")
	assert.Equal(t, []int{9}, ids(finish(c, t0.Add(cost), 1), true))
}

// Guards against running calls that were queued before a pause of the process.
func TestRejectQueuedClearsQueue(t *testing.T) {
	c := admit.New(service(1, 0), shares("a"))
	c.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 6; id++ {
		c.Offer(t0, req(id, call.Normal, "a", t0))
	}
	out := c.RejectQueued(t0.Add(time.Second), verdict.Paused)
	assert.ElementsMatch(t, []int{2, 3, 4, 5, 6}, ids(out, false))
	for _, d := range out {
		assert.Equal(t, verdict.Paused, d.Reason)
	}
	assert.Empty(t, finish(c, t0.Add(time.Second), 1))
	assert.Zero(t, c.Threshold(t0.Add(time.Second), "a"))
}

// Guards against lowering the limit of a cold upstream, which is slow at any
// concurrency, and against running more calls at once than it has slots.
func TestColdStartKeepsSlots(t *testing.T) {
	s := service(40, 0)
	s.ColdStart = time.Second
	c := admit.New(s, shares("a"))
	for at := time.Duration(0); at <= s.ColdStart; at += 100 * time.Millisecond {
		assert.Equal(t, 40, c.Load(t0.Add(at)).Limit)
	}
	for id := 1; id <= 50; id++ {
		c.Offer(t0, req(id, call.Normal, "a", t0.Add(time.Second)))
	}
	assert.Equal(t, 40, c.Load(t0).Running)
}

// Guards against thresholds that do not rise under overload, and against
// thresholds that stay up after it.
func TestThresholdFollowsOverload(t *testing.T) {
	c := admit.New(service(4, 0), shares("a"))
	var peak call.Rank
	simulate(t, c, 3*time.Second, func(now time.Time, step int) []*call.Request {
		var out []*call.Request
		n := 1 // 1,000/s against 400/s
		if step > 1000 {
			n = step % 4 / 3 // 250/s
		}
		for i := range n {
			out = append(out, req(step*10+i+1, call.Normal, "a", now))
		}
		if step == 900 {
			peak = c.Threshold(now, "a")
		}
		if step == 1500 {
			assert.Zero(t, c.Threshold(now, "a"), "500 ms after the overload")
		}
		return out
	})
	require.Equal(t, call.Normal, peak.Importance())
	rejected := float64(peak&0xfff) / 4096
	assert.InDelta(t, 0.6, rejected, 0.1, "the threshold rejects what exceeds the capacity")
}

// simulate runs an upstream of constant speed for some time in steps of 1 ms,
// and returns the number of calls served by caller.
func simulate(t *testing.T, c admit.Controller, length time.Duration,
	arrivals func(now time.Time, step int) []*call.Request) map[string]float64 {
	t.Helper()
	served := map[string]float64{}
	callers := map[call.ID]string{}
	var pending completions
	apply := func(now time.Time, out []admit.Decision) {
		for _, d := range out {
			if d.Run {
				heap.Push(&pending, completion{at: now.Add(cost), id: d.ID})
			}
		}
	}
	for step := range int(length / time.Millisecond) {
		now := t0.Add(time.Duration(step) * time.Millisecond)
		for len(pending) > 0 && !pending[0].at.After(now) {
			e := heap.Pop(&pending).(completion)
			served[callers[e.id]]++
			apply(now, c.Done(now, e.id, admit.Outcome{Latency: cost}))
		}
		for _, r := range arrivals(now, step) {
			callers[r.ID] = r.Caller
			apply(now, c.Offer(now, r))
		}
		if step%50 == 0 {
			apply(now, c.Tick(now))
		}
	}
	return served
}

type completion struct {
	at time.Time
	id call.ID
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// Guards against lost or repeated decisions: every call is run once, rejected
// once or cancelled, and no more calls run than there are slots.
func TestEveryCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(rt, "slots")
		c := admit.New(service(slots, rapid.IntRange(0, 2).Draw(rt, "reserved")), shares("a", "b"))
		now := t0
		state := map[call.ID]string{}
		var runs []call.ID
		apply := func(out []admit.Decision) {
			for _, d := range out {
				require.Equal(rt, "waiting", state[d.ID])
				state[d.ID] = "refused"
				if d.Run {
					state[d.ID] = "running"
					runs = append(runs, d.ID)
				}
			}
			require.LessOrEqual(rt, len(runs), slots)
		}
		for id := 1; id <= rapid.IntRange(1, 80).Draw(rt, "events"); id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				if len(runs) > 0 {
					r := runs[0]
					runs = runs[1:]
					state[r] = "done"
					apply(c.Done(now, r, admit.Outcome{Latency: cost}))
				}
			case 1:
				victim := call.ID(rapid.IntRange(1, id).Draw(rt, "victim"))
				if state[victim] == "waiting" {
					state[victim] = "cancelled"
				}
				apply(c.Cancel(now, victim))
			case 2:
				apply(c.Tick(now))
			default:
				r := req(id, call.Importance(rapid.IntRange(0, 4).Draw(rt, "importance")),
					rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(rt, "caller"), now)
				state[r.ID] = "waiting"
				apply(c.Offer(now, r))
			}
		}
		apply(c.RejectQueued(now, verdict.Paused))
		for id, s := range state {
			require.NotEqual(rt, "waiting", s, "call %d", id)
		}
	})
}
