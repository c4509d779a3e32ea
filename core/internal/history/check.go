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

// answerMargin is how long after its deadline a call may be answered: the
// engine's grace of two ticks, one tick until it looks, and some slack.
const answerMargin = 170 * time.Millisecond

// root is a caller's request at its entry node, with the extra attempts made
// for it in the whole call tree.
type root struct {
	grant int
	extra int
}

// checker records what callers and upstreams observe and keeps the first
// violation.
type checker struct {
	w         *world
	violation string
	openCalls int
	entries   []*entry
	actions   []*action
	keyRuns   map[string]int
	notRun    map[string]string // keys that somebody was told did not run, and who
}

func (c *checker) init(w *world) {
	c.w = w
	c.keyRuns = map[string]int{}
	c.notRun = map[string]string{}
}

func (c *checker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
		c.w.trace("VIOLATION %s", c.violation)
	}
}

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.fail(format, args...)
	}
}

func (c *checker) opened(e *entry) {
	c.openCalls++
	c.entries = append(c.entries, e)
	c.w.stats.Calls++
}

// arrived determines the deadline and the retry grant of a call.
func (c *checker) arrived(e *entry) {
	now := c.w.now
	kind := c.w.policy.Match(e.spec.Service, e.spec.Method, e.spec.Path)
	known := e.parent != nil && e.n.runs[e.parent.id] != nil && e.spec.Token == e.n.runs[e.parent.id].token
	switch {
	case e.spec.Egress && known:
		e.deadline = e.parent.arrivedAt + e.parent.attempt.call.Remaining
		e.root = e.parent.attempt.entry.root
		e.parent.children = append(e.parent.children, e)
	case e.spec.Egress:
		e.parent = nil
		e.deadline = now + time.Second
		e.root = &root{}
	default:
		e.deadline = now + kind.Deadline
		e.root = &root{grant: c.grant(e, kind.ExtraAttempts)}
	}
	if e.spec.Timeout > 0 {
		e.deadline = min(e.deadline, now+e.spec.Timeout)
	}
	// The upstream of a once-only run may call after the run's deadline.
	c.w.at(max(e.deadline, now)+answerMargin, func() { c.overdue(e) })
}

// grant is zero for a repeat that the entry node can recognise.
func (c *checker) grant(e *entry, extra int) int {
	if !e.n.configured {
		return 0 // refused before it is remembered; a repeat gets the grant
	}
	id := e.spec.Caller + "/" + e.spec.RequestID
	if c.w.now < e.n.recent[id] {
		return 0
	}
	e.n.recent[id] = e.deadline
	if e.spec.Retry {
		return 0
	}
	return extra
}

// peerArrived starts the clock of a call at its guard.
func (c *checker) peerArrived(p *peerCall) {
	c.w.at(p.arrivedAt+p.attempt.call.Remaining+answerMargin, func() { c.peerOverdue(p) })
}

// peerOverdue requires that a call that is not running has been answered.
func (c *checker) peerOverdue(p *peerCall) {
	if p.answers > 0 || p.cancelled || p.epoch != p.n.epoch || p.n.runs[p.id] != nil {
		return
	}
	if latest := p.n.pausedUntil + answerMargin; c.w.now < latest {
		c.w.at(latest, func() { c.peerOverdue(p) })
		return
	}
	c.fail("%s holds peer call %d past its deadline", p.n.host.ID, p.id)
}

// heard notes that a host said that it is leaving. The engine cannot tell which
// host sent a reply to a call that it has ended, as it may when it wakes.
func (c *checker) heard(a *attempt, reply engine.Reply) {
	current := a.entry.answers == 0 && a.entry.sends == a.id.attempt && a.open && !a.from.woke
	if reply.Leaving && current && reply.RequestID == a.call.RequestID {
		a.from.left[a.to.host.ID] = max(a.from.left[a.to.host.ID], reply.Incarnation)
	}
}

// staysAway requires that new work avoids a host that said it is leaving.
func (c *checker) staysAway(n *node, h member.Host) {
	left, said := n.left[h.ID]
	c.require(!said || h.Incarnation > left, "%s sends new work to %s, which is leaving", n.host.ID, h.ID)
}

func (c *checker) overdue(e *entry) {
	if e.answers > 0 || e.abandoned {
		return
	}
	if latest := e.n.pausedUntil + answerMargin; c.w.now < latest {
		c.w.at(latest, func() { c.overdue(e) })
		return
	}
	c.fail("call %d at %s not answered by its deadline", e.id, e.n.host.ID)
}

// abandon drops the calls of a crashed node.
func (c *checker) abandon(n *node) {
	for _, e := range c.entries {
		if e.n != n || e.answers > 0 || e.abandoned {
			continue
		}
		e.abandoned = true
		c.openCalls--
		if e.onBreak != nil {
			c.w.after(time.Millisecond, e.onBreak)
		}
	}
}

func (c *checker) answered(n *node, a engine.AnswerCaller) {
	e := n.entries[uint64(a.ID)]
	if e == nil {
		c.fail("%s answers call %d, which it never got", n.host.ID, a.ID)
		return
	}
	e.answers++
	c.require(e.answers == 1, "call %d at %s answered twice", e.id, n.host.ID)
	c.require((a.Answer == nil) != (a.Refusal == nil), "call %d at %s needs an answer or a refusal", e.id, n.host.ID)
	if c.violation != "" {
		return
	}
	c.openCalls--
	if a.Answer != nil {
		c.w.stats.Answered++
		c.ownAnswer(e, string(a.Answer.Body))
		if e.parent != nil && a.Answer.Status < http.StatusInternalServerError {
			e.parent.sub(e).answered++
		}
	}
	if a.Refusal != nil && a.Refusal.Verdict == verdict.NotRun {
		c.w.stats.Told++
		e.toldNot = true
		c.require(e.runs == 0, "call %d at %s ran but was reported as not run", e.id, n.host.ID)
		c.told(e.spec.Key, "call", n)
	}
	if e.spec.Egress {
		n.later(time.Millisecond, func() { e.onAnswer(a) })
		return
	}
	c.w.after(time.Millisecond, func() { e.onAnswer(a) })
}

// ownAnswer checks that an answer is whole and belongs to the request.
func (c *checker) ownAnswer(e *entry, text string) {
	fields := strings.Split(text, "|")
	if len(fields) != 6 || fields[5] != "end" {
		c.fail("call %d at %s got a cut answer", e.id, e.n.host.ID)
		return
	}
	caller, requestID := e.spec.Caller, e.spec.RequestID
	if e.parent != nil {
		caller, requestID = e.parent.attempt.call.Caller, e.parent.attempt.call.RequestID
	}
	key := fields[3]
	same := fields[0] == caller && fields[1] == fmt.Sprint(e.spec.Digest)
	if key == "" {
		same = same && fields[2] == requestID
	} else {
		same = same && e.keys[key]
	}
	c.require(same, "call %d at %s (%s %d %s) got the answer %s",
		e.id, e.n.host.ID, caller, e.spec.Digest, requestID, text)
}

// told records that somebody was told that a key did not run.
func (c *checker) told(key, who string, n *node) {
	if key == "" {
		return
	}
	c.notRun[key] = who
	c.require(c.keyRuns[key] == 0, "%s told a %s that a key did not run, but it ran: %s", n.host.ID, who, key)
}

func (c *checker) state(key, caller string, s engine.AnswerKeyState) {
	switch s.State {
	case idempotency.Fenced:
		c.w.stats.Fences++
		c.told(key, "question", c.w.nodes[0])
	case idempotency.Done:
		c.require(c.keyRuns[key] == 1, "a key is done that never ran: %s", key)
		if s.Answer != nil {
			body := string(s.Answer.Body)
			own := strings.HasPrefix(body, caller+"|") && strings.Contains(body, "|"+key+"|")
			c.require(own, "a question about a key of %s got the answer %s", caller, body)
		}
	}
}

// fenced requires that a fenced key holds no queue place.
func (c *checker) fenced(n *node, key string, s engine.AnswerKeyState) {
	if s.State != idempotency.Fenced {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		waits := p.attempt.call.Key == key && p.answers == 0 && !p.cancelled
		c.require(!waits, "%s holds peer call %d, whose key is fenced", n.host.ID, id)
	}
}

// sent counts an attempt against the grant of the caller's request.
func (c *checker) sent(a *attempt) {
	e := a.entry
	if e == nil || e.answers > 0 || e.abandoned {
		c.fail("%s sends attempt %v of a call that is not open", a.from.host.ID, a.id)
		return
	}
	c.require(a.call.Remaining > 0, "attempt %v at %s has no time left", a.id, a.from.host.ID)
	if c.extra(e) {
		e.root.extra++
		c.w.stats.Extra++
	}
	if a.call.Key != "" {
		e.keys[a.call.Key] = true
	}
	c.require(e.root.extra <= e.root.grant, "%d extra attempts for a request with a grant of %d (call %d at %s)",
		e.root.extra, e.root.grant, e.id, e.n.host.ID)
}

// extra counts an attempt and reports whether it repeats an earlier one. An
// outgoing call that was answered well may be made again as a new request.
func (c *checker) extra(e *entry) bool {
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

// started checks a run before it reaches the upstream.
func (c *checker) started(r *run, a engine.RunUpstream) {
	n, p := r.n, r.peer
	if p == nil || n.runs[p.id] != nil || p.answers > 0 {
		c.fail("%s runs call %d, which is unknown, running or answered", n.host.ID, a.ID)
		return
	}
	c.require(a.Timeout > 0, "call %d at %s runs without time", a.ID, n.host.ID)
	c.require(c.w.now <= p.arrivedAt+p.attempt.call.Remaining, "call %d at %s runs after its deadline", a.ID, n.host.ID)
	c.require(!n.draining || p.arrivedAt <= n.drainedAt, "%s takes new work while leaving", n.host.ID)
}

// ran counts a run that reached the upstream.
func (c *checker) ran(p *peerCall) {
	c.w.stats.Runs++
	e, key := p.attempt.entry, p.attempt.call.Key
	e.runs++
	c.require(!e.toldNot, "call %d at %s runs after it was reported as not run", e.id, e.n.host.ID)
	if key != "" {
		c.w.stats.OnceRuns++
		c.keyRuns[key]++
		c.require(c.keyRuns[key] == 1, "key ran twice: %s", key)
		c.require(c.notRun[key] == "", "key ran after a %s was told that it did not run: %s", c.notRun[key], key)
	}
	if e.spec.Path == notePath {
		c.require(e.runs == 1, "call %d at %s, which is not idempotent, ran twice", e.id, e.n.host.ID)
	}
	if e.parent != nil && e.spec.Path == appendPath {
		sub := e.parent.sub(e)
		sub.onceRuns++
		c.require(sub.onceRuns == 1, "once-only sub-call of call %d at %s ran twice", e.parent.id, e.n.host.ID)
	}
}

func (c *checker) peerAnswered(p *peerCall, reply engine.Reply) {
	if p == nil {
		c.fail("reply to a peer call that never came")
		return
	}
	p.answers++
	c.require(p.answers == 1, "%s replies twice to call %d", p.n.host.ID, p.id)
	c.require((reply.Answer == nil) != (reply.Refusal == nil), "%s replies neither or both to call %d", p.n.host.ID, p.id)
	c.require(reply.RequestID == p.attempt.call.RequestID, "%s replies for another request to call %d", p.n.host.ID, p.id)
	for _, e := range p.children {
		c.require(e.answers == 1, "call %d at %s outlives the run that made it", e.id, e.n.host.ID)
	}
	if reply.Refusal != nil && reply.Refusal.Verdict == verdict.NotRun {
		c.told(p.attempt.call.Key, "node", p.n)
	}
	if reply.Answer != nil && p.attempt.call.Key != "" && p.n.runs[p.id] == nil && p.attempt.entry.runs == 0 {
		c.w.stats.Replays++
	}
}

// end checks what must hold once nothing happens any more.
func (c *checker) end() {
	if c.violation != "" {
		return
	}
	for _, e := range c.entries {
		c.require(e.answers == 1 || e.abandoned, "call %d at %s answered %d times", e.id, e.n.host.ID, e.answers)
		for _, key := range slices.Sorted(maps.Keys(e.keys)) {
			c.require(!e.toldNot || c.keyRuns[key] == 0, "call %d at %s ran but was reported as not run", e.id, e.n.host.ID)
		}
	}
	for i, a := range c.actions {
		runs := 0
		for _, key := range a.keys {
			runs += c.keyRuns[key]
		}
		c.require(runs <= 1, "action %d ran %d times under %d keys", i, runs, len(a.keys))
	}
	for _, n := range c.w.nodes {
		c.endNode(n)
	}
}

func (c *checker) endNode(n *node) {
	if !n.up {
		return
	}
	stats := n.eng.Stats(n.clock())
	c.require(n.eng.Idle(), "%s is not idle: %d calls, %d runs", n.host.ID, stats.Calls, stats.Runs)
	c.require(stats.Load.Running == 0 && stats.Load.Queued == 0, "%s holds slots: %+v", n.host.ID, stats.Load)
	if c.w.opt.Records != nil {
		c.require(c.w.opt.Records(n.eng) == 0, "%s remembers %d ended calls", n.host.ID, c.w.opt.Records(n.eng))
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		if key := p.attempt.call.Key; key != "" {
			state, _ := n.keys.Query(n.clock(), key, p.attempt.call.Caller)
			c.require(state != idempotency.Queued && state != idempotency.Running, "%s still has a key as %v: %s", n.host.ID, state, key)
		}
		c.require(p.answers == 1 || p.cancelled, "%s answered peer call %d %d times", n.host.ID, id, p.answers)
	}
}
