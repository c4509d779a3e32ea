package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

const (
	// replyMargin is kept back from the time that a hop may use, so that its
	// refusal arrives before the caller's own deadline and is not lost.
	replyMargin = 5 * time.Millisecond

	// keyTimeout bounds one request for a key.
	keyTimeout = 500 * time.Millisecond

	// maxKeyTries is the number of hosts asked for a key before giving up.
	maxKeyTries = 3
)

// place chooses the first host of a call and sends it there.
func (e *Engine) place(now time.Time, rec *entryCall) {
	if rec.req.Key != "" {
		e.sendToOwner(now, rec, false)
		return
	}
	if e.onceOnly(rec) {
		e.requestKey(now, rec)
		return
	}
	host, reason, ok := e.pick(now, rec)
	if !ok {
		e.refuseEntry(now, rec, noUpstream(rec))
		return
	}
	e.send(now, rec, host, false, DecisionRoute, reason)
}

func noUpstream(rec *entryCall) *verdict.Refusal {
	return verdict.Refuse(verdict.NoUpstream, fmt.Sprintf("no usable upstream of service %q", rec.req.Service))
}

// pick asks the router for a host that was not tried yet.
func (e *Engine) pick(now time.Time, rec *entryCall) (member.Host, string, bool) {
	choice, ok := e.router.Pick(now, &rec.req, rec.tried)
	return choice.Host, choice.Reason, ok
}

// send starts an attempt. The deadline is checked here again, since time may
// have passed since the call was placed.
func (e *Engine) send(now time.Time, rec *entryCall, host member.Host, fresh bool, kind DecisionKind, reason string) {
	remaining := rec.req.Deadline.Sub(now)
	if remaining <= replyMargin {
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: rec.known,
			Reason:  verdict.DeadlineUnmet,
			Detail:  "no time left to send the request",
		})
		return
	}
	rec.attempt++
	rec.inFlight = true
	rec.host = host.ID
	rec.sentAt = now
	rec.lent = rec.pool.Delegate()
	if !slices.Contains(rec.tried, host.ID) {
		rec.tried = append(rec.tried, host.ID)
	}
	e.router.Sent(now, host.ID)
	e.emit(
		e.record(rec, kind, reason),
		SendCall{ID: rec.id, Attempt: rec.attempt, Host: host, Call: e.peerCall(rec, remaining), Fresh: fresh},
	)
}

func (e *Engine) peerCall(rec *entryCall, remaining time.Duration) PeerCall {
	c := PeerCall{
		RequestID:  rec.req.RequestID,
		Caller:     rec.req.Caller,
		Kind:       rec.req.Kind,
		Service:    rec.req.Service,
		Method:     rec.method,
		Path:       rec.path,
		Rank:       rec.req.Rank,
		Remaining:  remaining - replyMargin,
		Credit:     rec.lent,
		Depth:      rec.req.Depth,
		Cost:       rec.req.Cost,
		Idempotent: rec.req.Idempotent,
		Key:        rec.req.Key,
		Digest:     rec.req.Digest,
	}
	if c.Key != "" {
		c.Incarnation = e.ownerOf(c.Key).Incarnation
	}
	return c
}

// endAttempt settles the current attempt with the router.
func (e *Engine) endAttempt(now time.Time, rec *entryCall, out route.Outcome) {
	rec.inFlight = false
	out.Latency = now.Sub(rec.sentAt)
	e.router.Done(now, rec.host, out)
}

func (e *Engine) peerReplied(now time.Time, ev PeerReplied) {
	rec := e.entries[ev.ID]
	if rec == nil {
		return
	}
	if ev.Reply.RequestID != rec.req.RequestID {
		e.peerFailed(now, PeerFailed{
			ID: ev.ID, Attempt: ev.Attempt, Sent: true, Detail: "the reply belongs to another request",
		})
		return
	}
	current := rec.inFlight && ev.Attempt == rec.attempt
	if !current && ev.Reply.Answer == nil {
		return // a late refusal of an attempt that was given up
	}
	e.hearLevel(now, rec, ev.Reply.Level)
	if current {
		e.hostSpoke(now, rec.host, ev.Reply)
		e.settleReply(now, rec, ev.Reply)
	}
	if ev.Reply.Answer != nil {
		e.finishEntry(now, rec, AnswerCaller{Answer: ev.Reply.Answer})
		return
	}
	e.attemptRefused(now, rec, ev.Reply)
}

// hearLevel takes in the admission level that a reply reports.
func (e *Engine) hearLevel(now time.Time, rec *entryCall, level call.Rank) {
	e.pressure.Observe(now, rec.class, level)
	if rec.parent != nil {
		rec.parent.childLevel = max(rec.parent.childLevel, level)
	}
}

// settleReply ends the current attempt with its reply.
func (e *Engine) settleReply(now time.Time, rec *entryCall, reply Reply) {
	rec.pool.Return(rec.lent, reply.Unspent)
	report := reply.Load
	e.endAttempt(now, rec, outcomeOf(reply, &report))
	if reply.Answer != nil && reply.Answer.Status < http.StatusInternalServerError {
		e.budget.Success(now, rec.req.Service)
	}
}

// outcomeOf tells a refusal for load, which is no fault of the host, from an
// upstream that cannot be reached or does not answer completely.
func outcomeOf(reply Reply, report *route.Report) route.Outcome {
	out := route.Outcome{Refused: reply.Refusal != nil, Report: report}
	if reply.Refusal != nil && (reply.Refusal.Reason == verdict.UpstreamFailed || reply.Refusal.Reason == verdict.NotWhole) {
		out.Refused = false
		out.Failed = true
	}
	return out
}

// attemptRefused handles a refusal by the chosen host.
func (e *Engine) attemptRefused(now time.Time, rec *entryCall, reply Reply) {
	refusal := reply.Refusal
	if refusal == nil {
		refusal = &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Detail: "empty reply"}
	}
	v := refusal.Verdict
	if rec.req.Key != "" {
		v = ownerVerdict(rec, refusal)
	}
	failure := retry.Failure{Verdict: v, Reason: refusal.Reason, Idempotent: rec.req.Idempotent}
	rec.known = stronger(rec.known, v)
	// Once the owner has spoken for a key, sending it again changes nothing.
	settled := rec.req.Key != "" && (v != verdict.NotRun || !rec.ownKey)
	if !settled && e.retry(now, rec, failure) {
		return
	}
	final := *refusal
	final.Verdict = stronger(rec.known, v)
	if rec.req.Key != "" {
		final.Verdict = v
	}
	e.finishEntry(now, rec, AnswerCaller{Refusal: &final, Key: reply.NextKey})
}

// ownerVerdict judges the refusal of a once-only attempt. The owner fences a
// key before it says "not run", which settles earlier attempts too. A host
// that does not accept this node as a member has not looked the key up.
func ownerVerdict(rec *entryCall, refusal *verdict.Refusal) verdict.Verdict {
	if refusal.Verdict != verdict.NotRun {
		return stronger(rec.known, refusal.Verdict)
	}
	if refusal.Reason != verdict.NotMember && refusal.Reason != verdict.BadRequest {
		return verdict.NotRun
	}
	if rec.ownKey && !rec.keyShared() {
		return rec.known
	}
	return verdict.MayHaveRun
}

func (e *Engine) peerFailed(now time.Time, ev PeerFailed) {
	rec := e.entries[ev.ID]
	if rec == nil || !rec.inFlight || ev.Attempt != rec.attempt {
		return
	}
	e.endAttempt(now, rec, route.Outcome{Failed: true})
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.UpstreamFailed, Detail: ev.Detail}
	if ev.Sent {
		refusal.Verdict = verdict.MayHaveRun
		refusal.Reason = verdict.ConnectionLost
	}
	if ev.Timeout {
		refusal.Reason = verdict.DeadlinePassed
	}
	if rec.req.Key != "" && !rec.ownKey {
		refusal.Reason = verdict.OwnerGone
	}
	rec.known = stronger(rec.known, refusal.Verdict)
	if rec.keyShared() {
		rec.known = stronger(rec.known, verdict.MayHaveRun)
	}
	refusal.Verdict = rec.known
	failure := retry.Failure{Verdict: refusal.Verdict, Reason: refusal.Reason, Idempotent: rec.req.Idempotent}
	if !ev.Timeout && e.retry(now, rec, failure) {
		return
	}
	e.refuseEntry(now, rec, refusal)
}

// retry sends another attempt if verdict, credit, budget and time allow it.
func (e *Engine) retry(now time.Time, rec *entryCall, failure retry.Failure) bool {
	if !retryable(failure.Reason) || rec.pool.Remaining() == 0 {
		return false
	}
	if rec.req.Deadline.Sub(now) <= replyMargin+rec.req.Cost {
		return false
	}
	if rec.req.Key != "" {
		return e.retryOnce(now, rec, failure)
	}
	if !rec.req.Idempotent && rec.known != verdict.NotRun {
		return false
	}
	host, ok := e.nextHost(now, rec, failure.Reason)
	if !ok {
		return false
	}
	failure.RoomElsewhere = e.hasRoom(now, host.ID)
	if !e.budget.Allow(now, rec.req.Service, failure) || !rec.pool.Spend() {
		return false
	}
	same := host.ID == rec.host
	e.send(now, rec, host, same, DecisionRetry, string(failure.Reason))
	return true
}

// retryOnce decides on another attempt of a once-only call. After an unknown
// outcome only the owner may get it again, which recognises the key. After a
// proven "not run" of a key that only this node holds, another host may.
func (e *Engine) retryOnce(now time.Time, rec *entryCall, failure retry.Failure) bool {
	if rec.ownKey && failure.Verdict == verdict.NotRun {
		host, _, ok := e.pick(now, rec)
		if !ok {
			return false
		}
		failure.RoomElsewhere = e.hasRoom(now, host.ID)
		if !e.budget.Allow(now, rec.req.Service, failure) || !rec.pool.Spend() {
			return false
		}
		e.dropKey(rec)
		e.requestKeyFrom(now, rec, host)
		return true
	}
	if failure.Reason != verdict.ConnectionLost && failure.Reason != verdict.OwnerGone &&
		failure.Reason != verdict.UpstreamFailed {
		return false
	}
	// The owner recognises the key, so sending it again is harmless whatever
	// became of the earlier attempt.
	failure.Idempotent = true
	if !e.ownerListed(rec) || !e.budget.Allow(now, rec.req.Service, failure) || !rec.pool.Spend() {
		return false
	}
	e.sendToOwner(now, rec, true)
	return true
}

// nextHost prefers a host that was not tried. When there is none, a host with
// which only the connection failed may be tried again over a new one.
func (e *Engine) nextHost(now time.Time, rec *entryCall, reason verdict.Reason) (member.Host, bool) {
	if host, _, ok := e.pick(now, rec); ok {
		return host, true
	}
	if reason != verdict.ConnectionLost {
		return member.Host{}, false
	}
	choice, ok := e.router.Pick(now, &rec.req, nil)
	return choice.Host, ok
}

// retryable reports whether another attempt can help at all.
func retryable(reason verdict.Reason) bool {
	switch reason {
	case verdict.ConnectionLost, verdict.OwnerGone, verdict.UpstreamFailed, verdict.UpstreamShed,
		verdict.QueueFull, verdict.DeadlineUnmet, verdict.Paused, verdict.Leaving, verdict.Starting,
		verdict.NotMember, verdict.WrongService, verdict.NotWhole, verdict.NoUpstream:
		return true
	default:
		return false
	}
}
