// Package policy holds the typed configuration that the decision packages
// read: the result of a base file and the overlay of one site.
package policy

import (
	"strings"
	"time"

	"toucangw.example/core/call"
)

// Policy is the configuration in force at one site. It is read-only once
// built and may be shared between goroutines.
type Policy struct {
	Revision uint64 // store revision of the snapshot
	Site     string
	Services map[string]*Service
	Kinds    []*Kind            // in file order; the first match wins
	Callers  map[string]*Caller // customers by name
	Limits   Limits

	byRoute map[route][]*Kind // nil until Index
}

type route struct{ service, method string }

// Service describes the upstreams of one service.
type Service struct {
	Name         string
	Slots        int           // most calls that one upstream runs at once
	Connections  int           // most connections to one upstream
	Reserved     int           // slots kept for critical work
	ColdStart    time.Duration // time until a new upstream takes its full share
	ProbePath    string        // health endpoint; empty for none
	SubsetSize   int           // hosts of the service that one node connects to
	MaxQueueWait time.Duration // longest time that a call may wait for a slot
}

// Kind describes one kind of request.
type Kind struct {
	Name          string
	Service       string
	Method        string
	PathPrefix    string
	Importance    call.Importance
	Worth         float64
	OnceOnly      bool
	Internal      bool // made by upstreams only, refused when a caller asks for it
	Deadline      time.Duration
	ExtraAttempts int           // retry credit of one caller's request
	Cost          time.Duration // expected slot time at the service itself
	TreeCost      time.Duration // expected slot time over the whole call tree
}

// Caller is a customer with a share of the capacity within one importance.
type Caller struct {
	Name  string
	Share float64
}

// Limits bound sizes and lifetimes.
type Limits struct {
	MaxBody     int64
	MaxDepth    int
	KeyLifetime time.Duration
	MaxKeys     int
	MaxKeyBytes int64 // memory for stored answers of once-only requests
}

// Defaults of Limits and Service fields that a base file may leave out.
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

// Match returns the kind of a request, or nil if none is configured.
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

// Index speeds up Match. It is called once, before the policy is shared. The
// target size has some 2,600 kinds, of which a few belong to one route.
func (p *Policy) Index() {
	p.byRoute = make(map[route][]*Kind)
	for _, k := range p.Kinds {
		r := route{k.Service, k.Method}
		p.byRoute[r] = append(p.byRoute[r], k)
	}
}

// Kind returns the kind with a name, or nil.
func (p *Policy) Kind(name string) *Kind {
	for _, k := range p.Kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}
