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

// keyedRunExtension is how long an at-most-once run may continue after the
// deadline of its submission. Ending it at the deadline would leave its outcome
// indeterminate, whereas its response can still be fetched by key.
const keyedRunExtension = 10 * time.Second

// localCall is a call to the local upstream, queued or running.
type localCall struct {
	id            call.ID
	req           call.Request
	started       time.Time
	running       bool
	cancelled     bool // the peer that sent the call no longer waits for the reply
	fenced        bool // the idempotency key is already fenced
	token         string
	credit        retry.Credit
	subCalls      map[call.ID]*entryCall // in flight
	subCallStates map[subCallID]*subCall
	// waited is the total time during which at least one sub-call was in flight.
	// If one is in flight now, it does not include the time since waitingSince.
	waited       time.Duration
	waitingSince time.Time
	// subCallThreshold is the highest admission threshold in replies to sub-calls.
	subCallThreshold call.Rank
	duplicates       []duplicate
}

// subCallID identifies an outgoing call within its parent call. The label is the
// Idempotency-Key that the upstream sent, with which it can distinguish two
// otherwise equal calls.
type subCallID struct {
	digest uint64
	label  string
}

// duplicate is a further submission of the idempotency key of a queued or
// running call. It gets the result of that call.
type duplicate struct {
	id        call.ID
	requestID string
	deadline  time.Time
	credit    int
}

// addSubCall records the start of an outgoing call.
func (local *localCall) addSubCall(now time.Time, entry *entryCall) {
	if len(local.subCalls) == 0 {
		local.waitingSince = now
	}
	local.subCalls[entry.id] = entry
}

// removeSubCall records the end of an outgoing call.
func (local *localCall) removeSubCall(now time.Time, entry *entryCall) {
	if _, inFlight := local.subCalls[entry.id]; !inFlight {
		return
	}
	delete(local.subCalls, entry.id)
	if len(local.subCalls) == 0 {
		local.waited += now.Sub(local.waitingSince)
	}
}

func (e *Engine) peerCallArrived(now time.Time, ev PeerCallArrived) {
	local := &localCall{
		id:            ev.ID,
		req:           localRequest(now, ev),
		credit:        retry.NewCredit(ev.Call.Credit),
		subCalls:      make(map[call.ID]*entryCall),
		subCallStates: make(map[subCallID]*subCall),
	}
	if local.req.Key != "" {
		e.keyedCallArrived(now, local, ev)
		return
	}
	if refusal := e.rejectNewWork(ev.Call.Service); refusal != nil {
		e.replyRefusal(now, local, refusal)
		return
	}
	e.offer(now, local)
}

func localRequest(now time.Time, ev PeerCallArrived) call.Request {
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

// keyedCallArrived looks up the idempotency key first: a known key is answered
// from the ledger even if this node accepts no new work.
func (e *Engine) keyedCallArrived(now time.Time, local *localCall, ev PeerCallArrived) {
	submission := e.keys.Submit(now, local.req.Key, &local.req)
	switch submission.Action {
	case idempotency.Replay:
		e.emit(AnswerPeer{ID: local.id, Reply: e.reply(now, local, local.req.RequestID, local.credit.Remaining(), submission.Answer, nil)})
	case idempotency.Wait:
		if first := e.byKey[local.req.Key]; first != nil {
			e.addDuplicate(now, first, ev)
			return
		}
		e.replyRefusal(now, local, &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.KeyUnknown})
	case idempotency.Execute:
		e.byKey[local.req.Key] = local
		e.localCalls[local.id] = local
		if refusal := e.rejectNewWork(local.req.Service); refusal != nil {
			e.rejectLocal(now, local, refusal)
			return
		}
		e.offer(now, local)
	default:
		e.replyRefusal(now, local, submission.Refusal)
	}
}

// offer passes a call to the admission controller.
func (e *Engine) offer(now time.Time, local *localCall) {
	e.localCalls[local.id] = local
	decisions := e.admission.Offer(now, &local.req)
	if !hasDecision(decisions, local.id) {
		e.emit(e.localRecord(local, DecisionQueue, "wait-for-slot"))
	}
	e.applyDecisions(now, decisions)
}

func hasDecision(decisions []admit.Decision, id call.ID) bool {
	for _, d := range decisions {
		if d.ID == id {
			return true
		}
	}
	return false
}

// applyDecisions carries out decisions of the admission controller.
func (e *Engine) applyDecisions(now time.Time, decisions []admit.Decision) {
	for _, d := range decisions {
		local := e.localCalls[d.ID]
		if local == nil {
			continue
		}
		if d.Run {
			e.startRun(now, local)
			continue
		}
		refusal := verdict.Refuse(d.Reason, "")
		refusal.RetryAfter = d.RetryAfter
		e.rejectLocal(now, local, refusal)
	}
}

// startRun runs a call on the local upstream. It checks deadline and key again
// directly before the run, since the process may have been paused.
func (e *Engine) startRun(now time.Time, local *localCall) {
	remaining := local.req.Deadline.Sub(now)
	if remaining <= 0 {
		e.rejectAdmitted(now, local, verdict.Refuse(verdict.DeadlineUnmet, "the deadline passed before the request ran"))
		return
	}
	if local.req.Key != "" && !e.keys.MarkRunning(now, local.req.Key) {
		local.fenced = true
		e.rejectAdmitted(now, local, verdict.Refuse(verdict.KeyFenced, "the key was cancelled"))
		return
	}
	timeout := remaining
	if local.req.Key != "" {
		timeout += keyedRunExtension
	}
	local.running = true
	local.started = now
	local.token = e.cfg.Token()
	e.byToken[local.token] = local
	e.emit(e.localRecord(local, DecisionAdmit, "slot-free"), RunUpstream{ID: local.id, Token: local.token, Timeout: timeout})
}

// rejectAdmitted rejects a call that has just been given a slot and frees the
// slot.
func (e *Engine) rejectAdmitted(now time.Time, local *localCall, refusal *verdict.Refusal) {
	e.rejectLocal(now, local, refusal)
	e.applyDecisions(now, e.admission.Done(now, local.id, admit.Outcome{Cancelled: true}))
}

func (e *Engine) upstreamReplied(now time.Time, ev UpstreamReplied) {
	if ev.Draining {
		e.upstreamDraining(now)
	}
	local := e.localCalls[ev.ID]
	if local == nil || !local.running {
		return
	}
	decisions := e.admission.Done(now, local.id, admit.Outcome{
		Latency:   now.Sub(local.started),
		Waited:    local.waited,
		Shed:      ev.Shed,
		Cancelled: local.cancelled && local.req.Key == "",
	})
	e.finishRun(now, local, ev)
	e.applyDecisions(now, decisions)
}

func (e *Engine) finishRun(now time.Time, local *localCall, ev UpstreamReplied) {
	if ev.Shed {
		refusal := verdict.Refuse(verdict.UpstreamShed, "the upstream refused for load")
		refusal.RetryAfter = ev.RetryAfter
		if ev.MayHaveRun {
			refusal.Verdict = verdict.MayHaveRun
		}
		e.failRun(now, local, refusal)
		return
	}
	if local.req.Key != "" {
		e.keys.Finish(now, local.req.Key, ev.Answer)
	}
	e.finishLocal(now, local, ev.Answer, nil)
}

// failNotRun ends a run whose request is proven not to have run.
func (e *Engine) failNotRun(now time.Time, local *localCall, refusal *verdict.Refusal) {
	if local.req.Key != "" {
		e.keys.Reject(now, local.req.Key)
		local.fenced = true
	}
	e.rejectLocal(now, local, refusal)
}

func (e *Engine) upstreamFailed(now time.Time, ev UpstreamFailed) {
	local := e.localCalls[ev.ID]
	if local == nil || !local.running {
		return
	}
	decisions := e.admission.Done(now, local.id, admit.Outcome{
		Latency:   now.Sub(local.started),
		Waited:    local.waited,
		Failed:    !local.cancelled,
		Cancelled: local.cancelled,
	})
	refusal := &verdict.Refusal{Verdict: ev.Verdict, Reason: ev.Reason, Detail: ev.Detail}
	e.failRun(now, local, refusal)
	e.applyDecisions(now, decisions)
}

// failRun ends a run without a complete response.
func (e *Engine) failRun(now time.Time, local *localCall, refusal *verdict.Refusal) {
	if refusal.Verdict == verdict.NotRun {
		e.failNotRun(now, local, refusal)
		return
	}
	if local.req.Key != "" {
		e.keys.MarkIndeterminate(now, local.req.Key)
	}
	e.finishLocal(now, local, nil, refusal)
}

// rejectLocal rejects a call as not run. For an at-most-once call the verdict is
// final only once the key is fenced; if the key cannot be fenced, the verdict is
// MayHaveRun.
func (e *Engine) rejectLocal(now time.Time, local *localCall, refusal *verdict.Refusal) {
	final := *refusal
	if local.req.Key != "" && !local.fenced && e.keys.Fence(now, local.req.Key) != idempotency.Fenced {
		final.Verdict = verdict.MayHaveRun
	}
	e.finishLocal(now, local, nil, &final)
}

// finishLocal replies to all submissions of a call and removes its state.
func (e *Engine) finishLocal(now time.Time, local *localCall, answer *call.Answer, refusal *verdict.Refusal) {
	e.cancelSubCalls(now, local)
	delete(e.localCalls, local.id)
	delete(e.byToken, local.token)
	if local.req.Key != "" && e.byKey[local.req.Key] == local {
		delete(e.byKey, local.req.Key)
	}
	if refusal != nil {
		e.emit(e.localRefusal(local, refusal))
	}
	if !local.cancelled {
		e.emit(AnswerPeer{ID: local.id, Reply: e.reply(now, local, local.req.RequestID, local.credit.Remaining(), answer, refusal)})
	}
	for _, dup := range local.duplicates {
		delete(e.duplicateOf, dup.id)
		e.emit(AnswerPeer{ID: dup.id, Reply: e.reply(now, local, dup.requestID, dup.credit, answer, refusal)})
	}
	local.duplicates = nil
}

// replyRefusal rejects a call for which no state is kept.
func (e *Engine) replyRefusal(now time.Time, local *localCall, refusal *verdict.Refusal) {
	e.emit(
		e.localRefusal(local, refusal),
		AnswerPeer{ID: local.id, Reply: e.reply(now, local, local.req.RequestID, local.credit.Remaining(), nil, refusal)},
	)
}

func (e *Engine) reply(
	now time.Time, local *localCall, requestID string, returned int, answer *call.Answer, refusal *verdict.Refusal,
) Reply {
	r := Reply{
		RequestID:      requestID,
		Incarnation:    e.cfg.Incarnation,
		Answer:         answer,
		Refusal:        refusal,
		ReturnedCredit: returned,
		Threshold:      local.subCallThreshold,
		Leaving:        e.leaving,
	}
	if e.admission != nil {
		r.Threshold = max(r.Threshold, e.admission.Threshold(now, local.req.Caller))
		load := e.admission.Load(now)
		r.Load = route.Report{Running: load.Running, Queued: load.Queued, Limit: load.Limit}
	}
	// An upstream that cannot be reached would fail the next submission too.
	// Without a key in the reply, the caller gets one of another host.
	noNextKey := e.leaving || refusal != nil && refusal.Reason == verdict.UpstreamFailed
	if refusal != nil && refusal.Verdict == verdict.NotRun && local.req.Key != "" && !noNextKey {
		r.NextKey, _ = e.keys.Issue(now, local.req.Service, local.req.Caller)
	}
	return r
}
