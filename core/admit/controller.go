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
	// queueShare is the part of the time left that a call of a caller may
	// spend in one queue.
	queueShare = 0.25
	// deepQueueShare applies to sub-calls, which hold slots of their parents
	// while they wait, and urgentDeepShare to critical ones.
	deepQueueShare  = 0.03
	urgentDeepShare = 0.1
	// minRetryAfter is the shortest advice: the demand estimate needs about
	// this time to follow a change.
	minRetryAfter = 100 * time.Millisecond
	// deepWeight is the weight of one arrival in the share of sub-calls.
	deepWeight = 1.0 / 256
	// defaultCost is assumed for a call of unknown cost.
	defaultCost = 5 * time.Millisecond
)

// Limiter learns how many calls may run at once; *limit.Limit implements it.
type Limiter interface {
	Current(now time.Time) int
	SetInFlight(now time.Time, running int)
	OnComplete(now time.Time, took, reference time.Duration)
	OnShed(now time.Time, running int)
	Reset(now time.Time)
	SetSlots(slots int)
}

// Features are the parts of admission that can be left out, so that the
// effect of each can be measured.
type Features struct {
	// DeadlineDrop refuses calls that cannot finish or wait too long.
	DeadlineDrop bool
	// Preemption drops the lowest waiting call for a higher arrival; without
	// it, an arrival at a full queue is refused.
	Preemption bool
	// Thresholds derives admission levels from the demand.
	Thresholds bool
	// Limit makes the limit; nil keeps to the configured slots.
	Limit func(slots int) Limiter
}

// guard implements Admitter.
type guard struct {
	service *policy.Service
	with    Features
	limit   Limiter
	queue   queue
	byName  map[string]*account
	other   *account // all callers that are not configured
	running map[call.ID]run
	deep    float64 // share of sub-calls among the arrivals
	urgent  int     // running calls of critical importance
	times   map[string]*serviceTime
	updated time.Time
}

// run is a call that holds a slot.
type run struct {
	owner      *account
	importance call.Importance
	kind       string
	nominal    time.Duration
	charged    time.Duration
}

// New returns an Admitter that orders its queue by importance, customer share
// and rank, and learns the limit of its upstream.
func New(service *policy.Service, callers map[string]*policy.Caller) Controller {
	learned := func(slots int) Limiter { return limit.New(slots) }
	return With(Features{DeadlineDrop: true, Preemption: true, Thresholds: true, Limit: learned})(service, callers)
}

// With returns a Builder of admitters with some of the mechanisms.
func With(m Features) Builder {
	return func(service *policy.Service, callers map[string]*policy.Caller) Controller {
		return newGuard(m, service, callers)
	}
}

func newGuard(m Features, service *policy.Service, callers map[string]*policy.Caller) *guard {
	if m.Limit == nil {
		m.Limit = func(slots int) Limiter { return limit.Fixed(slots) }
	}
	g := &guard{
		service: service,
		with:    m,
		limit:   m.Limit(service.Slots),
		running: map[call.ID]run{},
		times:   map[string]*serviceTime{},
	}
	g.queue.byID = map[call.ID]*entry{}
	g.setCallers(callers)
	return g
}

// Offer implements Admitter.
func (g *guard) Offer(now time.Time, req *call.Request) []Decision {
	g.refresh(now)
	out := g.expire(now)
	owner := g.account(req.Caller)
	cost := g.expected(now, req)
	owner.rates.add(req.Rank, cost)
	g.countDeep(req.Depth > 0)
	e := &entry{req: req, owner: owner, cost: cost}
	limit := g.limit.Current(now)
	if g.queue.total == 0 && g.hasSlot(req.Rank.Importance(), limit) && !now.Add(cost).After(req.Deadline) {
		return append(out, g.start(now, e))
	}
	if reason, ok := g.place(now, e, limit); !ok {
		return append(out, g.refuse(now, e, reason))
	}
	g.queue.insert(e)
	out = g.displace(now, limit, out)
	return g.dispatch(now, out)
}

// Done implements Admitter.
func (g *guard) Done(now time.Time, id call.ID, out Outcome) []Decision {
	r, ok := g.running[id]
	if !ok {
		return nil
	}
	g.learn(now, r, out)
	delete(g.running, id)
	if r.importance == call.Critical {
		g.urgent--
	}
	g.limit.SetInFlight(now, len(g.running))
	g.queue.charge(r.owner, r.importance, out.Latency-r.charged)
	g.refresh(now)
	return g.dispatch(now, g.expire(now))
}

func (g *guard) learn(now time.Time, r run, out Outcome) {
	switch {
	case out.Cancelled, out.Failed:
	case out.Shed:
		g.limit.OnShed(now, len(g.running))
	default:
		t := g.timeOf(r.kind, r.nominal)
		t.observe(now, out.Latency, out.Latency-out.Waited)
		g.limit.OnComplete(now, out.Latency-out.Waited, t.reference())
	}
}

// Cancel implements Admitter.
func (g *guard) Cancel(now time.Time, id call.ID) []Decision {
	if e, ok := g.queue.byID[id]; ok {
		g.queue.remove(e)
	}
	return g.dispatch(now, g.expire(now))
}

// Tick implements Admitter.
func (g *guard) Tick(now time.Time) []Decision {
	g.refresh(now)
	return g.dispatch(now, g.expire(now))
}

// RejectQueued implements Admitter.
func (g *guard) RejectQueued(now time.Time, reason verdict.Reason) []Decision {
	var out []Decision
	for e := g.queue.bottom(); e != nil; e = g.queue.bottom() {
		g.queue.remove(e)
		out = append(out, g.refuse(now, e, reason))
	}
	for _, a := range g.queue.accounts {
		a.rates = rates{}
	}
	g.updated = now
	g.limit.Reset(now)
	return out
}

// Threshold implements Admitter.
func (g *guard) Threshold(now time.Time, caller string) call.Rank {
	g.refresh(now)
	return g.account(caller).rates.level
}

// Load implements Admitter.
func (g *guard) Load(now time.Time) Load {
	limit := g.limit.Current(now)
	return Load{
		Running: len(g.running),
		Queued:  len(g.queue.byID),
		Limit:   limit,
		Slots:   g.service.Slots,
		Wait:    perSlot(g.queue.total, limit),
	}
}

// SetPolicy implements Admitter.
func (g *guard) SetPolicy(_ time.Time, service *policy.Service, callers map[string]*policy.Caller) {
	g.service = service
	g.limit.SetSlots(service.Slots)
	g.setCallers(callers)
}

// setCallers takes new shares. A caller that is no longer configured keeps its
// account while calls of it wait or run.
func (g *guard) setCallers(callers map[string]*policy.Caller) {
	least := 1.0
	known := map[string]*account{}
	for name, c := range callers {
		a := g.byName[name]
		if a == nil {
			a = &account{name: name}
		}
		a.share = math.Max(c.Share, 1e-6)
		least = math.Min(least, a.share)
		known[name] = a
	}
	for name, a := range g.byName {
		if known[name] == nil && g.uses(a) {
			known[name] = a
		}
	}
	if g.other == nil {
		g.other = &account{}
	}
	g.other.share = least
	g.byName = known
	g.queue.accounts = []*account{g.other}
	for _, a := range known {
		g.queue.accounts = append(g.queue.accounts, a)
	}
	accounts := g.queue.accounts
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].name < accounts[j].name })
}

func (g *guard) uses(a *account) bool {
	for i := range a.lanes {
		if len(a.lanes[i].entries) > 0 {
			return true
		}
	}
	return false
}

func (g *guard) account(caller string) *account {
	if a := g.byName[caller]; a != nil {
		return a
	}
	return g.other
}

// refresh recomputes the levels when they are due.
func (g *guard) refresh(now time.Time) {
	if g.updated.IsZero() {
		g.updated = now
	}
	if !g.with.Thresholds {
		return
	}
	dt := now.Sub(g.updated)
	if dt < levelInterval {
		return
	}
	g.updated = now
	limit := g.limit.Current(now)
	updateLevels(g.queue.accounts, float64(limit), g.deep, perSlot(g.queue.total, limit), g.target(limit), dt)
}

// hasSlot reports whether a call of an importance may start now.
func (g *guard) hasSlot(importance call.Importance, limit int) bool {
	if len(g.running) >= limit {
		return false
	}
	if importance == call.Critical {
		return true
	}
	// A learned limit near the reservation must not shut out other work.
	reserved := min(g.service.Reserved, limit/2)
	return len(g.running)-g.urgent < limit-reserved
}

// dispatch starts waiting calls while slots are free.
func (g *guard) dispatch(now time.Time, out []Decision) []Decision {
	limit := g.limit.Current(now)
	for {
		e := g.queue.top()
		if e == nil || !g.hasSlot(e.req.Rank.Importance(), limit) {
			return out
		}
		g.queue.remove(e)
		out = append(out, g.start(now, e))
	}
}

func (g *guard) start(now time.Time, e *entry) Decision {
	importance := e.req.Rank.Importance()
	g.running[e.req.ID] = run{
		owner:      e.owner,
		importance: importance,
		kind:       e.req.Kind,
		nominal:    nominal(e.req),
		charged:    e.cost,
	}
	if importance == call.Critical {
		g.urgent++
	}
	g.limit.SetInFlight(now, len(g.running))
	g.queue.started(e.owner, importance, e.cost)
	return Decision{ID: e.req.ID, Run: true}
}

func perSlot(cost time.Duration, limit int) time.Duration { return cost / time.Duration(max(limit, 1)) }
