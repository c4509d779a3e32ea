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
	// replyMargin is subtracted from the time that a hop may use, so that its
	// refusal arrives before the deadline of the sender and is not lost.
	replyMargin = 5 * time.Millisecond

	// keyTimeout limits one request for an idempotency key.
	keyTimeout = 500 * time.Millisecond

	// maxKeyTries is the maximum number of requests for a key per call.
	maxKeyTries = 3
)

// sendFirst makes the first attempt of a call, or requests a key for it.
func (e *Engine) sendFirst(now time.Time, entry *entryCall) {
	if entry.req.Key != "" {
		e.sendToOwner(now, entry, false)
		return
	}
	if e.atMostOnce(entry) {
		e.requestKey(now, entry)
		return
	}
	host, reason, ok := e.pickHost(now, entry)
	if !ok {
		e.rejectEntry(now, entry, noUpstream(entry))
		return
	}
	e.send(now, entry, host, false, DecisionRoute, reason)
}

func noUpstream(entry *entryCall) *verdict.Refusal {
	return verdict.Refuse(verdict.NoUpstream, fmt.Sprintf("no usable upstream of service %q", entry.req.Service))
}

// pickHost asks the router for a host that has not been tried yet.
func (e *Engine) pickHost(now time.Time, entry *entryCall) (member.Host, string, bool) {
	choice, ok := e.router.Pick(now, &entry.req, entry.tried)
	return choice.Host, choice.Reason, ok
}

// send starts an attempt. It checks the deadline again, since time may have
// passed since the call arrived.
func (e *Engine) send(now time.Time, entry *entryCall, host member.Host, fresh bool, kind DecisionKind, reason string) {
	remaining := entry.req.Deadline.Sub(now)
	if remaining <= replyMargin {
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: entry.known,
			Reason:  verdict.DeadlineUnmet,
			Detail:  "no time left to send the request",
		})
		return
	}
	entry.attempt++
	entry.inFlight = true
	entry.host = host.ID
	entry.sentAt = now
	entry.delegated = entry.credit.Delegate()
	if !slices.Contains(entry.tried, host.ID) {
		entry.tried = append(entry.tried, host.ID)
	}
	e.router.OnSent(now, host.ID)
	e.emit(
		e.record(entry, kind, reason),
		SendCall{ID: entry.id, Attempt: entry.attempt, Host: host, Call: e.peerCall(entry, remaining), Fresh: fresh},
	)
}

func (e *Engine) peerCall(entry *entryCall, remaining time.Duration) PeerCall {
	c := PeerCall{
		RequestID:  entry.req.RequestID,
		Caller:     entry.req.Caller,
		Kind:       entry.req.Kind,
		Service:    entry.req.Service,
		Method:     entry.method,
		Path:       entry.path,
		Rank:       entry.req.Rank,
		Remaining:  remaining - replyMargin,
		Credit:     entry.delegated,
		Depth:      entry.req.Depth,
		Cost:       entry.req.Cost,
		Idempotent: entry.req.Idempotent,
		Key:        entry.req.Key,
		Digest:     entry.req.Digest,
	}
	if c.Key != "" {
		c.Incarnation = e.ownerOf(c.Key).Incarnation
	}
	return c
}

// endAttempt ends the current attempt and reports its outcome to the router.
func (e *Engine) endAttempt(now time.Time, entry *entryCall, out route.Outcome) {
	entry.inFlight = false
	out.Latency = now.Sub(entry.sentAt)
	e.router.OnDone(now, entry.host, out)
}

func (e *Engine) peerReplied(now time.Time, ev PeerReplied) {
	entry := e.entries[ev.ID]
	if entry == nil {
		return
	}
	if ev.Reply.RequestID != entry.req.RequestID {
		e.peerFailed(now, PeerFailed{
			ID: ev.ID, Attempt: ev.Attempt, Sent: true, Detail: "the reply belongs to another request",
		})
		return
	}
	current := entry.inFlight && ev.Attempt == entry.attempt
	if !current && ev.Reply.Answer == nil {
		return // late refusal of an attempt that has already ended
	}
	e.observeThreshold(now, entry, ev.Reply.Threshold)
	if current {
		e.observeHost(now, entry.host, ev.Reply)
		e.completeAttempt(now, entry, ev.Reply)
	}
	if ev.Reply.Answer != nil {
		e.finishEntry(now, entry, AnswerCaller{Answer: ev.Reply.Answer})
		return
	}
	e.attemptRejected(now, entry, ev.Reply)
}

// observeThreshold records the admission threshold in a reply.
func (e *Engine) observeThreshold(now time.Time, entry *entryCall, threshold call.Rank) {
	e.pressure.Observe(now, entry.class, threshold)
	if entry.parent != nil {
		entry.parent.subCallThreshold = max(entry.parent.subCallThreshold, threshold)
	}
}

// completeAttempt ends the current attempt with its reply.
func (e *Engine) completeAttempt(now time.Time, entry *entryCall, reply Reply) {
	entry.credit.Return(entry.delegated, reply.ReturnedCredit)
	report := reply.Load
	e.endAttempt(now, entry, outcomeOf(reply, &report))
	if reply.Answer != nil && reply.Answer.Status < http.StatusInternalServerError {
		e.budget.Success(now, entry.req.Service)
	}
}

// outcomeOf returns the outcome of an attempt for the router. A refusal does not
// count as a failure of the host, except if the upstream could not be reached or
// its response was truncated.
func outcomeOf(reply Reply, report *route.Report) route.Outcome {
	out := route.Outcome{Refused: reply.Refusal != nil, Report: report}
	if reply.Refusal != nil && (reply.Refusal.Reason == verdict.UpstreamFailed || reply.Refusal.Reason == verdict.IncompleteAnswer) {
		out.Refused = false
		out.Failed = true
	}
	return out
}

// attemptRejected handles a refusal by the chosen host.
func (e *Engine) attemptRejected(now time.Time, entry *entryCall, reply Reply) {
	refusal := reply.Refusal
	if refusal == nil {
		refusal = &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Detail: "empty reply"}
	}
	v := refusal.Verdict
	if entry.req.Key != "" {
		v = ownerVerdict(entry, refusal)
	}
	failure := retry.Failure{Verdict: v, Reason: refusal.Reason, Idempotent: entry.req.Idempotent}
	entry.known = stronger(entry.known, v)
	// Once the owner has decided on a key, a retry with it gets the same verdict.
	decided := entry.req.Key != "" && (v != verdict.NotRun || !entry.fetchesKey)
	if !decided && e.retry(now, entry, failure) {
		return
	}
	final := *refusal
	final.Verdict = stronger(entry.known, v)
	if entry.req.Key != "" {
		final.Verdict = v
	}
	e.finishEntry(now, entry, AnswerCaller{Refusal: &final, Key: reply.NextKey})
}

// ownerVerdict returns the verdict that the refusal of an at-most-once attempt
// proves. The owner fences a key before it states "not run", so that the verdict
// also holds for earlier attempts. A host that does not accept this node as a
// member has not looked up the key.
func ownerVerdict(entry *entryCall, refusal *verdict.Refusal) verdict.Verdict {
	if refusal.Verdict != verdict.NotRun {
		return stronger(entry.known, refusal.Verdict)
	}
	if refusal.Reason != verdict.NotMember && refusal.Reason != verdict.BadRequest {
		return verdict.NotRun
	}
	if entry.fetchesKey && !entry.keyShared() {
		return entry.known
	}
	return verdict.MayHaveRun
}

func (e *Engine) peerFailed(now time.Time, ev PeerFailed) {
	entry := e.entries[ev.ID]
	if entry == nil || !entry.inFlight || ev.Attempt != entry.attempt {
		return
	}
	e.endAttempt(now, entry, route.Outcome{Failed: true})
	refusal := &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.UpstreamFailed, Detail: ev.Detail}
	if ev.Sent {
		refusal.Verdict = verdict.MayHaveRun
		refusal.Reason = verdict.ConnectionLost
	}
	if ev.Timeout {
		refusal.Reason = verdict.DeadlinePassed
	}
	if entry.req.Key != "" && !entry.fetchesKey {
		refusal.Reason = verdict.OwnerUnreachable
	}
	entry.known = stronger(entry.known, refusal.Verdict)
	if entry.keyShared() {
		entry.known = stronger(entry.known, verdict.MayHaveRun)
	}
	refusal.Verdict = entry.known
	failure := retry.Failure{Verdict: refusal.Verdict, Reason: refusal.Reason, Idempotent: entry.req.Idempotent}
	if !ev.Timeout && e.retry(now, entry, failure) {
		return
	}
	e.rejectEntry(now, entry, refusal)
}

// retry makes a retry if verdict, retry credit, retry budget and time allow it.
func (e *Engine) retry(now time.Time, entry *entryCall, failure retry.Failure) bool {
	if !retryable(failure.Reason) || entry.credit.Remaining() == 0 {
		return false
	}
	if entry.req.Deadline.Sub(now) <= replyMargin+entry.req.Cost {
		return false
	}
	if entry.req.Key != "" {
		return e.retryKeyed(now, entry, failure)
	}
	if !entry.req.Idempotent && entry.known != verdict.NotRun {
		return false
	}
	host, ok := e.nextHost(now, entry, failure.Reason)
	if !ok {
		return false
	}
	failure.RoomElsewhere = e.hasFreeSlot(now, host.ID)
	if !e.budget.Allow(now, entry.req.Service, failure) || !entry.credit.Spend() {
		return false
	}
	same := host.ID == entry.host
	e.send(now, entry, host, same, DecisionRetry, string(failure.Reason))
	return true
}

// retryKeyed makes a retry of an at-most-once call. After an indeterminate
// outcome the retry goes to the owner, which recognizes the key. After a proven
// "not run" of a key that only this node holds, it may go to another host.
func (e *Engine) retryKeyed(now time.Time, entry *entryCall, failure retry.Failure) bool {
	if entry.fetchesKey && failure.Verdict == verdict.NotRun {
		host, _, ok := e.pickHost(now, entry)
		if !ok {
			return false
		}
		failure.RoomElsewhere = e.hasFreeSlot(now, host.ID)
		if !e.budget.Allow(now, entry.req.Service, failure) || !entry.credit.Spend() {
			return false
		}
		e.discardKey(entry)
		e.requestKeyFrom(now, entry, host)
		return true
	}
	if failure.Reason != verdict.ConnectionLost && failure.Reason != verdict.OwnerUnreachable &&
		failure.Reason != verdict.UpstreamFailed {
		return false
	}
	// The owner recognizes the key, so a retry is safe whatever the outcome of
	// the earlier attempt.
	failure.Idempotent = true
	if !e.ownerListed(entry) || !e.budget.Allow(now, entry.req.Service, failure) || !entry.credit.Spend() {
		return false
	}
	e.sendToOwner(now, entry, true)
	return true
}

// nextHost returns the host for a retry, preferably one that has not been tried.
// If there is none and only the connection failed, a host may be tried again
// over a new connection.
func (e *Engine) nextHost(now time.Time, entry *entryCall, reason verdict.Reason) (member.Host, bool) {
	if host, _, ok := e.pickHost(now, entry); ok {
		return host, true
	}
	if reason != verdict.ConnectionLost {
		return member.Host{}, false
	}
	choice, ok := e.router.Pick(now, &entry.req, nil)
	return choice.Host, ok
}

// retryable reports whether a retry can succeed after a refusal for this reason.
func retryable(reason verdict.Reason) bool {
	switch reason {
	case verdict.ConnectionLost, verdict.OwnerUnreachable, verdict.UpstreamFailed, verdict.UpstreamShed,
		verdict.QueueFull, verdict.DeadlineUnmet, verdict.Paused, verdict.Leaving, verdict.Starting,
		verdict.NotMember, verdict.WrongService, verdict.IncompleteAnswer, verdict.NoUpstream:
		return true
	default:
		return false
	}
}
