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

// own returns the answer that a correct node gives.
func own(r *http.Request, path string) []byte {
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

// Guards the judgement of the demo: answers of other requests and broken
// answers are found, and only complete own answers count.
func TestJudgesAnswers(t *testing.T) {
	good := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) { _, _ = w.Write(own(r, path)) }).Kinds["k"]
	require.Positive(t, good.Sent)
	require.Equal(t, good.Sent, good.Answered)
	require.InDelta(t, 2*float64(good.Sent), good.Worth, 0)

	mixed := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) {
		_, _ = w.Write(own(r, path+"-other"))
	}).Kinds["k"]
	require.Equal(t, mixed.Sent, mixed.Mismatched)

	cut := run(t, read(), func(w http.ResponseWriter, r *http.Request, path string) {
		body := own(r, path)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:10])
	}).Kinds["k"]
	require.Equal(t, cut.Sent, cut.Truncated)
}

// Guards the check for a false "not run": only requests of which every attempt
// was refused as not run are listed.
func TestListsNotRun(t *testing.T) {
	refused := run(t, read(), func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Toucangw-Verdict", "not-run")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	require.Len(t, refused.NotRunIDs, refused.Kinds["k"].Sent)
	require.Equal(t, 2*refused.Kinds["k"].Sent, refused.Kinds["k"].Attempts)

	unsure := run(t, read(), func(w http.ResponseWriter, r *http.Request, _ string) {
		verdict := "may-have-run"
		if r.Header.Get("Toucangw-Attempt") == "2" {
			verdict = "not-run"
		}
		w.Header().Set("Toucangw-Verdict", verdict)
		w.WriteHeader(http.StatusBadGateway)
	})
	require.Positive(t, unsure.Kinds["k"].Sent)
	require.Empty(t, unsure.NotRunIDs)
}

// Guards the key flow: the key of the 428 is used, and replaced only by a fresh
// one.
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
			_, _ = w.Write(own(r, path))
		}
	})
	k := result.Kinds["k"]
	require.Positive(t, k.Sent)
	require.Equal(t, k.Sent, k.Answered)
	require.Equal(t, 3*k.Sent, k.Attempts)
	require.Len(t, result.Actions, k.Sent)
}
