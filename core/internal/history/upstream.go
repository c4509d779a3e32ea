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

// maxSubTries is how often an upstream makes the same outgoing call.
const maxSubTries = 3

// run is one call on the fake upstream of a node. The runtime reports its end
// exactly once.
type run struct {
	n     *node
	peer  *peerCall
	token string
	ended bool
}

func (n *node) runUpstream(a engine.RunUpstream) {
	w := n.w
	r := &run{n: n, peer: n.peers[uint64(a.ID)], token: a.Token}
	w.check.started(r, a)
	n.runs[uint64(a.ID)] = r
	r.end(a.Timeout, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.DeadlinePassed})
	work := w.between(time.Millisecond, 8*time.Millisecond)
	if w.now < n.slowUntil {
		work += n.slowBy
	}
	switch fate := w.rng.IntN(100); {
	case fate < 3:
		r.end(work/4, engine.UpstreamReplied{Shed: true, Draining: w.chance(10)})
		return
	case fate < 5:
		r.end(work/4, engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.UpstreamFailed})
		return
	case fate < 8:
		r.end(work, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost})
	case fate < 10:
		r.end(work, engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.Truncated})
	case fate < 11: // hangs until the timeout
	case n.host.Service == ledger:
		r.answer(work)
	default:
		n.later(work/2, r.subCalls)
	}
	w.check.ran(r.peer)
}

// later runs a step of the upstream unless its host has crashed.
func (n *node) later(d time.Duration, step func()) {
	epoch := n.epoch
	n.w.after(d, func() {
		if n.epoch == epoch {
			step()
		}
	})
}

func (r *run) end(d time.Duration, event engine.Event) {
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

// answer replies with a body that names the request it belongs to.
func (r *run) answer(d time.Duration) {
	status := http.StatusOK
	if r.n.w.chance(5) {
		status = http.StatusInternalServerError
	}
	r.end(d, engine.UpstreamReplied{
		Answer:   &call.Answer{Status: status, Body: []byte(body(r.peer.attempt.call, r.n.w.rng.IntN(300)))},
		Draining: r.n.w.chance(1),
	})
}

func body(c engine.PeerCall, padding int) string {
	return fmt.Sprintf("%s|%d|%s|%s|%s|end", c.Caller, c.Digest, c.RequestID, c.Key, strings.Repeat("x", padding))
}

// subCalls makes the outgoing call of a run, sometimes twice at once.
func (r *run) subCalls() {
	if r.ended {
		return
	}
	r.subCall(1)
	if r.n.w.chance(15) {
		r.subCall(maxSubTries)
	}
}

// finish answers or breaks off after the outgoing calls.
func (r *run) finish(d time.Duration) {
	switch r.n.w.rng.IntN(8) {
	case 0:
		r.end(d, engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost})
	case 1:
		r.end(d, engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.Truncated})
	default:
		r.answer(d)
	}
}

func (r *run) subCall(try int) {
	w := r.n.w
	c := r.peer.attempt.call
	spec := engine.CallArrived{
		Egress: true, Service: ledger, Method: http.MethodGet, Path: entryPath,
		Token: r.token, Digest: c.Digest + 1_000_000,
	}
	if c.Key != "" {
		spec.Method, spec.Path = http.MethodPost, appendPath
	} else if w.chance(3) {
		spec.Token, spec.RequestID = "unknown", c.RequestID+"-orphan"
	} else if c.Digest%4 == 0 {
		spec.Method, spec.Path = http.MethodPost, notePath
	}
	if w.chance(20) {
		spec.Timeout = w.between(10*time.Millisecond, 300*time.Millisecond)
	}
	e := r.n.call(spec, r.peer, func(a engine.AnswerCaller) {
		again := a.Answer == nil || a.Answer.Status >= http.StatusInternalServerError
		if again && try < maxSubTries && w.chance(60) {
			r.n.later(time.Millisecond, func() { r.subCall(try + 1) })
			return
		}
		r.finish(w.between(time.Millisecond, 4*time.Millisecond))
	}, nil)
	if w.chance(4) { // the upstream closes its connection
		r.n.later(w.between(time.Millisecond, 50*time.Millisecond), e.cancel)
	}
}

func (n *node) cancelRun(c engine.CancelRun) {
	r := n.runs[uint64(c.ID)]
	n.w.check.require(r == nil || r.peer.attempt.call.Key == "", "%s cancels once-only run %d", n.host.ID, c.ID)
	if r != nil && n.w.chance(80) {
		r.end(n.w.between(time.Millisecond, 5*time.Millisecond),
			engine.UpstreamFailed{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled})
	}
}
