package main

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
	"toucangw.example/node/gateway"
)

// Guards against a status that lacks what the node reports, and against a wrong
// exit code for a node without configuration or without metrics.
func TestStatus(t *testing.T) {
	metrics := gateway.NewMetrics()
	g := gateway.New(gateway.Config{Metrics: metrics, Logger: slog.New(slog.DiscardHandler)})
	srv := httptest.NewServer(metrics.Handler())
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")

	got := runTool("status", "--node", address)
	require.Equal(t, exitProblems, got.code)
	require.Contains(t, got.err, "no configuration")

	g.SetRoutes(&routetable.Config{Version: 12})
	g.SetHosts(directory.NewSnapshot(directory.Position{Revision: 1}, []directory.Upstream{{ID: "i-1"}, {ID: "i-2"}}))
	g.SetLocalUpstream(directory.LocalUpstream{ID: "i-1", Slots: 100})
	g.StoreCall("config", nil)
	got = runTool("status", "--node", address)
	require.Equal(t, exitOK, got.code, got.err)
	for _, text := range []string{"version 12", "0 running, 0 queued, 94 slots", "store calls: config ok"} {
		require.Contains(t, got.out, text)
	}
	require.Regexp(t, `upstreams known +2\n`, got.out)
	require.Regexp(t, `read from the store +0\.0 s ago, by this node\n`, got.out)
	got = runTool("status", "--json", "--node", address)
	require.Equal(t, exitOK, got.code, got.err)
	require.Contains(t, got.out, `"config_version": 12`)

	other := httptest.NewServer(nil)
	t.Cleanup(other.Close)
	require.Equal(t, exitUsage, runTool("status", "--node", strings.TrimPrefix(other.URL, "http://")).code)
}

// Guards against a reply that is cut without a word, whose end is then missing
// from what the operator sees.
func TestLongReplyIsAnError(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxReplyBytes+1))
	}))
	t.Cleanup(srv.Close)
	got := runTool("status", "--node", strings.TrimPrefix(srv.URL, "http://"))
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.err, "exceeds")
}
