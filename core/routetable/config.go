// Package routetable holds the operator's routes: which service answers a
// request, within which time, how often it may be tried, and with which
// priority.
package routetable

import (
	"fmt"
	"strings"
	"time"
)

// Kind determines whether a request may run more than once.
type Kind uint8

// Kinds of routes. The zero value is the most restrictive one.
const (
	Unsafe   Kind = iota // runs at most once
	Safe                 // idempotent
	Download             // idempotent, with a large response
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	default:
		return "unsafe"
	}
}

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == Safe || k == Download }

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests for a host name below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the duration of one attempt of a client.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the most important.
	Priority int
	// MaxAttempts bounds the upstreams to which one attempt of a client is
	// sent.
	MaxAttempts int
	Targets     []Target

	split splitter
}

// Service holds the settings of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
}

// Limits bound the size of requests and the time that a client may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration. It is immutable except
// for the state of the traffic splits.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Document is the text from which the configuration was read. A node passes
	// it on to other nodes.
	Document []byte
	hosts    map[string][]*Route // longest prefix first
	routes   []*Route
}

// New validates the routes and builds the configuration.
func New(version uint64, services []Service, limits Limits, routes []*Route) (*Config, error) {
	c := &Config{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]*Route{},
		routes:   routes,
	}
	for _, s := range services {
		if s.Name == "" {
			return nil, fmt.Errorf("service without a name")
		}
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.add(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
	}
	for _, list := range c.hosts {
		sortByPrefix(list)
	}
	return c, nil
}

func (c *Config) add(r *Route) error {
	if r.Host == "" {
		return fmt.Errorf("no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("path prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	}
	if len(r.Targets) == 0 {
		return fmt.Errorf("no service")
	}
	total := 0
	for _, t := range r.Targets {
		if _, ok := c.Services[t.Service]; !ok {
			return fmt.Errorf("service %q is not configured", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", t.Weight, t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return fmt.Errorf("all weights are zero")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	r.Host = normalizeHost(r.Host)
	for _, other := range c.hosts[r.Host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("path prefix %q of host %q is defined twice", r.Prefix, r.Host)
		}
	}
	r.split.init(r.Targets)
	c.hosts[r.Host] = append(c.hosts[r.Host], r)
	return nil
}

// Routes returns all routes in the order of the configuration.
func (c *Config) Routes() []*Route { return c.routes }
