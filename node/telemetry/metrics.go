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

// Rejected counts a request that was refused before its kind was known. It has
// no latency, since nothing was decided on it.
func (m *Metrics) Rejected(r *verdict.Refusal) {
	m.requests.WithLabelValues(call.Background.String(), r.Verdict.String(), knownReason(r.Reason)).Inc()
}

// Decided counts a decision.
func (m *Metrics) Decided(kind engine.DecisionKind) {
	m.decisions.WithLabelValues(string(kind)).Inc()
}

// Silent counts a replaced connection.
func (m *Metrics) Silent() { m.silent.Inc() }

// Paused counts a late wake-up.
func (m *Metrics) Paused() { m.pauses.Inc() }

var reasons = reasonSet()

func reasonSet() map[verdict.Reason]bool {
	set := make(map[verdict.Reason]bool)
	for _, r := range verdict.Reasons() {
		set[r] = true
	}
	return set
}

// knownReason keeps the label set bounded when a peer of another version
// sends a reason that this one does not know.
func knownReason(r verdict.Reason) string {
	if reasons[r] {
		return string(r)
	}
	return "other"
}
