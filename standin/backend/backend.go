// Package backend is a development stand-in for a back end of the users'
// platform: it has slots, echoes request ids, signs its answers, refuses
// requests that expect another instance, and can misbehave.
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

// Run is one request that the back end began to work on.
type Run struct {
	ID, Method, Target, Host string
	Caller                   string // service of the host where the request began
	DeadlineMS               int64
	Body                     string
	Header                   http.Header
}

// Config of a Backend.
type Config struct {
	ID    string
	Slots int
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// Call makes a call that each request needs; nil for none. An error fails
	// the request.
	Call func(ctx context.Context, deadline time.Time) error
	// Handler replaces the usual answer; nil for that.
	Handler http.HandlerFunc
}

// Backend is an http.Handler. It is safe for concurrent use.
type Backend struct {
	cfg   Config
	slots chan struct{}

	mu        sync.Mutex
	runs      []Run
	cancelled int
	most      int // most requests at once
	now       int
}

// New returns a back end.
func New(cfg Config) *Backend {
	return &Backend{cfg: cfg, slots: make(chan struct{}, max(cfg.Slots, 1))}
}

// Runs returns the requests that ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Cancelled returns the number of requests whose sender left.
func (b *Backend) Cancelled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelled
}

// MaxInFlight returns the largest number of requests that ran at once.
func (b *Backend) MaxInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Signature is the value that answers to a request carry.
func (b *Backend) Signature(id string) string { return b.cfg.ID + "." + id }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.cfg.ID {
		w.Header().Set("Instance-Id", b.cfg.ID)
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
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now++
	b.most = max(b.most, b.now)
	b.runs = append(b.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Caller: r.Header.Get("Caller-Service"), DeadlineMS: ms, Body: string(body), Header: r.Header.Clone(),
	})
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now--
}

// work returns the status of the answer.
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
