package engine

import (
	"fmt"
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

func (e *Engine) ownerOf(key string) idempotency.Owner {
	owner, _ := e.cfg.ParseOwner(key)
	return owner
}

// ownerListed reports whether the owner of the call's key is a known host.
func (e *Engine) ownerListed(rec *entryCall) bool {
	_, listed := e.hosts[e.ownerOf(rec.req.Key).Host]
	return listed
}

// sendToOwner sends a once-only call to the only process that may run it.
func (e *Engine) sendToOwner(now time.Time, rec *entryCall, fresh bool) {
	owner, ok := e.cfg.ParseOwner(rec.req.Key)
	if !ok {
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.KeyUnknown,
			Detail:  "the key was not issued by this system",
		})
		return
	}
	host, listed := e.hosts[owner.Host]
	if !listed {
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.OwnerUnreachable,
			Detail:  fmt.Sprintf("host %q, which owns the key, is not known here", owner.Host),
		})
		return
	}
	if host.Service != rec.req.Service {
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.KeyMismatch,
			Detail:  fmt.Sprintf("the key belongs to service %q", host.Service),
		})
		return
	}
	kind := DecisionRoute
	if rec.attempt > 0 {
		kind = DecisionRetry
	}
	e.send(now, rec, host, fresh, kind, "key-owner")
}

// requestKey asks a host for a key: to hand it to the caller, or to make a
// once-only outgoing call with it.
func (e *Engine) requestKey(now time.Time, rec *entryCall) {
	host, _, ok := e.pick(now, rec)
	if !ok {
		e.refuseEntry(now, rec, noUpstream(rec))
		return
	}
	e.requestKeyFrom(now, rec, host)
}

func (e *Engine) requestKeyFrom(now time.Time, rec *entryCall, host member.Host) {
	remaining := rec.req.Deadline.Sub(now)
	if remaining <= replyMargin {
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: rec.known,
			Reason:  verdict.DeadlineUnmet,
			Detail:  "no time left to get a key",
		})
		return
	}
	rec.keyTries++
	rec.host = host.ID
	rec.tried = append(rec.tried, host.ID)
	e.emit(
		e.record(rec, DecisionRoute, "issue-key"),
		RequestKey{
			ID:      rec.id,
			Host:    host,
			Service: rec.req.Service,
			Caller:  rec.req.Caller,
			Timeout: min(keyTimeout, remaining),
		},
	)
}

func (e *Engine) keyIssued(now time.Time, ev KeyIssued) {
	rec := e.entries[ev.ID]
	if rec == nil || rec.req.Key != "" {
		return
	}
	if ev.Key == "" {
		e.keyDenied(now, rec, ev.Refusal)
		return
	}
	if rec.parent == nil && !rec.ownKey {
		refusal := verdict.Refuse(verdict.KeyRequired, "send the request again with this Idempotency-Key")
		e.finishEntry(now, rec, AnswerCaller{Refusal: refusal, Key: ev.Key})
		return
	}
	e.takeKey(rec, ev.Key)
	e.sendToOwner(now, rec, false)
}

// takeKey gives a call the key that was issued for it. If the same outgoing
// call was made twice at once, both use the key that came first, since two keys
// would run the action twice.
func (e *Engine) takeKey(rec *entryCall, key string) {
	rec.req.Key = key
	if rec.sub == nil {
		return
	}
	if rec.sub.key == "" {
		rec.sub.key = key
		rec.sub.shared = false
		return
	}
	rec.sub.shared = true
	rec.req.Key = rec.sub.key
	rec.known = verdict.MayHaveRun
}

// keyDenied asks another host for a key, which costs no retry credit since
// nothing ran.
func (e *Engine) keyDenied(now time.Time, rec *entryCall, refusal *verdict.Refusal) {
	if rec.keyTries < maxKeyTries {
		if host, _, ok := e.pick(now, rec); ok {
			e.requestKeyFrom(now, rec, host)
			return
		}
	}
	if refusal == nil {
		refusal = noUpstream(rec)
	}
	final := *refusal
	final.Verdict = verdict.NotRun
	if final.Reason == verdict.OwnerUnreachable {
		// There is no key yet, so no owner either.
		final.Reason = verdict.NoUpstream
	}
	e.refuseEntry(now, rec, &final)
}

// keyShared reports whether another outgoing call may have submitted the key.
func (rec *entryCall) keyShared() bool {
	return rec.sub != nil && rec.sub.shared && rec.sub.key == rec.req.Key
}

// dropKey forgets a key that is proven never to run.
func (e *Engine) dropKey(rec *entryCall) {
	e.forgetSubKey(rec)
	rec.req.Key = ""
	rec.known = verdict.NotRun
}

// forgetSubKey lets a repeat of an outgoing call get another key after this one
// was proven never to run. A key that a concurrent repeat has obtained since is
// kept.
func (e *Engine) forgetSubKey(rec *entryCall) {
	if rec.sub != nil && rec.sub.key == rec.req.Key {
		rec.sub.key = ""
	}
}

// keyRequested issues a key of this node.
func (e *Engine) keyRequested(now time.Time, ev KeyRequested) {
	if refusal := e.refuseNewWork(ev.Service); refusal != nil {
		e.emit(AnswerKey{ID: ev.ID, Refusal: refusal})
		return
	}
	key, refusal := e.keys.Issue(now, ev.Service, ev.Caller)
	e.emit(AnswerKey{ID: ev.ID, Key: key, Refusal: refusal})
}

// refuseNewWork returns the reason why this node takes no new work now.
func (e *Engine) refuseNewWork(service string) *verdict.Refusal {
	switch {
	case e.policy == nil || e.admitter == nil:
		return verdict.Refuse(verdict.Starting, "no configuration in force yet")
	case service != e.cfg.Service:
		return verdict.Refuse(verdict.WrongService, fmt.Sprintf("this host serves %q", e.cfg.Service))
	case e.leaving:
		return verdict.Refuse(verdict.Leaving, "this host takes no new work")
	}
	return nil
}

// keyAsked answers a question about a key of this node. Fencing a key that
// waits for a slot withdraws it.
func (e *Engine) keyAsked(now time.Time, ev KeyQueried) {
	state, answer := e.keys.Query(now, ev.Key, ev.Caller)
	if ev.Fence && (state == idempotency.Unseen || state == idempotency.Queued) {
		state = e.fence(now, ev.Key)
	}
	e.emit(AnswerKeyState{ID: ev.ID, State: state, Answer: answer})
}

// fence makes sure that a key never runs and refuses its submissions.
func (e *Engine) fence(now time.Time, key string) idempotency.State {
	state := e.keys.Fence(now, key)
	g := e.byKey[key]
	if state != idempotency.Fenced || g == nil || g.running {
		return state
	}
	g.fenced = true
	decisions := e.admitter.Cancel(now, g.id)
	e.refuseGuard(now, g, verdict.Refuse(verdict.KeyFenced, "the key was cancelled"))
	e.apply(now, decisions)
	return state
}

// joinKey attaches a further submission of a key to the one that runs or
// waits.
func (e *Engine) joinKey(now time.Time, g *guardCall, ev PeerCallArrived) {
	g.joined = append(g.joined, joinedCall{
		id:        ev.ID,
		requestID: ev.Call.RequestID,
		deadline:  now.Add(ev.Call.Remaining),
		credit:    ev.Call.Credit,
	})
	e.joinedTo[ev.ID] = g
}

// leaveKey detaches a further submission.
func (e *Engine) leaveKey(id call.ID, g *guardCall) {
	delete(e.joinedTo, id)
	g.joined = slices.DeleteFunc(g.joined, func(j joinedCall) bool { return j.id == id })
}

// expireJoined answers submissions whose own deadline has passed while the key
// waits or runs.
func (e *Engine) expireJoined(now time.Time) {
	for _, id := range sortedIDs(e.joinedTo) {
		g := e.joinedTo[id]
		i := slices.IndexFunc(g.joined, func(j joinedCall) bool { return j.id == id })
		if now.Before(g.joined[i].deadline) {
			continue
		}
		j := g.joined[i]
		e.leaveKey(id, g)
		e.emit(AnswerPeer{ID: id, Reply: e.reply(now, g, j.requestID, j.credit, nil, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.DeadlinePassed,
			Detail:  "the key is still " + e.keyState(now, g),
		})})
	}
}

func (e *Engine) keyState(now time.Time, g *guardCall) string {
	state, _ := e.keys.Query(now, g.req.Key, g.req.Caller)
	return state.String()
}
