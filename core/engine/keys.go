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
func (e *Engine) ownerListed(entry *entryCall) bool {
	_, listed := e.hosts[e.ownerOf(entry.req.Key).Host]
	return listed
}

// sendToOwner sends an at-most-once call to the owner of its key, the only
// process that may run it.
func (e *Engine) sendToOwner(now time.Time, entry *entryCall, fresh bool) {
	owner, ok := e.cfg.ParseOwner(entry.req.Key)
	if !ok {
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.KeyUnknown,
			Detail:  "the key was not issued by this system",
		})
		return
	}
	host, listed := e.hosts[owner.Host]
	if !listed {
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.OwnerUnreachable,
			Detail:  fmt.Sprintf("host %q, which owns the key, is not known here", owner.Host),
		})
		return
	}
	if host.Service != entry.req.Service {
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.KeyMismatch,
			Detail:  fmt.Sprintf("the key belongs to service %q", host.Service),
		})
		return
	}
	kind := DecisionRoute
	if entry.attempt > 0 {
		kind = DecisionRetry
	}
	e.send(now, entry, host, fresh, kind, "key-owner")
}

// requestKey requests a key from a host, either to return it to the caller or to
// make an at-most-once outgoing call with it.
func (e *Engine) requestKey(now time.Time, entry *entryCall) {
	host, _, ok := e.pickHost(now, entry)
	if !ok {
		e.rejectEntry(now, entry, noUpstream(entry))
		return
	}
	e.requestKeyFrom(now, entry, host)
}

func (e *Engine) requestKeyFrom(now time.Time, entry *entryCall, host member.Host) {
	remaining := entry.req.Deadline.Sub(now)
	if remaining <= replyMargin {
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: entry.known,
			Reason:  verdict.DeadlineUnmet,
			Detail:  "no time left to get a key",
		})
		return
	}
	entry.keyTries++
	entry.host = host.ID
	entry.tried = append(entry.tried, host.ID)
	e.emit(
		e.record(entry, DecisionRoute, "issue-key"),
		RequestKey{
			ID:      entry.id,
			Host:    host,
			Service: entry.req.Service,
			Caller:  entry.req.Caller,
			Timeout: min(keyTimeout, remaining),
		},
	)
}

func (e *Engine) keyIssued(now time.Time, ev KeyIssued) {
	entry := e.entries[ev.ID]
	if entry == nil || entry.req.Key != "" {
		return
	}
	if ev.Key == "" {
		e.keyDenied(now, entry, ev.Refusal)
		return
	}
	if entry.parent == nil && !entry.fetchesKey {
		refusal := verdict.Refuse(verdict.KeyRequired, "send the request again with this Idempotency-Key")
		e.finishEntry(now, entry, AnswerCaller{Refusal: refusal, Key: ev.Key})
		return
	}
	e.assignKey(entry, ev.Key)
	e.sendToOwner(now, entry, false)
}

// assignKey gives a call the key that was issued for it. If the same outgoing
// call was made twice concurrently, both use the key that arrived first, since two
// keys would run the request twice.
func (e *Engine) assignKey(entry *entryCall, key string) {
	entry.req.Key = key
	if entry.sub == nil {
		return
	}
	if entry.sub.key == "" {
		entry.sub.key = key
		entry.sub.shared = false
		return
	}
	entry.sub.shared = true
	entry.req.Key = entry.sub.key
	entry.known = verdict.MayHaveRun
}

// keyDenied requests a key from another host. This spends no retry credit, since
// nothing ran.
func (e *Engine) keyDenied(now time.Time, entry *entryCall, refusal *verdict.Refusal) {
	if entry.keyTries < maxKeyTries {
		if host, _, ok := e.pickHost(now, entry); ok {
			e.requestKeyFrom(now, entry, host)
			return
		}
	}
	if refusal == nil {
		refusal = noUpstream(entry)
	}
	final := *refusal
	final.Verdict = verdict.NotRun
	if final.Reason == verdict.OwnerUnreachable {
		// Without a key there is no owner that could be unreachable.
		final.Reason = verdict.NoUpstream
	}
	e.rejectEntry(now, entry, &final)
}

// keyShared reports whether another outgoing call may have submitted the key.
func (entry *entryCall) keyShared() bool {
	return entry.sub != nil && entry.sub.shared && entry.sub.key == entry.req.Key
}

// discardKey removes a key that is proven never to run from the call.
func (e *Engine) discardKey(entry *entryCall) {
	e.discardSubCallKey(entry)
	entry.req.Key = ""
	entry.known = verdict.NotRun
}

// discardSubCallKey makes a retry of an outgoing call get another key, after the
// key of this attempt was proven never to run. A key that a concurrent retry has
// obtained since is kept.
func (e *Engine) discardSubCallKey(entry *entryCall) {
	if entry.sub != nil && entry.sub.key == entry.req.Key {
		entry.sub.key = ""
	}
}

// keyRequested issues a key of this node.
func (e *Engine) keyRequested(now time.Time, ev KeyRequested) {
	if refusal := e.rejectNewWork(ev.Service); refusal != nil {
		e.emit(AnswerKey{ID: ev.ID, Refusal: refusal})
		return
	}
	key, refusal := e.keys.Issue(now, ev.Service, ev.Caller)
	e.emit(AnswerKey{ID: ev.ID, Key: key, Refusal: refusal})
}

// rejectNewWork returns the refusal of new work for a service, or nil if this
// node accepts it.
func (e *Engine) rejectNewWork(service string) *verdict.Refusal {
	switch {
	case e.policy == nil || e.admission == nil:
		return verdict.Refuse(verdict.Starting, "no configuration in force yet")
	case service != e.cfg.Service:
		return verdict.Refuse(verdict.WrongService, fmt.Sprintf("this host serves %q", e.cfg.Service))
	case e.leaving:
		return verdict.Refuse(verdict.Leaving, "this host takes no new work")
	}
	return nil
}

// keyQueried answers a query about a key of this node. Fencing the key of a
// queued call rejects the call.
func (e *Engine) keyQueried(now time.Time, ev KeyQueried) {
	state, answer := e.keys.Query(now, ev.Key, ev.Caller)
	if ev.Fence && (state == idempotency.Unseen || state == idempotency.Queued) {
		state = e.fence(now, ev.Key)
	}
	e.emit(AnswerKeyState{ID: ev.ID, State: state, Answer: answer})
}

// fence bars a key from ever running and rejects its queued submissions.
func (e *Engine) fence(now time.Time, key string) idempotency.State {
	state := e.keys.Fence(now, key)
	local := e.byKey[key]
	if state != idempotency.Fenced || local == nil || local.running {
		return state
	}
	local.fenced = true
	decisions := e.admission.Cancel(now, local.id)
	e.rejectLocal(now, local, verdict.Refuse(verdict.KeyFenced, "the key was cancelled"))
	e.applyDecisions(now, decisions)
	return state
}

// addDuplicate attaches a further submission of a key to the call that is queued
// or running.
func (e *Engine) addDuplicate(now time.Time, local *localCall, ev PeerCallArrived) {
	local.duplicates = append(local.duplicates, duplicate{
		id:        ev.ID,
		requestID: ev.Call.RequestID,
		deadline:  now.Add(ev.Call.Remaining),
		credit:    ev.Call.Credit,
	})
	e.duplicateOf[ev.ID] = local
}

// removeDuplicate detaches a further submission of a key.
func (e *Engine) removeDuplicate(id call.ID, local *localCall) {
	delete(e.duplicateOf, id)
	local.duplicates = slices.DeleteFunc(local.duplicates, func(dup duplicate) bool { return dup.id == id })
}

// expireDuplicates replies to further submissions whose own deadline has passed
// while the call with their key is queued or running.
func (e *Engine) expireDuplicates(now time.Time) {
	for _, id := range sortedIDs(e.duplicateOf) {
		local := e.duplicateOf[id]
		i := slices.IndexFunc(local.duplicates, func(dup duplicate) bool { return dup.id == id })
		if now.Before(local.duplicates[i].deadline) {
			continue
		}
		dup := local.duplicates[i]
		e.removeDuplicate(id, local)
		e.emit(AnswerPeer{ID: id, Reply: e.reply(now, local, dup.requestID, dup.credit, nil, &verdict.Refusal{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.DeadlinePassed,
			Detail:  "the key is still " + e.keyState(now, local),
		})})
	}
}

func (e *Engine) keyState(now time.Time, local *localCall) string {
	state, _ := e.keys.Query(now, local.req.Key, local.req.Caller)
	return state.String()
}
