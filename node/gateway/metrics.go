package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"toucangw.example/core/routetable"
	"toucangw.example/core/verdict"
)

// Metrics holds the counters, gauges and histograms of a gateway. All labels
// have a bounded set of values: kinds, statuses and reasons.
type Metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	version      prometheus.Gauge
	storeCalls   *prometheus.CounterVec
	queueTime    prometheus.Histogram
	upstreamTime prometheus.Histogram
	omitted      prometheus.Counter
	panics       prometheus.Counter
	upstreamSent prometheus.Counter
	rateLimit    prometheus.Gauge
	upstreamEnds prometheus.Counter

	quarantineMessages, quarantineBytes prometheus.Counter
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_gateway_requests_total",
			Help: "Requests of local clients and calls of the local upstream, by kind, status and, if refused, reason.",
		}, []string{"kind", "status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "toucangw_gateway_request_duration_seconds",
			Help:    "Time from the request's head to the end of its answer.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"kind"}),
		version: gauge("toucangw_gateway_config_version", "Version of the active configuration."),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "toucangw_gateway_store_calls_total",
			Help: "Calls to the store, by call and outcome.",
		}, []string{"call", "outcome"}),
		queueTime:          histogram("toucangw_gateway_queue_duration_seconds", "Time that requests for the local upstream waited for a slot.", .001, .005, .01, .02, .05, .1, .2, .5, 1, 2),
		upstreamTime:       histogram("toucangw_gateway_upstream_duration_seconds", "Time that the local upstream needed for its answers.", .005, .01, .02, .05, .1, .2, .5, 1, 2, 5),
		panics:             counter("toucangw_gateway_panics_total", "Panics that ended a request or a read of the store. Each is a fault of the program."),
		upstreamSent:       counter("toucangw_gateway_upstream_requests_total", "Requests sent to the local upstream."),
		rateLimit:          gauge("toucangw_gateway_upstream_rate_limit", "Requests per second that the local upstream announces to take; 0 without a limit."),
		upstreamEnds:       counter("toucangw_gateway_upstream_process_ends_total", "Unplanned ends of the local upstream's process while requests were running."),
		quarantineMessages: counter("toucangw_gateway_quarantine_messages_total", "Messages to other nodes about requests that crashed upstreams."),
		quarantineBytes:    counter("toucangw_gateway_quarantine_bytes_total", "Bytes of the bodies of these messages."),
		omitted:            counter("toucangw_gateway_log_lines_omitted_total", "Decision log lines omitted because of the byte budget."),
	}
	m.registry.MustRegister(m.requests, m.latency, m.version, m.storeCalls, m.queueTime, m.upstreamTime, m.omitted, m.panics,
		m.upstreamSent, m.rateLimit, m.upstreamEnds, m.quarantineMessages, m.quarantineBytes)
	m.initialise()
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func histogram(name, help string, buckets ...float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
}

// initialise creates the most common series, so that a rate over them is zero
// instead of absent before the first event.
func (m *Metrics) initialise() {
	for _, kind := range []routetable.Kind{routetable.Unsafe, routetable.Safe, routetable.Download} {
		m.requests.WithLabelValues(kind.String(), "200", "")
		m.latency.WithLabelValues(kind.String())
	}
	for _, call := range []string{"config", "config-watch", "upstreams", "upstream-watch"} {
		m.storeCalls.WithLabelValues(call, "ok")
		m.storeCalls.WithLabelValues(call, "failed")
	}
}

// registerGauges registers the gauges that are read from a gateway at each
// scrape.
func (m *Metrics) registerGauges(g *Gateway) {
	for _, v := range []struct {
		name, help string
		value      func() float64
	}{
		{"toucangw_gateway_running", "Requests at the local upstream.", func() float64 { return float64(g.load().Running) }},
		{"toucangw_gateway_queued", "Requests that wait for a slot of the local upstream.", func() float64 { return float64(g.load().Queued) }},
		{"toucangw_gateway_slots", "Requests that may run at the local upstream at once.", func() float64 { return float64(g.load().Limit) }},
		{"toucangw_gateway_upstreams", "Upstreams in the node's view.", func() float64 { return float64(g.upstreamCount()) }},
		{"toucangw_gateway_upstreams_age_seconds", "Time since the store was read for the node's view.", func() float64 { return g.listAge().Seconds() }},
		{"toucangw_gateway_store_reader", "1 if the node reads the store, 0 if it follows nodes that do.", func() float64 { return boolValue(g.readsStore()) }},
		{"toucangw_gateway_suspects", "Fingerprints of requests that were running when an upstream crashed.", func() float64 { n, _ := g.quarantine.Counts(); return float64(n) }},
		{"toucangw_gateway_quarantined", "Fingerprints of requests that are refused because they crash upstreams.", func() float64 { _, n := g.quarantine.Counts(); return float64(n) }},
		{"toucangw_gateway_in_flight", "Requests that the node is serving.", func() float64 { return float64(g.InFlight()) }},
	} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: v.name, Help: v.help}, v.value))
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// StoreCall counts a call to the store and its result.
func (m *Metrics) StoreCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.storeCalls.WithLabelValues(call, outcome).Inc()
}

// kindOf returns the value of the kind label.
func kindOf(q *request) string {
	if q.route == nil {
		return "none"
	}
	return q.route.Kind.String()
}

func (m *Metrics) served(q *request, status int) {
	m.requests.WithLabelValues(kindOf(q), strconv.Itoa(status), "").Inc()
	m.latency.WithLabelValues(kindOf(q)).Observe(time.Since(q.exchange.Arrived).Seconds())
}

func (m *Metrics) rejected(q *request, status int, r *verdict.Refusal) {
	m.requests.WithLabelValues(kindOf(q), strconv.Itoa(status), string(r.Reason)).Inc()
}
