package history

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/baseline"
	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
)

// Services and kinds of all histories: a read and an at-most-once sign-off, each
// with one sub-call to the ledger service. The sub-call of the sign-off is
// at-most-once too.
const (
	frontService  = "front"
	ledgerService = "ledger"

	readPath   = "/read"
	signPath   = "/sign"
	entryPath  = "/entry"
	appendPath = "/append"
	notePath   = "/note" // matches no kind: neither idempotent nor at-most-once
)

var callers = [...]string{"antwerp", "ghent"}

// configure chooses the settings of a history at random.
func (sim *simulation) configure() {
	sim.keyLifetime = []time.Duration{2 * time.Second, 10 * time.Minute}[sim.rng.IntN(2)]
	sim.maxKeys = []int{3, 1000}[sim.rng.IntN(2)]
	sim.maxBytes = []int64{200, 1 << 20}[sim.rng.IntN(2)]
	sim.unlimitedRetries = sim.chance(50)
	extra := sim.rng.IntN(5)
	slots := 1 + sim.rng.IntN(4)
	service := func(name string) *policy.Service {
		return &policy.Service{
			Name: name, Slots: slots, Connections: 100, ColdStart: 200 * time.Millisecond,
			SubsetSize: 8, MaxQueueWait: 250 * time.Millisecond,
		}
	}
	kind := func(service, method, path string, importance call.Importance, onceOnly bool, deadline time.Duration) *policy.Kind {
		return &policy.Kind{
			Name: service + path, Service: service, Method: method, PathPrefix: path, Importance: importance,
			Worth: 1, OnceOnly: onceOnly, Deadline: deadline, ExtraAttempts: extra,
			Cost: 5 * time.Millisecond, TreeCost: 10 * time.Millisecond,
		}
	}
	sim.policy = &policy.Policy{
		Revision: 1,
		Services: map[string]*policy.Service{frontService: service(frontService), ledgerService: service(ledgerService)},
		Kinds: []*policy.Kind{
			kind(frontService, http.MethodGet, readPath, call.Low, false, 400*time.Millisecond),
			kind(frontService, http.MethodPost, signPath, call.Critical, true, time.Second),
			kind(ledgerService, http.MethodGet, entryPath, call.Normal, false, 400*time.Millisecond),
			kind(ledgerService, http.MethodPost, appendPath, call.Critical, true, time.Second),
		},
		Callers: map[string]*policy.Caller{
			callers[0]: {Name: callers[0], Share: 1},
			callers[1]: {Name: callers[1], Share: 1},
		},
		Limits: policy.Limits{MaxDepth: 32, KeyLifetime: sim.keyLifetime, MaxKeys: sim.maxKeys, MaxKeyBytes: sim.maxBytes},
	}
}

// changedPolicy returns the next revision of the policy, with the given number of
// slots.
func (sim *simulation) changedPolicy(slots int) *policy.Policy {
	next := *sim.policy
	next.Revision++
	next.Services = maps.Clone(sim.policy.Services)
	for name, service := range sim.policy.Services {
		changed := *service
		changed.Slots = slots
		next.Services[name] = &changed
	}
	return &next
}

// createNodes creates two or three hosts of each service in two zones and starts
// their nodes.
func (sim *simulation) createNodes() {
	for _, service := range []string{frontService, ledgerService} {
		for i := range 2 + sim.rng.IntN(2) {
			n := &node{
				sim: sim, index: len(sim.nodes),
				host: member.Host{
					ID: member.HostID(fmt.Sprintf("%s-%d", service, i)), Addr: fmt.Sprintf("127.0.0.1:%d", len(sim.nodes)+1),
					Region: "r", Zone: []string{"a", "b"}[i%2], Service: service,
				},
				skew: sim.between(-time.Hour, time.Hour),
			}
			sim.nodes = append(sim.nodes, n)
			sim.byHost[n.host.ID] = n
		}
	}
	for _, n := range sim.nodes {
		n.boot()
	}
}

func (sim *simulation) engineConfig(n *node, source *rand.Rand) engine.Config {
	secret := make([]byte, idempotency.SecretLen)
	for i := 0; i < len(secret); i += 8 {
		binary.BigEndian.PutUint64(secret[i:], source.Uint64())
	}
	keys, err := idempotency.New(idempotency.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Start: n.clock(), Secret: secret, Nonce: source.Uint64,
		Lifetime: sim.keyLifetime, MaxKeys: sim.maxKeys, MaxAnswerBytes: sim.maxBytes,
	})
	if err != nil {
		panic(err) // the settings are constants of this package
	}
	if sim.opt.Ledger != nil {
		keys = sim.opt.Ledger(keys)
	}
	n.keys = keys
	var budget retry.Builder = retry.NewBudget
	if sim.unlimitedRetries {
		budget = baseline.NewUnlimitedBudget
	}
	admission := admit.Builder(admit.New)
	if sim.opt.Admit != nil {
		admission = func(service *policy.Service, callers map[string]*policy.Caller) admit.Controller {
			return sim.opt.Admit(admit.New(service, callers))
		}
	}
	routing := route.Builder(route.New)
	if sim.opt.Route != nil {
		routing = func(self route.Locality, random func(int) int) route.Router {
			return sim.opt.Route(route.New(self, random))
		}
	}
	return engine.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation,
		Zone: n.host.Zone, Region: n.host.Region, Service: n.host.Service,
		Random: source.IntN,
		Token:  func() string { return fmt.Sprintf("%s/%016x", n.host.ID, source.Uint64()) },
		Admit:  admission, Route: routing, Budget: budget, Pressure: pressure.New,
		Keys: keys, ParseOwner: idempotency.ParseOwner,
	}
}

// hostList returns the hosts as published to a node. A skewed list omits hosts,
// has earlier or zero incarnations, or marks hosts as leaving.
func (sim *simulation) hostList(n *node, skewed bool) map[string][]member.Host {
	hosts := map[string][]member.Host{}
	for _, m := range sim.nodes {
		h := m.host
		if skewed {
			if m != n && sim.chance(25) {
				continue
			}
			switch sim.rng.IntN(6) {
			case 0:
				h.Incarnation = 0
			case 1:
				h.Incarnation = max(h.Incarnation, 1) - 1
			case 2:
				h.Status = member.Leaving
			}
		}
		hosts[h.Service] = append(hosts[h.Service], h)
	}
	if skewed {
		for _, service := range []string{frontService, ledgerService} {
			shuffled := slices.Clone(hosts[service])
			sim.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			hosts[service] = shuffled
		}
	}
	return hosts
}
