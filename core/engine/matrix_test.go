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

// Histories for each cell of docs/fault-matrix.md. One in reachedPart must
// reach all steps of the cell, so that a cell cannot pass unreached.
const (
	cellHistories = 8
	pairHistories = 6
	reachedPart   = 4
)

// sheddingOrder checks I2 at one guard: no call gets a slot while a more
// important one that could have had it stays in the queue.
type sheddingOrder struct {
	admit.Controller
	waiting map[call.ID]call.Importance
	broken  *[]string
}

func (a *sheddingOrder) decided(decisions []admit.Decision) []admit.Decision {
	started := call.Critical
	for _, d := range decisions {
		if importance, known := a.waiting[d.ID]; known && d.Run {
			started = min(started, importance)
		}
		delete(a.waiting, d.ID)
	}
	for _, other := range a.waiting {
		if other > started {
			*a.broken = append(*a.broken, fmt.Sprintf("%v call runs before a waiting %v one", started, other))
		}
	}
	return decisions
}

func (a *sheddingOrder) Offer(now time.Time, req *call.Request) []admit.Decision {
	a.waiting[req.ID] = req.Rank.Importance()
	return a.decided(a.Controller.Offer(now, req))
}

func (a *sheddingOrder) Done(now time.Time, id call.ID, out admit.Outcome) []admit.Decision {
	return a.decided(a.Controller.Done(now, id, out))
}

func (a *sheddingOrder) Cancel(now time.Time, id call.ID) []admit.Decision {
	delete(a.waiting, id)
	return a.decided(a.Controller.Cancel(now, id))
}

func (a *sheddingOrder) Tick(now time.Time) []admit.Decision {
	return a.decided(a.Controller.Tick(now))
}

func (a *sheddingOrder) RejectQueued(now time.Time, reason verdict.Reason) []admit.Decision {
	return a.decided(a.Controller.RejectQueued(now, reason))
}

// playScript plays a history with the invariants I1 to I7 checked: package
// history checks all but I2.
func playScript(opt history.Options) (history.Stats, error) {
	var broken []string
	inner := opt.Admit
	opt.Admit = func(a admit.Controller) admit.Controller {
		if inner != nil {
			a = inner(a)
		}
		return &sheddingOrder{Controller: a, waiting: map[call.ID]call.Importance{}, broken: &broken}
	}
	opt.Records = engine.Records
	stats, err := history.Run(opt)
	if err == nil && len(broken) > 0 {
		err = fmt.Errorf("seed %d: %s", opt.Seed, broken[0])
	}
	return stats, err
}

// checkCell plays the histories of one cell.
func checkCell(t *testing.T, histories int, cues ...history.Cue) {
	t.Helper()
	reached := 0
	for seed := uint64(1); seed <= uint64(histories); seed++ {
		opt := history.Options{Seed: seed, Script: cues}
		if *historySeed == seed {
			opt.Trace = func(line string) { fmt.Println(line) }
		}
		stats, err := playScript(opt)
		require.NoError(t, err, "replay: go test ./core/engine -run '%s$' -history.seed=%d", t.Name(), seed)
		require.Positive(t, stats.Answered, "seed %d answers nothing", seed)
		if stats.Faults == len(cues) {
			reached++
		}
	}
	require.GreaterOrEqual(t, reached*reachedPart, histories, "the steps are hardly ever reached")
}

// Guards I1 to I7 against each fault at each step of a call; the subtests are
// the cells of docs/fault-matrix.md.
func TestFaultAtStep(t *testing.T) {
	for _, fault := range history.Faults {
		for _, step := range history.Steps {
			t.Run(string(fault)+"/"+string(step), func(t *testing.T) {
				t.Parallel()
				checkCell(t, cellHistories, history.Cue{Fault: fault, Step: step})
			})
		}
	}
}

// Guards I1 to I7 against each pair of faults, in both orders, and each fault
// twice. The steps of a pair follow from its place in the table, so that all
// steps take part.
func TestFaultPair(t *testing.T) {
	n := 0
	for _, first := range history.Faults {
		for _, second := range history.Faults {
			n++
			steps := history.Steps[:len(history.Steps)-2]
			cues := []history.Cue{
				{Fault: first, Step: steps[n%len(steps)]},
				{Fault: second, Step: steps[(n*3/len(steps))%len(steps)]},
			}
			t.Run(string(first)+"+"+string(second), func(t *testing.T) {
				t.Parallel()
				checkCell(t, pairHistories, cues...)
			})
		}
	}
}

// fifoAdmitter runs one call at a time in the order of arrival.
type fifoAdmitter struct {
	admit.Controller
	running call.ID
	queue   []call.ID
}

func (a *fifoAdmitter) next() []admit.Decision {
	if a.running != 0 || len(a.queue) == 0 {
		return nil
	}
	a.running, a.queue = a.queue[0], a.queue[1:]
	return []admit.Decision{{ID: a.running, Run: true}}
}

func (a *fifoAdmitter) Offer(_ time.Time, req *call.Request) []admit.Decision {
	a.queue = append(a.queue, req.ID)
	return a.next()
}

func (a *fifoAdmitter) Done(_ time.Time, id call.ID, _ admit.Outcome) []admit.Decision {
	if a.running == id {
		a.running = 0
	}
	return a.next()
}

func (a *fifoAdmitter) Tick(time.Time) []admit.Decision { return nil }

func (a *fifoAdmitter) Cancel(_ time.Time, id call.ID) []admit.Decision {
	a.queue = slices.DeleteFunc(a.queue, func(other call.ID) bool { return other == id })
	return nil
}

// refusingLedger finds each key fenced directly before its run.
type refusingLedger struct{ idempotency.Ledger }

func (refusingLedger) Begin(time.Time, string) bool { return false }

// Guards the checks directly before a run (pause at the queue): neither an
// overdue call nor a fenced key runs, even if admission lets it. The cells
// above cannot show this, since admission drops such calls before.
func TestChecksDirectlyBeforeRun(t *testing.T) {
	e := newNode(t, func(cfg *engine.Config) {
		cfg.Keys = refusingLedger{cfg.Keys}
		cfg.Admit = func(*policy.Service, map[string]*policy.Caller) admit.Controller {
			return &fifoAdmitter{Controller: admit.New(&policy.Service{Slots: 1}, nil)}
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

// hastyAdmitter refuses what waits as if the host were leaving.
type hastyAdmitter struct{ admit.Controller }

func (a hastyAdmitter) Tick(now time.Time) []admit.Decision {
	return a.RejectQueued(now, verdict.Leaving)
}

// staleRouter keeps the hosts that it got first, so that a leaving one stays.
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

// Guards against checks of I2, I6 and I7 that cannot fail; those of I1, I3, I4
// and I5 are proved in TestHistoriesFindDeliberateFaults.
func TestMatrixFindsDeliberateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		opt  history.Options
		want string
	}{
		"I2": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return &fifoAdmitter{Controller: a} }},
			"call runs before a waiting critical one",
		},
		"I6": {
			history.Options{Route: func(r route.Router) route.Router {
				return staleRouter{Router: r, first: map[string][]member.Host{}}
			}},
			"which is leaving",
		},
		"I7": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return hastyAdmitter{a} }},
			"as leaving, which arrived before",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opt := c.opt
			opt.Script = []history.Cue{{Fault: history.Drain, Step: history.StepRun}, {Fault: history.Surge, Step: history.StepSend}}
			for opt.Seed = 1; opt.Seed <= brokenHistories; opt.Seed++ {
				_, err := playScript(opt)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation %q in %d histories", c.want, brokenHistories)
		})
	}
}
