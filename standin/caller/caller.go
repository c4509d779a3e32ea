// Package caller is an open-loop load generator: a client that sends requests on
// behalf of the callers (customers) of a deployment. It retries aggressively, obtains
// idempotency keys for at-most-once requests, and checks that each response is
// complete and belongs to its request.
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is a kind of request and its share of the load.
type Kind struct {
	Name     string
	Service  string
	Method   string
	Prefix   string
	Share    float64
	Worth    float64
	Deadline time.Duration
	OnceOnly bool
}

// Config configures a Load.
type Config struct {
	Nodes    []string // base URLs of the nodes' caller listeners; one is chosen at random
	Callers  []string
	Kinds    []Kind
	Rate     float64 // requests per second
	Duration time.Duration
	Retries  int    // maximum retries of a failed request
	Seed     uint64 // of the random number generator
	Prefix   string // of request IDs; must differ between runs
	// MaxInFlight limits the requests in flight; arrivals beyond it are not
	// sent, but counted as overflow. 0 means the default.
	MaxInFlight int
}

// KindResult is the result of one kind.
type KindResult struct {
	Sent       int            `json:"sent"`
	Answered   int            `json:"answered"` // complete, matching and within the deadline
	Late       int            `json:"late"`
	Failed     int            `json:"failed"` // error status with neither verdict not-run nor may-have-run
	NotRun     int            `json:"not_run"`
	MayHaveRun int            `json:"may_have_run"`
	Broken     int            `json:"broken"` // connection lost before a response
	Mismatched int            `json:"mixed"`  // response of another request
	Truncated  int            `json:"cut"`    // incomplete response
	Attempts   int            `json:"attempts"`
	Worth      float64        `json:"worth"`
	P50Ms      float64        `json:"p50_ms"`
	P99Ms      float64        `json:"p99_ms"`
	ByReason   map[string]int `json:"by_reason"`
	deadline   time.Duration
	latency    *hdrhistogram.Histogram
	worthEach  float64
	samples    int
}

// Result is the result of a load.
type Result struct {
	Kinds    map[string]*KindResult `json:"kinds"`
	Overflow int                    `json:"overflow"`
	// NotRunIDs are the IDs of requests of which every attempt was rejected
	// with the verdict not-run. No upstream may have run them.
	NotRunIDs []string `json:"not_run_ids"`
	// Actions are the at-most-once requests that were answered, by method and
	// path.
	Actions []string `json:"actions"`
	// Samples describe the first unexpected responses, for diagnosis.
	Samples []string `json:"samples,omitempty"`
}

const (
	defaultMaxInFlight = 4000
	maxSamples         = 5 // per kind
	latencyMax         = int64(time.Minute / time.Microsecond)
)

// Load generates one load. It can run only once.
type Load struct {
	cfg    Config
	client *http.Client
	total  float64
	random *rand.Rand // used by the arrival loop only

	mu     sync.Mutex
	result Result
}

// New returns a load that is not yet running.
func New(cfg Config) *Load {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	l := &Load{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: cfg.MaxInFlight,
			DisableCompression:  true,
		}},
		result: Result{Kinds: make(map[string]*KindResult)},
	}
	for _, k := range cfg.Kinds {
		l.total += k.Share
		l.result.Kinds[k.Name] = &KindResult{
			ByReason:  make(map[string]int),
			latency:   hdrhistogram.New(1, latencyMax, 3),
			deadline:  k.Deadline,
			worthEach: k.Worth,
		}
	}
	return l
}

// Run generates the load and returns when all requests have ended.
func (l *Load) Run(ctx context.Context) *Result {
	defer l.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.cfg.MaxInFlight)
	started := time.Now()
	next := started
	for n := 0; ; n++ {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.cfg.Rate * float64(time.Second)))
		if next.Sub(started) > l.cfg.Duration || !sleepUntil(ctx, next) {
			break
		}
		q := l.newRequest(n)
		select {
		case slots <- struct{}{}:
		default:
			l.countOverflow()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.do(ctx, q)
		})
	}
	wg.Wait()
	return l.finish()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Load) countOverflow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Overflow++
}

func (l *Load) finish() *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.result.Kinds {
		k.Worth = float64(k.Answered) * k.worthEach
		k.P50Ms = float64(k.latency.ValueAtQuantile(50)) / 1000
		k.P99Ms = float64(k.latency.ValueAtQuantile(99)) / 1000
	}
	return &l.result
}

// pick returns a random kind, weighted by share.
func (l *Load) pick() Kind {
	at := l.random.Float64() * l.total
	for _, k := range l.cfg.Kinds {
		if at -= k.Share; at < 0 {
			return k
		}
	}
	return l.cfg.Kinds[len(l.cfg.Kinds)-1]
}
