package history

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// answerMargin is how long after its deadline a call may still be answered: the
// engine's grace period of two ticks, up to one tick until the engine checks the
// deadline, and some slack.
const answerMargin = 170 * time.Millisecond

// rootRequest holds the retry credit of a caller's request and the extra
// attempts made for it in the whole call tree.
type rootRequest struct {
	credit int
	extra  int
}

// checker records what callers and upstreams observe and keeps the first
// violation of an invariant.
type checker struct {
	sim                *simulation
	violation          string
	openCalls          int
	entries            []*entryCall
	atMostOnceRequests []*atMostOnceRequest
	keyRuns            map[string]int
	notRun             map[string]string // kind of recipient of the report, by key reported as not run
}

func (c *checker) init(sim *simulation) {
	c.sim = sim
	c.keyRuns = map[string]int{}
	c.notRun = map[string]string{}
}

func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
		c.sim.trace("VIOLATION %s", c.violation)
	}
}

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.fail(format, args...)
	}
}

func (c *checker) opened(e *entryCall) {
	c.openCalls++
	c.entries = append(c.entries, e)
	c.sim.stats.Calls++
}

// arrived determines the deadline and the retry credit of a call.
func (c *checker) arrived(e *entryCall) {
	now := c.sim.now
	kind := c.sim.policy.Match(e.spec.Service, e.spec.Method, e.spec.Path)
	identified := e.parent != nil && e.n.runs[e.parent.id] != nil && e.spec.Token == e.n.runs[e.parent.id].token
	switch {
	case e.spec.Egress && identified:
		e.deadline = e.parent.arrivedAt + e.parent.attempt.call.Remaining
		e.root = e.parent.attempt.entry.root
		e.parent.children = append(e.parent.children, e)
	case e.spec.Egress:
		e.parent = nil
		e.deadline = now + time.Second
		e.root = &rootRequest{}
	default:
		e.deadline = now + kind.Deadline
		e.root = &rootRequest{credit: c.retryCredit(e, kind.ExtraAttempts)}
	}
	if e.spec.Timeout > 0 {
		e.deadline = min(e.deadline, now+e.spec.Timeout)
	}
	// The upstream of an at-most-once run may make calls after the run's deadline.
	c.sim.at(max(e.deadline, now)+answerMargin, func() { c.checkDeadline(e) })
}

// retryCredit returns the retry credit of a request: zero if the entry node can
// recognise the request as a retry, otherwise extra.
func (c *checker) retryCredit(e *entryCall, extra int) int {
	if !e.n.configured {
		return 0 // rejected before the node records it, so that a retry gets the credit
	}
	id := e.spec.Caller + "/" + e.spec.RequestID
	if c.sim.now < e.n.recent[id] {
		return 0
	}
	e.n.recent[id] = e.deadline
	if e.spec.Retry {
		return 0
	}
	return extra
}

// peerArrived schedules the deadline check of a call at the node in front of its
// upstream.
func (c *checker) peerArrived(p *peerCall) {
	c.sim.at(p.arrivedAt+p.attempt.call.Remaining+answerMargin, func() { c.checkPeerDeadline(p) })
}

// checkPeerDeadline requires that a call whose deadline has passed is answered,
// cancelled or running.
func (c *checker) checkPeerDeadline(p *peerCall) {
	if p.answers > 0 || p.cancelled || p.generation != p.n.generation || p.n.runs[p.id] != nil {
		return
	}
	if latest := p.n.pausedUntil + answerMargin; c.sim.now < latest {
		c.sim.at(latest, func() { c.checkPeerDeadline(p) })
		return
	}
	c.fail("%s holds peer call %d past its deadline", p.n.host.ID, p.id)
}

// observeLeaving records that a reply announces its host as leaving. It ignores
// replies to calls that have ended, since the engine cannot tell which host sent
// them, and replies before the engine has handled the end of a pause, which may
// end calls too.
func (c *checker) observeLeaving(a *attempt, reply engine.Reply) {
	current := a.entry.answers == 0 && a.entry.sends == a.id.attempt && a.open && !a.from.resumePending
	if reply.Leaving && current && reply.RequestID == a.call.RequestID {
		a.from.leaving[a.to.host.ID] = max(a.from.leaving[a.to.host.ID], reply.Incarnation)
	}
}

// requireNotLeaving requires that no new work is sent to a host that has
// announced to n that it is leaving.
func (c *checker) requireNotLeaving(n *node, h member.Host) {
	leaving, announced := n.leaving[h.ID]
	c.require(!announced || h.Incarnation > leaving, "%s sends new work to %s, which is leaving", n.host.ID, h.ID)
}

func (c *checker) checkDeadline(e *entryCall) {
	if e.answers > 0 || e.abandoned {
		return
	}
	if latest := e.n.pausedUntil + answerMargin; c.sim.now < latest {
		c.sim.at(latest, func() { c.checkDeadline(e) })
		return
	}
	c.fail("call %d at %s not answered by its deadline", e.id, e.n.host.ID)
}

// abandon marks the unanswered calls of a crashed node.
func (c *checker) abandon(n *node) {
	for _, e := range c.entries {
		if e.n != n || e.answers > 0 || e.abandoned {
			continue
		}
		e.abandoned = true
		c.openCalls--
		if e.onCrash != nil {
			c.sim.after(time.Millisecond, e.onCrash)
		}
	}
}

func (c *checker) answered(n *node, a engine.AnswerCaller) {
	e := n.entries[uint64(a.ID)]
	if e == nil {
		c.fail("%s answers call %d, which it never received", n.host.ID, a.ID)
		return
	}
	e.answers++
	c.require(e.answers == 1, "call %d at %s answered twice", e.id, n.host.ID)
	c.require((a.Answer == nil) != (a.Refusal == nil), "call %d at %s must get either an answer or a refusal", e.id, n.host.ID)
	if c.violation != "" {
		return
	}
	c.openCalls--
	if a.Answer != nil {
		c.sim.stats.Answered++
		c.checkAnswer(e, string(a.Answer.Body))
		if e.parent != nil && a.Answer.Status < http.StatusInternalServerError {
			e.parent.sub(e).answered++
		}
	}
	if a.Refusal != nil && a.Refusal.Verdict == verdict.NotRun {
		c.sim.stats.ReportedNotRun++
		e.reportedNotRun = true
		c.require(e.runs == 0, "call %d at %s ran but was reported as not run", e.id, n.host.ID)
		c.reportNotRun(e.spec.Key, "call", n)
	}
	if e.spec.Egress {
		n.afterUnlessCrashed(time.Millisecond, func() { e.onAnswer(a) })
		return
	}
	c.sim.after(time.Millisecond, func() { e.onAnswer(a) })
}

// checkAnswer checks that an answer is complete and belongs to the request.
func (c *checker) checkAnswer(e *entryCall, text string) {
	fields := strings.Split(text, "|")
	if len(fields) != 6 || fields[5] != "end" {
		c.fail("call %d at %s got a truncated answer", e.id, e.n.host.ID)
		return
	}
	caller, requestID := e.spec.Caller, e.spec.RequestID
	if e.parent != nil {
		caller, requestID = e.parent.attempt.call.Caller, e.parent.attempt.call.RequestID
	}
	key := fields[3]
	matches := fields[0] == caller && fields[1] == fmt.Sprint(e.spec.Digest)
	if key == "" {
		matches = matches && fields[2] == requestID
	} else {
		matches = matches && e.keysSent[key]
	}
	c.require(matches, "call %d at %s (%s %d %s) got the answer %s",
		e.id, e.n.host.ID, caller, e.spec.Digest, requestID, text)
}

// reportNotRun records that a key was reported as not run, and requires that it
// has not run; who is the kind of recipient of the report.
func (c *checker) reportNotRun(key, who string, n *node) {
	if key == "" {
		return
	}
	c.notRun[key] = who
	c.require(c.keyRuns[key] == 0, "%s reported to a %s that a key did not run, but it ran: %s", n.host.ID, who, key)
}

func (c *checker) checkKeyState(key, caller string, s engine.AnswerKeyState) {
	switch s.State {
	case idempotency.Fenced:
		c.sim.stats.Fences++
		c.reportNotRun(key, "question", c.sim.nodes[0])
	case idempotency.Done:
		c.require(c.keyRuns[key] == 1, "key reported as done has not run exactly once: %s", key)
		if s.Answer != nil {
			body := string(s.Answer.Body)
			matches := strings.HasPrefix(body, caller+"|") && strings.Contains(body, "|"+key+"|")
			c.require(matches, "a query for a key of %s got the answer %s", caller, body)
		}
	}
}

// checkFenced requires that no call with a fenced key is still waiting.
func (c *checker) checkFenced(n *node, key string, s engine.AnswerKeyState) {
	if s.State != idempotency.Fenced {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		waits := p.attempt.call.Key == key && p.answers == 0 && !p.cancelled
		c.require(!waits, "%s holds peer call %d, whose key is fenced", n.host.ID, id)
	}
}

// onSend counts an attempt against the retry credit of the caller's request.
func (c *checker) onSend(a *attempt) {
	e := a.entry
	if e == nil || e.answers > 0 || e.abandoned {
		c.fail("%s sends attempt %v of a call that is not open", a.from.host.ID, a.id)
		return
	}
	c.require(a.call.Remaining > 0, "attempt %v at %s is sent with no time left", a.id, a.from.host.ID)
	if c.isExtra(e) {
		e.root.extra++
		c.sim.stats.ExtraAttempts++
	}
	if a.call.Key != "" {
		e.keysSent[a.call.Key] = true
	}
	c.require(e.root.extra <= e.root.credit, "%d extra attempts for a request with a retry credit of %d (call %d at %s)",
		e.root.extra, e.root.credit, e.id, e.n.host.ID)
}

// isExtra counts an attempt and reports whether it is a retry of an earlier one.
// A sub-call that was answered without a server error may be made again as a new
// request.
func (c *checker) isExtra(e *entryCall) bool {
	e.sends++
	if e.sends > 1 || e.parent == nil {
		return e.sends > 1
	}
	sub := e.parent.sub(e)
	if sub.requests > sub.answered {
		return true
	}
	sub.requests++
	return false
}

// checkStart checks a run before it reaches the upstream.
func (c *checker) checkStart(r *run, a engine.RunUpstream) {
	n, p := r.n, r.peer
	if p == nil || n.runs[p.id] != nil || p.answers > 0 {
		c.fail("%s runs call %d, which is unknown, already running or already answered", n.host.ID, a.ID)
		return
	}
	c.require(a.Timeout > 0, "call %d at %s runs without a positive timeout", a.ID, n.host.ID)
	c.require(c.sim.now <= p.arrivedAt+p.attempt.call.Remaining, "call %d at %s runs after its deadline", a.ID, n.host.ID)
	c.require(!n.draining || p.arrivedAt <= n.drainedAt, "%s starts a call that arrived after draining began", n.host.ID)
}

// onRun counts a run that reached the upstream and checks that it was allowed.
func (c *checker) onRun(p *peerCall) {
	c.sim.stats.Runs++
	e, key := p.attempt.entry, p.attempt.call.Key
	e.runs++
	c.require(!e.reportedNotRun, "call %d at %s runs after it was reported as not run", e.id, e.n.host.ID)
	if key != "" {
		c.sim.stats.AtMostOnceRuns++
		c.keyRuns[key]++
		c.require(c.keyRuns[key] == 1, "key ran twice: %s", key)
		c.require(c.notRun[key] == "", "key ran after a %s got the report that it did not run: %s", c.notRun[key], key)
	}
	if e.spec.Path == notePath {
		c.require(e.runs == 1, "call %d at %s, which is not idempotent, ran twice", e.id, e.n.host.ID)
	}
	if e.parent != nil && e.spec.Path == appendPath {
		sub := e.parent.sub(e)
		sub.atMostOnceRuns++
		c.require(sub.atMostOnceRuns == 1, "at-most-once sub-call of call %d at %s ran twice", e.parent.id, e.n.host.ID)
	}
}

func (c *checker) peerAnswered(p *peerCall, reply engine.Reply) {
	if p == nil {
		c.fail("reply to a peer call that never arrived")
		return
	}
	p.answers++
	c.require(p.answers == 1, "%s replies twice to call %d", p.n.host.ID, p.id)
	c.require((reply.Answer == nil) != (reply.Refusal == nil), "%s must reply with either an answer or a refusal to call %d", p.n.host.ID, p.id)
	c.require(reply.RequestID == p.attempt.call.RequestID, "%s sends the request id of another request in its reply to call %d", p.n.host.ID, p.id)
	for _, e := range p.children {
		c.require(e.answers == 1, "call %d at %s is unanswered at the end of the run that made it", e.id, e.n.host.ID)
	}
	if reply.Refusal != nil && reply.Refusal.Verdict == verdict.NotRun {
		c.reportNotRun(p.attempt.call.Key, "node", p.n)
	}
	if reply.Answer != nil && p.attempt.call.Key != "" && p.n.runs[p.id] == nil && p.attempt.entry.runs == 0 {
		c.sim.stats.Replays++
	}
}

// checkEnd checks what must hold when the simulation has ended.
func (c *checker) checkEnd() {
	if c.violation != "" {
		return
	}
	for _, e := range c.entries {
		c.require(e.answers == 1 || e.abandoned, "call %d at %s answered %d times", e.id, e.n.host.ID, e.answers)
		for _, key := range slices.Sorted(maps.Keys(e.keysSent)) {
			c.require(!e.reportedNotRun || c.keyRuns[key] == 0, "call %d at %s ran but was reported as not run", e.id, e.n.host.ID)
		}
	}
	for i, a := range c.atMostOnceRequests {
		runs := 0
		for _, key := range a.keys {
			runs += c.keyRuns[key]
		}
		c.require(runs <= 1, "at-most-once request %d ran %d times under %d keys", i, runs, len(a.keys))
	}
	for _, n := range c.sim.nodes {
		c.checkNodeEnd(n)
	}
}

func (c *checker) checkNodeEnd(n *node) {
	if !n.up {
		return
	}
	stats := n.eng.Stats(n.clock())
	c.require(n.eng.Idle(), "%s is not idle: %d calls, %d runs", n.host.ID, stats.Calls, stats.Runs)
	c.require(stats.Load.Running == 0 && stats.Load.Queued == 0, "%s still has running or queued calls: %+v", n.host.ID, stats.Load)
	if c.sim.opt.Records != nil {
		c.require(c.sim.opt.Records(n.eng) == 0, "%s still holds records of %d ended calls", n.host.ID, c.sim.opt.Records(n.eng))
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		if key := p.attempt.call.Key; key != "" {
			state, _ := n.keys.Query(n.clock(), key, p.attempt.call.Caller)
			c.require(state != idempotency.Queued && state != idempotency.Running, "%s still has a key in state %v: %s", n.host.ID, state, key)
		}
		c.require(p.answers == 1 || p.cancelled, "%s answered peer call %d %d times", n.host.ID, id, p.answers)
	}
}
