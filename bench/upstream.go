package bench

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

const (
	// serviceTimeShape is the shape of the gamma distribution of service times;
	// their standard deviation is half of the mean.
	serviceTimeShape = 4
	// initialSlowdown is the factor on the service times of an upstream directly
	// after its start.
	initialSlowdown = 4
	// initialSlotShare is the share of the slots that a narrow upstream can use
	// without loss of throughput directly after its start.
	initialSlotShare = 0.25
)

var (
	okAnswer     = &call.Answer{Status: http.StatusOK}
	failedAnswer = &call.Answer{Status: http.StatusServiceUnavailable}
)

// run is the execution of a call by an upstream.
type run struct {
	id        call.ID
	token     string
	request   *request
	stage     int
	startedAt time.Duration
	holdsSlot bool
	ended     bool
	attempts  int // of the outgoing call
}

// upstream is a simulated upstream with slots, service times, a cold start and a
// connection limit. Calls in excess of its slots wait inside it.
type upstream struct {
	node         *node
	random       *rand.Rand
	slots        int
	maxConns     int
	openConns    int // in use or idle
	idleConns    int
	busySlots    int
	slowFactor   float64       // on service times
	coldUntil    time.Duration // end of the cold start
	coldDuration time.Duration
	narrow       bool // the cold start limits the concurrency instead of slowing all calls
	queue        []*run
	runs         map[call.ID]*run
	calls        map[call.ID]engine.PeerCall
	crashed      bool
}

func newUpstream(n *node) *upstream {
	sim := n.sim
	s := sim.service(n.host.Service)
	return &upstream{
		node: n, slots: s.Slots, maxConns: s.Connections, slowFactor: sim.slowFactors[n.host.Service],
		random: rand.New(rand.NewPCG(sim.seed, hash(string(n.host.ID))^uint64(n.incarnation))),
		runs:   map[call.ID]*run{}, calls: map[call.ID]engine.PeerCall{},
	}
}

// addCall stores a received call until its run has ended or it is answered.
func (u *upstream) addCall(id call.ID, c engine.PeerCall) { u.calls[id] = c }

// removeCall removes an answered call, unless it is still running.
func (u *upstream) removeCall(id call.ID) {
	if u.runs[id] == nil {
		delete(u.calls, id)
	}
}

func (u *upstream) start(a engine.RunUpstream) {
	c := u.calls[a.ID]
	sim := u.node.sim
	r := &run{id: a.ID, token: a.Token, request: sim.requests[c.Digest]}
	r.stage = r.request.stageOf(u.node.host.Service)
	u.runs[a.ID] = r
	if r.stage == 0 {
		r.request.executions++
		r.request.executed = append(r.request.executed, submissionID(c.Path, c.Key))
	}
	sim.clock.scheduleExpiry(a.Timeout, expiry{node: u.node, incarnation: u.node.incarnation, id: uint64(a.ID), attempt: -1})
	u.queue = append(u.queue, r)
	u.startQueued()
}

// startQueued starts queued runs while slots and connections are available.
func (u *upstream) startQueued() {
	for len(u.queue) > 0 && u.busySlots < u.slots {
		if u.idleConns == 0 && u.openConns >= u.maxConns {
			return
		}
		r := u.queue[0]
		u.queue = u.queue[1:]
		if r.ended {
			continue
		}
		u.startRun(r)
	}
}

func (u *upstream) startRun(r *run) {
	sim := u.node.sim
	u.busySlots++
	connect := time.Duration(0)
	if u.idleConns > 0 {
		u.idleConns--
	} else {
		u.openConns++
		connect = sim.deployment.ConnectCost
	}
	r.holdsSlot = true
	r.startedAt = sim.clock.now
	sim.clock.after(connect+u.serviceTime(r), func() {
		if !r.ended && !u.crashed {
			u.callNextStage(r)
		}
	})
}

func (u *upstream) serviceTime(r *run) time.Duration {
	mean := float64(r.request.kind.Chain[r.stage].Cost) * u.slowFactor * u.coldSlowdown()
	sum := 0.0
	for range serviceTimeShape {
		sum -= math.Log(1 - u.random.Float64())
	}
	return time.Duration(mean * sum / serviceTimeShape)
}

// coldSlowdown returns the factor of the cold start on service times. For a
// narrow upstream it is the square of the ratio of running calls to usable slots,
// at least one, so throughput falls as calls are added beyond these slots. For
// any other upstream it falls linearly from initialSlowdown to one.
func (u *upstream) coldSlowdown() float64 {
	left := u.coldUntil - u.node.sim.clock.now
	if left <= 0 || u.coldDuration <= 0 {
		return 1
	}
	remaining := float64(left) / float64(u.coldDuration)
	if !u.narrow {
		return 1 + (initialSlowdown-1)*remaining
	}
	ratio := float64(u.busySlots) / (coldSlotShare(1-remaining) * float64(u.slots))
	return math.Max(1, ratio*ratio)
}

// coldSlotShare returns the share of the slots that a narrow upstream can use
// without loss of throughput when the fraction warm of its cold start has passed.
func coldSlotShare(warm float64) float64 { return initialSlotShare + (1-initialSlotShare)*warm }

// callNextStage makes the outgoing call of a run, or finishes the run after the
// last stage.
func (u *upstream) callNextStage(r *run) {
	k := r.request.kind
	if r.stage+1 >= len(k.Chain) {
		u.finish(r, okAnswer)
		return
	}
	r.attempts++
	if r.attempts > 1 {
		r.request.retries++
	}
	n := u.node
	id := n.id()
	n.egressRuns[id] = r
	n.step(engine.CallArrived{
		ID: id, Egress: true, Service: k.Chain[r.stage+1].Service, Method: http.MethodGet, Path: k.partPath(),
		RequestID: r.request.id, Token: r.token, Digest: uint64(r.request.index),
	})
}

// resume continues a run after the answer to its outgoing call.
func (u *upstream) resume(r *run, a engine.AnswerCaller) {
	if r.ended || u.crashed {
		return
	}
	if a.Answer != nil && a.Answer.Status == http.StatusOK {
		u.finish(r, okAnswer)
		return
	}
	if r.attempts <= u.node.sim.variant.HopRetries {
		u.node.sim.clock.after(0, func() {
			if !r.ended && !u.crashed {
				u.callNextStage(r)
			}
		})
		return
	}
	u.finish(r, failedAnswer)
}

func (u *upstream) finish(r *run, answer *call.Answer) {
	u.release(r)
	delete(u.calls, r.id)
	u.node.step(engine.UpstreamReplied{ID: r.id, Answer: answer})
	u.startQueued()
}

// release ends a run, frees its slot and adds the time for which it was held to
// the request.
func (u *upstream) release(r *run) {
	r.ended = true
	delete(u.runs, r.id)
	if !r.holdsSlot {
		return
	}
	r.holdsSlot = false
	u.busySlots--
	u.idleConns++
	r.request.slotTime += u.node.sim.clock.now - r.startedAt
}

// cancel cancels a run, which frees its slot at once.
func (u *upstream) cancel(id call.ID) {
	r := u.runs[id]
	if r == nil {
		return
	}
	u.release(r)
	delete(u.calls, id)
	// As in a node's runtime, the end of the run is reported after the pending
	// actions.
	incarnation := u.node.incarnation
	u.node.sim.clock.after(0, func() {
		if u.node.incarnation != incarnation || u.crashed {
			return
		}
		u.node.step(engine.UpstreamFailed{ID: id, Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled})
		u.startQueued()
	})
}

// expire ends a run at its deadline.
func (u *upstream) expire(id call.ID) {
	r := u.runs[id]
	if r == nil {
		return
	}
	u.release(r)
	delete(u.calls, id)
	u.node.step(engine.UpstreamFailed{ID: id, Verdict: verdict.MayHaveRun, Reason: verdict.DeadlinePassed})
	u.startQueued()
}

// hash returns the 64-bit FNV-1a hash.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func requestID(index int) string { return "r" + strconv.Itoa(index) }
