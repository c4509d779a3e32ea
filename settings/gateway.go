package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Gateway holds the settings of a node whose routes and upstreams are
// published in a store (gateway mode).
type Gateway struct {
	Host     GatewayHost
	Listen   GatewayListen
	Upstream netip.AddrPort // the local upstream
	Store    netip.AddrPort
	Drain    GatewayDrain
	Retries  GatewayRetries
	LogLevel slog.Level
}

// GatewayHost identifies the host of the node.
type GatewayHost struct {
	ID      string
	Zone    string // availability zone
	Service string // service of the local upstream
}

// GatewayListen holds the addresses of the node's listeners.
type GatewayListen struct {
	Callers   netip.AddrPort // HTTP for local clients and the local upstream
	Peers     netip.AddrPort // HTTP for other nodes, the same port on all hosts
	Readiness netip.AddrPort // HTTP for readiness checks
	Metrics   netip.AddrPort // HTTP; invalid if there is no such listener
}

// GatewayDrain holds the time limits of a planned stop.
type GatewayDrain struct {
	// Grace is the time from SIGTERM after which the process is killed.
	Grace time.Duration
	// Announce is the time between the first failing readiness answer and the
	// closing of the listeners.
	Announce time.Duration
}

// GatewayRetries is the retry budget of each service, summed over all nodes.
type GatewayRetries struct {
	Ratio  float64       // retries per request
	Window time.Duration // length of any window in which the budget holds
	Slack  float64       // retries per window in addition to Ratio
}

// NeedsRestart returns the tables in which the settings of next differ and that a
// running node cannot reload.
func (g *Gateway) NeedsRestart(next *Gateway) []string {
	var tables []string
	for _, t := range []struct {
		name string
		same bool
	}{
		{"host", g.Host == next.Host},
		{"listen", g.Listen == next.Listen},
		{"upstream", g.Upstream == next.Upstream},
		{"store", g.Store == next.Store},
		{"drain", g.Drain == next.Drain},
		{"retries", g.Retries == next.Retries},
	} {
		if !t.same {
			tables = append(tables, t.name)
		}
	}
	return tables
}

var gatewayTables = []Table{
	{Name: "host", Help: "Identity and place of the host.", Keys: []Key{
		{Name: "id", Type: TypeText, Required: true, Help: "name of the host"},
		{Name: "zone", Type: TypeText, Required: true, Help: "availability zone of the host"},
		{Name: "service", Type: TypeText, Required: true, Help: "service of the local upstream"},
	}},
	{Name: "listen", Help: "Listeners of the node.", Keys: []Key{
		{Name: "callers", Type: TypeAddress, Required: true, Help: "HTTP listener for local clients and the local upstream"},
		{Name: "peers", Type: TypeAddress, Required: true, Help: "HTTP listener for other nodes; the port is the same on all hosts"},
		{Name: "readiness", Type: TypeAddress, Required: true, Help: "HTTP listener for readiness checks"},
		{Name: "metrics", Type: TypeAddress, DefaultNote: "none", Help: "HTTP listener for metrics"},
	}},
	{Name: "upstream", Help: "The local upstream.", Keys: []Key{
		{Name: "address", Type: TypeAddress, Required: true, Help: "address of the upstream"},
	}},
	{Name: "store", Help: "The store of routes and upstreams. It is only read.", Keys: []Key{
		{Name: "address", Type: TypeAddress, Required: true, Help: "address of the store"},
	}},
	{Name: "drain", Help: "Planned stops.", Keys: []Key{
		{Name: "grace", Type: TypeDuration, Default: 6 * time.Second, Min: float64(time.Second), Max: float64(10 * time.Minute),
			Help: "time from SIGTERM after which the process is killed"},
		{Name: "announce", Type: TypeDuration, Default: 2200 * time.Millisecond, Min: 0, Max: float64(time.Minute),
			Help: "time for which a stopping node still takes requests of clients that have not noticed"},
	}},
	{Name: "retries", Help: "Retry budget of each service, summed over all nodes.", Keys: []Key{
		{Name: "ratio", Type: TypeNumber, Default: 0.2, Min: 0, Max: 1, Help: "retries per request"},
		{Name: "window", Type: TypeDuration, Default: 10 * time.Second, Min: float64(time.Second), Max: float64(10 * time.Minute), Help: "length of any window in which the budget holds"},
		{Name: "slack", Type: TypeNumber, Default: 0.0, Min: 0, Max: 1e6, Help: "retries per window that are allowed in addition to the ratio"},
	}},
	{Name: "log", Help: "The log, written to standard output as JSON.", Keys: []Key{
		{Name: "level", Type: TypeChoice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "least severe level that is written"},
	}},
}

// GatewayTables returns the tables of the gateway settings.
func GatewayTables() []Table { return append([]Table(nil), gatewayTables...) }

// ParseGateway reads the settings of a gateway node. If there is any problem,
// the settings are nil.
func ParseGateway(src Source) (*Gateway, Problems) {
	var c collector
	doc := read(src, gatewayTables, modeBase, &c)
	if doc.readable {
		checkListeners(doc, &c)
	}
	if problems := c.result(); len(problems) > 0 {
		return nil, problems
	}
	return buildGateway(doc), nil
}

func buildGateway(doc *document) *Gateway {
	host, listen := doc.single("host"), doc.single("listen")
	drain, retries := doc.single("drain"), doc.single("retries")
	g := &Gateway{
		Host: GatewayHost{ID: getOrZero[string](host, "id"), Zone: getOrZero[string](host, "zone"), Service: getOrZero[string](host, "service")},
		Listen: GatewayListen{
			Callers:   getOrZero[netip.AddrPort](listen, "callers"),
			Peers:     getOrZero[netip.AddrPort](listen, "peers"),
			Readiness: getOrZero[netip.AddrPort](listen, "readiness"),
			Metrics:   getOrZero[netip.AddrPort](listen, "metrics"),
		},
		Upstream: getOrZero[netip.AddrPort](doc.single("upstream"), "address"),
		Store:    getOrZero[netip.AddrPort](doc.single("store"), "address"),
		Drain:    GatewayDrain{Grace: getOrZero[time.Duration](drain, "grace"), Announce: getOrZero[time.Duration](drain, "announce")},
		Retries: GatewayRetries{
			Ratio: getOrZero[float64](retries, "ratio"), Window: getOrZero[time.Duration](retries, "window"), Slack: getOrZero[float64](retries, "slack"),
		},
	}
	// UnmarshalText cannot fail: the choices of the key are level names of slog.
	_ = g.LogLevel.UnmarshalText([]byte(getOrZero[string](doc.single("log"), "level")))
	return g
}
