package telemetry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// Metrics are the counters and histograms of a node. All labels have bounded
// sets: importance, verdict, reason and decision kind.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	decisions *prometheus.CounterVec
	silent    prometheus.Counter
	pauses    prometheus.Counter
}

var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_requests_total",
			Help: "Ended calls of callers and of the local upstream.",
		}, []string{"importance", "verdict", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "toucangw_request_duration_seconds",
			Help:    "Time from arrival to end of calls of callers and of the local upstream.",
			Buckets: latencyBuckets,
		}, []string{"importance", "verdict"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_decisions_total",
			Help: "Decisions by kind.",
		}, []string{"decision"}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "toucangw_silent_connections_total",
			Help: "Connections to peers replaced because they were silent.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "toucangw_pauses_total",
			Help: "Times that this process woke up late.",
		}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.decisions, m.silent, m.pauses,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge registers a value that is read at each scrape.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts the end of a call.
func (m *Metrics) Answered(importance call.Importance, r *verdict.Refusal, latency time.Duration) {
	v, reason := verdict.Run.String(), "answered"
	if r != nil {
		v, reason = r.Verdict.String(), knownReason(r.Reason)
	}
	m.requests.WithLabelValues(importance.String(), v, reason).Inc()
	m.latency.WithLabelValues(importance.String(), v).Observe(latency.Seconds())
}

// Decided counts a decision.
func (m *Metrics) Decided(kind engine.DecisionKind) {
	m.decisions.WithLabelValues(string(kind)).Inc()
}

// Silent counts a replaced connection.
func (m *Metrics) Silent() { m.silent.Inc() }

// Paused counts a late wake-up.
func (m *Metrics) Paused() { m.pauses.Inc() }

var reasons = map[verdict.Reason]bool{
	verdict.QueueFull: true, verdict.DeadlineUnmet: true, verdict.DeadlinePassed: true, verdict.Pressure: true,
	verdict.NoUpstream: true, verdict.Leaving: true, verdict.Starting: true, verdict.ConnectionLost: true,
	verdict.NotWhole: true, verdict.UpstreamShed: true, verdict.UpstreamFailed: true, verdict.RetryBound: true,
	verdict.Cancelled: true, verdict.Paused: true, verdict.KeyRequired: true, verdict.KeyFenced: true,
	verdict.KeyUnknown: true, verdict.KeyMismatch: true, verdict.KeyTableFull: true, verdict.OwnerGone: true,
	verdict.UnknownCaller: true, verdict.UnknownKind: true, verdict.BadRequest: true, verdict.NotMember: true,
	verdict.WrongService: true, verdict.DepthExceeded: true, verdict.StaleIncarnation: true,
}

// knownReason keeps the label set bounded when a peer of another version
// sends a reason that this one does not know.
func knownReason(r verdict.Reason) string {
	if reasons[r] {
		return string(r)
	}
	return "other"
}
