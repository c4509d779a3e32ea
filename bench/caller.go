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

// request is one request of a caller, with what is measured about it.
type request struct {
	sim       *simulation
	index     int
	id        string
	kind      *Kind
	caller    string
	arrivedAt time.Duration
	deadline  time.Duration
	finished  bool
	ok        bool
	attempt   uint8 // number of retries by the caller so far
	key       string

	slotTime       time.Duration // for which its runs held slots
	callsSent      int           // calls between nodes
	retries        int           // attempts beyond the first of a call, within the system
	executions     int           // of the first stage
	executed       []string      // IDs of the submissions whose first stage was executed
	reportedNotRun []string      // IDs of the submissions with the reply "not run"
	answeredAt     time.Duration
}

// path contains the number of the caller's attempt, so that an execution can be
// matched with its submission.
func (r *request) path() string { return r.kind.path() + "/" + strconv.Itoa(int(r.attempt)) }

// submissionID identifies a submission of a request: its idempotency key or, if
// it has none, its path.
func submissionID(path, key string) string {
	if key != "" {
		return key
	}
	return path
}

// stageOf returns the index of the stage of a service in the chain.
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
	id      string
	done    bool
}

// submit sends the request to a random node that callers can reach.
func (r *request) submit(retry bool) {
	sim := r.sim
	n := sim.entryNode()
	s := &submission{request: r, id: submissionID(r.path(), r.key)}
	sim.clock.after(sim.deployment.ClientLatency, func() {
		if n.down || n.partitioned {
			s.connectionLost()
			return
		}
		id := n.id()
		n.submissions[id] = s
		n.step(engine.CallArrived{
			ID: id, Service: r.kind.Chain[0].Service, Method: r.kind.method(), Path: r.path(),
			Caller: r.caller, RequestID: r.id, Retry: retry, Key: r.key, Digest: uint64(r.index),
			Timeout: r.timeout(),
		})
	})
}

// timeout returns the timeout that the caller sets for one attempt.
func (r *request) timeout() time.Duration {
	left := r.deadline - r.sim.clock.now
	if r.sim.variant.HopRetries > 0 {
		return min(left, r.kind.Deadline/time.Duration(r.sim.variant.HopRetries+1))
	}
	return left
}

// onAnswer handles the answer of the entry node.
func (s *submission) onAnswer(a engine.AnswerCaller) {
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
		r.end(r.sim.clock.now <= r.deadline)
		return
	}
	notRun := a.Refusal != nil && a.Refusal.Verdict == verdict.NotRun
	if notRun {
		r.reportedNotRun = append(r.reportedNotRun, s.id)
		r.key = a.Key
	}
	r.retryOrEnd(notRun)
}

// connectionLost handles the loss of the connection to the entry node.
func (s *submission) connectionLost() {
	if s.done {
		return
	}
	s.done = true
	s.request.retryOrEnd(false)
}

// retryOrEnd retries a failed request as the callers of the scenario do, or ends
// it. An at-most-once request is retried only after "not run" or with its key.
func (r *request) retryOrEnd(notRun bool) {
	sim := r.sim
	maxRetries := max(sim.load.retries, sim.variant.HopRetries)
	delay := max(sim.load.retryDelay, time.Millisecond)
	if r.finished || int(r.attempt) >= maxRetries || sim.clock.now+delay >= r.deadline {
		r.end(false)
		return
	}
	if r.kind.AtMostOnce && !notRun && r.key == "" {
		r.end(false)
		return
	}
	r.attempt++
	if sim.variant.HopRetries > 0 {
		// These callers do not use the retry protocol of the product: a retry is a
		// new request.
		r.id = requestID(r.index) + "." + strconv.Itoa(int(r.attempt))
	}
	sim.clock.after(delay, func() { r.submit(sim.variant.HopRetries == 0) })
}

func (r *request) end(ok bool) {
	if r.finished {
		return
	}
	r.finished = true
	r.ok = ok
	r.answeredAt = r.sim.clock.now
}

// load describes what the callers send.
type load struct {
	rate       float64 // requests per second
	retries    int     // of a failed request, by the caller
	retryDelay time.Duration
}

// arrive creates the next request and schedules the one after it.
func (sim *simulation) arrive() {
	if sim.clock.now >= sim.stopArrivals {
		return
	}
	r := &request{
		sim: sim, index: len(sim.requests), kind: sim.pickKind(), arrivedAt: sim.clock.now,
		caller: sim.deployment.Callers[sim.arrivals.IntN(len(sim.deployment.Callers))],
	}
	r.id = requestID(r.index)
	r.deadline = r.arrivedAt + r.kind.Deadline
	sim.requests = append(sim.requests, r)
	r.submit(false)
	gap := -math.Log(1-sim.arrivals.Float64()) / sim.load.rate
	sim.clock.after(time.Duration(gap*float64(time.Second)), sim.arrive)
}

func (sim *simulation) pickKind() *Kind {
	x := sim.arrivals.Float64()
	for i := range sim.deployment.Kinds {
		k := &sim.deployment.Kinds[i]
		if x -= k.Mix; x < 0 {
			return k
		}
	}
	return &sim.deployment.Kinds[0]
}

func isCritical(k *Kind) bool { return k.Importance == call.Critical }
