// Package site runs a small gateway-mode deployment on one machine: a fake metadata
// store, fake upstreams, and the real daemon beside each of them. Faults can be
// injected into the relays between the processes.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"toucangw.example/standin/backend"
	"toucangw.example/standin/metastore"
)

// VirtualHost is the virtual host (Host header) of all routes.
const VirtualHost = "shop.example"

const (
	clientsPort   = 7801
	peersPort     = 7810
	readinessPort = 7802
	metricsPort   = 7621
	upstreamPort  = 9000
)

// Service is a service of the deployment.
type Service struct {
	Name        string
	Hosts       int
	Slots       int
	ServiceTime time.Duration
	// Calls is the path of another service that each request calls; empty for
	// none.
	Calls string
}

// Route is a routing rule of the configuration.
type Route struct {
	Prefix   string
	Kind     string
	Service  string
	Priority int
	Timeout  time.Duration
}

// Config configures a Site.
type Config struct {
	// Daemon is the path of the toucangw-gateway executable.
	Daemon string
	// Template is the path of the template for the nodes' settings.
	Template string
	// Dir is the directory for the nodes' settings and logs.
	Dir      string
	Services []Service
	// Block is the third octet of the loopback addresses, 0 to 255, so that
	// several sites can run simultaneously.
	Block int
	// Grace is the longest time that a planned stop may take.
	Grace time.Duration
}

// Site is a running deployment.
type Site struct {
	Store *metastore.Store
	Hosts []*Host

	cfg       Config
	address   string // of the store
	server    *http.Server
	template  string
	startedAt int64
}

// Start starts a deployment. Its nodes are not ready before Configure is called.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	template, err := os.ReadFile(cfg.Template)
	if err != nil {
		return nil, fmt.Errorf("read settings template: %w", err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store: metastore.New(storePageSize), cfg: cfg, address: lis.Addr().String(),
		template: string(template), startedAt: time.Now().UnixMilli(),
	}
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(lis) }()
	for zone, service := range cfg.Services {
		for i := range service.Hosts {
			h, err := s.newHost(ctx, service, fmt.Sprintf("zone-%d", (zone+i)%2))
			if err != nil {
				s.Close()
				return nil, err
			}
			s.Hosts = append(s.Hosts, h)
		}
	}
	return s, nil
}

const storePageSize = 50

// Close stops all processes.
func (s *Site) Close() {
	for _, h := range s.Hosts {
		h.close()
	}
	_ = s.server.Close()
}

// Configure publishes a configuration with the given version.
func (s *Site) Configure(version int, routes []Route) error {
	rules := make([]any, 0, len(routes))
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": "r" + r.Prefix, "path-prefix": r.Prefix, "kind": r.Kind, "timeout": r.Timeout.String(),
			"target-latency": (r.Timeout / 2).String(), "priority": r.Priority, "service": r.Service, "max-attempts": 2,
		})
	}
	services := make([]any, 0, len(s.cfg.Services))
	for _, service := range s.cfg.Services {
		services = append(services, map[string]any{"name": service.Name, "health-check-path": "/health", "max-connections": 400})
	}
	doc, err := json.Marshal(map[string]any{
		"version":       version,
		"virtual-hosts": []any{map[string]any{"host": VirtualHost, "path-rules": rules}},
		"services":      services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout": "2s", "idle-timeout": "10s",
		},
	})
	if err != nil {
		return err
	}
	s.Store.Put("op/config", doc)
	return nil
}

// Runs returns the requests that ran at any upstream, including replaced ones.
func (s *Site) Runs() []backend.Run {
	var out []backend.Run
	for _, h := range s.Hosts {
		for _, b := range h.upstreamInstances() {
			out = append(out, b.Runs()...)
		}
	}
	return out
}

// AwaitReady waits until all nodes are ready.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// settings writes the settings file of a host from the template.
func (s *Site) settings(h *Host) (path string, err error) {
	text := strings.NewReplacer(
		"{{node-name}}", h.Name,
		"{{zone}}", h.Zone,
		"{{service}}", h.Service.Name,
		"{{listen-addresses.outbound}}", address(h.IP, clientsPort),
		"{{listen-addresses.inbound}}", address(h.IP, peersPort),
		"{{listen-addresses.ready}}", address(h.IP, readinessPort),
		"{{ip-address}}", h.IP,
		"{{application-address}}", address(h.relayIP, upstreamPort),
		"{{platform.address}}", s.address,
		"{{bounds.grace-period}}", s.cfg.Grace.String(),
		"{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.budget-window}}", "10s",
		"{{bounds.retry-budget-slack}}", "50",
	).Replace(s.template)
	path = filepath.Join(s.cfg.Dir, h.Name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// errStopped is returned by Signal if the node is not running.
var errStopped = errors.New("the node does not run")
