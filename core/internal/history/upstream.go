package history

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// maxSubCallAttempts bounds how often an upstream makes the same sub-call.
const maxSubCallAttempts = 3

// run is one call at the fake upstream of a node. Its end is reported to the
// engine exactly once.
type run struct {
	n     *node
	peer  *peerCall
	token string
	ended bool
}

func (n *node) runUpstream(a engine.RunUpstream) {
	sim := n.sim
	r := &run{n: n, peer: n.peers[uint64(a.ID)], token: a.Token}
	sim.check.checkStart(r, a)
	n.runs[uint64(a.ID)] = r
	r.endAfter(a.Timeout, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.DeadlinePassed})
	work := sim.between(time.Millisecond, 8*time.Millisecond)
	if sim.now < n.slowUntil {
		work += n.slowBy
	}
	switch outcome := sim.rng.IntN(100); {
	case outcome < 3:
		r.endAfter(work/4, engine.UpstreamReplied{Shed: true, Draining: sim.chance(10)})
		return
	case outcome < 5:
		r.endAfter(work/4, engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.UpstreamFailed})
		return
	case outcome < 8:
		r.endAfter(work, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost})
	case outcome < 10:
		r.endAfter(work, engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer})
	case outcome < 11: // no reply until the timeout
	case n.host.Service == ledgerService:
		r.answerAfter(work)
	default:
		n.afterUnlessCrashed(work/2, r.makeSubCalls)
	}
	sim.check.onRun(r.peer)
}

// afterUnlessCrashed runs a step of the upstream after d unless its process has
// crashed by then.
func (n *node) afterUnlessCrashed(d time.Duration, step func()) {
	generation := n.generation
	n.sim.after(d, func() {
		if n.generation == generation {
			step()
		}
	})
}

func (r *run) endAfter(d time.Duration, event engine.Event) {
	id := call.ID(r.peer.id)
	r.n.post(d, func() engine.Event {
		if r.ended {
			return nil
		}
		r.ended = true
		delete(r.n.runs, r.peer.id)
		switch ev := event.(type) {
		case engine.UpstreamReplied:
			ev.ID = id
			return ev
		case engine.UpstreamFailed:
			ev.ID = id
			return ev
		}
		return nil
	})
}

// answerAfter replies after d with a body that names the request it belongs to.
func (r *run) answerAfter(d time.Duration) {
	status := http.StatusOK
	if r.n.sim.chance(5) {
		status = http.StatusInternalServerError
	}
	r.endAfter(d, engine.UpstreamReplied{
		Answer:   &call.Answer{Status: status, Body: []byte(answerBody(r.peer.attempt.call, r.n.sim.rng.IntN(300)))},
		Draining: r.n.sim.chance(1),
	})
}

func answerBody(c engine.PeerCall, padding int) string {
	return fmt.Sprintf("%s|%d|%s|%s|%s|end", c.Caller, c.Digest, c.RequestID, c.Key, strings.Repeat("x", padding))
}

// makeSubCalls makes the sub-call of a run, in 15 % of cases twice at once.
func (r *run) makeSubCalls() {
	if r.ended {
		return
	}
	r.subCall(1)
	if r.n.sim.chance(15) {
		r.subCall(maxSubCallAttempts)
	}
}

// finishAfter ends the run after d with an answer or a failed connection.
func (r *run) finishAfter(d time.Duration) {
	switch r.n.sim.rng.IntN(8) {
	case 0:
		r.endAfter(d, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost})
	case 1:
		r.endAfter(d, engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer})
	default:
		r.answerAfter(d)
	}
}

func (r *run) subCall(attempt int) {
	sim := r.n.sim
	c := r.peer.attempt.call
	spec := engine.CallArrived{
		Egress: true, Service: ledgerService, Method: http.MethodGet, Path: entryPath,
		Token: r.token, Digest: c.Digest + 1_000_000,
	}
	if c.Key != "" {
		spec.Method, spec.Path = http.MethodPost, appendPath
	} else if sim.chance(3) {
		spec.Token, spec.RequestID = "unknown", c.RequestID+"-orphan"
	} else if c.Digest%4 == 0 {
		spec.Method, spec.Path = http.MethodPost, notePath
	}
	if sim.chance(20) {
		spec.Timeout = sim.between(10*time.Millisecond, 300*time.Millisecond)
	}
	e := r.n.call(spec, r.peer, func(a engine.AnswerCaller) {
		retry := a.Answer == nil || a.Answer.Status >= http.StatusInternalServerError
		if retry && attempt < maxSubCallAttempts && sim.chance(60) {
			r.n.afterUnlessCrashed(time.Millisecond, func() { r.subCall(attempt + 1) })
			return
		}
		r.finishAfter(sim.between(time.Millisecond, 4*time.Millisecond))
	}, nil)
	if sim.chance(4) { // the upstream closes its connection
		r.n.afterUnlessCrashed(sim.between(time.Millisecond, 50*time.Millisecond), e.cancel)
	}
}

func (n *node) cancelRun(c engine.CancelRun) {
	r := n.runs[uint64(c.ID)]
	n.sim.check.require(r == nil || r.peer.attempt.call.Key == "", "%s cancels at-most-once run %d", n.host.ID, c.ID)
	if r != nil && n.sim.chance(80) {
		r.endAfter(n.sim.between(time.Millisecond, 5*time.Millisecond),
			engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled})
	}
}
