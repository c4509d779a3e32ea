package history

import (
	"fmt"
	"net/http"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/verdict"
)

// maxSubmissions bounds how often a caller submits one at-most-once request.
const maxSubmissions = 6

// entryCall is a call at its entry node.
type entryCall struct {
	n              *node
	generation     int
	id             uint64
	spec           engine.CallArrived
	parent         *peerCall // run that made the call, nil for a caller's request
	root           *rootRequest
	deadline       time.Duration
	answers        int
	reportedNotRun bool // the answer said that it did not run
	abandoned      bool
	keysSent       map[string]bool // idempotency keys that its attempts carried
	runs           int
	sends          int
	onAnswer       func(engine.AnswerCaller)
	onCrash        func() // called when the entry node crashes
}

// call delivers a call to its entry node.
func (n *node) call(
	spec engine.CallArrived, parent *peerCall, onAnswer func(engine.AnswerCaller), onCrash func(),
) *entryCall {
	e := &entryCall{
		n: n, generation: n.generation, spec: spec, parent: parent, keysSent: map[string]bool{},
		onAnswer: onAnswer, onCrash: onCrash,
	}
	n.sim.check.opened(e)
	var deliver func() engine.Event
	deliver = func() engine.Event {
		if n.injectBefore(StepRoute, deliver) {
			return nil
		}
		e.id = n.nextID()
		e.spec.ID = call.ID(e.id)
		n.entries[e.id] = e
		n.sim.check.arrived(e)
		return e.spec
	}
	n.post(0, deliver)
	return e
}

// cancel closes the caller's connection.
func (e *entryCall) cancel() {
	if e.n.generation != e.generation {
		return
	}
	e.n.post(0, func() engine.Event {
		if e.id == 0 {
			return nil
		}
		return engine.Cancelled{ID: call.ID(e.id)}
	})
}

// randomUpNode returns a random node that is up, or nil if all are down.
func (sim *simulation) randomUpNode() *node {
	first := sim.rng.IntN(len(sim.nodes))
	for i := range sim.nodes {
		if n := sim.nodes[(first+i)%len(sim.nodes)]; n.up {
			return n
		}
	}
	return nil
}

func (sim *simulation) scheduleCalls() {
	for range 5 + sim.rng.IntN(15) {
		sim.after(sim.between(0, callPhase), sim.startRequest)
	}
}

// startRequest sends one request of a random caller.
func (sim *simulation) startRequest() {
	sim.serial++
	spec := engine.CallArrived{
		Service: frontService, Method: http.MethodGet, Path: readPath,
		Caller:    callers[sim.rng.IntN(len(callers))],
		RequestID: fmt.Sprintf("r%d", sim.serial),
		Digest:    uint64(sim.serial),
	}
	switch sim.rng.IntN(10) {
	case 0:
		spec.Service, spec.Path = ledgerService, entryPath
		sim.sendRead(spec)
	case 1, 2, 3, 4:
		sim.sendRead(spec)
	default:
		spec.Method, spec.Path = http.MethodPost, signPath
		a := &atMostOnceRequest{sim: sim, spec: spec}
		sim.check.atMostOnceRequests = append(sim.check.atMostOnceRequests, a)
		a.submit()
	}
}

func (sim *simulation) sendRead(spec engine.CallArrived) {
	n := sim.randomUpNode()
	if n == nil {
		return
	}
	e := n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
	if sim.chance(20) {
		sim.after(sim.between(time.Millisecond, 300*time.Millisecond), func() { sim.retryRead(e) })
	}
}

// retryRead sends a read again through a random node, usually before the first
// one is answered. The caller may mark it as a retry and may cancel the first one.
func (sim *simulation) retryRead(e *entryCall) {
	if sim.chance(40) {
		e.cancel()
	}
	spec := e.spec
	spec.ID, spec.Retry = 0, sim.chance(50)
	if n := sim.randomUpNode(); n != nil {
		n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
	}
}

// atMostOnceRequest is one at-most-once request of a caller. The caller uses a
// new idempotency key only after a report that the previous key did not run.
type atMostOnceRequest struct {
	sim         *simulation
	spec        engine.CallArrived
	keys        []string
	submissions int
	done        bool
}

func (a *atMostOnceRequest) key() string {
	if len(a.keys) == 0 {
		return ""
	}
	return a.keys[len(a.keys)-1]
}

func (a *atMostOnceRequest) submit() {
	n := a.sim.randomUpNode()
	if n == nil || a.done || a.submissions == maxSubmissions {
		return
	}
	a.submissions++
	spec := a.spec
	spec.Key = a.key()
	spec.RequestID = fmt.Sprintf("%s.%d", a.spec.RequestID, a.submissions)
	e := n.call(spec, nil, func(answer engine.AnswerCaller) { a.onAnswered(spec.Key, answer) }, a.resubmit)
	if spec.Key == "" {
		return
	}
	a.misuseKey(e)
}

// misuseKey does one of the following at random, or nothing: after a short delay
// it submits the request again through a random node, cancels the call, or queries
// or fences the key; or it sends the key immediately with another digest or caller.
func (a *atMostOnceRequest) misuseKey(e *entryCall) {
	sim := a.sim
	delay := sim.between(time.Millisecond, 400*time.Millisecond)
	switch sim.rng.IntN(12) {
	case 0, 1, 2:
		sim.after(delay, a.submit)
	case 3:
		sim.after(delay, e.cancel)
	case 4:
		sim.after(delay, func() { a.queryOrFence(e.spec.Key, true) })
	case 5:
		sim.after(delay, func() { a.queryOrFence(e.spec.Key, false) })
	case 6:
		spec := e.spec
		spec.ID = 0
		if sim.chance(50) {
			spec.Digest += 500_000
		} else {
			spec.Caller = callers[sim.rng.IntN(len(callers))]
		}
		if n := sim.randomUpNode(); n != nil {
			n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
		}
	}
}

// resubmit submits the request with its current key after a short delay.
func (a *atMostOnceRequest) resubmit() {
	a.sim.after(a.sim.between(time.Millisecond, 200*time.Millisecond), a.submit)
}

func (a *atMostOnceRequest) onAnswered(key string, answer engine.AnswerCaller) {
	if key != a.key() || a.done {
		return // the caller has replaced this key
	}
	switch {
	case answer.Answer != nil || answer.Refusal.Verdict == verdict.Run:
		a.done = true
	case answer.Refusal.Verdict == verdict.NotRun:
		a.submitWithNewKey(answer.Key)
	case a.sim.chance(30):
		a.queryOrFence(key, a.sim.chance(30))
	case a.sim.chance(70):
		a.resubmit()
	}
}

// submitWithNewKey submits the request with the given key. If that is empty,
// the request asks for a key.
func (a *atMostOnceRequest) submitWithNewKey(key string) {
	if key != "" || a.key() != "" {
		a.keys = append(a.keys, key)
	}
	a.resubmit()
}

// queryOrFence queries the state of a key, and fences it if fence is set. In
// 10 % of cases it asks a random node instead of the owner.
func (a *atMostOnceRequest) queryOrFence(key string, fence bool) {
	sim := a.sim
	owner, _ := idempotency.ParseOwner(key)
	n := sim.byHost[owner.Host]
	if sim.chance(10) {
		n = sim.randomUpNode()
	}
	if n == nil || !n.up {
		return
	}
	n.queryKey(key, a.spec.Caller, fence, func(s engine.AnswerKeyState) {
		sim.check.checkKeyState(key, a.spec.Caller, s)
		if key != a.key() || a.done {
			return
		}
		switch s.State {
		case idempotency.Fenced:
			a.submitWithNewKey("")
		case idempotency.Done:
			a.done = true
		case idempotency.Unseen:
			a.resubmit()
		}
	})
}
