// Package bench measures the decisions of core/engine in a discrete-event
// simulation: upstreams with slots, service times, cold starts and connection
// limits, network latencies between availability zones, and callers that retry
// aggressively.
package bench

import (
	"net/http"
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
)

// Stage is one call of a chain: a service and the slot time spent at the
// service itself.
type Stage struct {
	Service string
	Cost    time.Duration
}

// Kind is a kind of request that callers send.
type Kind struct {
	Name       string
	Importance call.Importance
	Worth      float64
	AtMostOnce bool
	Deadline   time.Duration
	Mix        float64 // share of all requests
	Chain      []Stage // each stage calls the next one
}

// Service is a service with its upstream hosts.
type Service struct {
	Name        string
	Hosts       int
	Slots       int
	Connections int
}

// Deployment is a set of services with the requests of its callers.
type Deployment struct {
	Name          string
	ZoneLatency   time.Duration // one way, between availability zones
	LocalLatency  time.Duration // one way, within an availability zone
	ClientLatency time.Duration // one way
	ConnectCost   time.Duration
	ColdStart     time.Duration
	Services      []Service
	Kinds         []Kind
	Callers       []string
	Deep          string // deepest service: the one at the end of the longest chain
	Shared        string // service that most kinds use
}

const (
	zones  = 3
	region = "flanders"
	// extraAttempts is the retry credit of a caller's request.
	extraAttempts = 3
	ms            = time.Millisecond
)

// Drooglog is the Cocoa Drying Log Mesh at the sizes of docs/design.md 1.2.
func Drooglog() *Deployment {
	return &Deployment{
		Name: "drooglog", ZoneLatency: 1500 * time.Microsecond, LocalLatency: 200 * time.Microsecond,
		ClientLatency: 3 * ms, ConnectCost: ms, ColdStart: time.Second,
		Services: []Service{
			{"batchlog", 4, 80, 570}, {"release", 3, 100, 720}, {"ledger", 3, 100, 720}, {"quality", 3, 25, 250},
		},
		Kinds: []Kind{
			{"batch-read", call.Low, 1, false, 400 * ms, 0.5, []Stage{{"batchlog", 8 * ms}, {"ledger", 4 * ms}}},
			{"ledger-read", call.Normal, 2, false, 400 * ms, 0.22, []Stage{{"ledger", 5 * ms}}},
			{"quality-read", call.Normal, 4, false, 500 * ms, 0.22,
				[]Stage{{"batchlog", 6 * ms}, {"ledger", 4 * ms}, {"quality", 6 * ms}}},
			{"sign-off", call.Critical, 20, true, 2 * time.Second, 0.06,
				[]Stage{{"release", 10 * ms}, {"ledger", 5 * ms}, {"quality", 4 * ms}}},
		},
		Callers: []string{"owner-a", "owner-b", "owner-c"}, Deep: "quality", Shared: "ledger",
	}
}

// Kandy is the Shared Winding Rota Platform at the sizes of docs/design.md 1.2.
func Kandy() *Deployment {
	return &Deployment{
		Name: "kandy", ZoneLatency: ms, LocalLatency: 200 * time.Microsecond,
		ClientLatency: 3 * ms, ConnectCost: ms, ColdStart: time.Second,
		Services: []Service{
			{"rounds", 5, 70, 500}, {"ledger", 4, 90, 600}, {"keyroom", 3, 110, 780}, {"registry", 3, 35, 300},
		},
		Kinds: []Kind{
			{"key-browse", call.Low, 1, false, 400 * ms, 0.5,
				[]Stage{{"rounds", 4 * ms}, {"keyroom", 6 * ms}, {"registry", 4 * ms}}},
			{"winding-check", call.Normal, 2, false, 400 * ms, 0.22, []Stage{{"rounds", 4 * ms}, {"ledger", 5 * ms}}},
			{"round-read", call.Normal, 4, false, 400 * ms, 0.22, []Stage{{"rounds", 6 * ms}, {"registry", 5 * ms}}},
			{"winding-log", call.Critical, 20, true, 2 * time.Second, 0.06,
				[]Stage{{"rounds", 5 * ms}, {"ledger", 8 * ms}}},
		},
		Callers: []string{"house-a", "house-b", "house-c"}, Deep: "registry", Shared: "ledger",
	}
}

// Shrink divides the slots and connections, and thereby the load, to make tests
// shorter.
func (d *Deployment) Shrink(by int) *Deployment {
	small := *d
	small.Services = slices.Clone(d.Services)
	for i := range small.Services {
		s := &small.Services[i]
		s.Slots = max(2, s.Slots/by)
		s.Connections = max(4, s.Connections/by)
	}
	return &small
}

func (k *Kind) method() string {
	if k.AtMostOnce {
		return http.MethodPost
	}
	return http.MethodGet
}

func (k *Kind) path() string { return "/" + k.Name }

// partPath is the path of an outgoing call within a chain. Outgoing calls are
// reads even if the request is at-most-once: only the first stage has an effect.
func (k *Kind) partPath() string { return "/part/" + k.Name }

// treeCost returns the slot time of the whole chain.
func (k *Kind) treeCost() time.Duration {
	sum := time.Duration(0)
	for _, s := range k.Chain {
		sum += s.Cost
	}
	return sum
}

// holdTimes returns the time for which each stage holds its slot when no call
// has to wait: its own cost, that of the stages below it, and the network latency
// within an availability zone.
func (d *Deployment) holdTimes(k *Kind) []time.Duration {
	out := make([]time.Duration, len(k.Chain))
	below := time.Duration(0)
	for i := len(k.Chain) - 1; i >= 0; i-- {
		out[i] = k.Chain[i].Cost + below
		below = out[i] + 2*d.LocalLatency
	}
	return out
}

// policy returns the configuration of the deployment.
func (d *Deployment) policy(retryCredit int) *policy.Policy {
	p := &policy.Policy{
		Revision: 1,
		Services: map[string]*policy.Service{},
		Callers:  map[string]*policy.Caller{},
		Limits: policy.Limits{
			MaxBody: policy.DefaultMaxBody, MaxDepth: policy.DefaultMaxDepth, KeyLifetime: policy.DefaultKeyLifetime,
			MaxKeys: policy.DefaultMaxKeys, MaxKeyBytes: policy.DefaultMaxKeyBytes,
		},
	}
	for _, s := range d.Services {
		p.Services[s.Name] = &policy.Service{
			Name: s.Name, Slots: s.Slots, Connections: s.Connections, Reserved: d.reserved(s),
			ColdStart: d.ColdStart, SubsetSize: policy.DefaultSubsetSize, MaxQueueWait: policy.DefaultMaxQueueWait,
		}
	}
	for i := range d.Kinds {
		k := &d.Kinds[i]
		p.Kinds = append(p.Kinds, &policy.Kind{
			Name: k.Name, Service: k.Chain[0].Service, Method: k.method(), PathPrefix: k.path(),
			Importance: k.Importance, Worth: k.Worth, OnceOnly: k.AtMostOnce, Deadline: k.Deadline,
			ExtraAttempts: retryCredit, Cost: k.Chain[0].Cost, TreeCost: k.treeCost(),
		})
		for _, s := range k.Chain[1:] {
			p.Kinds = append(p.Kinds, &policy.Kind{
				Name: k.Name + "-" + s.Service, Service: s.Service, Method: http.MethodGet, PathPrefix: k.partPath(),
				Importance: k.Importance, Worth: k.Worth, Deadline: k.Deadline, Cost: s.Cost, TreeCost: s.Cost,
			})
		}
	}
	for _, c := range d.Callers {
		p.Callers[c] = &policy.Caller{Name: c, Share: 1}
	}
	return p
}

// reserved returns the slots reserved for critical requests: a twentieth of the
// slots, at least one, of each service that receives any.
func (d *Deployment) reserved(s Service) int {
	for _, k := range d.Kinds {
		for _, stage := range k.Chain {
			if k.Importance == call.Critical && stage.Service == s.Name {
				return max(1, s.Slots/20)
			}
		}
	}
	return 0
}
