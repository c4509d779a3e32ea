package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// aliveWindow is how long an answer of a host proves that it is alive although
// the published list lacks it.
const aliveWindow = 30 * time.Second

// View keeps the hosts to which a node may send calls. Implementations are not
// safe for concurrent use and never block.
type View interface {
	// SetList applies the newest published list of one availability zone.
	SetList(now time.Time, list List)
	// OnAnnounce records an announcement of a host. Leaving applies to that
	// incarnation, regardless of what a list shows.
	OnAnnounce(now time.Time, host HostID, incarnation uint64, leaving bool)
	// OnAlive records an answer of a host to the traffic of this node.
	OnAlive(now time.Time, host HostID, incarnation uint64)
	// Tick drops hosts that are not listed and no longer answer.
	Tick(now time.Time)
	// Hosts returns the eligible hosts by service, in order of their ids. The
	// result is shared and must not be changed.
	Hosts() map[string][]Host
	// Nodes returns all eligible hosts in order of their ids. The result is
	// shared and must not be changed.
	Nodes() []Host
	// Host returns a host of the view, including a leaving one.
	Host(id HostID) (Host, bool)
	// Allowed reports whether a sender may act as the host: the host is in the
	// view with that address.
	Allowed(id HostID, ip netip.Addr) bool
	// Version increases with each change of Hosts, Nodes or Allowed.
	Version() uint64
	// Quarantined returns the zones whose newest list is quarantined.
	Quarantined() []string
}

// entry is the state of one host in the view.
type entry struct {
	host   Host // as last listed
	listed bool // on the newest applied list of its zone

	incarnation        uint64 // newest known, from any source
	leavingIncarnation uint64 // newest incarnation that announced that it is leaving
	announcedLeaving   bool
	// listedLeaving is the newest incarnation known when a list first showed
	// the host as leaving.
	listedLeaving uint64
	aliveAt       time.Time
}

type view struct {
	entries       map[HostID]*entry
	zones         map[string][]HostID // hosts of the view by zone
	quarantined   map[string]List     // newest list by zone, where missing hosts still answer
	unlistedZones map[string]bool     // zones with hosts that are not listed but still answer
	// announcements holds the announcements of hosts that are not in the view
	// (yet).
	announcements map[HostID]announcement
	version       uint64

	cache    cache
	tickedAt time.Time
}

type announcement struct {
	incarnation uint64
	leaving     bool
}

// maxAnnouncements bounds the announcements of hosts that are not in the view.
// All of them are dropped when another one would exceed it.
const maxAnnouncements = 4096

// New returns an empty view.
func New() View {
	return &view{
		entries:       map[HostID]*entry{},
		zones:         map[string][]HostID{},
		quarantined:   map[string]List{},
		unlistedZones: map[string]bool{},
		announcements: map[HostID]announcement{},
		cache:         cache{changedHosts: map[HostID]bool{}},
	}
}

// SetList implements View. A list with less than half of the zone's hosts is
// quarantined while any of the missing hosts still answers, since the list is
// then probably wrong: the missing hosts are kept, and Tick applies the list
// again.
func (v *view) SetList(now time.Time, list List) {
	delete(v.quarantined, list.Zone)
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
		v.quarantined[list.Zone] = list
	}
	ids := slices.Collect(maps.Keys(keep))
	for _, id := range missing {
		e := v.entries[id]
		if v.isQuarantined(list.Zone) {
			ids = append(ids, id)
			continue
		}
		e.listed = false
		if e.alive(now) {
			ids = append(ids, id)
			v.unlistedZones[list.Zone] = true
		} else {
			v.drop(id)
		}
	}
	slices.Sort(ids)
	v.zones[list.Zone] = ids
}

func (v *view) isQuarantined(zone string) bool {
	_, ok := v.quarantined[zone]
	return ok
}

// update applies one entry of a list.
func (v *view) update(h Host) {
	e := v.entries[h.ID]
	if e != nil && e.listed && e.host == h {
		return
	}
	v.markChanged(h.ID)
	if e == nil {
		e = &entry{}
		v.entries[h.ID] = e
		if a, ok := v.announcements[h.ID]; ok {
			e.observe(a.incarnation, a.leaving)
			delete(v.announcements, h.ID)
		}
	}
	wasLeaving := e.listed && e.host.Status == Leaving
	e.incarnation = max(e.incarnation, h.Incarnation)
	if h.Status == Leaving && !wasLeaving {
		e.listedLeaving = e.incarnation
		if h.Incarnation != 0 {
			e.listedLeaving = h.Incarnation
		}
	}
	e.host = h
	e.listed = true
}

func (e *entry) observe(incarnation uint64, leaving bool) bool {
	changed := false
	if incarnation > e.incarnation {
		e.incarnation = incarnation
		changed = true
	}
	if leaving && (!e.announcedLeaving || incarnation > e.leavingIncarnation) {
		e.leavingIncarnation = incarnation
		e.announcedLeaving = true
		changed = true
	}
	return changed
}

func (e *entry) leaving() bool {
	if e.announcedLeaving && e.incarnation <= e.leavingIncarnation {
		return true
	}
	return e.host.Status == Leaving && e.incarnation <= e.listedLeaving
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

func (v *view) OnAnnounce(_ time.Time, host HostID, incarnation uint64, leaving bool) {
	e := v.entries[host]
	if e == nil {
		old, ok := v.announcements[host]
		if !ok || incarnation > old.incarnation || incarnation == old.incarnation && leaving {
			v.keepAnnouncement(host, announcement{incarnation, leaving})
		}
		return
	}
	if e.observe(incarnation, leaving) {
		v.markChanged(host)
	}
}

func (v *view) OnAlive(now time.Time, host HostID, incarnation uint64) {
	e := v.entries[host]
	if e == nil {
		return
	}
	if incarnation >= e.incarnation {
		e.aliveAt = now
	}
	if e.observe(incarnation, false) {
		v.markChanged(host)
	}
}

func (v *view) Tick(now time.Time) {
	if now.Sub(v.tickedAt) < time.Second {
		return
	}
	v.tickedAt = now
	for _, zone := range slices.Sorted(maps.Keys(v.quarantined)) {
		v.SetList(now, v.quarantined[zone])
	}
	for _, zone := range slices.Sorted(maps.Keys(v.unlistedZones)) {
		v.dropUnlistedHosts(now, zone)
	}
}

// dropUnlistedHosts drops the hosts of a zone that are not listed and no longer
// answer.
func (v *view) dropUnlistedHosts(now time.Time, zone string) {
	if v.isQuarantined(zone) {
		return
	}
	remaining := false
	v.zones[zone] = slices.DeleteFunc(v.zones[zone], func(id HostID) bool {
		dropped := v.dropUnlisted(now, zone, id)
		remaining = remaining || !dropped && !v.entries[id].listed
		return dropped
	})
	if !remaining {
		delete(v.unlistedZones, zone)
	}
}

// dropUnlisted drops a host that is not listed and no longer answers, and
// reports whether it is no longer in the zone.
func (v *view) dropUnlisted(now time.Time, zone string, id HostID) bool {
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

// drop removes a host. Its announcement that it is leaving is kept, because a
// late list may contain the host again.
func (v *view) drop(id HostID) {
	if e := v.entries[id]; e.announcedLeaving {
		v.keepAnnouncement(id, announcement{e.leavingIncarnation, true})
	}
	delete(v.entries, id)
	v.markChanged(id)
}

func (v *view) keepAnnouncement(id HostID, a announcement) {
	if len(v.announcements) >= maxAnnouncements {
		clear(v.announcements)
	}
	v.announcements[id] = a
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

func (v *view) Quarantined() []string { return slices.Sorted(maps.Keys(v.quarantined)) }
