package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Gateway holds the settings of a node whose routes and upstreams are
// published in a store (toucangwd --mode gateway).
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
	Readiness netip.AddrPort
	Metrics   netip.AddrPort // invalid for none
}

// GatewayDrain bounds a planned stop.
type GatewayDrain struct {
	// Grace is the time after which the process is killed.
	Grace time.Duration
	// Announce is the time between the first failing readiness answer and the
	// close of the listeners.
	Announce time.Duration
}

// GatewayRetries is the allowance of repeats over all nodes.
type GatewayRetries struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
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
	{Name: "retries", Help: "Repeats to a service, summed over all nodes.", Keys: []Key{
		{Name: "ratio", Type: TypeNumber, Default: 0.2, Min: 0, Max: 1, Help: "repeats per request"},
		{Name: "window", Type: TypeDuration, Default: 10 * time.Second, Min: float64(time.Second), Max: float64(10 * time.Minute), Help: "any window in which the bound holds"},
		{Name: "slack", Type: TypeNumber, Default: 0.0, Min: 0, Max: 1e6, Help: "repeats in a window that are free"},
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
		Host: GatewayHost{ID: must[string](host, "id"), Zone: must[string](host, "zone"), Service: must[string](host, "service")},
		Listen: GatewayListen{
			Callers:   must[netip.AddrPort](listen, "callers"),
			Peers:     must[netip.AddrPort](listen, "peers"),
			Readiness: must[netip.AddrPort](listen, "readiness"),
			Metrics:   must[netip.AddrPort](listen, "metrics"),
		},
		Upstream: must[netip.AddrPort](doc.single("upstream"), "address"),
		Store:    must[netip.AddrPort](doc.single("store"), "address"),
		Drain:    GatewayDrain{Grace: must[time.Duration](drain, "grace"), Announce: must[time.Duration](drain, "announce")},
		Retries: GatewayRetries{
			Ratio: must[float64](retries, "ratio"), Window: must[time.Duration](retries, "window"), Slack: must[float64](retries, "slack"),
		},
	}
	// The choices of the key are the names that slog accepts.
	_ = g.LogLevel.UnmarshalText([]byte(must[string](doc.single("log"), "level")))
	return g
}
