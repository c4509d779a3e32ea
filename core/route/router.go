package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
)

// Reasons for a choice, for the decision log.
const (
	TwoChoices    = "two-choices"    // better of two hosts of the own zone, or of all if the own zone has none
	Spill         = "spill"          // the own zone nears its limit: better of two hosts of all zones
	OnlyHost      = "only-host"      // one host was left
	OutsideSubset = "outside-subset" // every usable host of the subset was excluded
)

const (
	// spillFrom and spillFull bound the mean utilisation of the own zone
	// between which a growing share of calls is chosen from all zones.
	spillFrom = 0.6
	spillFull = 0.85
	// spillGap is the lead of the own zone's utilisation over that of the other
	// zones at which all calls spill. Where all zones are equally loaded, spilled
	// calls free no slot and hold the caller's slots for longer.
	spillGap = 0.25
	// slowFactor is the latency, in multiples of the best host's, above which
	// a host of the own zone counts as fully used.
	slowFactor = 4
	// spillSteps is the resolution of the random draw against the share.
	spillSteps = 1 << 16

	// remoteShare is the part of a subset that is kept for other zones.
	remoteShare = 3
	// ejectShare is the part of a subset that may be ejected at once.
	ejectShare = 3

	// tieShare is the ratio of two scores above which they count as equal.
	// Without it a host with a slight penalty would get nothing at low load
	// and so could not show that it is well.
	tieShare = 0.9

	// unknownSlots stands in for a service that the policy does not name.
	unknownSlots = 64
)

// pool holds the hosts of one service.
type pool struct {
	hosts     []*host // rendezvous order
	subset    []*host // rendezvous order, own zone first
	size      int     // of the subset
	slots     int
	coldStart time.Duration
	latency   float64 // of the whole service, in nanoseconds
	measured  bool
	seen      bool // a list has been set before
}

func newPool() *pool {
	return &pool{
		size:      policy.DefaultSubsetSize,
		slots:     unknownSlots,
		coldStart: policy.DefaultColdStart,
		latency:   float64(unknownLatency),
	}
}

type router struct {
	self   Locality
	random func(n int) int
	pools  map[string]*pool
	hosts  map[member.HostID]*host
}

// New is a Builder. The same calls with the same random numbers give the same
// choices.
func New(self Locality, random func(n int) int) Router {
	return &router{
		self:   self,
		random: random,
		pools:  map[string]*pool{},
		hosts:  map[member.HostID]*host{},
	}
}

func (r *router) pool(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = newPool()
		r.pools[service] = p
	}
	return p
}

// SetHosts implements Router. Hosts of the first list of a service count as
// warm; a host or incarnation that appears later starts with its ramp.
func (r *router) SetHosts(now time.Time, service string, hosts []member.Host) {
	p := r.pool(service)
	old := p.hosts
	p.hosts = make([]*host, 0, len(hosts))
	listed := make(map[member.HostID]bool, len(hosts))
	for _, m := range hosts {
		if m.Status == member.Leaving || listed[m.ID] {
			continue
		}
		listed[m.ID] = true
		m.Service = service
		p.hosts = append(p.hosts, r.update(now, m, p.seen))
	}
	for _, h := range old {
		if !listed[h.ID] && h.Service == service {
			delete(r.hosts, h.ID)
		}
	}
	p.seen = p.seen || len(hosts) > 0
	slices.SortFunc(p.hosts, byRendezvous)
	r.choose(p)
}

// update returns the record of a host as listed now.
func (r *router) update(now time.Time, m member.Host, ramp bool) *host {
	h, known := r.hosts[m.ID]
	if !known {
		h = &host{Host: m, hash: r.hash(m.ID)}
		if ramp {
			h.started = now
		}
		r.hosts[m.ID] = h
		return h
	}
	if h.Incarnation != 0 && m.Incarnation > h.Incarnation {
		h.restart(now, m)
	}
	// A stale list may name an earlier incarnation or none.
	m.Incarnation = max(m.Incarnation, h.Incarnation)
	h.Host = m
	return h
}

func (r *router) hash(id member.HostID) uint64 {
	return xxhash.Sum64String(string(r.self.Host) + "\x00" + string(id))
}

func byRendezvous(a, b *host) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
}

// distance orders hosts by how near they are.
func (r *router) distance(h *host) int {
	switch {
	case h.Region != r.self.Region:
		return 2
	case h.Zone != r.self.Zone:
		return 1
	default:
		return 0
	}
}

// choose fills the subset. The own zone gets all places but the share kept
// for other zones, nearer ones first; places that one side cannot fill go to
// the other.
func (r *router) choose(p *pool) {
	local := slices.DeleteFunc(slices.Clone(p.hosts), func(h *host) bool { return r.distance(h) > 0 })
	remote := slices.DeleteFunc(slices.Clone(p.hosts), func(h *host) bool { return r.distance(h) == 0 })
	slices.SortStableFunc(remote, func(a, b *host) int { return cmp.Compare(r.distance(a), r.distance(b)) })
	fromRemote := min(len(remote), max(p.size/remoteShare, p.size-len(local)))
	fromLocal := min(len(local), p.size-fromRemote)
	p.subset = append(local[:fromLocal:fromLocal], remote[:fromRemote]...)
}

// SetPolicy implements Router.
func (r *router) SetPolicy(_ time.Time, p *policy.Policy) {
	for name, service := range p.Services {
		r.configure(r.pool(name), service)
	}
}

func (r *router) configure(p *pool, service *policy.Service) {
	if service.SubsetSize > 0 {
		p.size = service.SubsetSize
	}
	if service.Slots > 0 {
		p.slots = service.Slots
	}
	p.coldStart = service.ColdStart
	r.choose(p)
}

// Pick implements Router.
func (r *router) Pick(now time.Time, req *call.Request, exclude []member.HostID) (Choice, bool) {
	p, ok := r.pools[req.Service]
	if !ok {
		return Choice{}, false
	}
	allowed, ejected := p.usable(now, exclude)
	if len(allowed) == 0 {
		return p.lastResort(exclude, ejected)
	}
	reason := TwoChoices
	local := slices.DeleteFunc(slices.Clone(allowed), func(h *host) bool { return r.distance(h) > 0 })
	switch {
	case len(local) == 0:
	case r.spills(now, p, local):
		reason = Spill
	default:
		allowed = local
	}
	if len(allowed) == 1 {
		return Choice{Host: allowed[0].Host, Reason: OnlyHost}, true
	}
	return Choice{Host: r.better(now, p, allowed).Host, Reason: reason}, true
}

func (p *pool) bestLatency(now time.Time) float64 {
	best := p.subset[0].expected(now, p.latency)
	for _, h := range p.subset[1:] {
		best = min(best, h.expected(now, p.latency))
	}
	return best
}

// spills draws whether a call is chosen from all zones.
func (r *router) spills(now time.Time, p *pool, local []*host) bool {
	own := p.meanUse(now, local)
	share := (own - spillFrom) / (spillFull - spillFrom)
	remote := slices.DeleteFunc(slices.Clone(p.subset), func(h *host) bool {
		return r.distance(h) == 0 || h.bad(now)
	})
	if len(remote) > 0 {
		share = min(share, (own-p.meanUse(now, remote))/spillGap)
	}
	return share > 0 && float64(r.random(spillSteps)) < share*spillSteps
}

// meanUse returns the mean utilisation of some hosts, at most one.
func (p *pool) meanUse(now time.Time, hosts []*host) float64 {
	best := p.bestLatency(now)
	sum := 0.0
	for _, h := range hosts {
		if h.expected(now, p.latency) > slowFactor*best {
			sum++
			continue
		}
		sum += min(h.utilisation(now, p.slots), 1)
	}
	return sum / float64(len(hosts))
}

// better returns the better of two distinct hosts drawn at random.
func (r *router) better(now time.Time, p *pool, hosts []*host) *host {
	i := r.random(len(hosts))
	j := r.random(len(hosts) - 1)
	if j >= i {
		j++
	}
	if hosts[j].score(now, p) < tieShare*hosts[i].score(now, p) {
		return hosts[j]
	}
	return hosts[i]
}

// usable returns the hosts of the subset that are not excluded, apart from
// those that are ejected.
func (p *pool) usable(now time.Time, exclude []member.HostID) (allowed, ejected []*host) {
	worst := p.ejected(now)
	for _, h := range p.subset {
		switch {
		case slices.Contains(exclude, h.ID):
		case slices.Contains(worst, h):
			ejected = append(ejected, h)
		default:
			allowed = append(allowed, h)
		}
	}
	return allowed, ejected
}

// ejected returns the hosts of the subset that get no calls now: the worst
// ones up to a share of the subset, or none if all look bad, since then the
// cause is more likely on this side or common to all.
func (p *pool) ejected(now time.Time) []*host {
	var bad []*host
	for _, h := range p.subset {
		h.settle(now)
		if h.bad(now) {
			bad = append(bad, h)
		}
	}
	if len(bad) == len(p.subset) {
		return nil
	}
	slices.SortStableFunc(bad, func(a, b *host) int {
		return cmp.Compare(b.failureRate(now), a.failureRate(now))
	})
	return bad[:min(len(bad), len(p.subset)/ejectShare)]
}

// lastResort returns the next host in rendezvous order beyond the subset, or
// else an ejected one.
func (p *pool) lastResort(exclude []member.HostID, ejected []*host) (Choice, bool) {
	for _, h := range p.hosts {
		if !slices.Contains(exclude, h.ID) && !slices.Contains(p.subset, h) {
			return Choice{Host: h.Host, Reason: OutsideSubset}, true
		}
	}
	if len(ejected) > 0 {
		return Choice{Host: ejected[0].Host, Reason: OnlyHost}, true
	}
	return Choice{}, false
}

// Sent implements Router.
func (r *router) Sent(_ time.Time, id member.HostID) {
	if h, ok := r.hosts[id]; ok {
		h.inFlight++
	}
}

// Done implements Router. A refusal shows that the host is alive, but its
// latency says nothing about the service.
func (r *router) Done(now time.Time, id member.HostID, out Outcome) {
	h, ok := r.hosts[id]
	if !ok {
		return
	}
	h.inFlight = max(h.inFlight-1, 0)
	if h.inherited > 0 && out.Failed {
		h.inherited--
		return
	}
	h.inherited = min(h.inherited, h.inFlight)
	if out.Cancelled {
		return
	}
	h.observe(now, out.Failed, r.random)
	r.learnLoad(now, h, out)
	if !out.Failed && !out.Refused {
		h.measure(now, out.Latency)
		r.pool(h.Service).measure(out.Latency)
	}
}

// learnLoad takes the reported load. A refusal without a report stands for a
// host at its limit.
func (r *router) learnLoad(now time.Time, h *host, out Outcome) {
	switch {
	case out.Report != nil:
		h.report = *out.Report
	case out.Refused:
		limit := h.report.Limit
		if limit <= 0 {
			limit = r.pool(h.Service).slots
		}
		h.report = Report{Running: limit, Limit: limit}
	default:
		return
	}
	h.reportAt = now
}

func (p *pool) measure(latency time.Duration) {
	if !p.measured {
		p.latency = float64(latency)
	}
	p.measured = true
	p.latency += latencyGain * (float64(latency) - p.latency)
}

// Forget implements Router.
func (r *router) Forget(time.Time) {
	for _, h := range r.hosts {
		h.forget()
	}
	for _, p := range r.pools {
		p.latency, p.measured = float64(unknownLatency), false
	}
}
