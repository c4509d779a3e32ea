package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a command that hides what a node says of a quarantine, or that takes a failure for success.
func TestQuarantineCommand(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"fingerprint":"5a0c61d2f7b94e1800","quarantined":true,"service":"deep","route":"r1","caller":"front","request":"7f",
			"crashes":[{"upstream":"i-1","software":"v1","seen_by":"n1","age_seconds":3.2}]}]`))
	})
	mux.HandleFunc("DELETE /quarantine/{f}", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("f") != "5a0c61d2" {
			http.Error(w, "no such request", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	node := httptest.NewServer(mux)
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	got := runTool("quarantine", "--node", address)
	assert.Equal(t, exitOK, got.code, got.err)
	for _, text := range []string{"5a0c61d2f7b94e18 ", "quarantined", "deep", "front", "7f", "i-1 (v1, 3 s ago, seen by n1)"} {
		assert.Contains(t, got.out, text)
	}
	got = runTool("quarantine", "--node", address, "--lift", "5a0c61d2")
	assert.Equal(t, exitOK, got.code, got.err)
	assert.Contains(t, got.out, "lifted")
	got = runTool("quarantine", "--node", address, "--lift", "77777777")
	assert.Equal(t, exitProblems, got.code)
	assert.Contains(t, got.err, "no such request")
	assert.Equal(t, exitUsage, runTool("quarantine", "--node", "127.0.0.1:1").code)
}
