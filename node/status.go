package node

import (
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/node/operator"
)

// Status returns what operators see of the node.
func (n *Node) Status() operator.Status {
	var stats engine.Stats
	n.driver.With(func() { stats = n.engine.Stats(time.Now()) })
	h := n.settings.Host
	s := operator.Status{
		Host:        h.ID,
		Incarnation: n.incarnation,
		Zone:        h.Zone,
		Site:        h.Site,
		Service:     h.Service,
		Revision:    stats.Revision,
		Ready:       n.Ready(),
		Leaving:     stats.Leaving,
		Calls:       stats.Calls,
		Runs:        stats.Runs,
		Keys:        stats.Keys,
		KeyBytes:    stats.KeyBytes,
		Load: operator.Load{
			Running: stats.Load.Running,
			Queued:  stats.Load.Queued,
			Limit:   stats.Load.Limit,
			Slots:   stats.Load.Slots,
			WaitMs:  stats.Load.Wait.Milliseconds(),
		},
		Levels:   make(map[string]uint32, len(stats.Levels)),
		Config:   n.source.Status(),
		LogLevel: n.logs.Level.Level().String(),
		Dropped:  n.linesDropped(),
		Refusals: n.observer.Recent(""),
		Members:  n.members(),
	}
	for caller, level := range stats.Levels {
		s.Levels[caller] = uint32(level)
	}
	return s
}

func (n *Node) members() []operator.Member {
	n.hostsMu.Lock()
	defer n.hostsMu.Unlock()
	members := make([]operator.Member, 0, len(n.hosts))
	for _, h := range n.hosts {
		members = append(members, operator.Member{
			Host:        string(h.ID),
			Addr:        h.Addr,
			Zone:        h.Zone,
			Service:     h.Service,
			Status:      h.Status.String(),
			Incarnation: h.Incarnation,
		})
	}
	return members
}

func (n *Node) registerGauges() {
	gauge := func(name, help string, value func(engine.Stats) float64) {
		n.observer.Metrics.Gauge(name, help, func() float64 {
			var stats engine.Stats
			n.driver.With(func() { stats = n.engine.Stats(time.Now()) })
			return value(stats)
		})
	}
	gauge("toucangw_running", "Calls running on the guarded upstream.",
		func(s engine.Stats) float64 { return float64(s.Load.Running) })
	gauge("toucangw_queued", "Calls waiting for a slot of the guarded upstream.",
		func(s engine.Stats) float64 { return float64(s.Load.Queued) })
	gauge("toucangw_limit", "Concurrency limit of the guarded upstream.",
		func(s engine.Stats) float64 { return float64(s.Load.Limit) })
	gauge("toucangw_keys", "Once-only keys held.",
		func(s engine.Stats) float64 { return float64(s.Keys) })
	gauge("toucangw_revision", "Store revision of the configuration in force.",
		func(s engine.Stats) float64 { return float64(s.Revision) })
	n.observer.Metrics.Gauge("toucangw_log_lines_dropped", "Log lines lost because the writer was too slow.",
		func() float64 { return float64(n.linesDropped()) })
}

// linesDropped returns the number of log lines lost.
func (n *Node) linesDropped() int64 { return n.logs.Dropped() + n.observer.Dropped() }
