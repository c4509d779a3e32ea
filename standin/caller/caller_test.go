package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/standin/upstream"
)

// matchingBody returns the response body of a correct node.
func matchingBody(r *http.Request, path string) []byte {
	body, _ := json.Marshal(upstream.Response{
		Service: "s", RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: path,
	})
	return body
}

func run(t *testing.T, kind Kind, handler func(w http.ResponseWriter, r *http.Request, path string)) *Result {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(w, r, r.URL.Path[len("/"+kind.Service):])
	}))
	defer server.Close()
	load := New(Config{
		Nodes: []string{server.URL}, Callers: []string{"c"}, Kinds: []Kind{kind},
		Rate: 200, Duration: 100 * time.Millisecond, Retries: 1, Seed: 3, Prefix: "t",
	})
	return load.Run(context.Background())
}

func read() Kind {
	return Kind{Name: "k", Service: "s", Method: http.MethodGet, Prefix: "/p", Share: 1, Worth: 2, Deadline: time.Second}
}

// Guards against a client that counts the response of another request or a truncated
// response as answered, so that tests and the demo would miss these faults.
func TestDetectsFaultyResponses(t *testing.T) {
	answered := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) { _, _ = w.Write(matchingBody(r, path)) }).Kinds["k"]
	require.Positive(t, answered.Sent)
	require.Equal(t, answered.Sent, answered.Answered)
	require.InDelta(t, 2*float64(answered.Sent), answered.Worth, 0)

	mismatched := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) {
		_, _ = w.Write(matchingBody(r, path+"-other"))
	}).Kinds["k"]
	require.Equal(t, mismatched.Sent, mismatched.Mismatched)

	truncated := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) {
		body := matchingBody(r, path)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:10])
	}).Kinds["k"]
	require.Equal(t, truncated.Sent, truncated.Truncated)
}

// Guards against a wrong list of requests that did not run: it must contain only
// requests of which every attempt was rejected with the verdict not-run.
func TestListsNotRun(t *testing.T) {
	refused := run(t, read(), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Toucangw-Verdict", "not-run")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	require.Len(t, refused.NotRunIDs, refused.Kinds["k"].Sent)
	require.Equal(t, 2*refused.Kinds["k"].Sent, refused.Kinds["k"].Attempts)

	indeterminate := run(t, read(), func(w http.ResponseWriter, r *http.Request, _ string) {
		verdict := "may-have-run"
		if r.Header.Get("Toucangw-Attempt") == "2" {
			verdict = "not-run"
		}
		w.Header().Set("Toucangw-Verdict", verdict)
		w.WriteHeader(http.StatusBadGateway)
	})
	require.Positive(t, indeterminate.Kinds["k"].Sent)
	require.Empty(t, indeterminate.NotRunIDs)
}

// Guards against retries with a wrong idempotency key: the client must use the key
// of the 428 and replace it only with a new one.
func TestKeyFlow(t *testing.T) {
	kind := read()
	kind.OnceOnly = true
	kind.Method = http.MethodPost
	result := run(t, kind, func(w http.ResponseWriter, r *http.Request, path string) {
		switch r.Header.Get("Idempotency-Key") {
		case "":
			w.Header().Set("Idempotency-Key", "first")
			w.Header().Set("Toucangw-Verdict", "not-run")
			w.WriteHeader(http.StatusPreconditionRequired)
		case "first":
			w.Header().Set("Idempotency-Key", "second")
			w.Header().Set("Toucangw-Verdict", "not-run")
			w.WriteHeader(http.StatusTooManyRequests)
		case "second":
			_, _ = w.Write(matchingBody(r, path))
		}
	})
	k := result.Kinds["k"]
	require.Positive(t, k.Sent)
	require.Equal(t, k.Sent, k.Answered)
	require.Equal(t, 3*k.Sent, k.Attempts)
	require.Len(t, result.Actions, k.Sent)
}
