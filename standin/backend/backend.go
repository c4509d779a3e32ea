// Package backend is a fake upstream service for gateway mode, for development and
// tests. It has a number of slots, echoes request IDs, signs its responses and rejects
// requests that expect another instance. Its handler can be replaced.
package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that the upstream started to execute.
type Run struct {
	ID, Method, Target, Host string
	Caller                   string // service of the host at which the request entered
	DeadlineMS               int64
	Body                     string
	Truncated                bool // the connection ended within the body
	Header                   http.Header
	At                       time.Time
}

// Config configures a Backend.
type Config struct {
	ID    string
	Slots int
	// ServiceTime is the execution time of a request, excluding Call.
	ServiceTime time.Duration
	// Call is called by each request; nil for none. The request fails with 500
	// if it returns an error.
	Call func(ctx context.Context, deadline time.Time) error
	// Handler replaces the default handling of requests in a slot; nil for the
	// default.
	Handler http.HandlerFunc
}

// Backend is an http.Handler. It is safe for concurrent use.
type Backend struct {
	cfg   Config
	slots chan struct{}

	mu          sync.Mutex
	runs        []Run
	cancelled   int
	announced   http.Header // set on each response
	maxInFlight int
	inFlight    int
}

// New returns an upstream.
func New(cfg Config) *Backend {
	return &Backend{cfg: cfg, slots: make(chan struct{}, max(cfg.Slots, 1))}
}

// AnnounceLimit announces on all further responses that the upstream takes the given
// number of requests per second, as text; empty ends the announcement.
func (b *Backend) AnnounceLimit(perSecond string) { b.announce("Server-Limit", perSecond) }

// AnnounceLeaving announces on all further responses that the upstream leaves.
func (b *Backend) AnnounceLeaving() { b.announce("Server-Leaving", "1") }

// StopAnnouncing ends all announcements, as a new start of the upstream does.
func (b *Backend) StopAnnouncing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announced = nil
}

func (b *Backend) announce(name, value string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.announced.Clone()
	if next == nil {
		next = http.Header{}
	}
	next.Del(name)
	if value != "" {
		next.Set(name, value)
	}
	b.announced = next
}

// SetID makes the upstream answer as another instance, as a new start of it does.
func (b *Backend) SetID(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.ID = id
}

// id returns the ID of the present instance.
func (b *Backend) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.ID
}

// Runs returns the requests that were started.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Cancelled returns the number of requests whose client disconnected.
func (b *Backend) Cancelled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelled
}

// MaxInFlight returns the maximum number of requests that ran simultaneously.
func (b *Backend) MaxInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxInFlight
}

// Signature returns the Response-Signature header of the response to a request.
func (b *Backend) Signature(id string) string { return b.id() + "." + id }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	announced := b.announced
	b.mu.Unlock()
	for name, values := range announced {
		w.Header()[name] = values
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id() {
		w.Header().Set("Instance-Id", b.id())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline := b.begin(r, id)
	defer b.end()
	if b.cfg.Handler != nil {
		b.cfg.Handler(w, r)
		return
	}
	w.Header().Set("Response-Signature", b.Signature(id))
	w.WriteHeader(b.work(r.Context(), deadline))
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

func (b *Backend) begin(r *http.Request, id string) time.Time {
	ms, _ := strconv.ParseInt(r.Header.Get("Deadline-Milliseconds"), 10, 64)
	body, err := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight++
	b.maxInFlight = max(b.maxInFlight, b.inFlight)
	b.runs = append(b.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Caller: r.Header.Get("Caller-Service"), DeadlineMS: ms, Body: string(body), Truncated: err != nil, Header: r.Header.Clone(), At: time.Now(),
	})
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// work executes a request and returns the status of the response.
func (b *Backend) work(ctx context.Context, deadline time.Time) int {
	timer := time.NewTimer(min(b.cfg.ServiceTime, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		b.mu.Lock()
		b.cancelled++
		b.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	if !time.Now().Before(deadline) {
		return http.StatusGatewayTimeout
	}
	if b.cfg.Call != nil && b.cfg.Call(ctx, deadline) != nil {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}
