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

// Services and kinds of all histories: a read and a once-only sign-off, each
// with one sub-call to the ledger, which for the sign-off is once-only too.
const (
	front  = "front"
	ledger = "ledger"

	readPath   = "/read"
	signPath   = "/sign"
	entryPath  = "/entry"
	appendPath = "/append"
	notePath   = "/note" // no kind: neither idempotent nor once-only
)

var customers = [...]string{"antwerp", "ghent"}

// configure draws the settings of a history.
func (w *world) configure() {
	w.lifetime = []time.Duration{2 * time.Second, 10 * time.Minute}[w.rng.IntN(2)]
	w.maxKeys = []int{3, 1000}[w.rng.IntN(2)]
	w.maxBytes = []int64{200, 1 << 20}[w.rng.IntN(2)]
	w.generous = w.chance(50)
	extra := w.rng.IntN(5)
	slots := 1 + w.rng.IntN(4)
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
	w.policy = &policy.Policy{
		Revision: 1,
		Services: map[string]*policy.Service{front: service(front), ledger: service(ledger)},
		Kinds: []*policy.Kind{
			kind(front, http.MethodGet, readPath, call.Low, false, 400*time.Millisecond),
			kind(front, http.MethodPost, signPath, call.Critical, true, time.Second),
			kind(ledger, http.MethodGet, entryPath, call.Normal, false, 400*time.Millisecond),
			kind(ledger, http.MethodPost, appendPath, call.Critical, true, time.Second),
		},
		Callers: map[string]*policy.Caller{
			customers[0]: {Name: customers[0], Share: 1},
			customers[1]: {Name: customers[1], Share: 1},
		},
		Limits: policy.Limits{MaxDepth: 32, KeyLifetime: w.lifetime, MaxKeys: w.maxKeys, MaxKeyBytes: w.maxBytes},
	}
}

// changedPolicy is the next revision, with another number of slots.
func (w *world) changedPolicy(slots int) *policy.Policy {
	next := *w.policy
	next.Revision++
	next.Services = maps.Clone(w.policy.Services)
	for name, service := range w.policy.Services {
		changed := *service
		changed.Slots = slots
		next.Services[name] = &changed
	}
	return &next
}

// start makes two or three hosts of each service in two zones.
func (w *world) start() {
	for _, service := range []string{front, ledger} {
		for i := range 2 + w.rng.IntN(2) {
			n := &node{
				w: w, index: len(w.nodes),
				host: member.Host{
					ID: member.HostID(fmt.Sprintf("%s-%d", service, i)), Addr: fmt.Sprintf("127.0.0.1:%d", len(w.nodes)+1),
					Region: "r", Zone: []string{"a", "b"}[i%2], Service: service,
				},
				skew: w.between(-time.Hour, time.Hour),
			}
			w.nodes = append(w.nodes, n)
			w.byHost[n.host.ID] = n
		}
	}
	for _, n := range w.nodes {
		n.boot()
	}
}

func (w *world) engineConfig(n *node, source *rand.Rand) engine.Config {
	secret := make([]byte, idempotency.SecretLen)
	for i := 0; i < len(secret); i += 8 {
		binary.BigEndian.PutUint64(secret[i:], source.Uint64())
	}
	keys, err := idempotency.New(idempotency.Config{
		Host: n.host.ID, Incarnation: n.host.Incarnation, Start: n.clock(), Secret: secret, Nonce: source.Uint64,
		Lifetime: w.lifetime, MaxKeys: w.maxKeys, MaxAnswerBytes: w.maxBytes,
	})
	if err != nil {
		panic(err) // the settings are constants of this package
	}
	if w.opt.Ledger != nil {
		keys = w.opt.Ledger(keys)
	}
	n.keys = keys
	var budget retry.Builder = retry.NewBudget
	if w.generous {
		budget = baseline.NewUnlimitedBudget
	}
	admission := admit.Builder(admit.New)
	if w.opt.Admit != nil {
		admission = func(service *policy.Service, callers map[string]*policy.Caller) admit.Controller {
			return w.opt.Admit(admit.New(service, callers))
		}
	}
	routing := route.Builder(route.New)
	if w.opt.Route != nil {
		routing = func(self route.Locality, random func(int) int) route.Router {
			return w.opt.Route(route.New(self, random))
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

// list returns the hosts as published to a node. A skewed list leaves hosts
// out, names earlier incarnations or none, or marks hosts as leaving.
func (w *world) list(n *node, skewed bool) map[string][]member.Host {
	hosts := map[string][]member.Host{}
	for _, m := range w.nodes {
		h := m.host
		if skewed {
			if m != n && w.chance(25) {
				continue
			}
			switch w.rng.IntN(6) {
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
		for _, service := range []string{front, ledger} {
			list := slices.Clone(hosts[service])
			w.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			hosts[service] = list
		}
	}
	return hosts
}
