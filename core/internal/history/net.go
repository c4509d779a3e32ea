package history

import (
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// silenceDetected is when the runtime gives up on a silent connection.
const silenceDetected = 300 * time.Millisecond

// network is the state of all connections.
type network struct {
	cut        map[[2]int]time.Duration // from, to: until
	silent     map[[2]int]time.Duration
	lossyUntil time.Duration
	inFlight   int
	open       []*attempt
	mixed      *engine.Reply // an earlier reply, to be delivered to a wrong request
}

type attemptID struct {
	id      uint64
	attempt int
}

// attempt is one call between nodes.
type attempt struct {
	from  *node
	epoch int
	to    *node
	id    attemptID
	entry *entry
	call  engine.PeerCall
	open  bool
	// stranger is set when the sender is missing on the list of the target.
	stranger bool
	arrived  []*peerCall
}

// peerCall is an attempt as it arrived at its target.
type peerCall struct {
	n         *node
	epoch     int
	id        uint64
	attempt   *attempt
	arrivedAt time.Duration
	answers   int
	cancelled bool
	subs      map[identity]*subCalls
	children  []*entry // outgoing calls of the run
}

// identity tells the outgoing calls of one run apart.
type identity struct {
	digest uint64
	label  string
}

// subCalls counts the equal outgoing calls of one run.
type subCalls struct {
	requests int
	answered int // without a server error
	onceRuns int // runs of once-only calls
}

func (p *peerCall) sub(e *entry) *subCalls {
	id := identity{e.spec.Digest, e.spec.Key}
	if p.subs[id] == nil {
		p.subs[id] = &subCalls{}
	}
	return p.subs[id]
}

func (w *world) isCut(from, to *node) bool {
	return w.now < w.net.cut[[2]int{from.index, to.index}]
}

func (w *world) isSilent(from, to *node) bool {
	return w.now < w.net.silent[[2]int{from.index, to.index}]
}

// travel runs deliver after the time that a message takes, or lost if the
// message is lost.
func (w *world) travel(from, to *node, deliver, lost func()) {
	delay := w.between(500*time.Microsecond, 3*time.Millisecond)
	if w.now < w.net.lossyUntil {
		switch w.rng.IntN(8) {
		case 0:
			lost()
			return
		case 1, 2:
			delay = w.between(time.Millisecond, 1500*time.Millisecond)
		}
	}
	if w.isCut(from, to) {
		lost()
		return
	}
	w.net.inFlight++
	w.after(delay, func() {
		w.net.inFlight--
		if w.isCut(from, to) || !to.up {
			lost()
			return
		}
		deliver()
	})
}

func (n *node) act(action engine.Action) {
	switch a := action.(type) {
	case engine.SendCall:
		n.sendCall(a)
	case engine.RequestKey:
		n.requestKey(a)
	case engine.RunUpstream:
		n.runUpstream(a)
	case engine.AnswerCaller:
		n.w.check.answered(n, a)
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
		n.draining, n.drainedAt = true, n.w.now
	}
}

func (n *node) sendCall(a engine.SendCall) {
	w := n.w
	at := &attempt{
		from: n, epoch: n.epoch, to: w.byHost[a.Host.ID],
		id: attemptID{uint64(a.ID), a.Attempt}, entry: n.entries[uint64(a.ID)], call: a.Call, open: true,
		stranger: w.chance(1),
	}
	n.attempts[at.id] = at
	w.net.open = append(w.net.open, at)
	w.check.sent(at)
	if a.Call.Key == "" {
		w.check.staysAway(n, a.Host)
	}
	if !w.chance(3) { // a runtime that loses its timer
		at.failAfter(a.Call.Remaining, engine.PeerFailed{Sent: true, Timeout: true})
	}
	if w.opt.Call != nil {
		w.opt.Call(&at.call)
	}
	unreachable := !at.to.up || w.isCut(n, at.to)
	switch {
	case unreachable && w.chance(50):
		at.failAfter(time.Millisecond, engine.PeerFailed{Sent: false, Detail: "connection refused"})
	case unreachable:
		at.failAfter(silenceDetected, engine.PeerFailed{Sent: true, Detail: "silent"})
	case w.isSilent(n, at.to) && !a.Fresh:
		at.failAfter(silenceDetected, engine.PeerFailed{Sent: true, Detail: "silent"})
		if w.chance(50) {
			w.travel(n, at.to, at.arrive, func() {})
		}
	default:
		w.travel(n, at.to, at.arrive, at.vanish)
		if w.now < w.net.lossyUntil && a.Call.Key != "" && w.chance(10) {
			w.travel(n, at.to, at.arrive, func() {})
		}
	}
}

// vanish ends an attempt whose message was lost, sometimes not before its
// deadline.
func (a *attempt) vanish() {
	if a.from.w.chance(50) {
		a.failAfter(silenceDetected, engine.PeerFailed{Sent: true, Detail: "silent"})
	}
}

func (a *attempt) failAfter(d time.Duration, failure engine.PeerFailed) {
	if a.from.epoch != a.epoch {
		return
	}
	failure.ID, failure.Attempt = call.ID(a.id.id), a.id.attempt
	a.from.post(d, func() engine.Event {
		late := !a.open && a.from.w.now < a.from.w.net.lossyUntil && a.from.w.chance(30)
		if !a.open && !late {
			return nil
		}
		a.open = false
		return failure
	})
}

// arrive delivers the call to the process that runs at the target now.
func (a *attempt) arrive() {
	n := a.to
	var deliver func() engine.Event
	deliver = func() engine.Event {
		if n.interrupted(StepAdmit, deliver) {
			return nil
		}
		if !a.open && n.w.chance(50) {
			return nil // the cancellation overtook the call
		}
		if a.stranger {
			a.replied(a.notMember())
			return nil
		}
		p := &peerCall{
			n: n, epoch: n.epoch, id: n.nextID(), attempt: a, arrivedAt: n.w.now,
			subs: map[identity]*subCalls{},
		}
		n.peers[p.id] = p
		a.arrived = append(a.arrived, p)
		n.w.check.peerArrived(p)
		return engine.PeerCallArrived{ID: call.ID(p.id), From: a.from.host.ID, Call: a.call}
	}
	n.post(0, deliver)
}

// notMember is the reply of a runtime on whose list the sender is missing.
func (a *attempt) notMember() engine.Reply {
	return engine.Reply{
		RequestID: a.call.RequestID, ReturnedCredit: a.call.Credit,
		Refusal: verdict.Refuse(verdict.NotMember, "the sender is not on the list"),
	}
}

func (n *node) answerPeer(a engine.AnswerPeer) {
	w := n.w
	p := n.peers[uint64(a.ID)]
	w.check.peerAnswered(p, a.Reply)
	at := p.attempt
	if w.isSilent(n, at.from) {
		return
	}
	reply := a.Reply
	w.mislead(&reply)
	if w.opt.Reply != nil {
		w.opt.Reply(at.call, &reply)
	}
	copies := 1
	if w.now < w.net.lossyUntil {
		copies += w.rng.IntN(2)
		if w.chance(10) && w.net.mixed != nil && w.net.mixed.RequestID != reply.RequestID {
			reply = *w.net.mixed
		}
		w.net.mixed = &a.Reply
	}
	for range copies {
		w.travel(n, at.from, func() { at.replied(reply) }, func() {})
	}
}

// replied delivers a reply. One to an attempt that has ended is delivered too
// at times, since the runtime may be about to report it.
func (a *attempt) replied(reply engine.Reply) {
	if a.from.epoch != a.epoch {
		return
	}
	a.from.post(0, func() engine.Event {
		if !a.open && a.from.w.chance(30) {
			return nil
		}
		a.from.w.check.heard(a, reply)
		a.open = false
		return engine.PeerReplied{ID: call.ID(a.id.id), Attempt: a.id.attempt, Reply: reply}
	})
}

func (n *node) cancelAttempt(c engine.CancelAttempt) {
	a := n.attempts[attemptID{uint64(c.ID), c.Attempt}]
	a.open = false
	n.w.travel(n, a.to, func() {
		for _, p := range a.arrived {
			p.cancel()
		}
	}, func() {})
}

func (p *peerCall) cancel() {
	if p.n.epoch != p.epoch {
		return
	}
	p.n.post(0, func() engine.Event {
		p.cancelled = true
		return engine.Cancelled{ID: call.ID(p.id)}
	})
}

// requestKey carries a request for a key to its host and the key back.
func (n *node) requestKey(r engine.RequestKey) {
	w := n.w
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
	gone := verdict.Refuse(verdict.OwnerUnreachable, "no key in time")
	n.post(r.Timeout, issued(engine.KeyIssued{Refusal: gone}))
	to, epoch := w.byHost[r.Host.ID], n.epoch
	w.check.staysAway(n, r.Host)
	if !to.up {
		n.post(time.Millisecond, issued(engine.KeyIssued{Refusal: gone}))
		return
	}
	w.travel(n, to, func() {
		to.post(0, func() engine.Event {
			id := to.nextID()
			to.replies[id] = func(a engine.Action) {
				key := a.(engine.AnswerKey)
				w.travel(to, n, func() {
					if n.epoch == epoch {
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
		n.w.check.fail("%s answers question %d twice or unasked", n.host.ID, id)
		return
	}
	delete(n.replies, id)
	reply(a)
}

// ask asks a node about a key.
func (n *node) ask(key, caller string, fence bool, reply func(engine.AnswerKeyState)) {
	n.post(n.w.between(time.Millisecond, 5*time.Millisecond), func() engine.Event {
		id := n.nextID()
		n.replies[id] = func(a engine.Action) {
			state := a.(engine.AnswerKeyState)
			n.w.check.fenced(n, key, state)
			reply(state)
		}
		return engine.KeyQueried{ID: call.ID(id), Key: key, Caller: caller, Fence: fence}
	})
}

// crash ends a node process and its upstream. Most of its connections break,
// the others stay silent.
func (n *node) crash() {
	w := n.w
	w.trace("%s crashes", n.host.ID)
	n.up = false
	n.epoch++
	w.check.abandon(n)
	w.net.open = slices.DeleteFunc(w.net.open, func(a *attempt) bool { return !a.open })
	for _, a := range w.net.open {
		if a.to == n && w.chance(70) {
			a.failAfter(w.between(time.Millisecond, 20*time.Millisecond), engine.PeerFailed{Sent: true, Detail: "reset"})
		}
	}
}
