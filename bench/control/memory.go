package control

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"toucangw.example/core/gossip/gossiptest"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/node/confsync"
	"toucangw.example/peer"
	"toucangw.example/settings"
	"toucangw.example/standin/platform"
)

const (
	// loadTimeout bounds how long a node may take to load all values;
	// loadPollInterval is the time between checks whether it has.
	loadTimeout      = 30 * time.Second
	loadPollInterval = 50 * time.Millisecond

	// callbackDelay allows the callbacks that follow the last value to finish.
	callbackDelay = 200 * time.Millisecond
)

// noPeers fails all calls to peers.
type noPeers struct{}

var errNoPeers = errors.New("no peers in this measurement")

func (noPeers) Exchange(context.Context, member.Host, *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	return nil, errNoPeers
}

func (noPeers) Push(context.Context, member.Host, *peer.PushRequest) (*peer.PushReply, error) {
	return nil, errNoPeers
}

// idleMeasureTime is how long the processor time without changes is measured.
const idleMeasureTime = 3 * time.Second

// Memory measures the heap, and the processor time without changes, of the
// configuration service of one node that has read a base of 650 services, 13
// overlays and the lists of all hosts from a fake platform.
func Memory(ctx context.Context) ([]Row, error) {
	heap := &series{scenario: "memory", variant: "650 services, 13 zones", metric: "heap of configuration and host view", unit: "MB", per: "hosts"}
	idle := &series{scenario: "memory", variant: "650 services, 13 zones, no peers", metric: "share of a core at rest", unit: "%", per: "hosts"}
	for _, hosts := range HostSizes {
		bytes, share, err := nodeCost(ctx, hosts)
		if err != nil {
			return nil, fmt.Errorf("memory with %d hosts: %w", hosts, err)
		}
		heap.add(float64(hosts), bytes/1e6)
		idle.add(float64(hosts), share*100)
	}
	return flatten(heap, idle), nil
}

// nodeCost returns the heap in bytes and the share of a core that the
// configuration service of one node uses.
func nodeCost(ctx context.Context, hosts int) (float64, float64, error) {
	dir, err := os.MkdirTemp("", "toucangw-bench")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := writePublished(dir, hosts); err != nil {
		return 0, 0, err
	}
	source, err := platform.New(platform.Config{Dir: dir})
	if err != nil {
		return 0, 0, err
	}
	server := httptest.NewServer(source.Handler())
	defer server.Close()
	before := heapInUse()

	var current *policy.Policy // kept alive, as the runtime keeps the policy and the hosts
	var eligible map[string][]member.Host
	compiler := settings.NewCompiler()
	service := confsync.New(confsync.Config{
		Self:          member.Host{ID: "host-00000", Zone: gossiptest.ZoneName(0)},
		Site:          localSite,
		PlatformAddrs: []string{server.Listener.Addr().String()},
		Peers:         noPeers{},
		Compiler:      siteCompiler(compiler, localSite),
		OnPolicy:      func(p *policy.Policy) { current = p },
		OnHosts:       func(h map[string][]member.Host) { eligible = h },
	})
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- service.Run(ctx) }()
	for status := service.Status(); status.Active == 0 || status.Hosts < hosts; status = service.Status() {
		if sleep(ctx, loadPollInterval) != nil {
			return 0, 0, fmt.Errorf("node has not loaded all values within %s: %+v", loadTimeout, status)
		}
	}
	if err := sleep(ctx, callbackDelay); err != nil {
		return 0, 0, err
	}
	after := heapInUse()
	start := cpuTime()
	if err := sleep(ctx, idleMeasureTime); err != nil {
		return 0, 0, err
	}
	share := float64(cpuTime()-start) / float64(idleMeasureTime)
	cancel()
	err = <-done
	runtime.KeepAlive(current)
	runtime.KeepAlive(eligible)
	return after - before, share, err
}

// siteCompiler adapts a compiler for one site to confsync.
func siteCompiler(compiler *settings.Compiler, site string) confsync.Compiler {
	return func(revision uint64, base []byte, overlays map[string][]byte) (map[string]*policy.Policy, error) {
		sources := make(map[string]settings.Source, len(overlays))
		for name, data := range overlays {
			sources[name] = settings.Source{Name: name, Data: data}
		}
		p, problems := compiler.CompileSite(revision, settings.Source{Name: "base", Data: base}, sources, site)
		if len(problems) > 0 {
			return nil, problems
		}
		return map[string]*policy.Policy{p.Site: p}, nil
	}
}

// writePublished writes the files that the fake platform serves.
func writePublished(dir string, hosts int) error {
	files := map[string]string{"base.toml": string(baseFile(targetServices, 0))}
	for zone, ids := range hostIDs(hosts) {
		files["hosts/"+zone+".json"] = gossiptest.ListBody(zone, ids)
	}
	for name, src := range overlays(targetZones) {
		files["overlay/"+name+".toml"] = string(src.Data)
	}
	for name, body := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
