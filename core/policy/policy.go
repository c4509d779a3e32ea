// Package policy defines the typed configuration that the decision packages
// read: a base file combined with the overlay of one site.
package policy

import (
	"strings"
	"time"

	"toucangw.example/core/call"
)

// Policy is the active configuration of one site. It is immutable once built
// and may be shared between goroutines.
type Policy struct {
	Revision uint64 // revision of the configuration snapshot
	Site     string
	Services map[string]*Service
	Kinds    []*Kind            // in file order; the first match applies
	Callers  map[string]*Caller // by name
	Limits   Limits

	byRoute map[route][]*Kind // built by Index; nil before
}

type route struct{ service, method string }

// Service describes the upstreams of one service.
type Service struct {
	Name         string
	Slots        int           // maximum number of calls in flight at one upstream
	Connections  int           // maximum number of connections to one upstream
	Reserved     int           // slots reserved for critical requests
	ColdStart    time.Duration // time until a new upstream receives its full share of calls
	ProbePath    string        // health endpoint; empty for none
	SubsetSize   int           // hosts of the service that one node connects to
	MaxQueueWait time.Duration // maximum time that a call waits for a slot
}

// Kind describes one kind of request.
type Kind struct {
	Name          string
	Service       string
	Method        string
	PathPrefix    string
	Importance    call.Importance
	Worth         float64
	OnceOnly      bool // executed at most once, under an idempotency key
	Internal      bool // sent by upstreams only; rejected when a caller sends it
	Deadline      time.Duration
	ExtraAttempts int           // retry credit of one caller's request
	Cost          time.Duration // expected slot time at the service itself
	TreeCost      time.Duration // expected slot time over the whole call tree
}

// Caller is a workspace with its share of the capacity within one importance.
type Caller struct {
	Name  string
	Share float64
}

// Limits holds the bounds on sizes and lifetimes.
type Limits struct {
	MaxBody     int64
	MaxDepth    int
	KeyLifetime time.Duration
	MaxKeys     int
	MaxKeyBytes int64 // memory for stored responses of at-most-once requests
}

// Defaults of the Limits and Service fields that a base file may omit.
const (
	DefaultMaxBody      = 1 << 20
	DefaultMaxDepth     = 32
	DefaultKeyLifetime  = 10 * time.Minute
	DefaultMaxKeys      = 100_000
	DefaultMaxKeyBytes  = 32 << 20
	DefaultSubsetSize   = 8
	DefaultMaxQueueWait = 250 * time.Millisecond
	DefaultColdStart    = 5 * time.Second
)

// Match returns the kind of a request, or nil if no kind matches.
func (p *Policy) Match(service, method, path string) *Kind {
	kinds := p.Kinds
	if p.byRoute != nil {
		kinds = p.byRoute[route{service, method}]
	}
	for _, k := range kinds {
		if k.Service == service && k.Method == method && strings.HasPrefix(path, k.PathPrefix) {
			return k
		}
	}
	return nil
}

// Index builds a lookup table that speeds up Match. It is called once, before
// the policy is shared. At the target size there are some 2,600 kinds, of which
// a few belong to one service and method.
func (p *Policy) Index() {
	p.byRoute = make(map[route][]*Kind)
	for _, k := range p.Kinds {
		r := route{k.Service, k.Method}
		p.byRoute[r] = append(p.byRoute[r], k)
	}
}

// Kind returns the kind of the given name, or nil.
func (p *Policy) Kind(name string) *Kind {
	for _, k := range p.Kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}
