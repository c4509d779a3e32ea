// Package latency measures the latency that two nodes add to a call: the same
// calls are made directly and through an entry node and a node in front of the
// upstream, interleaved in one run, over real sockets on loopback with the
// decision log on.
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
	"toucangw.example/node/tuning"
	"toucangw.example/settings"
)

// Config describes a measurement.
type Config struct {
	Calls   int    // number of direct calls, and of routed calls
	Workers int    // concurrent callers
	Body    int    // bytes of a response body
	LogDir  string // directory of the decision logs
	// Pause is the time between two pairs of calls of a worker. It bounds the load.
	Pause time.Duration
}

// Result is the result of a measurement. Added latencies are differences between
// the quantiles of routed and direct calls.
type Result struct {
	Calls            int     `json:"calls"`
	Workers          int     `json:"workers"`
	DirectP50Ms      float64 `json:"direct_p50_ms"`
	DirectP99Ms      float64 `json:"direct_p99_ms"`
	RoutedP50Ms      float64 `json:"through_p50_ms"`
	RoutedP99Ms      float64 `json:"through_p99_ms"`
	AddedP50Ms       float64 `json:"added_p50_ms"`
	AddedP99Ms       float64 `json:"added_p99_ms"`
	PerCoreSecond    float64 `json:"calls_per_core_second"` // pairs of a direct and a routed call
	AllocsPerCall    float64 `json:"allocs_per_call"`       // per pair, including those of callers and upstream
	DecisionLogBytes int64   `json:"decision_log_bytes"`
}

const (
	service = "echo"
	caller  = "bench"
	warmUp  = 200 // direct and routed calls each before the measurement
	// histogramMax is the longest latency that a histogram holds, in
	// nanoseconds.
	histogramMax = int64(10 * time.Second)
)

// Run runs a measurement.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	tuning.Engine()
	tb, err := newTestbed(cfg)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	if err := tb.waitReady(ctx); err != nil {
		return nil, err
	}
	if _, err := tb.measure(ctx, warmUp); err != nil {
		return nil, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := cpuTime()
	result, err := tb.measure(ctx, cfg.Calls)
	if err != nil {
		return nil, err
	}
	cpu := cpuTime() - cpuBefore
	runtime.ReadMemStats(&after)
	result.PerCoreSecond = float64(result.Calls) / cpu.Seconds()
	result.AllocsPerCall = float64(after.Mallocs-before.Mallocs) / float64(result.Calls)
	result.DecisionLogBytes = tb.logBytes()
	return result, nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// testbed is an entry node and a node in front of one upstream.
type testbed struct {
	cfg          Config
	upstream     *http.Server
	upstreamAddr string
	entryURL     string
	nodes        []*node.Node
	logs         []*os.File
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	client       *http.Client
}

func newTestbed(cfg Config) (*testbed, error) {
	tb := &testbed{cfg: cfg, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: cfg.Workers, DisableCompression: true,
	}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tb.upstreamAddr = listener.Addr().String()
	tb.upstream = &http.Server{Handler: bodyHandler(cfg.Body), ReadHeaderTimeout: time.Second}
	go func() { _ = tb.upstream.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	tb.cancel = cancel
	if err := tb.startNodes(ctx); err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

// bodyHandler responds with a body of the given size.
func bodyHandler(size int) http.Handler {
	body := make([]byte, size)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(body)
	})
}

func (tb *testbed) startNodes(ctx context.Context) error {
	var sources []*node.Static
	var hosts []member.Host
	for _, h := range []settings.NodeHost{
		{ID: "entry", Region: "r", Zone: "a", Site: "a"},
		{ID: "guard", Region: "r", Zone: "a", Site: "a", Service: service},
	} {
		n, source, err := tb.newNode(h)
		if err != nil {
			return err
		}
		tb.nodes = append(tb.nodes, n)
		sources = append(sources, source)
		hosts = append(hosts, member.Host{
			ID: member.HostID(h.ID), Addr: n.Addrs().Peers, Region: h.Region, Zone: h.Zone, Service: h.Service,
		})
	}
	for i, n := range tb.nodes {
		sources[i].Set(benchPolicy(tb.cfg.Workers), hosts)
		tb.wg.Go(func() { _ = n.Run(ctx, nil) })
	}
	tb.entryURL = "http://" + tb.nodes[0].Addrs().Callers
	return nil
}

func (tb *testbed) newNode(h settings.NodeHost) (*node.Node, *node.Static, error) {
	log, err := os.Create(filepath.Join(tb.cfg.LogDir, h.ID+".log"))
	if err != nil {
		return nil, nil, err
	}
	tb.logs = append(tb.logs, log)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s := &settings.Node{
		Host:   h,
		Listen: settings.NodeListen{Callers: anyPort, Egress: anyPort, Peers: anyPort, Operator: anyPort},
		Log:    settings.NodeLog{Format: settings.LogJSON, Decisions: true},
		Limits: settings.NodeLimits{MaxBody: policy.DefaultMaxBody, DrainTimeout: time.Second},
	}
	if h.Service != "" {
		s.Upstream.Address = netip.MustParseAddrPort(tb.upstreamAddr)
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

// benchPolicy has slots for all workers, so that no call waits or is rejected.
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
		Callers: map[string]*policy.Caller{caller: {Name: caller, Share: 1}},
		Limits: policy.Limits{
			MaxBody: policy.DefaultMaxBody, MaxDepth: policy.DefaultMaxDepth, KeyLifetime: policy.DefaultKeyLifetime,
			MaxKeys: policy.DefaultMaxKeys, MaxKeyBytes: policy.DefaultMaxKeyBytes,
		},
	}
}

func (tb *testbed) close() {
	tb.cancel()
	tb.wg.Wait()
	tb.client.CloseIdleConnections()
	_ = tb.upstream.Close()
	for _, log := range tb.logs {
		_ = log.Close()
	}
}

func (tb *testbed) logBytes() int64 {
	total := int64(0)
	for _, log := range tb.logs {
		if info, err := log.Stat(); err == nil {
			total += info.Size()
		}
	}
	return total
}

// waitReady waits until a routed call succeeds.
func (tb *testbed) waitReady(ctx context.Context) error {
	var last error
	for range 100 {
		if _, last = tb.call(ctx, tb.routedURL()); last == nil {
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

func (tb *testbed) directURL() string { return "http://" + tb.upstreamAddr + "/x" }
func (tb *testbed) routedURL() string { return tb.entryURL + "/" + service + "/x" }

// measure makes n direct and n routed calls. Each worker alternates between them,
// so that both are measured under the same load of the machine.
func (tb *testbed) measure(ctx context.Context, n int) (*Result, error) {
	direct := hdrhistogram.New(1, histogramMax, 3)
	routed := hdrhistogram.New(1, histogramMax, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make([]error, tb.cfg.Workers)
	for w := range tb.cfg.Workers {
		wg.Go(func() {
			for range n / tb.cfg.Workers {
				directTime, directErr := tb.call(ctx, tb.directURL())
				routedTime, routedErr := tb.call(ctx, tb.routedURL())
				if errs[w] = errors.Join(directErr, routedErr); errs[w] != nil {
					return
				}
				mu.Lock()
				_ = direct.RecordValue(int64(directTime))
				_ = routed.RecordValue(int64(routedTime))
				mu.Unlock()
				time.Sleep(tb.cfg.Pause)
			}
		})
	}
	wg.Wait()
	r := &Result{
		Calls:       int(direct.TotalCount()),
		Workers:     tb.cfg.Workers,
		DirectP50Ms: ms(direct, 50),
		DirectP99Ms: ms(direct, 99),
		RoutedP50Ms: ms(routed, 50),
		RoutedP99Ms: ms(routed, 99),
	}
	r.AddedP50Ms = r.RoutedP50Ms - r.DirectP50Ms
	r.AddedP99Ms = r.RoutedP99Ms - r.DirectP99Ms
	return r, errors.Join(errs...)
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

// call makes one request and returns the time until the complete body was read.
func (tb *testbed) call(ctx context.Context, url string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Toucangw-Caller", caller)
	started := time.Now()
	resp, err := tb.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	took := time.Since(started)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || n != int64(tb.cfg.Body) {
		return 0, fmt.Errorf("%s: status %s with %d bytes, want %d", url, resp.Status, n, tb.cfg.Body)
	}
	return took, nil
}
