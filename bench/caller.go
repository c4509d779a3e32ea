package bench

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// request is one request of a caller, with everything measured about it.
type request struct {
	world    *world
	index    int
	id       string
	kind     *Kind
	caller   string
	born     time.Duration
	deadline time.Duration
	finished bool
	ok       bool
	attempt  uint8 // of the caller
	key      string

	slotTime time.Duration // of all its runs
	sends    int           // calls between nodes
	retries  int           // attempts beyond the first of a call, within the system
	runs     int           // starts of the first stage
	ran      []string      // marks of the submissions whose first stage ran
	notRun   []string      // marks of the submissions that were told "not run"
	answered time.Duration
}

// path carries the number of the caller's attempt, so that a run can be
// matched with the submission it belongs to.
func (r *request) path() string { return r.kind.path() + "/" + strconv.Itoa(int(r.attempt)) }

// mark identifies a submission: by its key, or by its path without one.
func mark(path, key string) string {
	if key != "" {
		return key
	}
	return path
}

func (r *request) stageOf(service string) int {
	for i, s := range r.kind.Chain {
		if s.Service == service {
			return i
		}
	}
	return 0
}

// submission is one HTTP request of a caller to an entry node.
type submission struct {
	request *request
	mark    string
	done    bool
}

// submit sends a request to some entry node that the caller can reach.
func (r *request) submit(repeat bool) {
	w := r.world
	n := w.entryNode()
	s := &submission{request: r, mark: mark(r.path(), r.key)}
	w.clock.after(w.deployment.ClientLatency, func() {
		if n.down || n.cut {
			s.broken()
			return
		}
		id := n.id()
		n.inbound[id] = s
		n.step(engine.CallArrived{
			ID: id, Service: r.kind.Chain[0].Service, Method: r.kind.method(), Path: r.path(),
			Caller: r.caller, RequestID: r.id, Retry: repeat, Key: r.key, Digest: uint64(r.index),
			Timeout: r.timeout(),
		})
	})
}

// timeout returns the time that the caller grants one attempt.
func (r *request) timeout() time.Duration {
	left := r.deadline - r.world.clock.now
	if r.world.variant.HopRetries > 0 {
		return min(left, r.kind.Deadline/time.Duration(r.world.variant.HopRetries+1))
	}
	return left
}

func (s *submission) answered(a engine.AnswerCaller) {
	r := s.request
	if s.done {
		return
	}
	s.done = true
	if a.Refusal != nil && a.Refusal.Reason == verdict.KeyRequired && a.Key != "" {
		r.key = a.Key
		r.submit(false)
		return
	}
	if a.Answer != nil && a.Answer.Status == http.StatusOK {
		r.end(r.world.clock.now <= r.deadline)
		return
	}
	notRun := a.Refusal != nil && a.Refusal.Verdict == verdict.NotRun
	if notRun {
		r.notRun = append(r.notRun, s.mark)
		r.key = a.Key
	}
	r.again(notRun)
}

// broken reports that the connection to the entry node was lost.
func (s *submission) broken() {
	if s.done {
		return
	}
	s.done = true
	s.request.again(false)
}

// again repeats a failed request as the callers of the scenario do. A
// once-only request is repeated only after "not run" or with its key.
func (r *request) again(notRun bool) {
	w := r.world
	most := max(w.load.retries, w.variant.HopRetries)
	gap := max(w.load.retryGap, time.Millisecond)
	if r.finished || int(r.attempt) >= most || w.clock.now+gap >= r.deadline {
		r.end(false)
		return
	}
	if r.kind.Once && !notRun && r.key == "" {
		r.end(false)
		return
	}
	r.attempt++
	if w.variant.HopRetries > 0 {
		// These callers know nothing of the product: a repeat is a new request.
		r.id = requestID(r.index) + "." + strconv.Itoa(int(r.attempt))
	}
	w.clock.after(gap, func() { r.submit(w.variant.HopRetries == 0) })
}

func (r *request) end(ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	r.ok = ok
	r.answered = r.world.clock.now
}

// load describes what the callers send.
type load struct {
	rate     float64 // requests per second
	retries  int     // repeats by callers
	retryGap time.Duration
}

// arrive creates the next request and plans the one after it.
func (w *world) arrive() {
	if w.clock.now >= w.stopArrivals {
		return
	}
	r := &request{
		world: w, index: len(w.requests), kind: w.pickKind(), born: w.clock.now,
		caller: w.deployment.Callers[w.arrivals.IntN(len(w.deployment.Callers))],
	}
	r.id = requestID(r.index)
	r.deadline = r.born + r.kind.Deadline
	w.requests = append(w.requests, r)
	r.submit(false)
	gap := -math.Log(1-w.arrivals.Float64()) / w.load.rate
	w.clock.after(time.Duration(gap*float64(time.Second)), w.arrive)
}

func (w *world) pickKind() *Kind {
	x := w.arrivals.Float64()
	for i := range w.deployment.Kinds {
		k := &w.deployment.Kinds[i]
		if x -= k.Mix; x < 0 {
			return k
		}
	}
	return &w.deployment.Kinds[0]
}

func critical(k *Kind) bool { return k.Importance == call.Critical }
