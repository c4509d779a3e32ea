package engine

import (
	"maps"
	"slices"
	"time"

	"toucangw.example/core/member"
)

// loadLifetime is the maximum age of a load report that is still used.
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

// updateRouter passes the eligible hosts of a service to the router.
func (e *Engine) updateRouter(now time.Time, service string) {
	var eligible []member.Host
	for _, id := range e.services[service] {
		if h := e.hosts[id]; e.eligible(h) {
			eligible = append(eligible, h)
		}
	}
	e.router.SetHosts(now, service, eligible)
}

// eligible reports whether a host may receive new work. A host that announced
// its departure is not eligible until it appears with a later incarnation, even
// if the published host list still shows it as live.
func (e *Engine) eligible(h member.Host) bool {
	incarnation, departed := e.departed[h.ID]
	return h.Status == member.Live && (!departed || h.Incarnation > incarnation)
}

// observeHost records what a reply states about the host that sent it.
func (e *Engine) observeHost(now time.Time, id member.HostID, reply Reply) {
	if reply.Leaving {
		e.hostLeaving(now, id, reply.Incarnation)
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

func (e *Engine) hostLeaving(now time.Time, id member.HostID, incarnation uint64) {
	if latest, departed := e.departed[id]; departed && latest >= incarnation {
		return
	}
	e.departed[id] = incarnation
	e.emit(PeerLeaving{Host: id, Incarnation: incarnation})
	if h, listed := e.hosts[id]; listed {
		e.updateRouter(now, h.Service)
	}
}

// hasFreeSlot reports whether the latest load report of a host shows a free
// slot.
func (e *Engine) hasFreeSlot(now time.Time, id member.HostID) bool {
	load, known := e.loads[id]
	if !known || now.Sub(load.at) > loadLifetime {
		return false
	}
	return load.report.Queued == 0 && load.report.Running < load.report.Limit
}
