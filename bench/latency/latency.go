// Package latency measures what two nodes add to a call: the same calls are
// made directly and through an entry and a guard node, interleaved in one run,
// over real sockets on loopback with the decision log on.
package latency

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/node"
	"toucangw.example/settings"
)

// Config describes a measurement.
type Config struct {
	Calls   int    // of each way
	Workers int    // callers at a time
	Body    int    // bytes of an answer
	LogDir  string // directory of the decision logs
	// Pause between two calls of a worker, which bounds the load.
	Pause time.Duration
}

// Result is what a measurement found. Added latencies are differences of
// quantiles between the two ways.
type Result struct {
	Calls          int     `json:"calls"`
	Workers        int     `json:"workers"`
	DirectP50Ms    float64 `json:"direct_p50_ms"`
	DirectP99Ms    float64 `json:"direct_p99_ms"`
	ThroughP50Ms   float64 `json:"through_p50_ms"`
	ThroughP99Ms   float64 `json:"through_p99_ms"`
	AddedP50Ms     float64 `json:"added_p50_ms"`
	AddedP99Ms     float64 `json:"added_p99_ms"`
	PerCoreSecond  float64 `json:"calls_per_core_second"` // pairs of a direct and a routed call
	AllocsPerCall  float64 `json:"allocs_per_call"`       // of a pair, callers and upstream included
	DecisionLogged int64   `json:"decision_log_bytes"`
}

const (
	service  = "echo"
	customer = "bench"
	warmUp   = 200 // calls of each way before the measurement
	// histogramMax is the longest latency that a histogram holds, in
	// nanoseconds.
	histogramMax = int64(10 * time.Second)
)

// Run makes the measurement.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	node.Tune()
	b, err := newBed(cfg)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := b.ready(ctx); err != nil {
		return nil, err
	}
	if _, err := b.measure(ctx, warmUp); err != nil {
		return nil, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := cpuTime()
	result, err := b.measure(ctx, cfg.Calls)
	if err != nil {
		return nil, err
	}
	cpu := cpuTime() - cpuBefore
	runtime.ReadMemStats(&after)
	result.PerCoreSecond = float64(result.Calls) / cpu.Seconds()
	result.AllocsPerCall = float64(after.Mallocs-before.Mallocs) / float64(result.Calls)
	result.DecisionLogged = b.logged()
	return result, nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// bed is two nodes with one upstream.
type bed struct {
	cfg      Config
	upstream *http.Server
	address  string
	entry    string
	nodes    []*node.Node
	logs     []*os.File
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	client   *http.Client
}

func newBed(cfg Config) (*bed, error) {
	b := &bed{cfg: cfg, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: cfg.Workers, DisableCompression: true,
	}}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = lis.Addr().String()
	b.upstream = &http.Server{Handler: answer(cfg.Body), ReadHeaderTimeout: time.Second}
	go func() { _ = b.upstream.Serve(lis) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	if err := b.startNodes(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func answer(size int) http.Handler {
	body := make([]byte, size)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(body)
	})
}

func (b *bed) startNodes(ctx context.Context) error {
	var sources []*node.Static
	var hosts []member.Host
	for _, h := range []settings.NodeHost{
		{ID: "entry", Region: "r", Zone: "a", Site: "a"},
		{ID: "guard", Region: "r", Zone: "a", Site: "a", Service: service},
	} {
		n, source, err := b.listen(h)
		if err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		sources = append(sources, source)
		hosts = append(hosts, member.Host{
			ID: member.HostID(h.ID), Addr: n.Addrs().Peers, Region: h.Region, Zone: h.Zone, Service: h.Service,
		})
	}
	for i, n := range b.nodes {
		sources[i].Set(benchPolicy(b.cfg.Workers), hosts)
		b.wg.Go(func() { _ = n.Run(ctx, nil) })
	}
	b.entry = "http://" + b.nodes[0].Addrs().Callers
	return nil
}

func (b *bed) listen(h settings.NodeHost) (*node.Node, *node.Static, error) {
	log, err := os.Create(filepath.Join(b.cfg.LogDir, h.ID+".log"))
	if err != nil {
		return nil, nil, err
	}
	b.logs = append(b.logs, log)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s := &settings.Node{
		Host:   h,
		Listen: settings.NodeListen{Callers: free, Egress: free, Peers: free, Operator: free},
		Log:    settings.NodeLog{Format: settings.LogJSON, Decisions: true},
		Limits: settings.NodeLimits{MaxBody: policy.DefaultMaxBody, DrainTimeout: time.Second},
	}
	if h.Service != "" {
		s.Upstream.Address = netip.MustParseAddrPort(b.address)
	}
	var source *node.Static
	n, err := node.Listen(node.Options{
		Settings:    s,
		Incarnation: uint64(time.Now().UnixMilli()),
		Policies:    node.DefaultPolicies(),
		Output:      log,
		Source: func(cfg node.SourceConfig) node.Source {
			source = node.NewStatic(cfg)
			return source
		},
	})
	return n, source, err
}

// benchPolicy leaves room for all workers, so that no call waits or is refused.
func benchPolicy(workers int) *policy.Policy {
	return &policy.Policy{
		Revision: 1,
		Services: map[string]*policy.Service{service: {
			Name:         service,
			Slots:        10 * workers,
			Connections:  20 * workers,
			SubsetSize:   policy.DefaultSubsetSize,
			MaxQueueWait: policy.DefaultMaxQueueWait,
		}},
		Kinds: []*policy.Kind{{
			Name: "echo", Service: service, Method: http.MethodGet, PathPrefix: "/", Importance: call.Normal, Worth: 1,
			Deadline: 2 * time.Second, Cost: time.Millisecond, TreeCost: time.Millisecond,
		}},
		Callers: map[string]*policy.Caller{customer: {Name: customer, Share: 1}},
		Limits: policy.Limits{
			MaxBody: policy.DefaultMaxBody, MaxDepth: policy.DefaultMaxDepth, KeyLifetime: policy.DefaultKeyLifetime,
			MaxKeys: policy.DefaultMaxKeys, MaxKeyBytes: policy.DefaultMaxKeyBytes,
		},
	}
}

func (b *bed) close() {
	b.cancel()
	b.wg.Wait()
	b.client.CloseIdleConnections()
	_ = b.upstream.Close()
	for _, log := range b.logs {
		_ = log.Close()
	}
}

func (b *bed) logged() int64 {
	total := int64(0)
	for _, log := range b.logs {
		if info, err := log.Stat(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// ready waits until a call through the nodes is answered.
func (b *bed) ready(ctx context.Context) error {
	var last error
	for range 100 {
		if _, last = b.do(ctx, b.routed()); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("nodes are not ready: %w", last)
}

func (b *bed) direct() string { return "http://" + b.address + "/x" }
func (b *bed) routed() string { return b.entry + "/" + service + "/x" }

// measure makes n calls of each way. Each worker alternates between them, so
// that both see the same load of the machine.
func (b *bed) measure(ctx context.Context, n int) (*Result, error) {
	direct := hdrhistogram.New(1, histogramMax, 3)
	through := hdrhistogram.New(1, histogramMax, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make([]error, b.cfg.Workers)
	for w := range b.cfg.Workers {
		wg.Go(func() {
			for range n / b.cfg.Workers {
				d, derr := b.do(ctx, b.direct())
				t, terr := b.do(ctx, b.routed())
				if errs[w] = errors.Join(derr, terr); errs[w] != nil {
					return
				}
				mu.Lock()
				_ = direct.RecordValue(int64(d))
				_ = through.RecordValue(int64(t))
				mu.Unlock()
				time.Sleep(b.cfg.Pause)
			}
		})
	}
	wg.Wait()
	r := &Result{
		Calls:        int(direct.TotalCount()),
		Workers:      b.cfg.Workers,
		DirectP50Ms:  ms(direct, 50),
		DirectP99Ms:  ms(direct, 99),
		ThroughP50Ms: ms(through, 50),
		ThroughP99Ms: ms(through, 99),
	}
	r.AddedP50Ms = r.ThroughP50Ms - r.DirectP50Ms
	r.AddedP99Ms = r.ThroughP99Ms - r.DirectP99Ms
	return r, errors.Join(errs...)
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

func (b *bed) do(ctx context.Context, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Toucangw-Caller", customer)
	started := time.Now()
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	took := time.Since(started)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || n != int64(b.cfg.Body) {
		return 0, fmt.Errorf("%s: status %s with %d bytes, want %d", url, resp.Status, n, b.cfg.Body)
	}
	return took, nil
}
