// Package node is the runtime of toucangwd: it assembles the engine, the
// listeners and the connections to other nodes, and stops them in order.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/node/driver"
	"toucangw.example/node/httpapi"
	"toucangw.example/node/operator"
	"toucangw.example/node/peerlink"
	"toucangw.example/node/telemetry"
	"toucangw.example/node/upstream"
	"toucangw.example/settings"
)

// Node is one toucangw node. Its methods are safe for concurrent use.
type Node struct {
	settings    *settings.Node
	incarnation uint64
	logs        *telemetry.Logs
	observer    *telemetry.Observer
	engine      *engine.Engine
	keys        idempotency.Ledger // used by the engine
	driver      *driver.Driver
	links       *peerlink.Links
	peers       *peerlink.Server
	upstream    *upstream.Client // nil if the node has no local upstream
	source      Source

	policy  atomic.Pointer[policy.Policy]
	leaving atomic.Bool
	hostsMu sync.Mutex
	hosts   []member.Host

	listeners listeners
	callers   *http.Server
	egress    *http.Server
	operator  *http.Server
}

type listeners struct {
	callers, egress, peers, operator net.Listener
}

// Listen opens the listeners of a node and assembles it; Run starts it.
func Listen(opts Options) (*Node, error) {
	s := opts.Settings
	logs, err := telemetry.NewLogs(opts.Output, s.Log.Format, s.Log.Level.String())
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:    s,
		incarnation: opts.Incarnation,
		logs:        logs,
		observer:    telemetry.NewObserver(decisionLog(logs, s), telemetry.NewMetrics()),
	}
	if err := n.assemble(opts); err != nil {
		n.listeners.close()
		n.observer.Close()
		logs.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) assemble(opts Options) error {
	self := peerlink.Self{Host: member.HostID(n.settings.Host.ID), Incarnation: n.incarnation}
	n.keys = opts.Policies.Keys(self.Host, self.Incarnation)
	n.engine = engine.New(engineConfig(opts, self, n.keys))
	n.links = peerlink.NewLinks(self, peerlink.Events{
		Leaving: n.peerLeaving,
		Alive:   n.peerAlive,
		Stalled: n.peerStalled,
	})
	var localUpstream driver.Upstream = noUpstream{}
	if n.settings.Upstream.Address.IsValid() {
		n.upstream = upstream.New(n.settings.Upstream.Address.String(), n.settings.Limits.MaxBody)
		localUpstream = n.upstream
	}
	n.driver = driver.New(driver.Config{
		Self:        self.Host,
		Incarnation: n.incarnation,
		Engine:      n.engine,
		Peers:       n.links,
		Upstream:    localUpstream,
		Observer:    n.observer,
		PeerLeaving: n.peerLeaving,
		SelfLeaving: n.announceLeaving,
		OnResume:    n.onResume,
	})
	newSource := opts.Source
	if newSource == nil {
		newSource = n.platformSource
	}
	n.source = newSource(SourceConfig{
		Settings:    n.settings,
		Incarnation: n.incarnation,
		Links:       n.links,
		OnPolicy:    n.onPolicy,
		OnHosts:     n.onHosts,
	})
	n.peers = peerlink.NewServer(peerlink.ServerConfig{
		Self:    self,
		Handler: n.driver,
		Gossip:  n.source,
		Allowed: n.source.Allowed,
	})
	n.observer.Metrics.CollectState(n.telemetryState)
	if err := n.newServers(); err != nil {
		return err
	}
	return n.listen()
}

func engineConfig(opts Options, self peerlink.Self, keys idempotency.Ledger) engine.Config {
	h := opts.Settings.Host
	return engine.Config{
		Host:        self.Host,
		Incarnation: self.Incarnation,
		Zone:        h.Zone,
		Region:      h.Region,
		Service:     h.Service,
		Random:      mathrand.New(mathrand.NewPCG(mathrand.Uint64(), self.Incarnation)).IntN,
		Token:       token,
		Admit:       opts.Policies.Admit,
		Route:       opts.Policies.Route,
		Budget:      opts.Policies.Budget,
		Pressure:    opts.Policies.Pressure,
		Keys:        keys,
		ParseOwner:  idempotency.ParseOwner,
	}
}

// token returns 128 random bits in hexadecimal.
func token() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (n *Node) newServers() error {
	cfg := httpapi.Config{
		Calls:     n.driver,
		Refusals:  n.observer,
		MaxBody:   n.maxBody,
		MaxHeader: n.settings.Limits.MaxHeader,
		Owner:     idempotency.ParseOwner,
		Leaving:   n.leaving.Load,
		ErrorLog:  n.errorLog(),
	}
	var err error
	if n.callers, err = httpapi.NewServer(cfg); err != nil {
		return fmt.Errorf("caller API: %w", err)
	}
	cfg.Egress = true
	if n.egress, err = httpapi.NewServer(cfg); err != nil {
		return fmt.Errorf("egress API: %w", err)
	}
	n.operator, err = operator.NewServer(operator.Config{
		Status:      n.Status,
		NotReady:    n.notReady,
		Refusals:    n.observer.Recent,
		SetLogLevel: n.logs.SetLevel,
		Metrics:     n.observer.Metrics.Handler(),
		ErrorLog:    n.errorLog(),
	})
	if err != nil {
		return fmt.Errorf("operator API: %w", err)
	}
	return nil
}

// errorLog returns a logger for the errors that net/http reports, such as those of
// malformed requests.
func (n *Node) errorLog() *log.Logger {
	return slog.NewLogLogger(n.logs.Logger.Handler(), slog.LevelWarn)
}

func (n *Node) listen() error {
	l := n.settings.Listen
	for _, open := range []struct {
		name string
		addr string
		to   *net.Listener
	}{
		{"callers", l.Callers.String(), &n.listeners.callers},
		{"egress", l.Egress.String(), &n.listeners.egress},
		{"peers", l.Peers.String(), &n.listeners.peers},
		{"operator", l.Operator.String(), &n.listeners.operator},
	} {
		lis, err := net.Listen("tcp", open.addr)
		if err != nil {
			return fmt.Errorf("listen.%s: %w", open.name, err)
		}
		*open.to = lis
	}
	return nil
}

// Addrs are the addresses of the listeners.
type Addrs struct {
	Callers, Egress, Peers, Operator string
}

// Addrs returns the addresses of the listeners, with the ports that the system
// chose for port 0.
func (n *Node) Addrs() Addrs {
	l := n.listeners
	return Addrs{
		Callers:  l.callers.Addr().String(),
		Egress:   l.egress.Addr().String(),
		Peers:    l.peers.Addr().String(),
		Operator: l.operator.Addr().String(),
	}
}

func (l *listeners) close() {
	for _, lis := range []net.Listener{l.callers, l.egress, l.peers, l.operator} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

// Ready reports whether the node accepts new work.
func (n *Node) Ready() bool { return n.notReady() == "" }

// notReady returns why the node accepts no new work, or an empty string if it does.
func (n *Node) notReady() string {
	switch {
	case n.leaving.Load():
		return "leaving"
	case n.policy.Load() == nil:
		return "no configuration in force yet"
	}
	return ""
}

func (n *Node) maxBody() int64 {
	limit := n.settings.Limits.MaxBody
	if p := n.policy.Load(); p != nil {
		limit = min(limit, p.Limits.MaxBody)
	}
	return limit
}

// serve starts a server and sends its error to failed if it ends before ctx.
func serve(ctx context.Context, wg *sync.WaitGroup, name string, run func() error, failed chan<- error) {
	wg.Go(func() {
		if err := run(); err != nil && ctx.Err() == nil {
			select {
			case failed <- fmt.Errorf("%s: %w", name, err):
			default:
			}
		}
	})
}
