// Package caller is a stand-in for the callers of a deployment: an open-loop
// load that retries hard, follows the key flow of once-only requests and
// checks that every answer is complete and its own.
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is a kind of request with its share of the load.
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

// Config describes a load.
type Config struct {
	Nodes    []string // base URLs of caller listeners, chosen at random
	Callers  []string
	Kinds    []Kind
	Rate     float64 // requests a second
	Duration time.Duration
	Retries  int    // repeats of a failed request
	Seed     uint64 // of the random source
	Prefix   string // of request ids; different for each run
	// MaxInFlight bounds the requests in flight; arrivals above it are
	// counted as overflow. 0 for the default.
	MaxInFlight int
}

// KindResult sums up one kind.
type KindResult struct {
	Sent        int            `json:"sent"`
	Answered    int            `json:"answered"` // complete, own and in time
	Late        int            `json:"late"`
	Failed      int            `json:"failed"` // answered with an error status
	NotRun      int            `json:"not_run"`
	MayHaveRun  int            `json:"may_have_run"`
	Broken      int            `json:"broken"` // connection broke without a reply
	Mismatched  int            `json:"mixed"`  // answer of another request
	Truncated   int            `json:"cut"`    // incomplete answer
	Attempts    int            `json:"attempts"`
	Worth       float64        `json:"worth"`
	P50Ms       float64        `json:"p50_ms"`
	P99Ms       float64        `json:"p99_ms"`
	ByReason    map[string]int `json:"by_reason"`
	deadline    time.Duration
	latency     *hdrhistogram.Histogram
	worthOfEach float64
	samples     int
}

// Result sums up a load.
type Result struct {
	Kinds    map[string]*KindResult `json:"kinds"`
	Overflow int                    `json:"overflow"`
	// NotRunIDs are the ids of requests of which every attempt was refused as
	// not run; no upstream may have run them.
	NotRunIDs []string `json:"not_run_ids"`
	// Actions are the once-only requests that were answered.
	Actions []string `json:"actions"`
	// Samples are the first surprising replies, for diagnosis.
	Samples []string `json:"samples,omitempty"`
}

const (
	defaultMostInFlight = 4000
	maxSamples          = 5 // of each kind
	latencyMax          = int64(time.Minute / time.Microsecond)
)

// Load runs one load. It is not reusable.
type Load struct {
	cfg    Config
	client *http.Client
	total  float64
	random *rand.Rand // used by the arrival loop alone

	mu     sync.Mutex
	result Result
}

// New returns a load that has not started.
func New(cfg Config) *Load {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMostInFlight
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
			ByReason:    make(map[string]int),
			latency:     hdrhistogram.New(1, latencyMax, 3),
			deadline:    k.Deadline,
			worthOfEach: k.Worth,
		}
	}
	return l
}

// Run sends the load and returns when all requests have ended.
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
		job := l.job(n)
		select {
		case slots <- struct{}{}:
		default:
			l.overflow()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.do(ctx, job)
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

func (l *Load) overflow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Overflow++
}

func (l *Load) finish() *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.result.Kinds {
		k.Worth = float64(k.Answered) * k.worthOfEach
		k.P50Ms = float64(k.latency.ValueAtQuantile(50)) / 1000
		k.P99Ms = float64(k.latency.ValueAtQuantile(99)) / 1000
	}
	return &l.result
}

// pick draws a kind by share.
func (l *Load) pick() Kind {
	at := l.random.Float64() * l.total
	for _, k := range l.cfg.Kinds {
		if at -= k.Share; at < 0 {
			return k
		}
	}
	return l.cfg.Kinds[len(l.cfg.Kinds)-1]
}
