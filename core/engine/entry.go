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
	// expiryGrace is how long after the deadline the engine waits for the
	// runtime's own report before it ends a call.
	expiryGrace = 2 * TickInterval

	// orphanDeadline bounds an outgoing call whose parent is unknown.
	orphanDeadline = time.Second

	pausedReason = verdict.Paused
)

// entryCall is a call for which this node is the entry node: it chooses the
// host and makes further attempts.
type entryCall struct {
	id       call.ID
	req      call.Request
	method   string
	path     string
	class    pressure.Class
	parent   *guardCall // the run that made this call; nil for a caller's request
	pool     *retry.Credit
	sub      *subCall // set with parent
	attempt  int
	inFlight bool
	host     member.HostID // of the current attempt
	sentAt   time.Time
	lent     int
	tried    []member.HostID

	// known is the strongest verdict so far: NotRun until an attempt had an
	// unknown outcome.
	known verdict.Verdict
	// ownKey is set when this node obtained the key itself, so that no other
	// submission of it can exist.
	ownKey   bool
	keyTries int
}

// subCall is the memory of one outgoing call of a run, by digest.
type subCall struct {
	open   bool
	failed bool
	key    string // of a once-only call, kept so that a repeat is recognised
	shared bool   // more than one call has used the key
}

func (e *Engine) callArrived(now time.Time, ev CallArrived) {
	rec := &entryCall{
		id:     ev.ID,
		method: ev.Method,
		path:   ev.Path,
		known:  verdict.NotRun,
		pool:   &retry.Credit{},
		req: call.Request{
			ID:        ev.ID,
			RequestID: ev.RequestID,
			Caller:    ev.Caller,
			Service:   ev.Service,
			Key:       ev.Key,
			Digest:    ev.Digest,
		},
	}
	e.entries[ev.ID] = rec
	if refusal := e.describe(now, rec, ev); refusal != nil {
		e.refuseEntry(now, rec, refusal)
		return
	}
	e.place(now, rec)
}

// describe fills in the request from configuration and, for an outgoing call,
// from its parent.
func (e *Engine) describe(now time.Time, rec *entryCall, ev CallArrived) *verdict.Refusal {
	if e.policy == nil {
		return verdict.Refuse(verdict.Starting, "no configuration in force yet")
	}
	if e.policy.Services[ev.Service] == nil {
		return verdict.Refuse(verdict.UnknownKind, fmt.Sprintf("service %q is not configured", ev.Service))
	}
	kind := e.policy.Match(ev.Service, ev.Method, ev.Path)
	if ev.Egress {
		return e.describeEgress(now, rec, ev, kind)
	}
	return e.describeCaller(now, rec, ev, kind)
}

func (e *Engine) describeCaller(now time.Time, rec *entryCall, ev CallArrived, kind *policy.Kind) *verdict.Refusal {
	if kind == nil || kind.Internal {
		return verdict.Refuse(verdict.UnknownKind,
			fmt.Sprintf("no kind is configured for %s %s of service %q", ev.Method, ev.Path, ev.Service))
	}
	if e.policy.Callers[ev.Caller] == nil {
		return verdict.Refuse(verdict.UnknownCaller, fmt.Sprintf("caller %q is not configured", ev.Caller))
	}
	rec.req.Kind = kind.Name
	if e.leaving {
		return verdict.Refuse(verdict.Leaving, "this host takes no new work")
	}
	rec.req.Rank = call.NewRank(kind.Importance, kind.Worth, kind.TreeCost, ev.RequestID)
	rec.req.Deadline = now.Add(shorter(kind.Deadline, ev.Timeout))
	rec.req.Cost = kind.Cost
	rec.req.Idempotent = !kind.OnceOnly
	rec.class = pressure.Class{Service: ev.Service, Kind: kind.Name, Caller: ev.Caller}
	pool := retry.NewCredit(e.grant(now, rec, kind, ev))
	rec.pool = &pool
	return e.refuseEarly(now, rec)
}

// grant returns the retry credit of a caller's request. A repeat gets none. A
// once-only request without a key only fetches one, so the submission that
// follows is not a repeat of it.
func (e *Engine) grant(now time.Time, rec *entryCall, kind *policy.Kind, ev CallArrived) int {
	if kind.OnceOnly && ev.Key == "" {
		return 0
	}
	if e.recent.add(ev.Caller, ev.RequestID, now, rec.req.Deadline) || ev.Repeat {
		return 0
	}
	return kind.ExtraAttempts
}

// describeEgress describes an outgoing call of the local upstream. Without a
// known parent it has the lowest importance and no retry credit.
func (e *Engine) describeEgress(now time.Time, rec *entryCall, ev CallArrived, kind *policy.Kind) *verdict.Refusal {
	rec.req.Key = ""
	rec.req.Caller = ""
	rec.req.Idempotent = idempotent(kind, ev.Method)
	if kind != nil {
		rec.req.Cost = kind.Cost
	}
	parent := e.byToken[ev.Token]
	if parent == nil {
		rec.req.Kind = call.Background.String()
		rec.req.Rank = call.NewRank(call.Background, 0, 0, ev.RequestID)
		rec.req.Deadline = now.Add(shorter(orphanDeadline, ev.Timeout))
		rec.class = pressure.Class{Service: ev.Service, Kind: rec.req.Kind}
		// Without a parent a repeat cannot be recognised, so that a once-only
		// call needs a key like a caller's request.
		rec.req.Key = ev.Key
		return e.refuseEarly(now, rec)
	}
	rec.parent = parent
	rec.pool = &parent.pool
	rec.req.RequestID = parent.req.RequestID
	rec.req.Caller = parent.req.Caller
	rec.req.Kind = parent.req.Kind
	rec.req.Rank = parent.req.Rank
	rec.req.Depth = parent.req.Depth + 1
	rec.req.Deadline = parent.req.Deadline
	if ev.Timeout > 0 && now.Add(ev.Timeout).Before(rec.req.Deadline) {
		rec.req.Deadline = now.Add(ev.Timeout)
	}
	rec.class = pressure.Class{Service: ev.Service, Kind: rec.req.Kind, Caller: rec.req.Caller}
	parent.callsOut(now, rec)
	if rec.req.Depth > e.policy.Limits.MaxDepth {
		return verdict.Refuse(verdict.DepthExceeded,
			fmt.Sprintf("call chain is deeper than %d", e.policy.Limits.MaxDepth))
	}
	if parent.req.Idempotent && kind != nil && kind.OnceOnly {
		// A retry of the parent would run on another host and make this call
		// again under another key.
		return verdict.Refuse(verdict.BadRequest,
			fmt.Sprintf("once-only kind %q cannot be called from kind %q, which is not once-only", kind.Name, parent.req.Kind))
	}
	return e.joinParent(rec, ev)
}

// joinParent recognises a repeat of an outgoing call under one parent, which
// counts as a retry and spends credit.
func (e *Engine) joinParent(rec *entryCall, ev CallArrived) *verdict.Refusal {
	rec.ownKey = true
	identity := subIdentity{digest: ev.Digest, label: ev.Key}
	sub := rec.parent.subs[identity]
	if sub == nil {
		sub = &subCall{}
		rec.parent.subs[identity] = sub
	}
	repeat := sub.open || sub.failed
	if repeat && !rec.pool.Spend() {
		return verdict.Refuse(verdict.RetryBound, "the retry credit of the request is spent")
	}
	sub.open = true
	rec.sub = sub
	rec.req.Key = sub.key
	if sub.key != "" {
		sub.shared = true
		rec.known = verdict.MayHaveRun
	}
	return nil
}

// idempotent decides whether a call may be sent again after an unknown
// outcome. A call of no configured kind may only if its method is safe.
func idempotent(kind *policy.Kind, method string) bool {
	if kind != nil {
		return !kind.OnceOnly
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// onceOnly reports whether the call needs a key.
func (e *Engine) onceOnly(rec *entryCall) bool {
	if rec.req.Idempotent {
		return false
	}
	kind := e.policy.Match(rec.req.Service, rec.method, rec.path)
	return kind != nil && kind.OnceOnly
}

// refuseEarly refuses a call that the levels heard from upstreams make
// hopeless, before any work is done for it. A call with a key goes to the owner
// of the key at any level, since only the owner can say "not run" for it; a
// once-only call is refused when it fetches its key.
func (e *Engine) refuseEarly(now time.Time, rec *entryCall) *verdict.Refusal {
	if rec.req.Key != "" {
		return nil
	}
	ok, retryAfter := e.pressure.Admit(now, rec.class, rec.req.Rank)
	if ok {
		return nil
	}
	refusal := verdict.Refuse(verdict.Pressure, "upstreams admit only more important requests now")
	refusal.RetryAfter = retryAfter
	return refusal
}

// refuseEntry ends a call with a refusal of this node's own making.
func (e *Engine) refuseEntry(now time.Time, rec *entryCall, refusal *verdict.Refusal) {
	refusal.Verdict = e.honestVerdict(rec, refusal.Verdict)
	e.finishEntry(now, rec, AnswerCaller{Refusal: refusal})
}

// honestVerdict limits a verdict to what is known. A caller's key may have
// been submitted through another node and a shared key by another call, so only
// its owner can say "not run".
func (e *Engine) honestVerdict(rec *entryCall, claimed verdict.Verdict) verdict.Verdict {
	elsewhere := !rec.ownKey || rec.keyShared()
	if rec.req.Key != "" && elsewhere && claimed == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return stronger(rec.known, claimed)
}

// stronger returns the verdict that admits more: Run over MayHaveRun over
// NotRun.
func stronger(a, b verdict.Verdict) verdict.Verdict {
	if a == verdict.Run || b == verdict.Run {
		return verdict.Run
	}
	if a == verdict.MayHaveRun || b == verdict.MayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// finishEntry ends a call and forgets it.
func (e *Engine) finishEntry(now time.Time, rec *entryCall, answer AnswerCaller) {
	if rec.inFlight {
		e.emit(CancelAttempt{ID: rec.id, Attempt: rec.attempt})
		e.endAttempt(now, rec, route.Outcome{Cancelled: true})
	}
	delete(e.entries, rec.id)
	if rec.parent != nil {
		rec.parent.callEnded(now, rec)
	}
	if rec.sub != nil {
		rec.sub.open = false
		rec.sub.failed = answer.Answer == nil || answer.Answer.Status >= http.StatusInternalServerError
	}
	answer.ID = rec.id
	if answer.Refusal != nil && answer.Refusal.Verdict == verdict.NotRun {
		e.forgetSubKey(rec)
	}
	if answer.Refusal != nil {
		e.recordRefusal(rec, answer.Refusal)
	}
	e.emit(answer)
}

// expireEntries ends calls whose deadline passed at least grace ago.
func (e *Engine) expireEntries(now time.Time, grace time.Duration) {
	for _, id := range sortedIDs(e.entries) {
		rec := e.entries[id]
		if rec == nil || now.Before(rec.req.Deadline.Add(grace)) {
			continue
		}
		if rec.inFlight {
			rec.known = stronger(rec.known, verdict.MayHaveRun)
		}
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: rec.known,
			Reason:  verdict.DeadlinePassed,
			Detail:  "no answer before the deadline",
		})
	}
}

// shorter returns the smaller of two durations, taking zero or less as no
// limit for the second.
func shorter(limit, asked time.Duration) time.Duration {
	if asked > 0 && asked < limit {
		return asked
	}
	return limit
}
