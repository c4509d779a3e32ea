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
	// serviceShape is the shape of the gamma distribution of service times;
	// the deviation is half of the mean.
	serviceShape = 4
	// coldFactor is the slowness of an upstream directly after its start.
	coldFactor = 4
	// coldSlots is the share of the slots up to which a narrow upstream does
	// not lose throughput directly after its start.
	coldSlots = 0.25
)

var (
	okAnswer     = &call.Answer{Status: http.StatusOK}
	failedAnswer = &call.Answer{Status: http.StatusServiceUnavailable}
)

// run is a call on an upstream.
type run struct {
	id      call.ID
	token   string
	request *request
	stage   int
	begun   time.Duration
	holding bool // occupies a slot
	ended   bool
	tries   int // of the outgoing call
}

// upstream is a fake back end with slots, service times, a cold start and a
// limit of connections. Calls above its slots wait inside it.
type upstream struct {
	node    *node
	random  *rand.Rand
	slots   int
	most    int // connections
	open    int // connections in use or idle
	idle    int
	busy    int
	slow    float64
	coldTil time.Duration
	cold    time.Duration
	narrow  bool // the cold start narrows the upstream instead of slowing it
	queue   []*run
	runs    map[call.ID]*run
	calls   map[call.ID]engine.PeerCall
	dead    bool
}

func newUpstream(n *node) *upstream {
	w := n.world
	s := w.service(n.host.Service)
	return &upstream{
		node: n, slots: s.Slots, most: s.Connections, slow: w.slowness[n.host.Service],
		random: rand.New(rand.NewPCG(w.seed, hash(string(n.host.ID))^uint64(n.epoch))),
		runs:   map[call.ID]*run{}, calls: map[call.ID]engine.PeerCall{},
	}
}

// announce keeps the description of a call whose body the runtime holds.
func (u *upstream) announce(id call.ID, c engine.PeerCall) { u.calls[id] = c }

func (u *upstream) forget(id call.ID) {
	if u.runs[id] == nil {
		delete(u.calls, id)
	}
}

func (u *upstream) start(a engine.RunUpstream) {
	c := u.calls[a.ID]
	w := u.node.world
	r := &run{id: a.ID, token: a.Token, request: w.requests[c.Digest]}
	r.stage = r.request.stageOf(u.node.host.Service)
	u.runs[a.ID] = r
	if r.stage == 0 {
		r.request.runs++
		r.request.ran = append(r.request.ran, mark(c.Path, c.Key))
	}
	w.clock.expire(a.Timeout, expiry{node: u.node, epoch: u.node.epoch, id: uint64(a.ID), attempt: -1})
	u.queue = append(u.queue, r)
	u.fill()
}

// fill starts waiting runs while slots and connections are free.
func (u *upstream) fill() {
	for len(u.queue) > 0 && u.busy < u.slots {
		if u.idle == 0 && u.open >= u.most {
			return
		}
		r := u.queue[0]
		u.queue = u.queue[1:]
		if r.ended {
			continue
		}
		u.begin(r)
	}
}

func (u *upstream) begin(r *run) {
	w := u.node.world
	u.busy++
	connect := time.Duration(0)
	if u.idle > 0 {
		u.idle--
	} else {
		u.open++
		connect = w.deployment.ConnectCost
	}
	r.holding = true
	r.begun = w.clock.now
	w.clock.after(connect+u.serviceTime(r), func() {
		if !r.ended && !u.dead {
			u.next(r)
		}
	})
}

func (u *upstream) serviceTime(r *run) time.Duration {
	mean := float64(r.request.kind.Chain[r.stage].Cost) * u.slow * u.coldness()
	sum := 0.0
	for range serviceShape {
		sum -= math.Log(1 - u.random.Float64())
	}
	return time.Duration(mean * sum / serviceShape)
}

// coldness is the factor of the cold start on service times. A narrow upstream
// gets slower with the square of the calls beyond its width, so its throughput
// falls as calls are added; any other falls evenly from coldFactor to one.
func (u *upstream) coldness() float64 {
	left := u.coldTil - u.node.world.clock.now
	if left <= 0 || u.cold <= 0 {
		return 1
	}
	part := float64(left) / float64(u.cold)
	if !u.narrow {
		return 1 + (coldFactor-1)*part
	}
	excess := float64(u.busy) / (coldWidth(1-part) * float64(u.slots))
	return math.Max(1, excess*excess)
}

// coldWidth is the share of the slots that a narrow upstream bears after a
// part of its cold start.
func coldWidth(warm float64) float64 { return coldSlots + (1-coldSlots)*warm }

// next makes the outgoing call of a run, if its chain goes on.
func (u *upstream) next(r *run) {
	k := r.request.kind
	if r.stage+1 >= len(k.Chain) {
		u.finish(r, okAnswer)
		return
	}
	r.tries++
	if r.tries > 1 {
		r.request.retries++
	}
	n := u.node
	id := n.id()
	n.egress[id] = r
	n.step(engine.CallArrived{
		ID: id, Egress: true, Service: k.Chain[r.stage+1].Service, Method: http.MethodGet, Path: k.partPath(),
		RequestID: r.request.id, Token: r.token, Digest: uint64(r.request.index),
	})
}

// resume continues a run after its outgoing call.
func (u *upstream) resume(r *run, a engine.AnswerCaller) {
	if r.ended || u.dead {
		return
	}
	if a.Answer != nil && a.Answer.Status == http.StatusOK {
		u.finish(r, okAnswer)
		return
	}
	if r.tries <= u.node.world.variant.HopRetries {
		u.node.world.clock.after(0, func() {
			if !r.ended && !u.dead {
				u.next(r)
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
	u.fill()
}

// release frees the slot of a run and accounts for the time it was held.
func (u *upstream) release(r *run) {
	r.ended = true
	delete(u.runs, r.id)
	if !r.holding {
		return
	}
	r.holding = false
	u.busy--
	u.idle++
	r.request.slotTime += u.node.world.clock.now - r.begun
}

// cancel withdraws a run, which frees its slot at once.
func (u *upstream) cancel(id call.ID) {
	r := u.runs[id]
	if r == nil {
		return
	}
	u.release(r)
	delete(u.calls, id)
	// The runtime reports the end of the run after the present actions.
	epoch := u.node.epoch
	u.node.world.clock.after(0, func() {
		if u.node.epoch != epoch || u.dead {
			return
		}
		u.node.step(engine.UpstreamFailed{ID: id, Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled})
		u.fill()
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
	u.fill()
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(s) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func requestID(index int) string { return "r" + strconv.Itoa(index) }
