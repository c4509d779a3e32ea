package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const gatewayFile = `
[host]
id = "sidecar-vl-a-1"
zone = "vl-a"
service = "huvo11a"

[listen]
callers = "10.1.0.8:8304"
peers = "10.1.0.8:8300"
readiness = "10.1.0.8:8302"

[upstream]
address = "10.1.0.8:8301"

[store]
address = "10.200.1.7:8309"

[retries]
ratio = 0.2
window = "10s"
slack = 47
`

// Guards against settings of the platform's template that are not read or get
// another value.
func TestParseGateway(t *testing.T) {
	g, problems := ParseGateway(Source{Name: "node.toml", Data: []byte(gatewayFile)})
	require.Empty(t, problems)
	assert.Equal(t, "10.1.0.8:8301", g.Upstream.String())
	assert.False(t, g.Listen.Metrics.IsValid())
	assert.Equal(t, 6*time.Second, g.Drain.Grace)
	assert.Equal(t, GatewayRetries{Ratio: 0.2, Window: 10 * time.Second, Slack: 47}, g.Retries)
}

// Guards against a node that starts with settings that it cannot use.
func TestParseGatewayReportsProblems(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"missing store":   {"address = \"10.200.1.7:8309\"", "", "store.address"},
		"shared listener": {"10.1.0.8:8302", "10.1.0.8:8300", "in use by listen.peers"},
		"unknown key":     {"[retries]", "[retries]\nrate = 1", "rate"},
		"no unit":         {"window = \"10s\"", "window = 10", "unit"},
	} {
		t.Run(name, func(t *testing.T) {
			g, problems := ParseGateway(Source{Name: "node.toml", Data: []byte(replaceOnce(t, gatewayFile, c.from, c.to))})
			assert.Nil(t, g)
			require.NotEmpty(t, problems)
			assert.Contains(t, problems.Error(), c.want)
		})
	}
}

func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	require.Contains(t, text, from)
	return strings.Replace(text, from, to, 1)
}
