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

// maxSubmissions is how often a caller sends one once-only request.
const maxSubmissions = 6

// entry is a call at its entry node.
type entry struct {
	n         *node
	epoch     int
	id        uint64
	spec      engine.CallArrived
	parent    *peerCall // run that made the call
	root      *root
	deadline  time.Duration
	answers   int
	toldNot   bool // answered as not run
	abandoned bool
	keys      map[string]bool // that attempts carried
	runs      int
	sends     int
	onAnswer  func(engine.AnswerCaller)
	onBreak   func() // the entry node crashed
}

// call brings a call to a node.
func (n *node) call(
	spec engine.CallArrived, parent *peerCall, onAnswer func(engine.AnswerCaller), onBreak func(),
) *entry {
	e := &entry{
		n: n, epoch: n.epoch, spec: spec, parent: parent, keys: map[string]bool{},
		onAnswer: onAnswer, onBreak: onBreak,
	}
	n.w.check.opened(e)
	var deliver func() engine.Event
	deliver = func() engine.Event {
		if n.interrupted(StepRoute, deliver) {
			return nil
		}
		e.id = n.nextID()
		e.spec.ID = call.ID(e.id)
		n.entries[e.id] = e
		n.w.check.arrived(e)
		return e.spec
	}
	n.post(0, deliver)
	return e
}

// cancel closes the caller's connection.
func (e *entry) cancel() {
	if e.n.epoch != e.epoch {
		return
	}
	e.n.post(0, func() engine.Event {
		if e.id == 0 {
			return nil
		}
		return engine.Cancelled{ID: call.ID(e.id)}
	})
}

// anyNode returns a random host that is up, or nil.
func (w *world) anyNode() *node {
	first := w.rng.IntN(len(w.nodes))
	for i := range w.nodes {
		if n := w.nodes[(first+i)%len(w.nodes)]; n.up {
			return n
		}
	}
	return nil
}

func (w *world) scheduleCalls() {
	for range 5 + w.rng.IntN(15) {
		w.after(w.between(0, callPhase), w.request)
	}
}

// request starts one request of a customer.
func (w *world) request() {
	w.serial++
	spec := engine.CallArrived{
		Service: front, Method: http.MethodGet, Path: readPath,
		Caller:    customers[w.rng.IntN(len(customers))],
		RequestID: fmt.Sprintf("r%d", w.serial),
		Digest:    uint64(w.serial),
	}
	switch w.rng.IntN(10) {
	case 0:
		spec.Service, spec.Path = ledger, entryPath
		w.read(spec)
	case 1, 2, 3, 4:
		w.read(spec)
	default:
		spec.Method, spec.Path = http.MethodPost, signPath
		a := &action{w: w, spec: spec}
		w.check.actions = append(w.check.actions, a)
		a.submit()
	}
}

func (w *world) read(spec engine.CallArrived) {
	n := w.anyNode()
	if n == nil {
		return
	}
	e := n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
	if w.chance(20) {
		w.after(w.between(time.Millisecond, 300*time.Millisecond), func() { w.repeatRead(e) })
	}
}

// repeatRead sends a read again through another node, like an impatient
// caller, which may say that it is a repeat and may close the first one.
func (w *world) repeatRead(e *entry) {
	if w.chance(40) {
		e.cancel()
	}
	spec := e.spec
	spec.ID, spec.Retry = 0, w.chance(50)
	if n := w.anyNode(); n != nil {
		n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
	}
}

// action is one once-only request of a caller. The caller takes a fresh key
// only after it was told that the former key did not run.
type action struct {
	w           *world
	spec        engine.CallArrived
	keys        []string
	submissions int
	done        bool
}

func (a *action) key() string {
	if len(a.keys) == 0 {
		return ""
	}
	return a.keys[len(a.keys)-1]
}

func (a *action) submit() {
	n := a.w.anyNode()
	if n == nil || a.done || a.submissions == maxSubmissions {
		return
	}
	a.submissions++
	spec := a.spec
	spec.Key = a.key()
	spec.RequestID = fmt.Sprintf("%s.%d", a.spec.RequestID, a.submissions)
	e := n.call(spec, nil, func(answer engine.AnswerCaller) { a.answered(spec.Key, answer) }, a.again)
	if spec.Key == "" {
		return
	}
	a.behaveBadly(e)
}

// behaveBadly repeats the key elsewhere before it is answered, cancels, fences
// or misuses it.
func (a *action) behaveBadly(e *entry) {
	w := a.w
	soon := w.between(time.Millisecond, 400*time.Millisecond)
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.after(soon, a.submit)
	case 3:
		w.after(soon, e.cancel)
	case 4:
		w.after(soon, func() { a.ask(e.spec.Key, true) })
	case 5:
		w.after(soon, func() { a.ask(e.spec.Key, false) })
	case 6:
		spec := e.spec
		spec.ID = 0
		if w.chance(50) {
			spec.Digest += 500_000
		} else {
			spec.Caller = customers[w.rng.IntN(len(customers))]
		}
		if n := w.anyNode(); n != nil {
			n.call(spec, nil, func(engine.AnswerCaller) {}, nil)
		}
	}
}

// again sends the same key again after an unknown outcome.
func (a *action) again() {
	a.w.after(a.w.between(time.Millisecond, 200*time.Millisecond), a.submit)
}

func (a *action) answered(key string, answer engine.AnswerCaller) {
	if key != a.key() || a.done {
		return // about a key that the caller has given up
	}
	switch {
	case answer.Answer != nil || answer.Refusal.Verdict == verdict.Run:
		a.done = true
	case answer.Refusal.Verdict == verdict.NotRun:
		a.fresh(answer.Key)
	case a.w.chance(30):
		a.ask(key, a.w.chance(30))
	case a.w.chance(70):
		a.again()
	}
}

// fresh goes on with a fresh key, or asks for one if none came along.
func (a *action) fresh(key string) {
	if key != "" || a.key() != "" {
		a.keys = append(a.keys, key)
	}
	a.again()
}

// ask asks the owner of the key, or at times another node.
func (a *action) ask(key string, fence bool) {
	w := a.w
	owner, _ := idempotency.ParseOwner(key)
	n := w.byHost[owner.Host]
	if w.chance(10) {
		n = w.anyNode()
	}
	if n == nil || !n.up {
		return
	}
	n.ask(key, a.spec.Caller, fence, func(s engine.AnswerKeyState) {
		w.check.state(key, a.spec.Caller, s)
		if key != a.key() || a.done {
			return
		}
		switch s.State {
		case idempotency.Fenced:
			a.fresh("")
		case idempotency.Done:
			a.done = true
		case idempotency.Unseen:
			a.again()
		}
	})
}
