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

// Metrics holds the metrics of a node. The values of each label are bounded:
// importance, verdict, reason and decision kind.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	decisions *prometheus.CounterVec
	stalled   prometheus.Counter
	pauses    prometheus.Counter
}

var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_requests_total",
			Help: "Completed calls of callers and of the local upstream.",
		}, []string{"importance", "verdict", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "toucangw_request_duration_seconds",
			Help:    "Time from arrival to completion of calls of callers and of the local upstream.",
			Buckets: latencyBuckets,
		}, []string{"importance", "verdict"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_decisions_total",
			Help: "Decisions by kind.",
		}, []string{"decision"}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "toucangw_silent_connections_total",
			Help: "Connections to peers replaced because they were stalled.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "toucangw_pauses_total",
			Help: "Pauses of this process detected.",
		}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.decisions, m.stalled, m.pauses,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts a call that ended with an answer or, if r is set, a refusal.
func (m *Metrics) Answered(importance call.Importance, r *verdict.Refusal, latency time.Duration) {
	v, reason := verdict.Run.String(), "answered"
	if r != nil {
		v, reason = r.Verdict.String(), reasonLabel(r.Reason)
	}
	m.requests.WithLabelValues(importance.String(), v, reason).Inc()
	m.latency.WithLabelValues(importance.String(), v).Observe(latency.Seconds())
}

// Rejected counts a request that was refused before its kind was known. No
// latency is recorded, since no decision was made on the request.
func (m *Metrics) Rejected(r *verdict.Refusal) {
	m.requests.WithLabelValues(call.Background.String(), r.Verdict.String(), reasonLabel(r.Reason)).Inc()
}

// Decided counts a decision.
func (m *Metrics) Decided(kind engine.DecisionKind) {
	m.decisions.WithLabelValues(string(kind)).Inc()
}

// StalledConnection counts a stalled connection that was replaced.
func (m *Metrics) StalledConnection() { m.stalled.Inc() }

// Paused counts a pause of this process.
func (m *Metrics) Paused() { m.pauses.Inc() }

var knownReasons = reasonSet()

func reasonSet() map[verdict.Reason]bool {
	set := make(map[verdict.Reason]bool)
	for _, r := range verdict.Reasons() {
		set[r] = true
	}
	return set
}

// reasonLabel returns the label value of a reason. Reasons unknown to this
// version, which a peer of another version may send, share one value, so that
// the number of values stays bounded.
func reasonLabel(r verdict.Reason) string {
	if knownReasons[r] {
		return string(r)
	}
	return "other"
}
