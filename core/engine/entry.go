package engine

import (
	"fmt"
	"net/http"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

const (
	// expiryGrace is how long the engine waits after the deadline for a report of
	// the driver before it ends the call itself.
	expiryGrace = 2 * TickInterval

	// orphanDeadline limits an outgoing call without a known parent call.
	orphanDeadline = time.Second

	pausedReason = verdict.Paused
)

// entryCall is a call from a caller or from the local upstream. This node is its
// entry node: it chooses the host and makes the retries.
type entryCall struct {
	id        call.ID
	req       call.Request
	method    string
	path      string
	class     pressure.Class
	parent    *localCall // parent call that made this call; nil for a caller's request
	credit    *retry.Credit
	sub       *subCall // set if parent is set
	attempt   int
	inFlight  bool
	host      member.HostID // of the current attempt
	sentAt    time.Time
	delegated int
	tried     []member.HostID

	// known is the verdict on all attempts so far: NotRun until an attempt has an
	// indeterminate outcome.
	known verdict.Verdict
	// fetchesKey is set if this node requests the idempotency key from its owner,
	// so that no other node can submit the same key. It is not set for a key that
	// the caller sent.
	fetchesKey bool
	keyTries   int
}

// subCall is the state of one outgoing call of a parent call. Retries of the
// call by the local upstream share it.
type subCall struct {
	inFlight bool
	failed   bool
	key      string // idempotency key, kept for retries of an at-most-once call
	shared   bool   // more than one call has used the key
}

func (e *Engine) callArrived(now time.Time, ev CallArrived) {
	entry := &entryCall{
		id:     ev.ID,
		method: ev.Method,
		path:   ev.Path,
		known:  verdict.NotRun,
		credit: &retry.Credit{},
		req: call.Request{
			ID:        ev.ID,
			RequestID: ev.RequestID,
			Caller:    ev.Caller,
			Service:   ev.Service,
			Key:       ev.Key,
			Digest:    ev.Digest,
		},
	}
	e.entries[ev.ID] = entry
	if refusal := e.fillRequest(now, entry, ev); refusal != nil {
		e.rejectEntry(now, entry, refusal)
		return
	}
	e.sendFirst(now, entry)
}

// fillRequest completes the request from the configuration and, for an outgoing
// call, from its parent call.
func (e *Engine) fillRequest(now time.Time, entry *entryCall, ev CallArrived) *verdict.Refusal {
	if e.policy == nil {
		return verdict.Refuse(verdict.Starting, "no configuration in force yet")
	}
	if e.policy.Services[ev.Service] == nil {
		return verdict.Refuse(verdict.UnknownKind, fmt.Sprintf("service %q is not configured", ev.Service))
	}
	kind := e.policy.Match(ev.Service, ev.Method, ev.Path)
	if ev.Egress {
		return e.fillEgressRequest(now, entry, ev, kind)
	}
	return e.fillCallerRequest(now, entry, ev, kind)
}

func (e *Engine) fillCallerRequest(now time.Time, entry *entryCall, ev CallArrived, kind *policy.Kind) *verdict.Refusal {
	if kind == nil || kind.Internal {
		return verdict.Refuse(verdict.UnknownKind,
			fmt.Sprintf("no kind is configured for %s %s of service %q", ev.Method, ev.Path, ev.Service))
	}
	if e.policy.Callers[ev.Caller] == nil {
		return verdict.Refuse(verdict.UnknownCaller, fmt.Sprintf("caller %q is not configured", ev.Caller))
	}
	entry.req.Kind = kind.Name
	if e.leaving {
		return verdict.Refuse(verdict.Leaving, "this host takes no new work")
	}
	entry.req.Rank = call.NewRank(kind.Importance, kind.Worth, kind.TreeCost, ev.RequestID)
	entry.req.Deadline = now.Add(minTimeout(kind.Deadline, ev.Timeout))
	entry.req.Cost = kind.Cost
	entry.req.Idempotent = !kind.OnceOnly
	entry.class = pressure.Class{Service: ev.Service, Kind: kind.Name, Caller: ev.Caller}
	credit := retry.NewCredit(e.initialCredit(now, entry, kind, ev))
	entry.credit = &credit
	return e.shedUnderPressure(now, entry)
}

// initialCredit returns the retry credit of a caller's request. A retry gets
// none. An at-most-once request without a key only fetches a key, so the
// submission that follows is not a retry of it.
func (e *Engine) initialCredit(now time.Time, entry *entryCall, kind *policy.Kind, ev CallArrived) int {
	if kind.OnceOnly && ev.Key == "" {
		return 0
	}
	if e.recent.add(ev.Caller, ev.RequestID, now, entry.req.Deadline) || ev.Retry {
		return 0
	}
	return kind.ExtraAttempts
}

// fillEgressRequest completes the request of an outgoing call of the local
// upstream. Without a known parent call it has the lowest importance and no
// retry credit.
func (e *Engine) fillEgressRequest(now time.Time, entry *entryCall, ev CallArrived, kind *policy.Kind) *verdict.Refusal {
	entry.req.Key = ""
	entry.req.Caller = ""
	entry.req.Idempotent = idempotent(kind, ev.Method)
	if kind != nil {
		entry.req.Cost = kind.Cost
	}
	parent := e.byToken[ev.Token]
	if parent == nil {
		entry.req.Kind = call.Background.String()
		entry.req.Rank = call.NewRank(call.Background, 0, 0, ev.RequestID)
		entry.req.Deadline = now.Add(minTimeout(orphanDeadline, ev.Timeout))
		entry.class = pressure.Class{Service: ev.Service, Kind: entry.req.Kind}
		// Without a parent call a retry cannot be recognized, so an at-most-once
		// call needs a key, like a caller's request.
		entry.req.Key = ev.Key
		return e.shedUnderPressure(now, entry)
	}
	entry.parent = parent
	entry.credit = &parent.credit
	entry.req.RequestID = parent.req.RequestID
	entry.req.Caller = parent.req.Caller
	entry.req.Kind = parent.req.Kind
	entry.req.Rank = parent.req.Rank
	entry.req.Depth = parent.req.Depth + 1
	entry.req.Deadline = parent.req.Deadline
	if ev.Timeout > 0 && now.Add(ev.Timeout).Before(entry.req.Deadline) {
		entry.req.Deadline = now.Add(ev.Timeout)
	}
	entry.class = pressure.Class{Service: ev.Service, Kind: entry.req.Kind, Caller: entry.req.Caller}
	parent.addSubCall(now, entry)
	if entry.req.Depth > e.policy.Limits.MaxDepth {
		return verdict.Refuse(verdict.DepthExceeded,
			fmt.Sprintf("call chain is deeper than %d", e.policy.Limits.MaxDepth))
	}
	if parent.req.Idempotent && kind != nil && kind.OnceOnly {
		// A retry of the parent call would run on another host and make this call
		// again with a different key.
		return verdict.Refuse(verdict.BadRequest,
			fmt.Sprintf("once-only kind %q cannot be called from kind %q, which is not once-only", kind.Name, parent.req.Kind))
	}
	return e.trackSubCall(entry, ev)
}

// trackSubCall recognizes a retry of an outgoing call by the local upstream,
// which spends retry credit of the parent call.
func (e *Engine) trackSubCall(entry *entryCall, ev CallArrived) *verdict.Refusal {
	entry.fetchesKey = true
	id := subCallID{digest: ev.Digest, label: ev.Key}
	sub := entry.parent.subCallStates[id]
	if sub == nil {
		sub = &subCall{}
		entry.parent.subCallStates[id] = sub
	}
	isRetry := sub.inFlight || sub.failed
	if isRetry && !entry.credit.Spend() {
		return verdict.Refuse(verdict.RetryBound, "the retry credit of the request is spent")
	}
	sub.inFlight = true
	entry.sub = sub
	entry.req.Key = sub.key
	if sub.key != "" {
		sub.shared = true
		entry.known = verdict.MayHaveRun
	}
	return nil
}

// idempotent reports whether a call may be retried after an indeterminate
// outcome. Without a configured kind, only calls with a safe method may.
func idempotent(kind *policy.Kind, method string) bool {
	if kind != nil {
		return !kind.OnceOnly
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// atMostOnce reports whether the call needs an idempotency key.
func (e *Engine) atMostOnce(entry *entryCall) bool {
	if entry.req.Idempotent {
		return false
	}
	kind := e.policy.Match(entry.req.Service, entry.method, entry.path)
	return kind != nil && kind.OnceOnly
}

// shedUnderPressure rejects a call whose rank is below the observed admission
// threshold, before any work is done for it. A call with a key goes to the owner
// of the key whatever the threshold is, since only the owner can state "not run"
// for it; an at-most-once call is shed when it fetches its key.
func (e *Engine) shedUnderPressure(now time.Time, entry *entryCall) *verdict.Refusal {
	if entry.req.Key != "" {
		return nil
	}
	ok, retryAfter := e.pressure.Admit(now, entry.class, entry.req.Rank)
	if ok {
		return nil
	}
	refusal := verdict.Refuse(verdict.Pressure, "upstreams admit only more important requests now")
	refusal.RetryAfter = retryAfter
	return refusal
}

// rejectEntry ends a call with a refusal that this node decided on.
func (e *Engine) rejectEntry(now time.Time, entry *entryCall, refusal *verdict.Refusal) {
	refusal.Verdict = e.provableVerdict(entry, refusal.Verdict)
	e.finishEntry(now, entry, AnswerCaller{Refusal: refusal})
}

// provableVerdict limits a verdict to what this node can prove. A caller's key
// may have been submitted through another node, and a shared key by another
// call, so only the owner of the key can state "not run".
func (e *Engine) provableVerdict(entry *entryCall, claimed verdict.Verdict) verdict.Verdict {
	otherUse := !entry.fetchesKey || entry.keyShared()
	if entry.req.Key != "" && otherUse && claimed == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return stronger(entry.known, claimed)
}

// stronger combines the verdicts on two attempts: Run takes precedence over
// MayHaveRun, and MayHaveRun over NotRun.
func stronger(a, b verdict.Verdict) verdict.Verdict {
	if a == verdict.Run || b == verdict.Run {
		return verdict.Run
	}
	if a == verdict.MayHaveRun || b == verdict.MayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// finishEntry answers a call and removes its state.
func (e *Engine) finishEntry(now time.Time, entry *entryCall, answer AnswerCaller) {
	if entry.inFlight {
		e.emit(CancelAttempt{ID: entry.id, Attempt: entry.attempt})
		e.endAttempt(now, entry, route.Outcome{Cancelled: true})
	}
	delete(e.entries, entry.id)
	if entry.parent != nil {
		entry.parent.removeSubCall(now, entry)
	}
	if entry.sub != nil {
		entry.sub.inFlight = false
		entry.sub.failed = answer.Answer == nil || answer.Answer.Status >= http.StatusInternalServerError
	}
	answer.ID = entry.id
	if answer.Refusal != nil && answer.Refusal.Verdict == verdict.NotRun {
		e.discardSubCallKey(entry)
	}
	if answer.Refusal != nil {
		e.recordRefusal(entry, answer.Refusal)
	}
	e.emit(answer)
}

// expireEntries ends the calls whose deadline passed at least grace ago.
func (e *Engine) expireEntries(now time.Time, grace time.Duration) {
	for _, id := range sortedIDs(e.entries) {
		entry := e.entries[id]
		if entry == nil || now.Before(entry.req.Deadline.Add(grace)) {
			continue
		}
		if entry.inFlight {
			entry.known = stronger(entry.known, verdict.MayHaveRun)
		}
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: entry.known,
			Reason:  verdict.DeadlinePassed,
			Detail:  "no answer before the deadline",
		})
	}
}

// minTimeout returns the smaller of two durations. A requested duration of zero
// or less means that none was requested.
func minTimeout(limit, requested time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}
