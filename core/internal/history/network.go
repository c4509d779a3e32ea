package history

import (
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// stallTimeout is the time after which the driver reports a stalled connection.
const stallTimeout = 300 * time.Millisecond

// network is the state of all connections.
type network struct {
	partitioned  map[[2]int]time.Duration // time of the end, by indexes of sender and receiver
	stalled      map[[2]int]time.Duration
	lossyUntil   time.Duration
	inFlight     int
	open         []*attempt
	earlierReply *engine.Reply // delivered in place of the reply to another request
}

type attemptID struct {
	id      uint64
	attempt int
}

// attempt is one call between nodes.
type attempt struct {
	from       *node
	generation int
	to         *node
	id         attemptID
	entry      *entryCall
	call       engine.PeerCall
	open       bool
	// unknownSender is set when the sender is missing in the target's host list.
	unknownSender bool
	arrived       []*peerCall
}

// peerCall is an attempt as it arrived at its target.
type peerCall struct {
	n          *node
	generation int
	id         uint64
	attempt    *attempt
	arrivedAt  time.Duration
	answers    int
	cancelled  bool
	subs       map[subCallID]*subCalls
	children   []*entryCall // sub-calls of the run
}

// subCallID identifies the sub-calls of one run that are equal.
type subCallID struct {
	digest uint64
	key    string
}

// subCalls counts the equal sub-calls of one run.
type subCalls struct {
	requests       int
	answered       int // without a server error
	atMostOnceRuns int // runs of at-most-once sub-calls
}

func (p *peerCall) sub(e *entryCall) *subCalls {
	id := subCallID{e.spec.Digest, e.spec.Key}
	if p.subs[id] == nil {
		p.subs[id] = &subCalls{}
	}
	return p.subs[id]
}

func (sim *simulation) isPartitioned(from, to *node) bool {
	return sim.now < sim.net.partitioned[[2]int{from.index, to.index}]
}

func (sim *simulation) isStalled(from, to *node) bool {
	return sim.now < sim.net.stalled[[2]int{from.index, to.index}]
}

// transmit runs deliver after a random network delay, or onLost if the message
// is lost.
func (sim *simulation) transmit(from, to *node, deliver, onLost func()) {
	delay := sim.between(500*time.Microsecond, 3*time.Millisecond)
	if sim.now < sim.net.lossyUntil {
		switch sim.rng.IntN(8) {
		case 0:
			onLost()
			return
		case 1, 2:
			delay = sim.between(time.Millisecond, 1500*time.Millisecond)
		}
	}
	if sim.isPartitioned(from, to) {
		onLost()
		return
	}
	sim.net.inFlight++
	sim.after(delay, func() {
		sim.net.inFlight--
		if sim.isPartitioned(from, to) || !to.up {
			onLost()
			return
		}
		deliver()
	})
}

func (n *node) execute(action engine.Action) {
	switch a := action.(type) {
	case engine.SendCall:
		n.sendCall(a)
	case engine.RequestKey:
		n.requestKey(a)
	case engine.RunUpstream:
		n.runUpstream(a)
	case engine.AnswerCaller:
		n.sim.check.answered(n, a)
	case engine.AnswerPeer:
		n.answerPeer(a)
	case engine.AnswerKey:
		n.answerKey(a)
	case engine.AnswerKeyState:
		n.answerState(a)
	case engine.CancelAttempt:
		n.cancelAttempt(a)
	case engine.CancelRun:
		n.cancelRun(a)
	case engine.SelfLeaving:
		n.draining, n.drainedAt = true, n.sim.now
	}
}

func (n *node) sendCall(a engine.SendCall) {
	sim := n.sim
	at := &attempt{
		from: n, generation: n.generation, to: sim.byHost[a.Host.ID],
		id: attemptID{uint64(a.ID), a.Attempt}, entry: n.entries[uint64(a.ID)], call: a.Call, open: true,
		unknownSender: sim.chance(1),
	}
	n.attempts[at.id] = at
	sim.net.open = append(sim.net.open, at)
	sim.check.onSend(at)
	if a.Call.Key == "" {
		sim.check.requireNotLeaving(n, a.Host)
	}
	if !sim.chance(3) { // in 3 % of cases the driver does not report the timeout
		at.failAfter(a.Call.Remaining, engine.PeerFailed{Sent: true, Timeout: true})
	}
	if sim.opt.Call != nil {
		sim.opt.Call(&at.call)
	}
	unreachable := !at.to.up || sim.isPartitioned(n, at.to)
	switch {
	case unreachable && sim.chance(50):
		at.failAfter(time.Millisecond, engine.PeerFailed{Sent: false, Detail: "connection refused"})
	case unreachable:
		at.failAfter(stallTimeout, engine.PeerFailed{Sent: true, Detail: "silent"})
	case sim.isStalled(n, at.to) && !a.Fresh:
		at.failAfter(stallTimeout, engine.PeerFailed{Sent: true, Detail: "silent"})
		if sim.chance(50) {
			sim.transmit(n, at.to, at.arrive, func() {})
		}
	default:
		sim.transmit(n, at.to, at.arrive, at.messageLost)
		if sim.now < sim.net.lossyUntil && a.Call.Key != "" && sim.chance(10) {
			sim.transmit(n, at.to, at.arrive, func() {})
		}
	}
}

// messageLost handles the loss of the message of an attempt: the driver reports
// a stalled connection in half of the cases, otherwise nothing before the
// deadline.
func (a *attempt) messageLost() {
	if a.from.sim.chance(50) {
		a.failAfter(stallTimeout, engine.PeerFailed{Sent: true, Detail: "silent"})
	}
}

func (a *attempt) failAfter(d time.Duration, failure engine.PeerFailed) {
	if a.from.generation != a.generation {
		return
	}
	failure.ID, failure.Attempt = call.ID(a.id.id), a.id.attempt
	a.from.post(d, func() engine.Event {
		late := !a.open && a.from.sim.now < a.from.sim.net.lossyUntil && a.from.sim.chance(30)
		if !a.open && !late {
			return nil
		}
		a.open = false
		return failure
	})
}

// arrive delivers the call to the current process of the target.
func (a *attempt) arrive() {
	n := a.to
	var deliver func() engine.Event
	deliver = func() engine.Event {
		if n.injectBefore(StepAdmit, deliver) {
			return nil
		}
		if !a.open && n.sim.chance(50) {
			return nil // the cancellation arrived before the call
		}
		if a.unknownSender {
			a.deliverReply(a.notMemberReply())
			return nil
		}
		p := &peerCall{
			n: n, generation: n.generation, id: n.nextID(), attempt: a, arrivedAt: n.sim.now,
			subs: map[subCallID]*subCalls{},
		}
		n.peers[p.id] = p
		a.arrived = append(a.arrived, p)
		n.sim.check.peerArrived(p)
		return engine.PeerCallArrived{ID: call.ID(p.id), From: a.from.host.ID, Call: a.call}
	}
	n.post(0, deliver)
}

// notMemberReply is the reply of a node whose host list lacks the sender.
func (a *attempt) notMemberReply() engine.Reply {
	return engine.Reply{
		RequestID: a.call.RequestID, ReturnedCredit: a.call.Credit,
		Refusal: verdict.Refuse(verdict.NotMember, "the sender is not on the list"),
	}
}

func (n *node) answerPeer(a engine.AnswerPeer) {
	sim := n.sim
	p := n.peers[uint64(a.ID)]
	sim.check.peerAnswered(p, a.Reply)
	at := p.attempt
	if sim.isStalled(n, at.from) {
		return
	}
	reply := a.Reply
	sim.mislead(&reply)
	if sim.opt.Reply != nil {
		sim.opt.Reply(at.call, &reply)
	}
	copies := 1
	if sim.now < sim.net.lossyUntil {
		copies += sim.rng.IntN(2)
		if sim.chance(10) && sim.net.earlierReply != nil && sim.net.earlierReply.RequestID != reply.RequestID {
			reply = *sim.net.earlierReply
		}
		sim.net.earlierReply = &a.Reply
	}
	for range copies {
		sim.transmit(n, at.from, func() { at.deliverReply(reply) }, func() {})
	}
}

// deliverReply delivers a reply to the sender of the attempt. A reply to an
// attempt that has ended is delivered in 70 % of cases, since the driver may
// already have queued it.
func (a *attempt) deliverReply(reply engine.Reply) {
	if a.from.generation != a.generation {
		return
	}
	a.from.post(0, func() engine.Event {
		if !a.open && a.from.sim.chance(30) {
			return nil
		}
		a.from.sim.check.observeLeaving(a, reply)
		a.open = false
		return engine.PeerReplied{ID: call.ID(a.id.id), Attempt: a.id.attempt, Reply: reply}
	})
}

func (n *node) cancelAttempt(c engine.CancelAttempt) {
	a := n.attempts[attemptID{uint64(c.ID), c.Attempt}]
	a.open = false
	n.sim.transmit(n, a.to, func() {
		for _, p := range a.arrived {
			p.cancel()
		}
	}, func() {})
}

func (p *peerCall) cancel() {
	if p.n.generation != p.generation {
		return
	}
	p.n.post(0, func() engine.Event {
		p.cancelled = true
		return engine.Cancelled{ID: call.ID(p.id)}
	})
}

// requestKey sends a request for an idempotency key to its host and returns the
// key to n.
func (n *node) requestKey(r engine.RequestKey) {
	sim := n.sim
	done := false
	issued := func(ev engine.KeyIssued) func() engine.Event {
		ev.ID = r.ID
		return func() engine.Event {
			if done {
				return nil
			}
			done = true
			return ev
		}
	}
	unreachable := verdict.Refuse(verdict.OwnerUnreachable, "no key in time")
	n.post(r.Timeout, issued(engine.KeyIssued{Refusal: unreachable}))
	to, generation := sim.byHost[r.Host.ID], n.generation
	sim.check.requireNotLeaving(n, r.Host)
	if !to.up {
		n.post(time.Millisecond, issued(engine.KeyIssued{Refusal: unreachable}))
		return
	}
	sim.transmit(n, to, func() {
		to.post(0, func() engine.Event {
			id := to.nextID()
			to.replies[id] = func(a engine.Action) {
				key := a.(engine.AnswerKey)
				sim.transmit(to, n, func() {
					if n.generation == generation {
						n.post(0, issued(engine.KeyIssued{Key: key.Key, Refusal: key.Refusal}))
					}
				}, func() {})
			}
			return engine.KeyRequested{ID: call.ID(id), Service: r.Service, Caller: r.Caller}
		})
	}, func() {})
}

func (n *node) answerKey(a engine.AnswerKey) { n.deliver(uint64(a.ID), a) }

func (n *node) answerState(a engine.AnswerKeyState) { n.deliver(uint64(a.ID), a) }

func (n *node) deliver(id uint64, a engine.Action) {
	reply := n.replies[id]
	if reply == nil {
		n.sim.check.fail("%s answers key request or query %d twice, or never received it", n.host.ID, id)
		return
	}
	delete(n.replies, id)
	reply(a)
}

// queryKey queries the state of a key at this node, and fences it if fence is
// set.
func (n *node) queryKey(key, caller string, fence bool, reply func(engine.AnswerKeyState)) {
	n.post(n.sim.between(time.Millisecond, 5*time.Millisecond), func() engine.Event {
		id := n.nextID()
		n.replies[id] = func(a engine.Action) {
			state := a.(engine.AnswerKeyState)
			n.sim.check.checkFenced(n, key, state)
			reply(state)
		}
		return engine.KeyQueried{ID: call.ID(id), Key: key, Caller: caller, Fence: fence}
	})
}

// crash ends a node process and its upstream. In 70 % of cases the sender of an
// open attempt sees a connection reset; the other connections stall.
func (n *node) crash() {
	sim := n.sim
	sim.trace("%s crashes", n.host.ID)
	n.up = false
	n.generation++
	sim.check.abandon(n)
	sim.net.open = slices.DeleteFunc(sim.net.open, func(a *attempt) bool { return !a.open })
	for _, a := range sim.net.open {
		if a.to == n && sim.chance(70) {
			a.failAfter(sim.between(time.Millisecond, 20*time.Millisecond), engine.PeerFailed{Sent: true, Detail: "reset"})
		}
	}
}
