package engine_test

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/internal/history"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// maxFaultHistories is the number of histories within which a deliberate fault
// must be detected.
const maxFaultHistories = 300

// rerunLedger runs a key again that has already run.
type rerunLedger struct{ idempotency.Ledger }

func (l rerunLedger) Submit(now time.Time, key string, req *call.Request) idempotency.Submission {
	s := l.Ledger.Submit(now, key, req)
	if s.Action == idempotency.Replay {
		s.Action = idempotency.Execute
	}
	return s
}

func (l rerunLedger) MarkRunning(now time.Time, key string) bool {
	l.Ledger.MarkRunning(now, key)
	return true
}

// noFenceLedger reports a key as fenced without fencing it.
type noFenceLedger struct{ idempotency.Ledger }

func (noFenceLedger) Fence(time.Time, string) idempotency.State { return idempotency.Fenced }

// falseNotRunLedger reports "not run" for runs with an indeterminate outcome.
type falseNotRunLedger struct{ idempotency.Ledger }

func (l falseNotRunLedger) Submit(now time.Time, key string, req *call.Request) idempotency.Submission {
	s := l.Ledger.Submit(now, key, req)
	if s.Refusal != nil && s.Refusal.Reason == verdict.ConnectionLost {
		s.Refusal.Verdict = verdict.NotRun
	}
	return s
}

// wrongAnswerLedger replays the response of another key.
type wrongAnswerLedger struct {
	idempotency.Ledger
	last *call.Answer
}

func (l *wrongAnswerLedger) Finish(now time.Time, key string, answer *call.Answer) {
	kept := answer
	if l.last != nil {
		kept = l.last
	}
	l.last = answer
	l.Ledger.Finish(now, key, kept)
}

// lossyController loses the decisions about queued calls.
type lossyController struct{ admit.Controller }

func (c lossyController) Done(now time.Time, id call.ID, out admit.Outcome) []admit.Decision {
	c.Controller.Done(now, id, out)
	return nil
}

// Guards against checks that cannot fail: each deliberate fault must be detected.
func TestHistoriesFindDeliberateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		opt  history.Options
		want string
	}{
		"key run again": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return rerunLedger{l} }}, "key ran twice",
		},
		"fence without effect": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return noFenceLedger{l} }}, "did not run",
		},
		"not run after a broken run": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return falseNotRunLedger{l} }}, "did not run, but it ran",
		},
		"answer of another key": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return &wrongAnswerLedger{Ledger: l} }}, "got the answer",
		},
		"credit that was not delegated": {
			history.Options{Call: func(c *engine.PeerCall) { c.Credit += 2 }}, "extra attempts",
		},
		"truncated answer": {
			history.Options{Reply: func(_ engine.PeerCall, r *engine.Reply) {
				if r.Answer != nil && len(r.Answer.Body)%7 == 0 {
					r.Answer = &call.Answer{Status: r.Answer.Status, Body: r.Answer.Body[:len(r.Answer.Body)-2]}
				}
			}}, "truncated answer",
		},
		"false not run": {
			history.Options{Reply: func(_ engine.PeerCall, r *engine.Reply) {
				if r.Refusal != nil {
					r.Refusal = &verdict.Refusal{Verdict: verdict.NotRun, Reason: r.Refusal.Reason}
				}
			}}, "not run",
		},
		"lost decision": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return lossyController{a} }}, "past its deadline",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opt := c.opt
			opt.Records = engine.Records
			for opt.Seed = 1; opt.Seed <= maxFaultHistories; opt.Seed++ {
				_, err := history.Run(opt)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation %q in %d histories", c.want, maxFaultHistories)
		})
	}
}

// Guards the bound on retries against a peer that returns more credit than was
// delegated to it, and callers against a peer that reports impossible loads. A
// peer that spends credit and also returns it makes extra attempts that no other
// node can limit, so the returned credit is raised only where none was spent.
func TestHistoriesWithFaultyPeer(t *testing.T) {
	for seed := uint64(1); seed <= maxFaultHistories; seed++ {
		opt := historyOptions(seed)
		opt.Reply = func(c engine.PeerCall, r *engine.Reply) {
			if r.ReturnedCredit == c.Credit {
				r.ReturnedCredit = 100
			}
			r.Load = route.Report{Running: -5, Queued: 1 << 40, Limit: -1}
		}
		_, err := history.Run(opt)
		require.NoError(t, err)
	}
}

// address matches pointers in traces.
var address = regexp.MustCompile("0x[0-9a-f]+")

// Guards against histories that cannot be replayed.
func TestHistoryIsDeterministic(t *testing.T) {
	trace := func(seed uint64) (lines []string) {
		opt := historyOptions(seed)
		opt.Trace = func(line string) { lines = append(lines, address.ReplaceAllString(line, "")) }
		_, err := history.Run(opt)
		require.NoError(t, err)
		return lines
	}
	for seed := uint64(1); seed <= 20; seed++ {
		require.Equal(t, trace(seed), trace(seed), "seed %d", seed)
	}
}
