package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// State holds the values of a node that are read at each scrape.
type State struct {
	Ready   bool
	Leaving bool

	CallsInFlight int
	Running       int
	Queued        int
	Limit         int
	Slots         int
	QueueWait     time.Duration

	Keys        int
	KeysMax     int
	KeyBytes    int64
	KeyBytesMax int64

	ConfigRevision       uint64
	RejectedRevision     uint64 // 0 for none
	HostsRevision        uint64
	HostListsInvalid     bool
	HostListsQuarantined int
	Hosts                int
	Discarded            int
	PlatformReader       bool
	PlatformFailed       bool
	PlatformAt           time.Time // zero if never read

	LogLinesDropped int64
}

// stateMetric is the metric for one field of a State.
type stateMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(*State) float64
}

func gauge(name, help string, value func(*State) float64) stateMetric {
	return stateMetric{prometheus.NewDesc(name, help, nil, nil), prometheus.GaugeValue, value}
}

func counter(name, help string, value func(*State) float64) stateMetric {
	return stateMetric{prometheus.NewDesc(name, help, nil, nil), prometheus.CounterValue, value}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// stateMetrics lists the values in the order of docs/reference-metrics.md.
func stateMetrics() []stateMetric {
	return []stateMetric{
		gauge("toucangw_ready", "1 if the node accepts new work.",
			func(s *State) float64 { return boolValue(s.Ready) }),
		gauge("toucangw_leaving", "1 if the host has announced that it is leaving.",
			func(s *State) float64 { return boolValue(s.Leaving) }),
		gauge("toucangw_calls_in_flight", "Calls of callers and of the local upstream in flight.",
			func(s *State) float64 { return float64(s.CallsInFlight) }),
		gauge("toucangw_upstream_running_calls", "Calls running on the local upstream.",
			func(s *State) float64 { return float64(s.Running) }),
		gauge("toucangw_upstream_queued_calls", "Calls waiting for a slot of the local upstream.",
			func(s *State) float64 { return float64(s.Queued) }),
		gauge("toucangw_upstream_limit_calls", "Concurrency limit learned for the local upstream.",
			func(s *State) float64 { return float64(s.Limit) }),
		gauge("toucangw_upstream_slots", "Configured slots of the local upstream.",
			func(s *State) float64 { return float64(s.Slots) }),
		gauge("toucangw_upstream_queue_wait_seconds", "Time that a call of the lowest admitted rank would wait now.",
			func(s *State) float64 { return s.QueueWait.Seconds() }),
		gauge("toucangw_keys", "Idempotency keys stored.",
			func(s *State) float64 { return float64(s.Keys) }),
		gauge("toucangw_keys_max", "Limit of idempotency keys stored; at the limit, new ones are refused.",
			func(s *State) float64 { return float64(s.KeysMax) }),
		gauge("toucangw_key_bytes", "Memory used by idempotency keys and their answers.",
			func(s *State) float64 { return float64(s.KeyBytes) }),
		gauge("toucangw_key_max_bytes", "Limit of the memory for idempotency keys; at the limit, new ones are refused.",
			func(s *State) float64 { return float64(s.KeyBytesMax) }),
		gauge("toucangw_config_revision", "Store revision of the active configuration.",
			func(s *State) float64 { return float64(s.ConfigRevision) }),
		gauge("toucangw_config_rejected_revision", "Store revision of a newer configuration that is not valid; 0 for none.",
			func(s *State) float64 { return float64(s.RejectedRevision) }),
		gauge("toucangw_host_lists_revision", "Store revision of the active host lists.",
			func(s *State) float64 { return float64(s.HostsRevision) }),
		gauge("toucangw_host_lists_invalid", "1 if newer host lists are not valid.",
			func(s *State) float64 { return boolValue(s.HostListsInvalid) }),
		gauge("toucangw_host_lists_held_back", "Availability zones whose newest host list is quarantined.",
			func(s *State) float64 { return float64(s.HostListsQuarantined) }),
		gauge("toucangw_hosts", "Hosts in the member list, without leaving ones.",
			func(s *State) float64 { return float64(s.Hosts) }),
		counter("toucangw_config_discarded_total", "Answers of the platform and updates of peers discarded as inconsistent or corrupt.",
			func(s *State) float64 { return float64(s.Discarded) }),
		gauge("toucangw_platform_reader", "1 if this node reads the platform for its availability zone.",
			func(s *State) float64 { return boolValue(s.PlatformReader) }),
		gauge("toucangw_platform_read_failed", "1 if the last read of the platform by this node failed.",
			func(s *State) float64 { return boolValue(s.PlatformFailed) }),
		gauge("toucangw_platform_answer_timestamp_seconds", "Unix time of the last answer of the platform to this node; 0 for none.",
			func(s *State) float64 { return unixSeconds(s.PlatformAt) }),
		counter("toucangw_log_lines_dropped_total", "Log lines lost because the writer was too slow.",
			func(s *State) float64 { return float64(s.LogLinesDropped) }),
	}
}

func unixSeconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixMilli()) / 1000
}

// stateCollector reads the State once for each scrape, so that the values of a
// scrape are consistent.
type stateCollector struct {
	metrics []stateMetric
	state   func() State
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, m := range c.metrics {
		out <- m.desc
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	s := c.state()
	for _, m := range c.metrics {
		out <- prometheus.MustNewConstMetric(m.desc, m.kind, m.value(&s))
	}
}

// CollectState registers the metrics of State, which is read by calling state at
// each scrape. It may be called only once.
func (m *Metrics) CollectState(state func() State) {
	m.registry.MustRegister(&stateCollector{metrics: stateMetrics(), state: state})
}
