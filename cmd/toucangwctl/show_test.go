package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/verdict"
	"toucangw.example/node/confsync"
	"toucangw.example/node/operator"
	"toucangw.example/node/telemetry"
)

func testStatus() operator.Status {
	return operator.Status{
		Host: "ledger-1", Zone: "flanders-a", Site: "flanders-a", Service: "ledger", Revision: 7,
		NotReady:   "no configuration in force yet",
		Load:       operator.Load{Running: 5, Queued: 2, Limit: 5, Slots: 100, WaitMs: 30},
		Thresholds: map[string]uint32{"scheldt": 2493052, "polder": 0},
		Config: confsync.Status{
			Active: 7, Rejected: 8, RejectedReason: "config/base:3: bad [type]\nconfig/base:9: bad [unit]",
			PlatformAt: time.Now(), PlatformErr: "status 503", Quarantined: []string{"flanders-b"}, Hosts: 13,
			Peers: []confsync.PeerReport{{Host: "ledger-2", Active: 6}, {Host: "ledger-3", Active: 7}},
		},
		Members: []operator.Member{{Host: "ledger-2", Service: "ledger", Status: "live"}},
		Refusals: []telemetry.Refusal{
			{RequestID: "a", Service: "ledger", Kind: "batch-read", Caller: "polder", Host: "ledger-2", Verdict: "not-run", Reason: "queue-full"},
			{RequestID: "b", Service: "ledger", Verdict: "not-run", Reason: "unknown-kind", Detail: "no kind"},
		},
	}
}

func showStatus(t *testing.T, terminal bool, args ...string) result {
	t.Helper()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(testStatus())
	}))
	defer node.Close()
	return runOn(terminal, append([]string{"show", "--node", strings.TrimPrefix(node.URL, "http://")}, args...)...)
}

// Guards against a status that hides the cause of a refusal, a rejected version
// or a node with an older version.
func TestShow(t *testing.T) {
	got := showStatus(t, false)
	require.Equal(t, exitOK, got.code, got.err)
	for _, text := range []string{
		"not ready: no configuration in force yet",
		"at 1 of 2 peers heard in the last minute",
		"has 6",
		"5 of 100 slots",
		"from rank 2493052 (normal) on",
		"all admitted",
		"rejected version 8: config/base:3: bad [type]\n  config/base:9: bad [unit]\n",
		"held back, they drop hosts that answer: flanders-b",
		"platform: status 503",
		"batch-read  polder  ledger-2  not-run",
		reasonMeaning[verdict.QueueFull],
		reasonMeaning[verdict.UnknownKind],
	} {
		require.Contains(t, got.out, text)
	}
	require.NotContains(t, got.out, "\x1b", "colour without a terminal")
	require.Contains(t, showStatus(t, true).out, styleRed+"rejected version 8")
	one := showStatus(t, false, "--request-id", "b")
	require.NotContains(t, one.out, "queue-full")
	require.Contains(t, one.out, "unknown-kind")
}

// Guards against JSON that lacks what the text shows, or that contains escape
// sequences.
func TestShowJSON(t *testing.T) {
	got := showStatus(t, true, "--json", "--refusals", "1")
	require.Equal(t, exitOK, got.code)
	var s operatorStatus
	require.NoError(t, json.Unmarshal([]byte(got.out), &s))
	require.EqualValues(t, 8, s.Config.Rejected)
	require.Len(t, s.Refusals, 1)
	require.Equal(t, "ledger-2", s.Refusals[0].Host)
	require.Equal(t, "no configuration in force yet", s.NotReady)
}

// Guards against a reason without an explanation in the tool.
func TestEveryReasonHasAMeaning(t *testing.T) {
	require.Len(t, reasonMeaning, len(verdict.Reasons()))
	for _, r := range verdict.Reasons() {
		require.NotEmpty(t, reasonMeaning[r], r)
	}
}

// Guards against a query command without JSON output.
func TestQueriesHaveJSON(t *testing.T) {
	for _, name := range []string{"check", "show", "key", "loglevel", "demo", "trace"} {
		require.Contains(t, runTool(name, "--help").out, "--json", name)
	}
}
