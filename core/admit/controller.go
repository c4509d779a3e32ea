package admit

import (
	"math"
	"sort"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/limit"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

const (
	// queueShare is the part of its remaining time that a root request may
	// spend waiting in one queue.
	queueShare = 0.25
	// subCallQueueShare replaces queueShare for sub-calls, which hold the slots
	// of their parent calls while they wait, and criticalSubCallQueueShare for
	// critical sub-calls.
	subCallQueueShare         = 0.03
	criticalSubCallQueueShare = 0.1
	// minRetryAfter is the shortest retry-after time: the demand estimate needs
	// about this long to follow a change.
	minRetryAfter = 100 * time.Millisecond
	// subCallRatioWeight is the weight of one arrival in the moving average of
	// the share of sub-calls.
	subCallRatioWeight = 1.0 / 256
	// defaultCost is assumed for a call of unknown cost.
	defaultCost = 5 * time.Millisecond
)

// Limiter determines how many calls may run at once. *limit.Limiter implements
// it.
type Limiter interface {
	Current(now time.Time) int
	SetInFlight(now time.Time, running int)
	OnComplete(now time.Time, took, reference time.Duration)
	OnShed(now time.Time, running int)
	Reset(now time.Time)
	SetSlots(slots int)
}

// Features are the parts of admission control that can be switched off, so that
// the effect of each can be measured.
type Features struct {
	// DeadlineDrop rejects calls that cannot finish before their deadline or
	// would wait too long.
	DeadlineDrop bool
	// Preemption sheds the lowest waiting call for an arrival of higher rank.
	// Without it, an arrival at a full queue is rejected.
	Preemption bool
	// Thresholds derives admission thresholds from the demand.
	Thresholds bool
	// Limit makes the concurrency limiter; with nil, the configured slots are
	// the limit.
	Limit func(slots int) Limiter
}

// controller implements Controller.
type controller struct {
	service         *policy.Service
	features        Features
	limit           Limiter
	queue           queue
	byName          map[string]*callerState
	unconfigured    *callerState // shared by all callers that are not configured
	running         map[call.ID]runningCall
	subCallRatio    float64 // moving average of the share of sub-calls among the arrivals
	runningCritical int     // running calls of critical importance
	serviceTimes    map[string]*serviceTime
	lastUpdate      time.Time
}

// runningCall is a call that holds a slot.
type runningCall struct {
	caller         *callerState
	importance     call.Importance
	kind           string
	configuredCost time.Duration
	charged        time.Duration
}

// New returns a Controller that orders its queue by importance, caller share
// and rank, and learns the concurrency limit of its upstream.
func New(service *policy.Service, callers map[string]*policy.Caller) Controller {
	learned := func(slots int) Limiter { return limit.New(slots) }
	return With(Features{DeadlineDrop: true, Preemption: true, Thresholds: true, Limit: learned})(service, callers)
}

// With returns a Builder of controllers with the given features.
func With(features Features) Builder {
	return func(service *policy.Service, callers map[string]*policy.Caller) Controller {
		return newController(features, service, callers)
	}
}

func newController(features Features, service *policy.Service, callers map[string]*policy.Caller) *controller {
	if features.Limit == nil {
		features.Limit = func(slots int) Limiter { return limit.Fixed(slots) }
	}
	c := &controller{
		service:      service,
		features:     features,
		limit:        features.Limit(service.Slots),
		running:      map[call.ID]runningCall{},
		serviceTimes: map[string]*serviceTime{},
	}
	c.queue.byID = map[call.ID]*entry{}
	c.setCallers(callers)
	return c
}

// Offer implements Controller.
func (c *controller) Offer(now time.Time, req *call.Request) []Decision {
	c.refreshThresholds(now)
	out := c.expire(now)
	caller := c.stateOf(req.Caller)
	cost := c.expected(now, req)
	caller.demand.add(req.Rank, cost)
	c.countSubCall(req.Depth > 0)
	e := &entry{req: req, caller: caller, cost: cost}
	limit := c.limit.Current(now)
	if c.queue.total == 0 && c.hasSlot(req.Rank.Importance(), limit) && !now.Add(cost).After(req.Deadline) {
		return append(out, c.start(now, e))
	}
	if reason, ok := c.mayQueue(now, e, limit); !ok {
		return append(out, c.reject(now, e, reason))
	}
	c.queue.insert(e)
	out = c.preempt(now, limit, out)
	return c.dispatch(now, out)
}

// Done implements Controller.
func (c *controller) Done(now time.Time, id call.ID, out Outcome) []Decision {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.observe(now, r, out)
	delete(c.running, id)
	if r.importance == call.Critical {
		c.runningCritical--
	}
	c.limit.SetInFlight(now, len(c.running))
	c.queue.charge(r.caller, r.importance, out.Latency-r.charged)
	c.refreshThresholds(now)
	return c.dispatch(now, c.expire(now))
}

// observe passes the outcome of a call to the concurrency limiter and to the
// service times.
func (c *controller) observe(now time.Time, r runningCall, out Outcome) {
	switch {
	case out.Cancelled, out.Failed:
	case out.Shed:
		c.limit.OnShed(now, len(c.running))
	default:
		t := c.serviceTimeOf(r.kind, r.configuredCost)
		t.observe(now, out.Latency, out.Latency-out.Waited)
		c.limit.OnComplete(now, out.Latency-out.Waited, t.reference())
	}
}

// Cancel implements Controller.
func (c *controller) Cancel(now time.Time, id call.ID) []Decision {
	if e, ok := c.queue.byID[id]; ok {
		c.queue.remove(e)
	}
	return c.dispatch(now, c.expire(now))
}

// Tick implements Controller.
func (c *controller) Tick(now time.Time) []Decision {
	c.refreshThresholds(now)
	return c.dispatch(now, c.expire(now))
}

// RejectQueued implements Controller.
func (c *controller) RejectQueued(now time.Time, reason verdict.Reason) []Decision {
	var out []Decision
	for e := c.queue.lowest(); e != nil; e = c.queue.lowest() {
		c.queue.remove(e)
		out = append(out, c.reject(now, e, reason))
	}
	for _, state := range c.queue.callers {
		state.demand = callerDemand{}
	}
	c.lastUpdate = now
	c.limit.Reset(now)
	return out
}

// Threshold implements Controller.
func (c *controller) Threshold(now time.Time, caller string) call.Rank {
	c.refreshThresholds(now)
	return c.stateOf(caller).demand.threshold
}

// Load implements Controller.
func (c *controller) Load(now time.Time) Load {
	limit := c.limit.Current(now)
	return Load{
		Running: len(c.running),
		Queued:  len(c.queue.byID),
		Limit:   limit,
		Slots:   c.service.Slots,
		Wait:    perSlot(c.queue.total, limit),
	}
}

// SetPolicy implements Controller.
func (c *controller) SetPolicy(_ time.Time, service *policy.Service, callers map[string]*policy.Caller) {
	c.service = service
	c.limit.SetSlots(service.Slots)
	c.setCallers(callers)
}

// setCallers applies new shares. The state of a caller that is no longer
// configured is kept while any of its calls wait; running calls refer to it
// themselves.
func (c *controller) setCallers(callers map[string]*policy.Caller) {
	minShare := 1.0
	kept := map[string]*callerState{}
	for name, caller := range callers {
		state := c.byName[name]
		if state == nil {
			state = &callerState{name: name}
		}
		state.share = math.Max(caller.Share, 1e-6)
		minShare = math.Min(minShare, state.share)
		kept[name] = state
	}
	for name, state := range c.byName {
		if kept[name] == nil && c.hasWaiting(state) {
			kept[name] = state
		}
	}
	if c.unconfigured == nil {
		c.unconfigured = &callerState{}
	}
	c.unconfigured.share = minShare
	c.byName = kept
	c.queue.callers = []*callerState{c.unconfigured}
	for _, state := range kept {
		c.queue.callers = append(c.queue.callers, state)
	}
	sorted := c.queue.callers
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name < sorted[j].name })
}

func (c *controller) hasWaiting(state *callerState) bool {
	for i := range state.waiting {
		if len(state.waiting[i].entries) > 0 {
			return true
		}
	}
	return false
}

func (c *controller) stateOf(caller string) *callerState {
	if state := c.byName[caller]; state != nil {
		return state
	}
	return c.unconfigured
}

// refreshThresholds recomputes the thresholds when they are due.
func (c *controller) refreshThresholds(now time.Time) {
	if c.lastUpdate.IsZero() {
		c.lastUpdate = now
	}
	if !c.features.Thresholds {
		return
	}
	dt := now.Sub(c.lastUpdate)
	if dt < thresholdInterval {
		return
	}
	c.lastUpdate = now
	limit := c.limit.Current(now)
	updateThresholds(c.queue.callers, float64(limit), c.subCallRatio, perSlot(c.queue.total, limit), c.target(limit), dt)
}

// hasSlot reports whether a call of an importance may start now.
func (c *controller) hasSlot(importance call.Importance, limit int) bool {
	if len(c.running) >= limit {
		return false
	}
	if importance == call.Critical {
		return true
	}
	// If the learned limit is close to the number of reserved slots, reserving
	// all of them would shut out all other calls.
	reserved := min(c.service.Reserved, limit/2)
	return len(c.running)-c.runningCritical < limit-reserved
}

// dispatch starts waiting calls while slots are free.
func (c *controller) dispatch(now time.Time, out []Decision) []Decision {
	limit := c.limit.Current(now)
	for {
		e := c.queue.next()
		if e == nil || !c.hasSlot(e.req.Rank.Importance(), limit) {
			return out
		}
		c.queue.remove(e)
		out = append(out, c.start(now, e))
	}
}

// start gives a slot to a call.
func (c *controller) start(now time.Time, e *entry) Decision {
	importance := e.req.Rank.Importance()
	c.running[e.req.ID] = runningCall{
		caller:         e.caller,
		importance:     importance,
		kind:           e.req.Kind,
		configuredCost: configuredCost(e.req),
		charged:        e.cost,
	}
	if importance == call.Critical {
		c.runningCritical++
	}
	c.limit.SetInFlight(now, len(c.running))
	c.queue.chargeStart(e.caller, importance, e.cost)
	return Decision{ID: e.req.ID, Run: true}
}

// perSlot returns the time in which the given number of slots work off a cost.
func perSlot(cost time.Duration, limit int) time.Duration { return cost / time.Duration(max(limit, 1)) }
