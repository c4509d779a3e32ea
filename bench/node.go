package bench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

const (
	// stallTimeout is the time after which a node's runtime reports a connection
	// without any answer as failed; see docs/design.md 2.12.
	stallTimeout = 300 * time.Millisecond
	// connectTimeout is the timeout for connecting to a host that does not answer.
	connectTimeout = 100 * time.Millisecond
)

// attemptRef identifies an attempt of a call at the node that sent it.
type attemptRef struct {
	node        *node
	incarnation int
	id          call.ID
	attempt     int
}

// openAttempt is an attempt without a reply so far.
type openAttempt struct {
	attempt     int
	target      *node
	targetID    call.ID
	incarnation int // of the target
}

// node runs one engine as the runtime of a node process does.
type node struct {
	sim         *simulation
	host        member.Host
	zone        int
	engine      *engine.Engine
	upstream    *upstream
	incarnation int
	down        bool // the process is not running: connections are refused
	partitioned bool // its availability zone is cut off: messages to other zones are lost

	nextID       call.ID
	openAttempts map[call.ID]openAttempt
	peerCalls    map[call.ID]attemptRef  // calls received from nodes
	submissions  map[call.ID]*submission // calls received from callers
	egressRuns   map[call.ID]*run        // outgoing calls, with the run that made them
	keyRequests  map[call.ID]attemptRef  // idempotency keys requested by nodes
	stallAt      map[*node]time.Duration // time at which a stalled connection counts as failed
}

func (n *node) id() call.ID {
	n.nextID++
	return n.nextID
}

// boot starts a new process of the node on its host.
func (n *node) boot() {
	sim := n.sim
	n.incarnation++
	n.down = false
	n.host.Incarnation = uint64(n.incarnation)
	n.openAttempts = map[call.ID]openAttempt{}
	n.peerCalls = map[call.ID]attemptRef{}
	n.submissions = map[call.ID]*submission{}
	n.egressRuns = map[call.ID]*run{}
	n.keyRequests = map[call.ID]attemptRef{}
	n.stallAt = map[*node]time.Duration{}
	random := rand.New(rand.NewPCG(sim.seed, uint64(n.incarnation)<<32|uint64(n.zone)<<16|uint64(len(n.host.ID))+hash(string(n.host.ID))))
	tokens := 0
	keys, err := idempotency.New(idempotency.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Start: sim.clock.time(),
		Secret: make([]byte, idempotency.SecretLen), Nonce: random.Uint64,
		Lifetime: policy.DefaultKeyLifetime, MaxKeys: policy.DefaultMaxKeys, MaxAnswerBytes: policy.DefaultMaxKeyBytes,
	})
	if err != nil {
		panic(err) // the configuration above is constant
	}
	n.engine = engine.New(engine.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Zone: n.host.Zone, Region: region,
		Service: n.host.Service, Random: random.IntN,
		Token: func() string {
			tokens++
			return strconv.Itoa(tokens)
		},
		Admit: sim.variant.Admit, Route: sim.variant.Route, Budget: sim.variant.Budget, Pressure: sim.variant.Pressure,
		Keys: keys, ParseOwner: idempotency.ParseOwner,
	})
	n.upstream = newUpstream(n)
	n.step(engine.PolicyChanged{Policy: sim.policy})
	n.step(engine.HostsChanged{Hosts: sim.hosts()})
	n.tick(n.incarnation)
}

// tick sends Tick events to the engine for as long as the process runs.
func (n *node) tick(incarnation int) {
	if n.incarnation != incarnation || n.down {
		return
	}
	n.step(engine.Tick{})
	n.sim.clock.after(engine.TickInterval, func() { n.tick(incarnation) })
}

// step passes an event to the engine and executes the resulting actions.
func (n *node) step(event engine.Event) {
	for _, action := range n.engine.Step(n.sim.clock.time(), event) {
		n.execute(action)
	}
}

// execute executes one action of the engine.
func (n *node) execute(action engine.Action) {
	switch a := action.(type) {
	case engine.SendCall:
		n.send(a)
	case engine.RunUpstream:
		n.upstream.start(a)
	case engine.AnswerCaller:
		n.answerCaller(a)
	case engine.AnswerPeer:
		n.answerPeer(a)
	case engine.CancelAttempt:
		n.cancelAttempt(a)
	case engine.CancelRun:
		n.upstream.cancel(a.ID)
	case engine.RequestKey:
		n.requestKey(a)
	case engine.AnswerKey:
		n.answerKey(a)
	case engine.Record:
		n.sim.onRecord(a)
	}
}

// transmit delivers a message to a node, unless a partition separates the two or
// the receiver's process ends before delivery. It reports whether the receiver
// can be reached when the message is sent.
func (n *node) transmit(to *node, deliver func()) bool {
	if to.down || n.partitioned != to.partitioned {
		return false
	}
	incarnation := to.incarnation
	n.sim.clock.after(n.sim.latency(n, to), func() {
		if to.incarnation == incarnation && !to.down && n.partitioned == to.partitioned {
			deliver()
		}
	})
	return true
}

// send sends an attempt to another node.
func (n *node) send(a engine.SendCall) {
	sim := n.sim
	to := sim.byHost[a.Host.ID]
	ref := attemptRef{node: n, incarnation: n.incarnation, id: a.ID, attempt: a.Attempt}
	id := to.id()
	n.openAttempts[a.ID] = openAttempt{attempt: a.Attempt, target: to, targetID: id, incarnation: to.incarnation}
	sim.onSend(a)
	sim.clock.scheduleExpiry(a.Call.Remaining, expiry{node: n, incarnation: n.incarnation, id: uint64(a.ID), attempt: a.Attempt})
	if to.down {
		sim.clock.after(2*sim.latency(n, to), func() { ref.fail(false) })
		return
	}
	if n.transmit(to, func() { to.receive(id, n, a, ref) }) {
		return
	}
	if at, known := n.stallAt[to]; known && at <= sim.clock.now {
		sim.clock.after(connectTimeout, func() { ref.fail(false) })
		return
	}
	n.messageLost(to)
}

// messageLost records that a message on the connection to another node was lost.
// When the connection counts as stalled, all open attempts on it fail at once.
func (n *node) messageLost(to *node) {
	if _, known := n.stallAt[to]; known {
		return
	}
	n.stallAt[to] = n.sim.clock.now + stallTimeout
	incarnation := n.incarnation
	n.sim.clock.after(stallTimeout, func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		for _, id := range sorted(n.openAttempts) {
			if o, open := n.openAttempts[id]; open && o.target == to {
				attemptRef{node: n, incarnation: incarnation, id: id, attempt: o.attempt}.fail(true)
			}
		}
	})
}

func (n *node) receive(id call.ID, from *node, a engine.SendCall, ref attemptRef) {
	n.peerCalls[id] = ref
	n.upstream.addCall(id, a.Call)
	n.step(engine.PeerCallArrived{ID: id, From: from.host.ID, Call: a.Call})
}

// fail reports to the engine that an attempt ended without a reply, if it is
// still open.
func (r attemptRef) fail(sent bool) {
	if !r.open() {
		return
	}
	delete(r.node.openAttempts, r.id)
	r.node.step(engine.PeerFailed{ID: r.id, Attempt: r.attempt, Sent: sent, Detail: "no answer"})
}

func (r attemptRef) open() bool {
	if r.node.incarnation != r.incarnation || r.node.down {
		return false
	}
	o, ok := r.node.openAttempts[r.id]
	return ok && o.attempt == r.attempt
}

// handleExpiry ends an attempt or a run that has reached its deadline.
func (n *node) handleExpiry(e expiry) {
	if n.incarnation != e.incarnation || n.down {
		return
	}
	if e.attempt < 0 {
		n.upstream.expire(call.ID(e.id))
		return
	}
	ref := attemptRef{node: n, incarnation: e.incarnation, id: call.ID(e.id), attempt: e.attempt}
	if !ref.open() {
		return
	}
	delete(n.openAttempts, ref.id)
	n.step(engine.PeerFailed{ID: ref.id, Attempt: ref.attempt, Sent: true, Timeout: true, Detail: "deadline"})
}

func (n *node) answerPeer(a engine.AnswerPeer) {
	ref, ok := n.peerCalls[a.ID]
	if !ok {
		return
	}
	delete(n.peerCalls, a.ID)
	n.upstream.removeCall(a.ID)
	delivered := n.transmit(ref.node, func() {
		if ref.node.incarnation != ref.incarnation {
			return
		}
		if ref.open() {
			delete(ref.node.openAttempts, ref.id)
		}
		ref.node.step(engine.PeerReplied{ID: ref.id, Attempt: ref.attempt, Reply: a.Reply})
	})
	if !delivered && ref.node.incarnation == ref.incarnation && !ref.node.down {
		ref.node.messageLost(n)
	}
}

func (n *node) cancelAttempt(a engine.CancelAttempt) {
	o, ok := n.openAttempts[a.ID]
	if !ok || o.attempt != a.Attempt {
		return
	}
	delete(n.openAttempts, a.ID)
	if o.target.incarnation != o.incarnation {
		return
	}
	n.transmit(o.target, func() {
		if _, open := o.target.peerCalls[o.targetID]; open {
			delete(o.target.peerCalls, o.targetID)
			o.target.step(engine.Cancelled{ID: o.targetID})
		}
	})
}

func (n *node) answerCaller(a engine.AnswerCaller) {
	if r := n.egressRuns[a.ID]; r != nil {
		delete(n.egressRuns, a.ID)
		n.upstream.resume(r, a)
		return
	}
	s := n.submissions[a.ID]
	if s == nil {
		return
	}
	delete(n.submissions, a.ID)
	if n.partitioned {
		return
	}
	n.sim.clock.after(n.sim.deployment.ClientLatency, func() { s.onAnswer(a) })
}

func (n *node) requestKey(a engine.RequestKey) {
	to := n.sim.byHost[a.Host.ID]
	ref := attemptRef{node: n, incarnation: n.incarnation, id: a.ID}
	ok := n.transmit(to, func() {
		id := to.id()
		to.keyRequests[id] = ref
		to.step(engine.KeyRequested{ID: id, Service: a.Service, Caller: a.Caller})
	})
	if !ok {
		wait := min(a.Timeout, stallTimeout)
		n.sim.clock.after(wait, func() { ref.keyIssued("", nil) })
	}
}

func (n *node) answerKey(a engine.AnswerKey) {
	ref := n.keyRequests[a.ID]
	delete(n.keyRequests, a.ID)
	n.transmit(ref.node, func() { ref.keyIssued(a.Key, a.Refusal) })
}

func (r attemptRef) keyIssued(key string, refusal *verdict.Refusal) {
	if r.node.incarnation == r.incarnation && !r.node.down {
		r.node.step(engine.KeyIssued{ID: r.id, Key: key, Refusal: refusal})
	}
}

// crash ends the process and all calls in flight on it.
func (n *node) crash() {
	n.down = true
	n.upstream.crashed = true
	for _, id := range sorted(n.submissions) {
		s := n.submissions[id]
		n.sim.clock.after(n.sim.deployment.ClientLatency, s.connectionLost)
	}
	for _, id := range sorted(n.peerCalls) {
		ref := n.peerCalls[id]
		n.sim.clock.after(n.sim.latency(n, ref.node), func() { ref.fail(true) })
	}
}

// sorted returns the keys of a map in ascending order, so that runs are
// repeatable.
func sorted[V any](m map[call.ID]V) []call.ID {
	ids := make([]call.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}
