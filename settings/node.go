package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"
)

// Node holds the settings of one node process.
type Node struct {
	Host     NodeHost
	Listen   NodeListen
	Upstream NodeUpstream
	Platform NodePlatform
	// Seeds are the peer listeners that the node asks until it has a host list.
	Seeds  []netip.AddrPort
	Log    NodeLog
	Limits NodeLimits
}

// NodeHost identifies the host of the node.
type NodeHost struct {
	ID      string
	Region  string
	Zone    string // availability zone
	Site    string // site whose overlay applies
	Service string // service of the local upstream; empty if there is none
}

// NodeListen holds the addresses of the node's listeners.
type NodeListen struct {
	Callers  netip.AddrPort // HTTP for callers
	Egress   netip.AddrPort // HTTP for outgoing calls of the upstream
	Peers    netip.AddrPort // gRPC for other nodes
	Operator netip.AddrPort // HTTP for operators
}

// NodeUpstream describes the local upstream. Address is invalid (see
// netip.AddrPort.IsValid) if there is none.
type NodeUpstream struct {
	Address    netip.AddrPort
	HealthPath string // if empty, probe_path of the service is used
}

// NodePlatform describes the configuration service.
type NodePlatform struct {
	Addresses []netip.AddrPort
}

// NodeLog holds the settings of the log.
type NodeLog struct {
	Level     slog.Level
	Format    string // "text" or "json"
	Decisions bool   // whether each decision is logged
}

// NodeLimits holds the bounds on the messages that the node accepts and on the
// time that it takes to stop.
type NodeLimits struct {
	MaxBody      int64
	MaxHeader    int
	DrainTimeout time.Duration
}

// Formats of the log.
const (
	LogText = "text"
	LogJSON = "json"
)

var nodeTables = []Table{
	{Name: "host", Help: "Identity and place of the host.", Keys: []Key{
		{Name: "id", Type: TypeName, Required: true, Help: "id of the host on the published list"},
		{Name: "region", Type: TypeName, Required: true, Help: "region of the host"},
		{Name: "zone", Type: TypeName, Required: true, Help: "availability zone of the host"},
		{Name: "site", Type: TypeName, DefaultKey: "zone", Help: "site whose overlay applies"},
		{Name: "service", Type: TypeName, DefaultNote: "none: no local upstream", Help: "service of the local upstream"},
	}},
	{Name: "listen", Help: "Listeners of the node. Callers and peers need an address that they can reach.", Keys: []Key{
		{Name: "callers", Type: TypeAddress, Required: true, Help: "HTTP listener for callers"},
		{Name: "peers", Type: TypeAddress, Required: true, Help: "gRPC listener for other nodes, the address on the published list"},
		{Name: "egress", Type: TypeAddress, Default: netip.MustParseAddrPort("127.0.0.1:7401"), Help: "HTTP listener for outgoing calls of the local upstream"},
		{Name: "operator", Type: TypeAddress, Default: netip.MustParseAddrPort("127.0.0.1:7402"), Help: "HTTP listener for operators and metrics"},
	}},
	{Name: "upstream", Help: "The local upstream.", Keys: []Key{
		{Name: "address", Type: TypeAddress, DefaultNote: "none: no local upstream", Help: "address of the upstream; required with host.service"},
		{Name: "health_path", Type: TypePath, DefaultNote: "probe_path of the service", Help: "path of the health endpoint"},
	}},
	{Name: "platform", Help: "The configuration service.", Keys: []Key{
		{Name: "addresses", Type: TypeAddrs, DefaultNote: "none: seeds are required", Help: "addresses of the configuration service"},
	}},
	{Name: "seeds", Help: "Peers that are asked before a host list is known.", Keys: []Key{
		{Name: "addresses", Type: TypeAddrs, DefaultNote: "none", Help: "peer listeners of other nodes"},
	}},
	{Name: "log", Help: "The log, written to standard error.", Keys: []Key{
		{Name: "level", Type: TypeChoice, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "least severe level that is written"},
		{Name: "format", Type: TypeChoice, Default: LogJSON, Choices: []string{LogText, LogJSON}, Help: "form of a line"},
		{Name: "decisions", Type: TypeBool, Default: true, Help: "write a line for each routing and admission decision"},
	}},
	{Name: "limits", Help: "Bounds of this node.", Keys: []Key{
		{Name: "max_body", Type: TypeSize, Default: Size(1 << 20), Min: 1 << 10, Max: maxBody, Help: "largest body; the smaller of this and the base's max_body applies"},
		{Name: "max_header", Type: TypeSize, Default: Size(64 << 10), Min: 1 << 10, Max: 1 << 20, Help: "largest header of a request"},
		{Name: "drain_timeout", Type: TypeDuration, Default: 30 * time.Second, Min: 0, Max: float64(10 * time.Minute),
			Help: "longest time that a planned stop waits for calls in flight"},
	}},
}

// ParseNode reads the settings of one node process. If there is any problem,
// the node is nil.
func ParseNode(src Source) (*Node, Problems) {
	var c collector
	doc := read(src, nodeTables, modeBase, &c)
	if doc.readable {
		checkNode(doc, &c)
	}
	if problems := c.result(); len(problems) > 0 {
		return nil, problems
	}
	return buildNode(doc), nil
}

// checkNode checks the constraints between the values of the node settings.
func checkNode(doc *document, c *collector) {
	checkListeners(doc, c)
	host, upstream := doc.single("host"), doc.single("upstream")
	_, hasService := host.values["service"]
	_, hasAddress := upstream.values["address"]
	switch {
	case hasService && !hasAddress:
		c.add(upstream.problem(RuleUpstream, "host.service is set, so the address of its upstream is required", "address"))
	case hasAddress && !hasService:
		c.add(host.problem(RuleUpstream, "upstream.address is set, so the service that it runs is required", "service"))
	}
	platform, seeds := doc.single("platform"), doc.single("seeds")
	if isUnset(platform) && isUnset(seeds) {
		c.add(platform.problem(RuleMissing, "want an address of the platform or a seed; without either no configuration can arrive", "addresses"))
	}
}

// isUnset reports whether a table sets no addresses. Invalid addresses count as
// set, because they are reported already.
func isUnset(e *entry) bool {
	v, set := e.values["addresses"]
	return !set || v.v != nil && len(getOrZero[[]netip.AddrPort](e, "addresses")) == 0
}

// checkListeners reports listeners that cannot be opened together.
func checkListeners(doc *document, c *collector) {
	listen := doc.single("listen")
	var used []Key
	for _, key := range listen.table.Keys {
		addr, ok := get[netip.AddrPort](listen, key.Name)
		if !ok {
			continue
		}
		same := func(other Key) bool { return overlap(addr, getOrZero[netip.AddrPort](listen, other.Name)) }
		if i := slices.IndexFunc(used, same); i >= 0 {
			c.add(listen.problem(RuleAddressConflict, fmt.Sprintf("%s is in use by listen.%s", addr, used[i].Name), key.Name))
			continue
		}
		used = append(used, key)
	}
}

// overlap reports whether two listen addresses cannot both be opened.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func buildNode(doc *document) *Node {
	host, listen, upstream := doc.single("host"), doc.single("listen"), doc.single("upstream")
	platform, log, limits := doc.single("platform"), doc.single("log"), doc.single("limits")
	n := &Node{
		Host: NodeHost{
			ID:      getOrZero[string](host, "id"),
			Region:  getOrZero[string](host, "region"),
			Zone:    getOrZero[string](host, "zone"),
			Site:    getOrZero[string](host, "site"),
			Service: getOrZero[string](host, "service"),
		},
		Listen: NodeListen{
			Callers:  getOrZero[netip.AddrPort](listen, "callers"),
			Egress:   getOrZero[netip.AddrPort](listen, "egress"),
			Peers:    getOrZero[netip.AddrPort](listen, "peers"),
			Operator: getOrZero[netip.AddrPort](listen, "operator"),
		},
		Upstream: NodeUpstream{
			Address:    getOrZero[netip.AddrPort](upstream, "address"),
			HealthPath: getOrZero[string](upstream, "health_path"),
		},
		Platform: NodePlatform{
			Addresses: getOrZero[[]netip.AddrPort](platform, "addresses"),
		},
		Seeds: getOrZero[[]netip.AddrPort](doc.single("seeds"), "addresses"),
		Limits: NodeLimits{
			MaxBody:      int64(getOrZero[Size](limits, "max_body")),
			MaxHeader:    int(getOrZero[Size](limits, "max_header")),
			DrainTimeout: getOrZero[time.Duration](limits, "drain_timeout"),
		},
	}
	n.Log.Format = getOrZero[string](log, "format")
	n.Log.Decisions = getOrZero[bool](log, "decisions")
	// UnmarshalText cannot fail: the choices of the key are level names of slog.
	_ = n.Log.Level.UnmarshalText([]byte(getOrZero[string](log, "level")))
	return n
}
