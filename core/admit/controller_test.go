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

// req makes a read with a deadline after 2 s.
func req(id int, importance call.Importance, caller string, now time.Time) *call.Request {
	return &call.Request{
		ID: call.ID(id), Caller: caller, Kind: importance.String(), Service: "ledger",
		Rank:     call.NewRank(importance, 1, cost, fmt.Sprint("r", id)),
		Deadline: now.Add(2 * time.Second), Cost: cost,
	}
}

func ids(decisions []admit.Decision, run bool) []int {
	var out []int
	for _, d := range decisions {
		if d.Run == run {
			out = append(out, int(d.ID))
		}
	}
	return out
}

// Guards against a less important call that gets the slot of a critical one
// which was refused only because it had waited for long.
func TestCriticalOutlastsLessImportantInQueue(t *testing.T) {
	g := admit.New(service(1, 0), shares("a"))
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, []int{1}, ids(g.Offer(t0, req(1, call.Low, "a", t0)), true))
	require.Empty(t, g.Offer(at(5), req(2, call.Critical, "a", at(5))))
	require.Empty(t, g.Offer(at(60), req(3, call.Low, "a", at(60))))
	require.Empty(t, g.Tick(at(120)), "the bound on waiting has passed for the critical call")
	assert.Equal(t, []int{2}, ids(done(g, at(130), 1), true))
	out := done(g, at(140), 2)
	assert.Equal(t, []int{3}, ids(out, true))
	require.Empty(t, g.Offer(at(150), req(4, call.Critical, "a", at(150))))
	assert.Equal(t, []int{4}, ids(g.Tick(at(300)), false), "alone it is bounded as before")
}

func done(g admit.Controller, now time.Time, id int) []admit.Decision {
	return g.Done(now, call.ID(id), admit.Outcome{Latency: cost})
}

// Guards against shedding important work before less important work.
func TestDisplacesLessImportantFirst(t *testing.T) {
	g := admit.New(service(1, 0), shares("a"))
	require.Equal(t, []int{1}, ids(g.Offer(t0, req(1, call.Low, "a", t0)), true))
	var refused []int
	for id := 2; id <= 9; id++ {
		refused = append(refused, ids(g.Offer(t0, req(id, call.Low, "a", t0)), false)...)
	}
	assert.Empty(t, refused, "80 ms of work fit the queue bound")
	for id := 10; id <= 20; id++ {
		out := g.Offer(t0, req(id, call.Critical, "a", t0))
		refused = append(refused, ids(out, false)...)
	}
	low := 0
	for _, id := range refused {
		if id < 10 {
			low++
		}
	}
	assert.Equal(t, 8, low, "all waiting low work went first")
	assert.LessOrEqual(t, len(refused)-low, 1)
	assert.GreaterOrEqual(t, ids(done(g, t0, 1), true)[0], 10)
}

// Guards against a caller that starves others of the same importance.
func TestFairBetweenCallers(t *testing.T) {
	g := admit.New(service(4, 0), shares("flood", "calm"))
	served := simulate(t, g, 3*time.Second, func(now time.Time, step int) []*call.Request {
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
	g := admit.New(service(4, 0), callers)
	served := simulate(t, g, 3*time.Second, func(now time.Time, step int) []*call.Request {
		return []*call.Request{
			req(step*10+1, call.Normal, "big", now),
			req(step*10+2, call.Normal, "small", now),
		}
	})
	assert.InDelta(t, 0.1/1.1*1200, served["small"], 40)
}

// Guards against work that runs although its caller has given up by then.
func TestDropsWorkThatCannotMeetDeadline(t *testing.T) {
	g := admit.New(service(1, 0), shares("a"))
	g.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 5; id++ {
		g.Offer(t0, req(id, call.High, "a", t0))
	}
	late := req(6, call.Normal, "a", t0)
	late.Deadline = t0.Add(30 * time.Millisecond)
	out := g.Offer(t0, late)
	require.Len(t, out, 1)
	assert.Equal(t, verdict.DeadlineUnmet, out[0].Reason)
	assert.Positive(t, out[0].RetryAfter)

	// A waiting call is dropped when it has become hopeless, not at its turn.
	waiting := req(7, call.Critical, "a", t0)
	waiting.Deadline = t0.Add(80 * time.Millisecond)
	require.Empty(t, g.Offer(t0, waiting))
	assert.Equal(t, []int{7}, ids(g.Tick(t0.Add(75*time.Millisecond)), false))
}

// Guards against less important work that occupies all slots when a sign-off
// arrives.
func TestReservesSlotsForCritical(t *testing.T) {
	g := admit.New(service(4, 2), shares("a"))
	var run []int
	for id := 1; id <= 4; id++ {
		run = append(run, ids(g.Offer(t0, req(id, call.High, "a", t0)), true)...)
	}
	assert.Equal(t, []int{1, 2}, run)
	assert.Equal(t, []int{5}, ids(g.Offer(t0, req(5, call.Critical, "a", t0)), true))
}

// Guards against refusing sign-offs although their own demand fits.
func TestCriticalThatFitsIsAdmitted(t *testing.T) {
	g := admit.New(service(4, 1), shares("a", "b"))
	critical := 0
	served := simulate(t, g, 2*time.Second, func(now time.Time, step int) []*call.Request {
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

// Guards against queue places held by callers that went away.
func TestCancelFreesPlace(t *testing.T) {
	g := admit.New(service(1, 0), shares("a"))
	g.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 9; id++ {
		g.Offer(t0, req(id, call.Normal, "a", t0))
	}
	for id := 2; id <= 8; id++ {
		assert.Empty(t, g.Cancel(t0, call.ID(id)))
	}
	assert.Equal(t, 1, g.Load(t0).Queued)
	assert.Empty(t, g.Offer(t0, req(10, call.Low, "a", t0)), "there is room again")
	assert.Equal(t, []int{9}, ids(done(g, t0.Add(cost), 1), true))
}

// Guards against acting on a backlog after the process was paused.
func TestFlushRefusesBacklog(t *testing.T) {
	g := admit.New(service(1, 0), shares("a"))
	g.Offer(t0, req(1, call.Normal, "a", t0))
	for id := 2; id <= 6; id++ {
		g.Offer(t0, req(id, call.Normal, "a", t0))
	}
	out := g.RejectQueued(t0.Add(time.Second), verdict.Paused)
	assert.ElementsMatch(t, []int{2, 3, 4, 5, 6}, ids(out, false))
	for _, d := range out {
		assert.Equal(t, verdict.Paused, d.Reason)
	}
	assert.Empty(t, done(g, t0.Add(time.Second), 1))
	assert.Zero(t, g.Threshold(t0.Add(time.Second), "a"))
}

// Guards against a cold upstream, slow at any concurrency, that loses slots,
// and against one that gets more calls at once than it has slots.
func TestColdStartKeepsSlots(t *testing.T) {
	s := service(40, 0)
	s.ColdStart = time.Second
	g := admit.New(s, shares("a"))
	for at := time.Duration(0); at <= s.ColdStart; at += 100 * time.Millisecond {
		assert.Equal(t, 40, g.Load(t0.Add(at)).Limit)
	}
	for id := 1; id <= 50; id++ {
		g.Offer(t0, req(id, call.Normal, "a", t0.Add(time.Second)))
	}
	assert.Equal(t, 40, g.Load(t0).Running)
}

// Guards against levels that stay up after the overload, and against levels
// that do not rise under it.
func TestLevelFollowsOverload(t *testing.T) {
	g := admit.New(service(4, 0), shares("a"))
	var peak call.Rank
	simulate(t, g, 3*time.Second, func(now time.Time, step int) []*call.Request {
		var out []*call.Request
		n := 1 // 1,000/s against 400/s
		if step > 1000 {
			n = step % 4 / 3 // 250/s
		}
		for i := range n {
			out = append(out, req(step*10+i+1, call.Normal, "a", now))
		}
		if step == 900 {
			peak = g.Threshold(now, "a")
		}
		if step == 1500 {
			assert.Zero(t, g.Threshold(now, "a"), "500 ms after the overload")
		}
		return out
	})
	require.Equal(t, call.Normal, peak.Importance())
	refused := float64(peak&0xfff) / 4096
	assert.InDelta(t, 0.6, refused, 0.1, "the level refuses what does not fit")
}

// simulate runs an upstream of exact speed for some time, steps of 1 ms, and
// returns the calls served by caller.
func simulate(t *testing.T, g admit.Controller, length time.Duration,
	arrivals func(now time.Time, step int) []*call.Request) map[string]float64 {
	t.Helper()
	served := map[string]float64{}
	callers := map[call.ID]string{}
	var ends endings
	apply := func(now time.Time, out []admit.Decision) {
		for _, d := range out {
			if d.Run {
				heap.Push(&ends, ending{at: now.Add(cost), id: d.ID})
			}
		}
	}
	for step := range int(length / time.Millisecond) {
		now := t0.Add(time.Duration(step) * time.Millisecond)
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(ending)
			served[callers[e.id]]++
			apply(now, g.Done(now, e.id, admit.Outcome{Latency: cost}))
		}
		for _, r := range arrivals(now, step) {
			callers[r.ID] = r.Caller
			apply(now, g.Offer(now, r))
		}
		if step%50 == 0 {
			apply(now, g.Tick(now))
		}
	}
	return served
}

type ending struct {
	at time.Time
	id call.ID
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Guards against lost or doubled decisions: every call is run once, refused
// once, or cancelled, and no more run than there are slots.
func TestEveryCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(rt, "slots")
		g := admit.New(service(slots, rapid.IntRange(0, 2).Draw(rt, "reserved")), shares("a", "b"))
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
					apply(g.Done(now, r, admit.Outcome{Latency: cost}))
				}
			case 1:
				victim := call.ID(rapid.IntRange(1, id).Draw(rt, "victim"))
				if state[victim] == "waiting" {
					state[victim] = "cancelled"
				}
				apply(g.Cancel(now, victim))
			case 2:
				apply(g.Tick(now))
			default:
				r := req(id, call.Importance(rapid.IntRange(0, 4).Draw(rt, "importance")),
					rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(rt, "caller"), now)
				state[r.ID] = "waiting"
				apply(g.Offer(now, r))
			}
		}
		apply(g.RejectQueued(now, verdict.Paused))
		for id, s := range state {
			require.NotEqual(rt, "waiting", s, "call %d", id)
		}
	})
}
