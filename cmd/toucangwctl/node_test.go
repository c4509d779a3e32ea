package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/member"
	"toucangw.example/node"
	"toucangw.example/settings"
)

// startNode runs a node in this process and returns its addresses.
func startNode(t *testing.T) node.Addrs {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	var source *node.Static
	n, err := node.Listen(node.Options{
		Settings: &settings.Node{
			Host:     settings.NodeHost{ID: "release-1", Region: "flanders", Zone: "flanders-a", Service: "release"},
			Listen:   settings.NodeListen{Callers: free, Egress: free, Peers: free, Operator: free},
			Upstream: settings.NodeUpstream{Address: netip.MustParseAddrPort("127.0.0.1:9")},
			Limits:   settings.NodeLimits{MaxBody: 1 << 20, MaxHeader: 64 << 10},
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Policies:    node.DefaultPolicies(),
		Output:      t.Output(),
		Source: func(cfg node.SourceConfig) node.Source {
			source = node.NewStatic(cfg)
			return source
		},
	})
	require.NoError(t, err)
	data, err := os.ReadFile("../../examples/drooglog/base.toml")
	require.NoError(t, err)
	policies, problems := settings.Compile(7, settings.Source{Name: "base", Data: data}, nil)
	require.Empty(t, problems)
	host := member.Host{ID: "release-1", Addr: n.Addrs().Peers, Zone: "flanders-a", Service: "release"}
	source.Set(policies[settings.BaseSite], []member.Host{host})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx, nil) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n.Addrs()
}

// Guards against a status of a running node that lacks its version, members or
// refusals, as text or as JSON.
func TestShowRunningNode(t *testing.T) {
	addrs := startNode(t)
	_, err := request(http.MethodGet, "http://"+addrs.Callers+"/release/other", http.Header{"X-Request-Id": {"odd-1"}}, nil)
	require.NoError(t, err)
	text := runTool("show", "--node", addrs.Operator)
	require.Equal(t, exitOK, text.code, text.err)
	require.Regexp(t, `version in force +7 `, text.out)
	require.Regexp(t, `level for polder +all admitted`, text.out)
	for _, want := range []string{"release-1", "MEMBER", addrs.Peers, "odd-1", "unknown-kind"} {
		require.Contains(t, text.out, want)
	}
	none := runTool("show", "--node", addrs.Operator, "--request-id", "other")
	require.NotContains(t, none.out, "odd-1")
	var s operatorStatus
	require.NoError(t, json.Unmarshal([]byte(runTool("show", "--json", "--node", addrs.Operator).out), &s))
	require.Equal(t, uint64(7), s.Revision)
	require.True(t, s.Ready)
	require.Len(t, s.Refusals, 1)
}

// Guards against a log level that is not applied, and against accepting an
// unknown level.
func TestLogLevel(t *testing.T) {
	addrs := startNode(t)
	require.Equal(t, exitOK, runTool("loglevel", "--node", addrs.Operator, "warn").code)
	require.Contains(t, runTool("show", "--node", addrs.Operator).out, "log level WARN")
	bad := runTool("loglevel", "--node", addrs.Operator, "loud")
	require.Equal(t, exitUsage, bad.code)
	require.Contains(t, bad.err, "loud")
}

// Guards against a wrong state of a key after its issue or cancellation, and
// against accepting a key that no node has issued.
func TestKey(t *testing.T) {
	addrs := startNode(t)
	r, err := request(http.MethodPost, "http://"+addrs.Callers+"/release/sign-offs/1", http.Header{"Toucangw-Caller": {"scheldt"}}, nil)
	require.NoError(t, err)
	key := r.header.Get("Idempotency-Key")
	require.NotEmpty(t, key, "%s", r.body)
	args := []string{"key", "--node", addrs.Callers, "--caller", "scheldt"}
	require.Equal(t, "unseen (may-have-run)\n", runTool(append(args, key)...).out)
	require.Equal(t, "fenced (not-run)\n", runTool(append(args, "--cancel", key)...).out)
	unknown := runTool(append(args, "nonsense")...)
	require.Equal(t, exitUsage, unknown.code)
	require.Contains(t, unknown.err, "key-unknown")
}

// Guards against success or an unclear error when the node is not running.
func TestShowWithoutNode(t *testing.T) {
	got := runTool("show", "--node", "127.0.0.1:1")
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.err, "ask node")
}
