package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

func testMetrics() *Metrics {
	m := NewMetrics()
	m.CollectState(func() State {
		return State{Ready: true, Running: 3, PlatformAt: time.UnixMilli(1500), LogLinesDropped: 7}
	})
	m.Answered(call.Normal, nil, time.Millisecond)
	m.Answered(call.Low, verdict.Refuse(verdict.QueueFull, ""), time.Millisecond)
	m.Decided(engine.DecisionRoute)
	return m
}

func scrape(t *testing.T, m *Metrics) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	return w
}

// Guards against metric names without units, counters without the suffix _total
// and metrics without help text.
func TestMetricsFollowConventions(t *testing.T) {
	problems, err := promlint.New(scrape(t, testMetrics()).Body).Lint()
	require.NoError(t, err)
	require.Empty(t, problems)
}

// Guards against fields of State that are exported under the wrong metric name.
func TestStateValues(t *testing.T) {
	body := scrape(t, testMetrics()).Body.String()
	for _, line := range []string{
		"toucangw_ready 1\n",
		"toucangw_leaving 0\n",
		"toucangw_upstream_running_calls 3\n",
		"toucangw_platform_answer_timestamp_seconds 1.5\n",
		"# TYPE toucangw_log_lines_dropped_total counter\ntoucangw_log_lines_dropped_total 7\n",
	} {
		require.Contains(t, body, line)
	}
}

// Guards against a label value for each unknown reason that a peer of another
// version sends.
func TestUnknownReasonIsOther(t *testing.T) {
	m := testMetrics()
	m.Answered(call.Low, verdict.Refuse("new-reason", ""), time.Millisecond)
	body := scrape(t, m).Body.String()
	require.Contains(t, body, `toucangw_requests_total{importance="low",reason="other",verdict="not-run"} 1`)
	require.NotContains(t, body, "new-reason")
}

// Guards against a recent refusal of an outgoing call without its caller, kind
// or host, and against a refusal that is missing from the metrics.
func TestRefusalsForOperators(t *testing.T) {
	logs, err := NewLogs(httptest.NewRecorder(), "json", "info")
	require.NoError(t, err)
	defer logs.Close()
	o := NewObserver(logs.Decisions, testMetrics())
	defer o.Close()
	o.Answered(driver.Answered{
		RequestID: "a", Service: "ledger", Caller: "scheldt", Kind: "batch-read", Host: "ledger-1",
		Refusal: verdict.Refuse(verdict.QueueFull, ""),
	})
	o.Refused("b", "ledger", "", verdict.Refuse(verdict.BadRequest, "cut"))
	recent := o.Recent("a")
	require.Len(t, recent, 1)
	require.Equal(t, "batch-read", recent[0].Kind)
	require.Equal(t, "ledger-1", recent[0].Host)
	require.Contains(t, scrape(t, o.Metrics).Body.String(),
		`toucangw_requests_total{importance="background",reason="bad-request",verdict="not-run"} 1`)
}
