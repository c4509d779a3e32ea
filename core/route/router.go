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
	TwoChoices    = "two-choices"    // better of two hosts of the local zone, or of all zones if it has none
	Spill         = "spill"          // the local zone nears its limit: better of two hosts of all zones
	OnlyHost      = "only-host"      // only one host was eligible
	OutsideSubset = "outside-subset" // every eligible host of the subset was excluded
)

const (
	// spillStart and spillFull are the mean utilisations of the local zone
	// between which the share of calls that are chosen from all zones grows
	// from none to all.
	spillStart = 0.6
	spillFull  = 0.85
	// spillGap is the difference between the utilisation of the local zone and
	// that of the other zones at which all calls spill. Where all zones are
	// equally loaded, spilled calls free no slot and hold the slots of their
	// parent calls for longer.
	spillGap = 0.25
	// slowFactor is the latency, in multiples of the best host's, above which a
	// host of the local zone counts as fully used.
	slowFactor = 4
	// spillSteps is the resolution of the random draw against the share.
	spillSteps = 1 << 16

	// remoteDivisor reserves one in remoteDivisor places of a subset for other
	// zones.
	remoteDivisor = 3
	// ejectDivisor bounds the hosts that are ejected at once to one in
	// ejectDivisor of a subset.
	ejectDivisor = 3

	// tieRatio is the ratio of two scores above which they count as equal.
	// Otherwise a host with a slight penalty would get no calls at low load and
	// could not show that it has recovered.
	tieRatio = 0.9

	// defaultSlots is assumed for a service that the policy does not name.
	defaultSlots = 64
)

// pool holds the hosts of one service.
type pool struct {
	hosts      []*host // rendezvous order
	subset     []*host // rendezvous order, local zone first
	size       int     // number of hosts in the subset
	slots      int
	coldStart  time.Duration
	latency    float64 // mean of the whole service, in nanoseconds
	hasLatency bool
	hasList    bool // a non-empty list has been set
}

func newPool() *pool {
	return &pool{
		size:      policy.DefaultSubsetSize,
		slots:     defaultSlots,
		coldStart: policy.DefaultColdStart,
		latency:   float64(defaultLatency),
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
// warm; the weight of a host or incarnation that appears later ramps up.
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
		p.hosts = append(p.hosts, r.update(now, m, p.hasList))
	}
	for _, h := range old {
		if !listed[h.ID] && h.Service == service {
			delete(r.hosts, h.ID)
		}
	}
	p.hasList = p.hasList || len(hosts) > 0
	slices.SortFunc(p.hosts, byRendezvous)
	r.buildSubset(p)
}

// update returns the record of a host as listed now.
func (r *router) update(now time.Time, m member.Host, ramp bool) *host {
	h, known := r.hosts[m.ID]
	if !known {
		h = &host{Host: m, hash: r.hash(m.ID)}
		if ramp {
			h.rampStartedAt = now
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

// distance is 0 for a host of the local zone, 1 for one of another zone of the
// region, and 2 beyond the region.
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

// buildSubset fills the subset. The local zone gets all places but those
// reserved for other zones, nearer ones first; places that one side cannot fill
// go to the other.
func (r *router) buildSubset(p *pool) {
	local := slices.DeleteFunc(slices.Clone(p.hosts), func(h *host) bool { return r.distance(h) > 0 })
	remote := slices.DeleteFunc(slices.Clone(p.hosts), func(h *host) bool { return r.distance(h) == 0 })
	slices.SortStableFunc(remote, func(a, b *host) int { return cmp.Compare(r.distance(a), r.distance(b)) })
	fromRemote := min(len(remote), max(p.size/remoteDivisor, p.size-len(local)))
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
	r.buildSubset(p)
}

// Pick implements Router.
func (r *router) Pick(now time.Time, req *call.Request, exclude []member.HostID) (Choice, bool) {
	p, ok := r.pools[req.Service]
	if !ok {
		return Choice{}, false
	}
	allowed, ejected := p.eligible(now, exclude)
	if len(allowed) == 0 {
		return p.fallback(exclude, ejected)
	}
	reason := TwoChoices
	local := slices.DeleteFunc(slices.Clone(allowed), func(h *host) bool { return r.distance(h) > 0 })
	switch {
	case len(local) == 0:
	case r.shouldSpill(now, p, local):
		reason = Spill
	default:
		allowed = local
	}
	if len(allowed) == 1 {
		return Choice{Host: allowed[0].Host, Reason: OnlyHost}, true
	}
	return Choice{Host: r.pickBetter(now, p, allowed).Host, Reason: reason}, true
}

func (p *pool) bestLatency(now time.Time) float64 {
	best := p.subset[0].expectedLatency(now, p.latency)
	for _, h := range p.subset[1:] {
		best = min(best, h.expectedLatency(now, p.latency))
	}
	return best
}

// shouldSpill decides at random whether a call is chosen from all zones.
func (r *router) shouldSpill(now time.Time, p *pool, local []*host) bool {
	localUtilisation := p.meanUtilisation(now, local)
	share := (localUtilisation - spillStart) / (spillFull - spillStart)
	remote := slices.DeleteFunc(slices.Clone(p.subset), func(h *host) bool {
		return r.distance(h) == 0 || h.ejected(now)
	})
	if len(remote) > 0 {
		share = min(share, (localUtilisation-p.meanUtilisation(now, remote))/spillGap)
	}
	return share > 0 && float64(r.random(spillSteps)) < share*spillSteps
}

// meanUtilisation returns the mean utilisation of the hosts, at most one.
func (p *pool) meanUtilisation(now time.Time, hosts []*host) float64 {
	best := p.bestLatency(now)
	sum := 0.0
	for _, h := range hosts {
		if h.expectedLatency(now, p.latency) > slowFactor*best {
			sum++
			continue
		}
		sum += min(h.utilisation(now, p.slots), 1)
	}
	return sum / float64(len(hosts))
}

// pickBetter returns the better of two distinct hosts drawn at random.
func (r *router) pickBetter(now time.Time, p *pool, hosts []*host) *host {
	i := r.random(len(hosts))
	j := r.random(len(hosts) - 1)
	if j >= i {
		j++
	}
	if hosts[j].score(now, p) < tieRatio*hosts[i].score(now, p) {
		return hosts[j]
	}
	return hosts[i]
}

// eligible returns the hosts of the subset that are not excluded, separated
// into those that take calls and those that are ejected.
func (p *pool) eligible(now time.Time, exclude []member.HostID) (allowed, ejected []*host) {
	ejectedNow := p.ejectedHosts(now)
	for _, h := range p.subset {
		switch {
		case slices.Contains(exclude, h.ID):
		case slices.Contains(ejectedNow, h):
			ejected = append(ejected, h)
		default:
			allowed = append(allowed, h)
		}
	}
	return allowed, ejected
}

// ejectedHosts returns the hosts of the subset that get no calls now: those
// with the highest failure rates, up to a bound. If every host is ejected it
// returns none, since the cause is then more likely at this node or common to
// all hosts.
func (p *pool) ejectedHosts(now time.Time) []*host {
	var ejected []*host
	for _, h := range p.subset {
		h.endEjection(now)
		if h.ejected(now) {
			ejected = append(ejected, h)
		}
	}
	if len(ejected) == len(p.subset) {
		return nil
	}
	slices.SortStableFunc(ejected, func(a, b *host) int {
		return cmp.Compare(b.failureRate(now), a.failureRate(now))
	})
	return ejected[:min(len(ejected), len(p.subset)/ejectDivisor)]
}

// fallback returns the next host in rendezvous order beyond the subset, or else
// an ejected one.
func (p *pool) fallback(exclude []member.HostID, ejected []*host) (Choice, bool) {
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

// OnSent implements Router.
func (r *router) OnSent(_ time.Time, id member.HostID) {
	if h, ok := r.hosts[id]; ok {
		h.inFlight++
	}
}

// OnDone implements Router. A refusal shows that the host is alive, but its
// latency says nothing about the service.
func (r *router) OnDone(now time.Time, id member.HostID, out Outcome) {
	h, ok := r.hosts[id]
	if !ok {
		return
	}
	h.inFlight = max(h.inFlight-1, 0)
	if h.inFlightBefore > 0 && out.Failed {
		h.inFlightBefore--
		return
	}
	h.inFlightBefore = min(h.inFlightBefore, h.inFlight)
	if out.Cancelled {
		return
	}
	h.recordOutcome(now, out.Failed, r.random)
	r.recordLoad(now, h, out)
	if !out.Failed && !out.Refused {
		h.recordLatency(now, out.Latency)
		r.pool(h.Service).recordLatency(out.Latency)
	}
}

// recordLoad stores the reported load. A refusal without a report counts as a
// report of a host at its limit.
func (r *router) recordLoad(now time.Time, h *host, out Outcome) {
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
	h.reportedAt = now
}

func (p *pool) recordLatency(latency time.Duration) {
	if !p.hasLatency {
		p.latency = float64(latency)
	}
	p.hasLatency = true
	p.latency += latencyGain * (float64(latency) - p.latency)
}

// Reset implements Router.
func (r *router) Reset(time.Time) {
	for _, h := range r.hosts {
		h.reset()
	}
	for _, p := range r.pools {
		p.latency, p.hasLatency = float64(defaultLatency), false
	}
}
