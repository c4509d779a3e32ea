package settings_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

func parseNode(t *testing.T, path string) *settings.Node {
	t.Helper()
	n, problems := settings.ParseNode(loadFile(t, path))
	require.Empty(t, problems)
	return n
}

// Guards against keys whose values are stored in the wrong field.
func TestNodeKeys(t *testing.T) {
	addr := netip.MustParseAddrPort
	want := &settings.Node{
		Host: settings.NodeHost{ID: "host-17.flanders-a", Region: "flanders", Zone: "flanders-a", Site: "docks", Service: "quality"},
		Listen: settings.NodeListen{
			Callers:  addr("0.0.0.0:80"),
			Peers:    addr("[fd00::5]:7403"),
			Egress:   addr("127.0.0.1:81"),
			Operator: addr("127.0.0.1:82"),
		},
		Upstream: settings.NodeUpstream{Address: addr("127.0.0.1:8080"), HealthPath: "/ready"},
		Platform: settings.NodePlatform{
			Addresses: []netip.AddrPort{addr("10.0.9.1:7900"), addr("10.0.9.2:7900")},
		},
		Seeds:  []netip.AddrPort{addr("10.0.1.6:7403"), addr("10.0.2.6:7403")},
		Log:    settings.NodeLog{Level: slog.LevelWarn, Format: settings.LogText},
		Limits: settings.NodeLimits{MaxBody: 2 << 20, MaxHeader: 16 << 10, DrainTimeout: 90 * time.Second},
	}
	require.Equal(t, want, parseNode(t, "testdata/good/node-full.toml"))
}

// Guards against defaults that expose the operator or egress listener to other
// hosts, or that disable the decision log.
func TestNodeDefaults(t *testing.T) {
	n := parseNode(t, "testdata/good/node-minimal.toml")
	require.True(t, n.Listen.Operator.Addr().IsLoopback())
	require.True(t, n.Listen.Egress.Addr().IsLoopback())
	require.Equal(t, "flanders-a", n.Host.Site)
	require.Empty(t, n.Host.Service)
	require.False(t, n.Upstream.Address.IsValid())
	require.Equal(t, settings.NodeLog{Level: slog.LevelInfo, Format: settings.LogJSON, Decisions: true}, n.Log)
	require.Equal(t, settings.NodeLimits{MaxBody: 1 << 20, MaxHeader: 64 << 10, DrainTimeout: 30 * time.Second}, n.Limits)
}

// Guards against defaults that the checks of their key would reject, and against
// keys without the texts of the reference page.
func TestTablesAreConsistent(t *testing.T) {
	for _, table := range append(settings.BaseTables(), settings.NodeTables()...) {
		require.NotEmpty(t, table.Help, table.Name)
		names := map[string]bool{}
		for _, key := range table.Keys {
			name := table.Name + "." + key.Name
			require.False(t, names[key.Name], name)
			names[key.Name] = true
			require.NotEmpty(t, key.Help, name)
			require.NotEqual(t, key.Required, key.DefaultText() != "", "%s is either required or has a default", name)
			requireDefaultInRange(t, key, name)
		}
	}
}

// requireDefaultInRange checks a default against the bounds or choices of its key.
func requireDefaultInRange(t *testing.T, key settings.Key, name string) {
	t.Helper()
	var number float64
	switch v := key.Default.(type) {
	case int:
		number = float64(v)
	case float64:
		number = v
	case time.Duration:
		number = float64(v)
	case settings.Size:
		number = float64(v)
	case string:
		if key.Type == settings.TypeChoice {
			require.Contains(t, key.Choices, v, name)
		}
		return
	default:
		return
	}
	require.GreaterOrEqual(t, number, key.Min, name)
	require.LessOrEqual(t, number, key.Max, name)
}
