package engine

import (
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// onceRunExtra is how long a once-only run may go on after the deadline of its
// submission: cutting it off would leave its outcome unknown, while its answer
// can still be fetched by key.
const onceRunExtra = 10 * time.Second

// guardCall is a call on the guarded upstream, waiting or running.
type guardCall struct {
	id        call.ID
	req       call.Request
	started   time.Time
	running   bool
	cancelled bool // nobody waits for the answer
	fenced    bool // the key is fenced already
	token     string
	pool      retry.Credit
	children  map[call.ID]*entryCall
	subs      map[subIdentity]*subCall
	// waited is the time for which at least one sub-call was open, up to
	// waitingSince if one is open now.
	waited       time.Duration
	waitingSince time.Time
	// childLevel is the highest admission level that sub-calls reported.
	childLevel call.Rank
	joined     []joinedCall
}

// subIdentity tells outgoing calls of one run apart. The label is what the
// upstream sent as Idempotency-Key, so that it can make two equal calls.
type subIdentity struct {
	digest uint64
	label  string
}

// joinedCall is a further submission of the key of a running call.
type joinedCall struct {
	id        call.ID
	requestID string
	deadline  time.Time
	credit    int
}

// callsOut records an outgoing call of the run.
func (g *guardCall) callsOut(now time.Time, rec *entryCall) {
	if len(g.children) == 0 {
		g.waitingSince = now
	}
	g.children[rec.id] = rec
}

// callEnded removes an outgoing call of the run.
func (g *guardCall) callEnded(now time.Time, rec *entryCall) {
	if _, open := g.children[rec.id]; !open {
		return
	}
	delete(g.children, rec.id)
	if len(g.children) == 0 {
		g.waited += now.Sub(g.waitingSince)
	}
}

func (e *Engine) peerCallArrived(now time.Time, ev PeerCallArrived) {
	g := &guardCall{
		id:       ev.ID,
		req:      guardRequest(now, ev),
		pool:     retry.NewCredit(ev.Call.Credit),
		children: make(map[call.ID]*entryCall),
		subs:     make(map[subIdentity]*subCall),
	}
	if g.req.Key != "" {
		e.keyedCallArrived(now, g, ev)
		return
	}
	if refusal := e.refuseNewWork(ev.Call.Service); refusal != nil {
		e.answerRefused(now, g, refusal)
		return
	}
	e.offer(now, g)
}

func guardRequest(now time.Time, ev PeerCallArrived) call.Request {
	return call.Request{
		ID:         ev.ID,
		RequestID:  ev.Call.RequestID,
		Caller:     ev.Call.Caller,
		Kind:       ev.Call.Kind,
		Service:    ev.Call.Service,
		Rank:       ev.Call.Rank,
		Deadline:   now.Add(ev.Call.Remaining),
		Cost:       ev.Call.Cost,
		Key:        ev.Call.Key,
		Digest:     ev.Call.Digest,
		Depth:      ev.Call.Depth,
		Credit:     ev.Call.Credit,
		Idempotent: ev.Call.Idempotent,
	}
}

// keyedCallArrived consults the key table first: a known key is answered from
// it even when this node takes no new work.
func (e *Engine) keyedCallArrived(now time.Time, g *guardCall, ev PeerCallArrived) {
	submission := e.keys.Submit(now, g.req.Key, &g.req)
	switch submission.Step {
	case idempotency.Replay:
		e.emit(AnswerPeer{ID: g.id, Reply: e.reply(now, g, g.req.RequestID, g.pool.Remaining(), submission.Answer, nil)})
	case idempotency.Join:
		if owner := e.byKey[g.req.Key]; owner != nil {
			e.joinKey(now, owner, ev)
			return
		}
		e.answerRefused(now, g, &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.KeyUnknown})
	case idempotency.Start:
		e.byKey[g.req.Key] = g
		e.guards[g.id] = g
		if refusal := e.refuseNewWork(g.req.Service); refusal != nil {
			e.refuseGuard(now, g, refusal)
			return
		}
		e.offer(now, g)
	default:
		e.answerRefused(now, g, submission.Refusal)
	}
}

// offer hands a call to admission.
func (e *Engine) offer(now time.Time, g *guardCall) {
	e.guards[g.id] = g
	decisions := e.admitter.Offer(now, &g.req)
	if !decides(decisions, g.id) {
		e.emit(e.guardRecord(g, DecisionQueue, "wait-for-slot"))
	}
	e.apply(now, decisions)
}

func decides(decisions []admit.Decision, id call.ID) bool {
	for _, d := range decisions {
		if d.ID == id {
			return true
		}
	}
	return false
}

// apply carries out admission decisions.
func (e *Engine) apply(now time.Time, decisions []admit.Decision) {
	for _, d := range decisions {
		g := e.guards[d.ID]
		if g == nil {
			continue
		}
		if d.Run {
			e.start(now, g)
			continue
		}
		refusal := verdict.Refuse(d.Reason, "")
		refusal.RetryAfter = d.RetryAfter
		e.refuseGuard(now, g, refusal)
	}
}

// start runs a call on the upstream. Deadline and key are checked here again,
// directly before the run, since the process may have been paused.
func (e *Engine) start(now time.Time, g *guardCall) {
	remaining := g.req.Deadline.Sub(now)
	if remaining <= 0 {
		e.withdraw(now, g, verdict.Refuse(verdict.DeadlineUnmet, "the deadline passed before the request ran"))
		return
	}
	if g.req.Key != "" && !e.keys.Begin(now, g.req.Key) {
		g.fenced = true
		e.withdraw(now, g, verdict.Refuse(verdict.KeyFenced, "the key was cancelled"))
		return
	}
	timeout := remaining
	if g.req.Key != "" {
		timeout += onceRunExtra
	}
	g.running = true
	g.started = now
	g.token = e.cfg.Token()
	e.byToken[g.token] = g
	e.emit(e.guardRecord(g, DecisionAdmit, "slot-free"), RunUpstream{ID: g.id, Token: g.token, Timeout: timeout})
}

// withdraw refuses a call that admission has just given a slot.
func (e *Engine) withdraw(now time.Time, g *guardCall, refusal *verdict.Refusal) {
	e.refuseGuard(now, g, refusal)
	e.apply(now, e.admitter.Done(now, g.id, admit.Outcome{Cancelled: true}))
}

func (e *Engine) upstreamReplied(now time.Time, ev UpstreamReplied) {
	if ev.Draining {
		e.upstreamDrains(now)
	}
	g := e.guards[ev.ID]
	if g == nil || !g.running {
		return
	}
	decisions := e.admitter.Done(now, g.id, admit.Outcome{
		Latency:   now.Sub(g.started),
		Waited:    g.waited,
		Shed:      ev.Shed,
		Cancelled: g.cancelled && g.req.Key == "",
	})
	e.finishRun(now, g, ev)
	e.apply(now, decisions)
}

func (e *Engine) finishRun(now time.Time, g *guardCall, ev UpstreamReplied) {
	if ev.Shed {
		refusal := verdict.Refuse(verdict.UpstreamShed, "the upstream refused for load")
		refusal.RetryAfter = ev.RetryAfter
		if ev.Unproven {
			refusal.Verdict = verdict.MayHaveRun
		}
		e.failRun(now, g, refusal)
		return
	}
	if g.req.Key != "" {
		e.keys.Finish(now, g.req.Key, ev.Answer)
	}
	e.endGuard(now, g, ev.Answer, nil)
}

// rejectRun ends a run that is proven not to have happened.
func (e *Engine) rejectRun(now time.Time, g *guardCall, refusal *verdict.Refusal) {
	if g.req.Key != "" {
		e.keys.Reject(now, g.req.Key)
		g.fenced = true
	}
	e.refuseGuard(now, g, refusal)
}

func (e *Engine) upstreamFailed(now time.Time, ev UpstreamFailed) {
	g := e.guards[ev.ID]
	if g == nil || !g.running {
		return
	}
	decisions := e.admitter.Done(now, g.id, admit.Outcome{
		Latency:   now.Sub(g.started),
		Waited:    g.waited,
		Failed:    !g.cancelled,
		Cancelled: g.cancelled,
	})
	refusal := &verdict.Refusal{Verdict: ev.Verdict, Reason: ev.Reason, Detail: ev.Detail}
	e.failRun(now, g, refusal)
	e.apply(now, decisions)
}

// failRun ends a run that brought no whole answer.
func (e *Engine) failRun(now time.Time, g *guardCall, refusal *verdict.Refusal) {
	if refusal.Verdict == verdict.NotRun {
		e.rejectRun(now, g, refusal)
		return
	}
	if g.req.Key != "" {
		e.keys.Break(now, g.req.Key)
	}
	e.endGuard(now, g, nil, refusal)
}

// refuseGuard refuses a call as not run. For a once-only call this holds for
// good only once its key is fenced; if it cannot be, the verdict says so.
func (e *Engine) refuseGuard(now time.Time, g *guardCall, refusal *verdict.Refusal) {
	final := *refusal
	if g.req.Key != "" && !g.fenced && e.keys.Fence(now, g.req.Key) != idempotency.Fenced {
		final.Verdict = verdict.MayHaveRun
	}
	e.endGuard(now, g, nil, &final)
}

// endGuard answers all submissions of a call and forgets it.
func (e *Engine) endGuard(now time.Time, g *guardCall, answer *call.Answer, refusal *verdict.Refusal) {
	e.cancelChildren(now, g)
	delete(e.guards, g.id)
	delete(e.byToken, g.token)
	if g.req.Key != "" && e.byKey[g.req.Key] == g {
		delete(e.byKey, g.req.Key)
	}
	if refusal != nil {
		e.emit(e.guardRefusal(g, refusal))
	}
	if !g.cancelled {
		e.emit(AnswerPeer{ID: g.id, Reply: e.reply(now, g, g.req.RequestID, g.pool.Remaining(), answer, refusal)})
	}
	for _, j := range g.joined {
		delete(e.joinedTo, j.id)
		e.emit(AnswerPeer{ID: j.id, Reply: e.reply(now, g, j.requestID, j.credit, answer, refusal)})
	}
	g.joined = nil
}

// answerRefused refuses a call that was never taken in.
func (e *Engine) answerRefused(now time.Time, g *guardCall, refusal *verdict.Refusal) {
	e.emit(
		e.guardRefusal(g, refusal),
		AnswerPeer{ID: g.id, Reply: e.reply(now, g, g.req.RequestID, g.pool.Remaining(), nil, refusal)},
	)
}

func (e *Engine) reply(
	now time.Time, g *guardCall, requestID string, unspent int, answer *call.Answer, refusal *verdict.Refusal,
) Reply {
	r := Reply{
		RequestID:   requestID,
		Incarnation: e.cfg.Incarnation,
		Answer:      answer,
		Refusal:     refusal,
		Unspent:     unspent,
		Level:       g.childLevel,
		Leaving:     e.leaving,
	}
	if e.admitter != nil {
		r.Level = max(r.Level, e.admitter.Threshold(now, g.req.Caller))
		load := e.admitter.Load(now)
		r.Load = route.Report{Running: load.Running, Queued: load.Queued, Limit: load.Limit}
	}
	// An upstream that cannot be reached would fail the next submission too;
	// without a key the caller gets one of another host.
	deadEnd := e.leaving || refusal != nil && refusal.Reason == verdict.UpstreamFailed
	if refusal != nil && refusal.Verdict == verdict.NotRun && g.req.Key != "" && !deadEnd {
		r.NextKey, _ = e.keys.Issue(now, g.req.Service, g.req.Caller)
	}
	return r
}
