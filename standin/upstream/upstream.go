// Package upstream is a fake upstream service for engine mode. It has a number of
// slots, a connection limit and a service time, calls other services through its
// node, injects faults on request and counts the requests that it ran.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers between the node and its upstream.
const (
	headerContext   = "Toucangw-Context"
	headerRequestID = "X-Request-Id"
	headerKey       = "Toucangw-Key"
	headerNotRun    = "Toucangw-Not-Run"
	headerDraining  = "Toucangw-Draining"
	headerTimeout   = "Toucangw-Timeout-Ms"
)

const (
	maxBody       = 1 << 20
	callTimeout   = 5 * time.Second
	serviceJitter = 0.2 // service times vary by up to this fraction
)

// Call is a call to another service.
type Call struct {
	Service string
	Method  string
	Prefix  string // followed by the path of the request after the prefix of its route
}

// Route is a kind of request that the upstream serves.
type Route struct {
	Method      string
	Prefix      string
	ServiceTime time.Duration // time at this upstream, excluding calls
	Calls       []Call        // made in sequence after the service time
}

// Config describes an upstream.
type Config struct {
	Service     string
	Slots       int     // maximum number of requests that run simultaneously
	Connections int     // limit for LimitListener; Upstream itself does not enforce it
	Egress      string  // base URL of the node's egress listener
	Scale       float64 // factor applied to all service times; 0 means 1
	Routes      []Route
}

// Mode holds the injected faults and states of the upstream.
type Mode struct {
	Slow         float64 `json:"slow"`   // factor applied to the service time; 0 means 1
	Unresponsive bool    `json:"silent"` // runs requests, but does not respond
	Shed         bool    `json:"shed"`   // rejects requests with 503 and Toucangw-Not-Run
	Draining     bool    `json:"drain"`  // announces with each response that it is draining
	Truncate     bool    `json:"cut"`    // closes the connection after half of the response body
}

// Counts are the requests run since the upstream was created.
type Counts struct {
	Runs        int            `json:"runs"`
	ByRequest   map[string]int `json:"by_request"` // by X-Request-Id
	ByKey       map[string]int `json:"by_key"`     // by idempotency key
	ByAction    map[string]int `json:"by_action"`  // by method and path; all requests except GET
	LastRun     time.Time      `json:"last_run"`   // start of the most recent run
	MaxInFlight int            `json:"most_at_once"`
}

// Response is the body of a response. It identifies the request, so that a client
// can detect the response of another request.
type Response struct {
	Service   string   `json:"service"`
	RequestID string   `json:"request_id"`
	Method    string   `json:"method"`
	Path      string   `json:"path"`
	Calls     []string `json:"calls,omitempty"`
	Padding   string   `json:"padding"`
}

// Upstream is an http.Handler. It is safe for concurrent use.
type Upstream struct {
	cfg    Config
	slots  chan struct{}
	client *http.Client
	mode   atomic.Pointer[Mode]

	mu      sync.Mutex
	counts  Counts
	running int
}

// New returns an upstream. It has no listener of its own.
func New(cfg Config) *Upstream {
	if cfg.Scale == 0 {
		cfg.Scale = 1
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Slots, DisableCompression: true}
	u := &Upstream{
		cfg:    cfg,
		slots:  make(chan struct{}, cfg.Slots),
		client: &http.Client{Transport: transport, Timeout: callTimeout},
		counts: Counts{
			ByRequest: make(map[string]int),
			ByKey:     make(map[string]int),
			ByAction:  make(map[string]int),
		},
	}
	u.mode.Store(&Mode{})
	return u
}

// SetMode replaces the injected faults and states.
func (u *Upstream) SetMode(m Mode) { u.mode.Store(&m) }

// Close closes idle connections to the node.
func (u *Upstream) Close() { u.client.CloseIdleConnections() }

// Counts returns a copy of the counts.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	data, _ := json.Marshal(u.counts)
	var copied Counts
	_ = json.Unmarshal(data, &copied)
	return copied
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode := u.mode.Load()
	if mode.Draining {
		w.Header().Set(headerDraining, "1")
	}
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	route := u.route(r)
	if route == nil {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		http.Error(w, "request cut", http.StatusBadRequest)
		return
	}
	if mode.Shed {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	if r.Context().Err() != nil {
		return // cancelled while waiting for a slot
	}
	u.run(w, r, route)
}

func (u *Upstream) route(r *http.Request) *Route {
	for i := range u.cfg.Routes {
		route := &u.cfg.Routes[i]
		if route.Method == r.Method && strings.HasPrefix(r.URL.Path, route.Prefix) {
			return route
		}
	}
	return nil
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, route *Route) {
	u.begin(r)
	defer u.end()
	if u.mode.Load().Unresponsive {
		<-r.Context().Done()
		return
	}
	if !u.work(r.Context(), route.ServiceTime) {
		return
	}
	response := Response{
		Service:   u.cfg.Service,
		RequestID: r.Header.Get(headerRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		Padding:   strings.Repeat("x", rand.IntN(2048)),
	}
	for _, c := range route.Calls {
		if err := u.call(r, c, strings.TrimPrefix(r.URL.Path, route.Prefix)); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		response.Calls = append(response.Calls, c.Service)
	}
	u.write(w, response)
}

func (u *Upstream) begin(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.counts.Runs++
	u.counts.LastRun = time.Now()
	u.counts.MaxInFlight = max(u.counts.MaxInFlight, u.running)
	u.counts.ByRequest[r.Header.Get(headerRequestID)]++
	if key := r.Header.Get(headerKey); key != "" {
		u.counts.ByKey[key]++
	}
	if r.Method != http.MethodGet {
		u.counts.ByAction[r.Method+" "+r.URL.Path]++
	}
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// work waits for the service time. It returns false if the request was cancelled.
func (u *Upstream) work(ctx context.Context, d time.Duration) bool {
	factor := u.cfg.Scale * (1 + serviceJitter*(2*rand.Float64()-1))
	if slow := u.mode.Load().Slow; slow > 0 {
		factor *= slow
	}
	timer := time.NewTimer(time.Duration(float64(d) * factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call calls another service through the node. rest is the path after the prefix.
func (u *Upstream) call(r *http.Request, c Call, rest string) error {
	url := u.cfg.Egress + "/" + c.Service + c.Prefix + rest
	req, err := http.NewRequestWithContext(r.Context(), c.Method, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("make call to %s: %w", c.Service, err)
	}
	req.Header.Set(headerContext, r.Header.Get(headerContext))
	req.Header.Set(headerRequestID, r.Header.Get(headerRequestID))
	if timeout := r.Header.Get(headerTimeout); timeout != "" {
		req.Header.Set(headerTimeout, timeout)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return fmt.Errorf("call to %s: %w", c.Service, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("answer of %s: %w", c.Service, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call to %s: status %d: %.200s", c.Service, resp.StatusCode, bytes.TrimSpace(body))
	}
	return nil
}

func (u *Upstream) write(w http.ResponseWriter, response Response) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if !u.mode.Load().Truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler) // closes the connection
}

// limitListener closes new connections immediately while the limit is reached.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// LimitListener returns a listener that allows at most n open connections.
// Further connections are closed immediately.
func LimitListener(lis net.Listener, n int) net.Listener {
	return &limitListener{Listener: lis, limit: int64(n)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Control returns the handler of the control listener, which serves GET /counts
// and PUT /mode.
func (u *Upstream) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(u.Counts())
	})
	mux.HandleFunc("PUT /mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
		decoder.DisallowUnknownFields()
		if err := errors.Join(decoder.Decode(&m)); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.SetMode(m)
	})
	return mux
}
