package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// aliveWindow is how long an answer of a host counts as evidence that it is
// alive against a published list without it.
const aliveWindow = 30 * time.Second

// View keeps the hosts that a node may use. Implementations are not safe for
// concurrent use and never block.
type View interface {
	// SetList takes the newest published list of one availability zone.
	SetList(now time.Time, list List)
	// Said takes what a host says of itself. Leaving holds for the incarnation,
	// whatever a list says.
	Said(now time.Time, host HostID, incarnation uint64, leaving bool)
	// Alive takes an answer of a host to this node's own traffic.
	Alive(now time.Time, host HostID, incarnation uint64)
	// Tick drops hosts that only past traffic kept.
	Tick(now time.Time)
	// Hosts returns the usable hosts by service, in order of their ids. The
	// result is shared and must not be changed.
	Hosts() map[string][]Host
	// Nodes returns all usable hosts in order of their ids. The result is shared
	// and must not be changed.
	Nodes() []Host
	// Host returns a host of the view, leaving ones included.
	Host(id HostID) (Host, bool)
	// Allowed reports whether a sender may act as the host: the host is in the
	// view with that address.
	Allowed(id HostID, ip netip.Addr) bool
	// Version grows with each change of Hosts, Nodes or Allowed.
	Version() uint64
	// Distrusted returns the zones whose newest list is held back.
	Distrusted() []string
}

// entry is what the view knows about one host.
type entry struct {
	host   Host // as last listed
	listed bool // on the newest trusted list of its zone

	incarnation uint64 // newest known, from any source
	left        uint64 // newest incarnation that said it is leaving
	hasLeft     bool
	// listLeft is the newest incarnation known when a list first showed the
	// host as leaving.
	listLeft uint64
	aliveAt  time.Time
}

type view struct {
	entries map[HostID]*entry
	zones   map[string][]HostID // hosts of the view by zone
	pending map[string]List     // lists that traffic contradicts
	loose   map[string]bool     // zones with hosts that only traffic keeps
	// said holds what hosts said that are not in the view (yet).
	said    map[HostID]saying
	version uint64

	cache   cache
	checked time.Time
}

type saying struct {
	incarnation uint64
	leaving     bool
}

// maxSaid bounds the statements of hosts that are not in the view.
const maxSaid = 4096

// New returns an empty view.
func New() View {
	return &view{
		entries: map[HostID]*entry{},
		zones:   map[string][]HostID{},
		pending: map[string]List{},
		loose:   map[string]bool{},
		said:    map[HostID]saying{},
		cache:   cache{touched: map[HostID]bool{}},
	}
}

func (v *view) SetList(now time.Time, list List) {
	delete(v.pending, list.Zone)
	keep := make(map[HostID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		v.update(h)
		keep[h.ID] = true
	}
	before := v.zones[list.Zone]
	missing := make([]HostID, 0)
	for _, id := range before {
		if !keep[id] && v.entries[id].host.Zone == list.Zone {
			missing = append(missing, id)
		}
	}
	if len(list.Hosts)*2 < len(before) && v.anyAlive(now, missing) {
		v.pending[list.Zone] = list
	}
	ids := slices.Collect(maps.Keys(keep))
	for _, id := range missing {
		e := v.entries[id]
		if v.holds(list.Zone) {
			ids = append(ids, id)
			continue
		}
		e.listed = false
		if e.alive(now) {
			ids = append(ids, id)
			v.loose[list.Zone] = true
		} else {
			v.drop(id)
		}
	}
	slices.Sort(ids)
	v.zones[list.Zone] = ids
}

func (v *view) holds(zone string) bool {
	_, ok := v.pending[zone]
	return ok
}

// update takes one line of a list.
func (v *view) update(h Host) {
	e := v.entries[h.ID]
	if e != nil && e.listed && e.host == h {
		return
	}
	v.touch(h.ID)
	if e == nil {
		e = &entry{}
		v.entries[h.ID] = e
		if s, ok := v.said[h.ID]; ok {
			e.say(s.incarnation, s.leaving)
			delete(v.said, h.ID)
		}
	}
	wasLeaving := e.listed && e.host.Status == Leaving
	e.incarnation = max(e.incarnation, h.Incarnation)
	if h.Status == Leaving && !wasLeaving {
		e.listLeft = e.incarnation
		if h.Incarnation != 0 {
			e.listLeft = h.Incarnation
		}
	}
	e.host = h
	e.listed = true
}

func (e *entry) say(incarnation uint64, leaving bool) bool {
	changed := false
	if incarnation > e.incarnation {
		e.incarnation = incarnation
		changed = true
	}
	if leaving && (!e.hasLeft || incarnation > e.left) {
		e.left = incarnation
		e.hasLeft = true
		changed = true
	}
	return changed
}

func (e *entry) leaving() bool {
	if e.hasLeft && e.incarnation <= e.left {
		return true
	}
	return e.host.Status == Leaving && e.incarnation <= e.listLeft
}

func (e *entry) alive(now time.Time) bool {
	return !e.aliveAt.IsZero() && now.Sub(e.aliveAt) <= aliveWindow
}

func (e *entry) view() Host {
	h := e.host
	h.Incarnation = e.incarnation
	h.Status = Live
	if e.leaving() {
		h.Status = Leaving
	}
	return h
}

func (v *view) anyAlive(now time.Time, ids []HostID) bool {
	return slices.ContainsFunc(ids, func(id HostID) bool { return v.entries[id].alive(now) })
}

func (v *view) Said(_ time.Time, host HostID, incarnation uint64, leaving bool) {
	e := v.entries[host]
	if e == nil {
		old, ok := v.said[host]
		if !ok || incarnation > old.incarnation || incarnation == old.incarnation && leaving {
			v.keepSaid(host, saying{incarnation, leaving})
		}
		return
	}
	if e.say(incarnation, leaving) {
		v.touch(host)
	}
}

func (v *view) Alive(now time.Time, host HostID, incarnation uint64) {
	e := v.entries[host]
	if e == nil {
		return
	}
	if incarnation >= e.incarnation {
		e.aliveAt = now
	}
	if e.say(incarnation, false) {
		v.touch(host)
	}
}

func (v *view) Tick(now time.Time) {
	if now.Sub(v.checked) < time.Second {
		return
	}
	v.checked = now
	for _, zone := range slices.Sorted(maps.Keys(v.pending)) {
		v.SetList(now, v.pending[zone])
	}
	for _, zone := range slices.Sorted(maps.Keys(v.loose)) {
		v.dropSilentHosts(now, zone)
	}
}

// dropSilentHosts drops the unlisted hosts of a zone whose traffic has ended.
func (v *view) dropSilentHosts(now time.Time, zone string) {
	if v.holds(zone) {
		return
	}
	loose := false
	v.zones[zone] = slices.DeleteFunc(v.zones[zone], func(id HostID) bool {
		gone := v.dropSilent(now, zone, id)
		loose = loose || !gone && !v.entries[id].listed
		return gone
	})
	if !loose {
		delete(v.loose, zone)
	}
}

// dropSilent drops a host that is not listed once its traffic has ended, and
// reports whether it is gone from the zone.
func (v *view) dropSilent(now time.Time, zone string, id HostID) bool {
	e := v.entries[id]
	if e == nil || e.host.Zone != zone {
		return true
	}
	if e.listed || e.alive(now) {
		return false
	}
	v.drop(id)
	return true
}

// drop removes a host. That it is leaving is kept, for a late list may name it
// again.
func (v *view) drop(id HostID) {
	if e := v.entries[id]; e.hasLeft {
		v.keepSaid(id, saying{e.left, true})
	}
	delete(v.entries, id)
	v.touch(id)
}

func (v *view) keepSaid(id HostID, s saying) {
	if len(v.said) >= maxSaid {
		clear(v.said)
	}
	v.said[id] = s
}

func (v *view) Hosts() map[string][]Host {
	v.refresh()
	return v.cache.hosts
}

func (v *view) Nodes() []Host {
	v.refresh()
	return v.cache.nodes
}

func (v *view) Host(id HostID) (Host, bool) {
	e := v.entries[id]
	if e == nil {
		return Host{}, false
	}
	return e.view(), true
}

func (v *view) Allowed(id HostID, ip netip.Addr) bool {
	e := v.entries[id]
	if e == nil {
		return false
	}
	addr, err := netip.ParseAddrPort(e.host.Addr)
	return err == nil && addr.Addr().Unmap() == ip.Unmap()
}

func (v *view) Version() uint64 { return v.version }

func (v *view) Distrusted() []string { return slices.Sorted(maps.Keys(v.pending)) }
