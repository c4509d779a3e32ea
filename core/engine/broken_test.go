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

// brokenHistories is the number of histories within which a deliberate fault
// must be found.
const brokenHistories = 300

// forgetfulLedger takes every submission for the first.
type forgetfulLedger struct{ idempotency.Ledger }

func (l forgetfulLedger) Submit(now time.Time, key string, req *call.Request) idempotency.Submission {
	s := l.Ledger.Submit(now, key, req)
	if s.Step == idempotency.Replay {
		s.Step = idempotency.Start
	}
	return s
}

func (l forgetfulLedger) Begin(now time.Time, key string) bool {
	l.Ledger.Begin(now, key)
	return true
}

// lyingLedger says that it fenced a key without doing so.
type lyingLedger struct{ idempotency.Ledger }

func (lyingLedger) Fence(time.Time, string) idempotency.State { return idempotency.Fenced }

// boldLedger says "not run" for each run that broke off.
type boldLedger struct{ idempotency.Ledger }

func (l boldLedger) Submit(now time.Time, key string, req *call.Request) idempotency.Submission {
	s := l.Ledger.Submit(now, key, req)
	if s.Refusal != nil && s.Refusal.Reason == verdict.ConnectionLost {
		s.Refusal.Verdict = verdict.NotRun
	}
	return s
}

// mixingLedger replays the answer of another key.
type mixingLedger struct {
	idempotency.Ledger
	last *call.Answer
}

func (l *mixingLedger) Finish(now time.Time, key string, answer *call.Answer) {
	kept := answer
	if l.last != nil {
		kept = l.last
	}
	l.last = answer
	l.Ledger.Finish(now, key, kept)
}

// leakyAdmitter loses the decisions about waiting calls.
type leakyAdmitter struct{ admit.Controller }

func (a leakyAdmitter) Done(now time.Time, id call.ID, out admit.Outcome) []admit.Decision {
	a.Controller.Done(now, id, out)
	return nil
}

// Guards against checks that cannot fail: each deliberate fault must be found.
func TestHistoriesFindDeliberateFaults(t *testing.T) {
	for name, c := range map[string]struct {
		opt  history.Options
		want string
	}{
		"key run again": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return forgetfulLedger{l} }}, "key ran twice",
		},
		"fence without effect": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return lyingLedger{l} }}, "did not run",
		},
		"not run after a broken run": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return boldLedger{l} }}, "did not run, but it ran",
		},
		"answer of another key": {
			history.Options{Ledger: func(l idempotency.Ledger) idempotency.Ledger { return &mixingLedger{Ledger: l} }}, "got the answer",
		},
		"credit out of nothing": {
			history.Options{Call: func(c *engine.PeerCall) { c.Credit += 2 }}, "extra attempts",
		},
		"cut answer": {
			history.Options{Reply: func(_ engine.PeerCall, r *engine.Reply) {
				if r.Answer != nil && len(r.Answer.Body)%7 == 0 {
					r.Answer = &call.Answer{Status: r.Answer.Status, Body: r.Answer.Body[:len(r.Answer.Body)-2]}
				}
			}}, "cut answer",
		},
		"false not run": {
			history.Options{Reply: func(_ engine.PeerCall, r *engine.Reply) {
				if r.Refusal != nil {
					r.Refusal = &verdict.Refusal{Verdict: verdict.NotRun, Reason: r.Refusal.Reason}
				}
			}}, "not run",
		},
		"lost decision": {
			history.Options{Admit: func(a admit.Controller) admit.Controller { return leakyAdmitter{a} }}, "past its deadline",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opt := c.opt
			opt.Records = engine.Records
			for opt.Seed = 1; opt.Seed <= brokenHistories; opt.Seed++ {
				_, err := history.Run(opt)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation %q in %d histories", c.want, brokenHistories)
		})
	}
}

// Guards the retry bound against a peer that claims more unspent credit than
// it was lent, and callers against a peer that reports any load. A peer that
// spends credit and returns it as well makes attempts of its own that no other
// node can bound, so the claim is raised only where nothing was spent.
func TestHistoriesWithFaultyPeer(t *testing.T) {
	for seed := uint64(1); seed <= brokenHistories; seed++ {
		opt := play(seed)
		opt.Reply = func(c engine.PeerCall, r *engine.Reply) {
			if r.Unspent == c.Credit {
				r.Unspent = 100
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
		opt := play(seed)
		opt.Trace = func(line string) { lines = append(lines, address.ReplaceAllString(line, "")) }
		_, err := history.Run(opt)
		require.NoError(t, err)
		return lines
	}
	for seed := uint64(1); seed <= 20; seed++ {
		require.Equal(t, trace(seed), trace(seed), "seed %d", seed)
	}
}
