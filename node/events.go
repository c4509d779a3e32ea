package node

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/node/telemetry"
	"toucangw.example/settings"
)

// decisionLog returns the logger for decisions. It discards them unless the
// settings enable the decision log.
func decisionLog(logs *telemetry.Logs, s *settings.Node) *slog.Logger {
	if s.Log.Decisions {
		return logs.Decisions
	}
	return slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
}

func (n *Node) onPolicy(p *policy.Policy) {
	n.policy.Store(p)
	if n.upstream != nil {
		connections := 0
		if service := p.Services[n.settings.Host.Service]; service != nil {
			connections = service.Connections
		}
		n.upstream.SetLimits(connections, n.maxBody())
	}
	if keys, ok := n.keys.(limitSetter); ok {
		var err error
		n.driver.With(func() { err = keys.SetLimits(p.Limits) })
		if err != nil {
			n.logs.Logger.Error("key table could not be created", "error", err.Error())
		}
	}
	n.driver.Step(engine.PolicyChanged{Policy: p})
	n.logs.Logger.Info("configuration in force", "revision", p.Revision, "site", p.Site)
}

func (n *Node) onHosts(hosts map[string][]member.Host) {
	var all []member.Host
	known := make(map[member.HostID]bool)
	for _, list := range hosts {
		for _, h := range list {
			all = append(all, h)
			known[h.ID] = true
		}
	}
	slices.SortFunc(all, func(a, b member.Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	n.hostsMu.Lock()
	n.hosts = all
	n.hostsMu.Unlock()
	n.driver.SetHosts(hosts)
	n.links.Retain(func(id member.HostID) bool { return known[id] })
	n.logs.Logger.Info("hosts changed", "hosts", len(all))
}

func (n *Node) peerLeaving(host member.HostID, incarnation uint64) {
	n.logs.Logger.Info("peer is leaving", "host", string(host), "incarnation", incarnation)
	n.source.PeerLeaving(host, incarnation)
}

func (n *Node) peerAlive(host member.HostID, incarnation uint64) {
	n.source.PeerAlive(host, incarnation)
}

func (n *Node) peerStalled(host member.HostID) {
	n.observer.Metrics.StalledConnection()
	n.logs.Logger.Warn("silent connection replaced", "host", string(host))
}

func (n *Node) onResume(gap time.Duration) {
	n.links.OnResume()
	n.observer.Metrics.Paused()
	n.logs.Logger.Warn("process was paused", "gap", gap)
}

// announceLeaving announces to the other nodes, once, that this host is leaving.
func (n *Node) announceLeaving() {
	if n.leaving.Swap(true) {
		return
	}
	n.logs.Logger.Info("leaving")
	n.peers.Leave()
	n.source.SelfLeaving()
}

// healthPath returns the path of the local upstream's health endpoint, or an empty
// string if none is configured.
func (n *Node) healthPath() string {
	if n.settings.Upstream.HealthPath != "" {
		return n.settings.Upstream.HealthPath
	}
	p := n.policy.Load()
	if p == nil || p.Services[n.settings.Host.Service] == nil {
		return ""
	}
	return p.Services[n.settings.Host.Service].ProbePath
}

const (
	// stallChecksPerTick is the number of checks for stalled connections in each
	// tick. The time between them adds to the time that a call waits before its
	// connection is replaced.
	stallChecksPerTick = 2

	// idleTickInterval is the time between ticks while no client waits. It is
	// below pause.Threshold, so that an idle process does not count as paused.
	// Each wake-up of an idle process counts against the 1.4% of a core that a
	// node may spend on control.
	idleTickInterval = 250 * time.Millisecond
)

// tickLoop sends ticks to the engine and checks for stalled connections until ctx
// ends. Started ends the wait of an idle node early.
func (n *Node) tickLoop(ctx context.Context) {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for i := 0; ; i++ {
		waiting := n.driver.Waiting()
		select {
		case <-ctx.Done():
			return
		case <-n.driver.Started():
		case <-timer.C:
		}
		n.links.Check()
		if i%stallChecksPerTick == 0 || !waiting {
			n.driver.Tick()
		}
		timer.Reset(n.nextTickDelay())
	}
}

// nextTickDelay returns the time until the next check for stalled connections.
func (n *Node) nextTickDelay() time.Duration {
	if n.driver.Waiting() {
		return engine.TickInterval / stallChecksPerTick
	}
	return idleTickInterval
}
