package node

import (
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/policy"
	"toucangw.example/node/operator"
	"toucangw.example/node/telemetry"
)

// Status returns the state of the node for the operators' API.
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
		NotReady:    n.notReady(),
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
		Thresholds:      make(map[string]uint32, len(stats.Thresholds)),
		Config:          n.source.Status(),
		LogLevel:        n.logs.Level.Level().String(),
		LogLinesDropped: n.linesDropped(),
		Refusals:        n.observer.Recent(""),
		Members:         n.members(),
	}
	for caller, threshold := range stats.Thresholds {
		s.Thresholds[caller] = uint32(threshold)
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

// telemetryState returns the values of the gauges.
func (n *Node) telemetryState() telemetry.State {
	var stats engine.Stats
	limits := policy.Limits{MaxKeys: policy.DefaultMaxKeys, MaxKeyBytes: policy.DefaultMaxKeyBytes}
	n.driver.With(func() {
		stats = n.engine.Stats(time.Now())
		if keys, ok := n.keys.(limitSetter); ok && keys.Limits().MaxKeys > 0 {
			limits = keys.Limits()
		}
	})
	config := n.source.Status()
	return telemetry.State{
		Ready:                n.Ready(),
		Leaving:              stats.Leaving,
		CallsInFlight:        stats.Calls,
		Running:              stats.Load.Running,
		Queued:               stats.Load.Queued,
		Limit:                stats.Load.Limit,
		Slots:                stats.Load.Slots,
		QueueWait:            stats.Load.Wait,
		Keys:                 stats.Keys,
		KeysMax:              limits.MaxKeys,
		KeyBytes:             stats.KeyBytes,
		KeyBytesMax:          limits.MaxKeyBytes,
		ConfigRevision:       stats.Revision,
		RejectedRevision:     config.Rejected,
		HostsRevision:        config.HostsRevision,
		HostListsInvalid:     config.RejectedHostsReason != "",
		HostListsQuarantined: len(config.Quarantined),
		Hosts:                config.Hosts,
		Discarded:            config.Discarded,
		PlatformReader:       config.Reader,
		PlatformFailed:       config.PlatformErr != "",
		PlatformAt:           config.PlatformAt,
		LogLinesDropped:      n.linesDropped(),
	}
}

// linesDropped returns the number of log lines that were dropped.
func (n *Node) linesDropped() int64 { return n.logs.Dropped() + n.observer.Dropped() }
