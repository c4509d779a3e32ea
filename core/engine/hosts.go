package engine

import (
	"maps"
	"slices"
	"time"

	"toucangw.example/core/member"
)

// loadLifetime is the age up to which a host's reported load counts as news.
const loadLifetime = time.Second

func (e *Engine) hostsChanged(now time.Time, hosts map[string][]member.Host) {
	previous := e.services
	e.hosts = make(map[member.HostID]member.Host)
	e.services = make(map[string][]member.HostID)
	for service, list := range hosts {
		for _, h := range list {
			e.hosts[h.ID] = h
			e.services[service] = append(e.services[service], h.ID)
		}
	}
	names := make(map[string]bool)
	for service := range previous {
		names[service] = true
	}
	for service := range e.services {
		names[service] = true
	}
	for _, service := range slices.Sorted(maps.Keys(names)) {
		e.updateRouter(now, service)
	}
	maps.DeleteFunc(e.loads, func(id member.HostID, _ loadReport) bool {
		_, listed := e.hosts[id]
		return !listed
	})
}

// updateRouter hands the usable hosts of a service to the router.
func (e *Engine) updateRouter(now time.Time, service string) {
	var usable []member.Host
	for _, id := range e.services[service] {
		if h := e.hosts[id]; e.usable(h) {
			usable = append(usable, h)
		}
	}
	e.router.SetHosts(now, service, usable)
}

// usable reports whether a host may receive new work. A host that said of
// itself that it is leaving stays out until it appears with a later
// incarnation, whatever the published list says.
func (e *Engine) usable(h member.Host) bool {
	left, said := e.departed[h.ID]
	return h.Status == member.Live && (!said || h.Incarnation > left)
}

// hostSpoke takes in what a reply says about the host that sent it.
func (e *Engine) hostSpoke(now time.Time, id member.HostID, reply Reply) {
	if reply.Leaving {
		e.hostLeft(now, id, reply.Incarnation)
	}
	h, listed := e.hosts[id]
	if !listed {
		return
	}
	e.loads[id] = loadReport{at: now, report: reply.Load}
	if reply.Incarnation <= h.Incarnation {
		return
	}
	h.Incarnation = reply.Incarnation
	e.hosts[id] = h
	e.updateRouter(now, h.Service)
}

func (e *Engine) hostLeft(now time.Time, id member.HostID, incarnation uint64) {
	if left, said := e.departed[id]; said && left >= incarnation {
		return
	}
	e.departed[id] = incarnation
	e.emit(PeerLeaving{Host: id, Incarnation: incarnation})
	if h, listed := e.hosts[id]; listed {
		e.updateRouter(now, h.Service)
	}
}

// hasRoom reports whether a host's latest report shows a free slot.
func (e *Engine) hasRoom(now time.Time, id member.HostID) bool {
	load, known := e.loads[id]
	if !known || now.Sub(load.at) > loadLifetime {
		return false
	}
	return load.report.Queued == 0 && load.report.Running < load.report.Limit
}
