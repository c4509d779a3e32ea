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
	// silentAfter is the time after which a runtime reports a connection
	// without any answer as failed; see docs/design.md 2.12.
	silentAfter = 300 * time.Millisecond
	// connectTimeout ends the opening of a connection to a host that does not
	// answer.
	connectTimeout = 100 * time.Millisecond
)

// attemptRef names an attempt of an entry call.
type attemptRef struct {
	node    *node
	epoch   int
	id      call.ID
	attempt int
}

// pending is an attempt without a reply.
type pending struct {
	attempt  int
	target   *node
	targetID call.ID
	epoch    int // of the target
}

// node drives one engine as the runtime does.
type node struct {
	world    *world
	host     member.Host
	zone     int
	engine   *engine.Engine
	upstream *upstream
	epoch    int
	down     bool // the process is dead: connections are refused
	cut      bool // its availability zone is lost: messages vanish

	nextID  call.ID
	sends   map[call.ID]pending
	peers   map[call.ID]attemptRef
	inbound map[call.ID]*submission
	egress  map[call.ID]*run
	issuing map[call.ID]attemptRef
	silent  map[*node]time.Duration // time at which a connection counts as failed
}

func (n *node) id() call.ID {
	n.nextID++
	return n.nextID
}

// boot starts a new process on the host.
func (n *node) boot() {
	w := n.world
	n.epoch++
	n.down = false
	n.host.Incarnation = uint64(n.epoch)
	n.sends = map[call.ID]pending{}
	n.peers = map[call.ID]attemptRef{}
	n.inbound = map[call.ID]*submission{}
	n.egress = map[call.ID]*run{}
	n.issuing = map[call.ID]attemptRef{}
	n.silent = map[*node]time.Duration{}
	random := rand.New(rand.NewPCG(w.seed, uint64(n.epoch)<<32|uint64(n.zone)<<16|uint64(len(n.host.ID))+hash(string(n.host.ID))))
	tokens := 0
	keys, err := idempotency.New(idempotency.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Start: w.clock.time(),
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
		Admit: w.variant.Admit, Route: w.variant.Route, Budget: w.variant.Budget, Pressure: w.variant.Pressure,
		Keys: keys, ParseOwner: idempotency.ParseOwner,
	})
	n.upstream = newUpstream(n)
	n.step(engine.PolicyChanged{Policy: w.policy})
	n.step(engine.HostsChanged{Hosts: w.hosts()})
	n.tick(n.epoch)
}

// tick lets time pass on the engine for as long as the process lives.
func (n *node) tick(epoch int) {
	if n.epoch != epoch || n.down {
		return
	}
	n.step(engine.Tick{})
	n.world.clock.after(engine.TickInterval, func() { n.tick(epoch) })
}

func (n *node) step(event engine.Event) {
	for _, action := range n.engine.Step(n.world.clock.time(), event) {
		n.act(action)
	}
}

// act carries out one action.
func (n *node) act(action engine.Action) {
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
		n.world.recorded(a)
	}
}

// post delivers a message to a node, unless one of them is cut off or the
// receiver has died since. It reports whether the receiver can be reached.
func (n *node) post(to *node, deliver func()) bool {
	if to.down || n.cut != to.cut {
		return false
	}
	epoch := to.epoch
	n.world.clock.after(n.world.latency(n, to), func() {
		if to.epoch == epoch && !to.down && n.cut == to.cut {
			deliver()
		}
	})
	return true
}

func (n *node) send(a engine.SendCall) {
	w := n.world
	to := w.byHost[a.Host.ID]
	ref := attemptRef{node: n, epoch: n.epoch, id: a.ID, attempt: a.Attempt}
	id := to.id()
	n.sends[a.ID] = pending{attempt: a.Attempt, target: to, targetID: id, epoch: to.epoch}
	w.sent(a)
	w.clock.expire(a.Call.Remaining, expiry{node: n, epoch: n.epoch, id: uint64(a.ID), attempt: a.Attempt})
	if to.down {
		w.clock.after(2*w.latency(n, to), func() { ref.fail(false) })
		return
	}
	if n.post(to, func() { to.receive(id, n, a, ref) }) {
		return
	}
	if at, known := n.silent[to]; known && at <= w.clock.now {
		w.clock.after(connectTimeout, func() { ref.fail(false) })
		return
	}
	n.lost(to)
}

// lost records that a message on the connection between two nodes vanished.
// When the connection counts as silent, everything open on it fails at once.
func (n *node) lost(to *node) {
	if _, known := n.silent[to]; known {
		return
	}
	n.silent[to] = n.world.clock.now + silentAfter
	epoch := n.epoch
	n.world.clock.after(silentAfter, func() {
		if n.epoch != epoch || n.down {
			return
		}
		for _, id := range sorted(n.sends) {
			if p, open := n.sends[id]; open && p.target == to {
				attemptRef{node: n, epoch: epoch, id: id, attempt: p.attempt}.fail(true)
			}
		}
	})
}

func (n *node) receive(id call.ID, from *node, a engine.SendCall, ref attemptRef) {
	n.peers[id] = ref
	n.upstream.announce(id, a.Call)
	n.step(engine.PeerCallArrived{ID: id, From: from.host.ID, Call: a.Call})
}

// fail reports the end of an attempt without a reply, if it is still open.
func (r attemptRef) fail(sent bool) {
	if !r.open() {
		return
	}
	delete(r.node.sends, r.id)
	r.node.step(engine.PeerFailed{ID: r.id, Attempt: r.attempt, Sent: sent, Detail: "no answer"})
}

func (r attemptRef) open() bool {
	if r.node.epoch != r.epoch || r.node.down {
		return false
	}
	p, ok := r.node.sends[r.id]
	return ok && p.attempt == r.attempt
}

// expired ends what has reached its deadline.
func (n *node) expired(e expiry) {
	if n.epoch != e.epoch || n.down {
		return
	}
	if e.attempt < 0 {
		n.upstream.expire(call.ID(e.id))
		return
	}
	ref := attemptRef{node: n, epoch: e.epoch, id: call.ID(e.id), attempt: e.attempt}
	if !ref.open() {
		return
	}
	delete(n.sends, ref.id)
	n.step(engine.PeerFailed{ID: ref.id, Attempt: ref.attempt, Sent: true, Timeout: true, Detail: "deadline"})
}

func (n *node) answerPeer(a engine.AnswerPeer) {
	ref, ok := n.peers[a.ID]
	if !ok {
		return
	}
	delete(n.peers, a.ID)
	n.upstream.forget(a.ID)
	delivered := n.post(ref.node, func() {
		if ref.node.epoch != ref.epoch {
			return
		}
		if ref.open() {
			delete(ref.node.sends, ref.id)
		}
		ref.node.step(engine.PeerReplied{ID: ref.id, Attempt: ref.attempt, Reply: a.Reply})
	})
	if !delivered && ref.node.epoch == ref.epoch && !ref.node.down {
		ref.node.lost(n)
	}
}

func (n *node) cancelAttempt(a engine.CancelAttempt) {
	p, ok := n.sends[a.ID]
	if !ok || p.attempt != a.Attempt {
		return
	}
	delete(n.sends, a.ID)
	if p.target.epoch != p.epoch {
		return
	}
	n.post(p.target, func() {
		if _, open := p.target.peers[p.targetID]; open {
			delete(p.target.peers, p.targetID)
			p.target.step(engine.Cancelled{ID: p.targetID})
		}
	})
}

func (n *node) answerCaller(a engine.AnswerCaller) {
	if r := n.egress[a.ID]; r != nil {
		delete(n.egress, a.ID)
		n.upstream.resume(r, a)
		return
	}
	s := n.inbound[a.ID]
	if s == nil {
		return
	}
	delete(n.inbound, a.ID)
	if n.cut {
		return
	}
	n.world.clock.after(n.world.deployment.ClientLatency, func() { s.answered(a) })
}

func (n *node) requestKey(a engine.RequestKey) {
	to := n.world.byHost[a.Host.ID]
	ref := attemptRef{node: n, epoch: n.epoch, id: a.ID}
	ok := n.post(to, func() {
		id := to.id()
		to.issuing[id] = ref
		to.step(engine.KeyRequested{ID: id, Service: a.Service, Caller: a.Caller})
	})
	if !ok {
		wait := min(a.Timeout, silentAfter)
		n.world.clock.after(wait, func() { ref.issued("", nil) })
	}
}

func (n *node) answerKey(a engine.AnswerKey) {
	ref := n.issuing[a.ID]
	delete(n.issuing, a.ID)
	n.post(ref.node, func() { ref.issued(a.Key, a.Refusal) })
}

func (r attemptRef) issued(key string, refusal *verdict.Refusal) {
	if r.node.epoch == r.epoch && !r.node.down {
		r.node.step(engine.KeyIssued{ID: r.id, Key: key, Refusal: refusal})
	}
}

// crash ends the process and everything in flight on it.
func (n *node) crash() {
	n.down = true
	n.upstream.dead = true
	for _, id := range sorted(n.inbound) {
		s := n.inbound[id]
		n.world.clock.after(n.world.deployment.ClientLatency, s.broken)
	}
	for _, id := range sorted(n.peers) {
		ref := n.peers[id]
		n.world.clock.after(n.world.latency(n, ref.node), func() { ref.fail(true) })
	}
}

// sorted returns the ids of a map in order, so that a run is repeatable.
func sorted[V any](m map[call.ID]V) []call.ID {
	ids := make([]call.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}
