package engine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/internal/history"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// Number of histories for each cell of docs/fault-matrix.md. At least one in
// reachedPart must reach all steps of the cell, so that a cell cannot pass
// without its faults being injected.
const (
	cellHistories = 8
	pairHistories = 6
	reachedPart   = 4
)

// orderChecker checks I2 at one admission controller: no call gets a slot while
// a more important one that could have used it stays in the queue.
type orderChecker struct {
	admit.Controller
	waiting    map[call.ID]call.Importance
	violations *[]string
}

func (c *orderChecker) observe(decisions []admit.Decision) []admit.Decision {
	started := call.Critical
	for _, d := range decisions {
		if importance, known := c.waiting[d.ID]; known && d.Run {
			started = min(started, importance)
		}
		delete(c.waiting, d.ID)
	}
	for _, other := range c.waiting {
		if other > started {
			*c.violations = append(*c.violations, fmt.Sprintf("%v call runs before a waiting %v one", started, other))
		}
	}
	return decisions
}

func (c *orderChecker) Offer(now time.Time, req *call.Request) []admit.Decision {
	c.waiting[req.ID] = req.Rank.Importance()
	return c.observe(c.Controller.Offer(now, req))
}

func (c *orderChecker) Done(now time.Time, id call.ID, out admit.Outcome) []admit.Decision {
	return c.observe(c.Controller.Done(now, id, out))
}

func (c *orderChecker) Cancel(now time.Time, id call.ID) []admit.Decision {
	delete(c.waiting, id)
	return c.observe(c.Controller.Cancel(now, id))
}

func (c *orderChecker) Tick(now time.Time) []admit.Decision { return c.observe(c.Controller.Tick(now)) }

func (c *orderChecker) RejectQueued(now time.Time, reason verdict.Reason) []admit.Decision {
	return c.observe(c.Controller.RejectQueued(now, reason))
}

// runChecked runs a history with the invariants I1 to I7 of docs/design.md checked:
// package history checks all but I2.
func runChecked(opt history.Options) (history.Stats, error) {
	var violations []string
	inner := opt.Admit
	opt.Admit = func(a admit.Controller) admit.Controller {
		if inner != nil {
			a = inner(a)
		}
		return &orderChecker{Controller: a, waiting: map[call.ID]call.Importance{}, violations: &violations}
	}
	opt.Records = engine.Records
	stats, err := history.Run(opt)
	if err == nil && len(violations) > 0 {
		err = fmt.Errorf("seed %d: %s", opt.Seed, violations[0])
	}
	return stats, err
}

// checkCell runs the histories of one cell.
func checkCell(t *testing.T, histories int, faults ...history.InjectedFault) {
	t.Helper()
	reached := 0
	for seed := uint64(1); seed <= uint64(histories); seed++ {
		opt := history.Options{Seed: seed, Script: faults}
		if *historySeed == seed {
			opt.Trace = func(line string) { fmt.Println(line) }
		}
		stats, err := runChecked(opt)
		require.NoError(t, err, "replay: go test ./core/engine -run '%s$' -history.seed=%d", t.Name(), seed)
		require.Positive(t, stats.Answered, "seed %d answers nothing", seed)
		if stats.Faults == len(faults) {
			reached++
		}
	}
	require.GreaterOrEqual(t, reached*reachedPart, histories, "the steps are hardly ever reached")
}

// Guards I1 to I7 against each fault at each step of a call. The subtests are
// the cells of docs/fault-matrix.md.
func TestFaultAtStep(t *testing.T) {
	for _, fault := range history.Faults {
		for _, step := range history.Steps {
			t.Run(string(fault)+"/"+string(step), func(t *testing.T) {
				t.Parallel()
				checkCell(t, cellHistories, history.InjectedFault{Fault: fault, Step: step})
			})
		}
	}
}

// Guards I1 to I7 against each pair of faults in both orders, and each fault
// twice. The steps of a pair are derived from its position in the table, so that
// all steps occur.
func TestFaultPair(t *testing.T) {
	n := 0
	for _, first := range history.Faults {
		for _, second := range history.Faults {
			n++
			steps := history.Steps[:len(history.Steps)-2]
			faults := []history.InjectedFault{
				{Fault: first, Step: steps[n%len(steps)]},
				{Fault: second, Step: steps[(n*3/len(steps))%len(steps)]},
			}
			t.Run(string(first)+"+"+string(second), func(t *testing.T) {
				t.Parallel()
				checkCell(t, pairHistories, faults...)
			})
		}
	}
}

// fifoController runs one call at a time in the order of arrival.
type fifoController struct {
	admit.Controller
	running call.ID
	queue   []call.ID
}

func (c *fifoController) next() []admit.Decision {
	if c.running != 0 || len(c.queue) == 0 {
		return nil
	}
	c.running, c.queue = c.queue[0], c.queue[1:]
	return []admit.Decision{{ID: c.running, Run: true}}
}

func (c *fifoController) Offer(_ time.Time, req *call.Request) []admit.Decision {
	c.queue = append(c.queue, req.ID)
	return c.next()
}

func (c *fifoController) Done(_ time.Time, id call.ID, _ admit.Outcome) []admit.Decision {
	if c.running == id {
		c.running = 0
	}
	return c.next()
}

func (c *fifoController) Tick(time.Time) []admit.Decision { return nil }

func (c *fifoController) Cancel(_ time.Time, id call.ID) []admit.Decision {
	c.queue = slices.DeleteFunc(c.queue, func(other call.ID) bool { return other == id })
	return nil
}

// fencedLedger reports each key as fenced directly before its run.
type fencedLedger struct{ idempotency.Ledger }

func (fencedLedger) MarkRunning(time.Time, string) bool { return false }

// Guards the checks directly before a run (pause at the queue): neither an
// overdue call nor a fenced key runs, even if the admission controller admits it.
// The cells above cannot show this, since the admission controller rejects such
// calls first.
func TestChecksDirectlyBeforeRun(t *testing.T) {
	e := newNode(t, func(cfg *engine.Config) {
		cfg.Keys = fencedLedger{cfg.Keys}
		cfg.Admit = func(*policy.Service, map[string]*policy.Caller) admit.Controller {
			return &fifoController{Controller: admit.New(&policy.Service{Slots: 1}, nil)}
		}
	})
	arrive := func(now time.Time, id call.ID, key string) []engine.Action {
		return e.Step(now, engine.PeerCallArrived{ID: id, From: "b", Call: engine.PeerCall{
			RequestID: "r", Service: "ledger", Caller: "polder", Remaining: time.Second, Key: key,
		}})
	}
	only[engine.RunUpstream](t, arrive(start, 1, ""))
	require.Empty(t, slices.DeleteFunc(arrive(start, 2, ""), func(a engine.Action) bool {
		_, record := a.(engine.Record)
		return record
	}))
	key := only[engine.AnswerKey](t, e.Step(start, engine.KeyRequested{ID: 3, Service: "ledger", Caller: "polder"}))
	arrive(start, 4, key.Key)
	late := start.Add(2 * time.Second)
	done := e.Step(late, engine.UpstreamReplied{ID: 1, Answer: &call.Answer{Status: 200}})
	reasons := map[verdict.Reason]verdict.Verdict{}
	for _, a := range done {
		_, run := a.(engine.RunUpstream)
		require.False(t, run, "an overdue call runs")
		if reply, ok := a.(engine.AnswerPeer); ok && reply.Reply.Refusal != nil {
			reasons[reply.Reply.Refusal.Reason] = reply.Reply.Refusal.Verdict
		}
	}
	require.Equal(t, map[verdict.Reason]verdict.Verdict{verdict.DeadlineUnmet: verdict.NotRun}, reasons)

	key = only[engine.AnswerKey](t, e.Step(late, engine.KeyRequested{ID: 5, Service: "ledger", Caller: "polder"}))
	refused := only[engine.AnswerPeer](t, arrive(late, 6, key.Key))
	require.Equal(t, verdict.KeyFenced, refused.Reply.Refusal.Reason)
	require.True(t, e.Idle())
}

// rejectOnTick rejects queued calls at each tick as if the host were leaving.
type rejectOnTick struct{ admit.Controller }

func (c rejectOnTick) Tick(now time.Time) []admit.Decision {
	return c.RejectQueued(now, verdict.Leaving)
}

// staleRouter keeps the hosts that it got first, so that a leaving host stays.
type staleRouter struct {
	route.Router
	first map[string][]member.Host
}

func (r staleRouter) SetHosts(now time.Time, service string, hosts []member.Host) {
	if r.first[service] == nil {
		r.first[service] = hosts
	}
	r.Router.SetHosts(now, service, r.first[service])
}

// Guards against checks of I2, I6 and I7 that cannot fail. Those of I1, I3, I4
// and I5 are covered by TestHistoriesFindDeliberateFaults.
func TestMatrixFindsDeliberateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		opt  history.Options
		want string
	}{
		"I2": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return &fifoController{Controller: a} }},
			"call runs before a waiting critical one",
		},
		"I6": {
			history.Options{Route: func(r route.Router) route.Router {
				return staleRouter{Router: r, first: map[string][]member.Host{}}
			}},
			"which is leaving",
		},
		"I7": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return rejectOnTick{a} }},
			"as leaving, which arrived before",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opt := c.opt
			opt.Script = []history.InjectedFault{{Fault: history.Drain, Step: history.StepRun}, {Fault: history.Surge, Step: history.StepSend}}
			for opt.Seed = 1; opt.Seed <= maxFaultHistories; opt.Seed++ {
				_, err := runChecked(opt)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation %q in %d histories", c.want, maxFaultHistories)
		})
	}
}
