package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/node/telemetry"
)

func get(t *testing.T, h http.Handler, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

// Guards against a node that is restarted because it is not ready, and against a
// readiness reply without the reason.
func TestHealthIsNotReadiness(t *testing.T) {
	why := "no configuration in force yet"
	server, err := NewServer(Config{
		Status:      func() Status { return Status{} },
		NotReady:    func() string { return why },
		Refusals:    func(string) []telemetry.Refusal { return nil },
		SetLogLevel: func(string) error { return nil },
		Metrics:     http.NotFoundHandler(),
	})
	require.NoError(t, err)
	code, body := get(t, server.Handler, "/healthz")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "ok\n", body)
	code, body = get(t, server.Handler, "/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "not ready: no configuration in force yet\n", body)
	why = ""
	code, body = get(t, server.Handler, "/readyz")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "ready\n", body)
}
