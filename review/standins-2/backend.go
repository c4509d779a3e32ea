package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Run is a request that a backend has received.
type Run struct {
	Backend  string
	ID       string
	Method   string
	Path     string
	Body     int
	Expected string
	Arrived  time.Time // when the head of the request reached the backend
	Executed bool      // false if the backend rejected it with Not-Executed
}

// BackendConfig configures a Backend.
type BackendConfig struct {
	ID, Service, Zone string
	Address           string // loopback address and port
	Slots, Queue      int
	// Early is the path prefix of requests that are rejected before they are in.
	Early string
	// Work returns the time for which a request is worked on.
	Work func(r *http.Request) time.Duration
	// Answer returns the status and the body of the answer of a request that has run.
	Answer func(r *http.Request) (status int, body []byte)
}

// Backend is a stand-in of an application backend.
type Backend struct {
	cfg     BackendConfig
	store   *Store
	rec     *Record
	server  *http.Server
	slots   chan struct{}
	born    int64
	mu      sync.Mutex
	waiting int
	seq     int
	state   string
	runs    []Run
}

// NewBackend starts a backend and registers it in the store.
func NewBackend(cfg BackendConfig, store *Store, rec *Record) (*Backend, error) {
	lis, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	b := &Backend{cfg: cfg, store: store, rec: rec, slots: make(chan struct{}, cfg.Slots), born: time.Now().UnixMilli(), state: "ready"}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(lis) }()
	b.Register()
	return b, nil
}

// Register writes the entry of the backend. Its status reports are left out: the entry
// changes only when more than its sequence-number changes.
func (b *Backend) Register() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == "gone" {
		return
	}
	b.seq++
	value, _ := json.Marshal(map[string]any{
		"service": b.cfg.Service, "address": b.cfg.Address, "zone": b.cfg.Zone, "version": "v1", "slots": b.cfg.Slots,
		"state": b.state, "cold-remaining": "0ms", "sequence-number": b.seq, "born": b.born,
	})
	b.store.Put("servers/"+b.cfg.ID, value)
}

// SetState registers another state.
func (b *Backend) SetState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.Register()
}

// Close ends the backend.
func (b *Backend) Close() {
	_ = b.server.Close()
}

// Unregister removes the entry of the backend, which serves on.
func (b *Backend) Unregister() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "gone"
	b.store.Delete("servers/" + b.cfg.ID)
}

// Leave ends the backend and removes its entry, as at the end of a planned shutdown.
func (b *Backend) Leave() {
	b.Close()
	b.store.Delete("servers/" + b.cfg.ID)
}

// Runs returns the requests that the backend has received so far.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

func (b *Backend) note(run Run) {
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	b.rec.Line("backend %s got %s %s %s, body %d bytes, executed %v", b.cfg.ID, run.ID, run.Method, run.Path, run.Body, run.Executed)
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.cfg.ID)
		return
	}
	if b.cfg.Early != "" && strings.HasPrefix(r.URL.Path, b.cfg.Early) {
		rejectEarly(w, r)
		return
	}
	arrived := time.Now()
	run := Run{Backend: b.cfg.ID, ID: r.Header.Get("Request-Id"), Method: r.Method, Path: r.URL.Path, Expected: r.Header.Get("Expected-Instance"), Arrived: arrived}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run.Body = len(body)
	w.Header().Set("Request-Id", run.ID)
	if run.Expected != "" && run.Expected != b.cfg.ID {
		b.note(run)
		w.Header().Set("Instance-Id", b.cfg.ID)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.acquire(r.Context()) {
		b.note(run)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	run.Executed = true
	b.note(run)
	select {
	case <-time.After(b.cfg.Work(r)):
	case <-r.Context().Done():
		return
	}
	status, answer := b.cfg.Answer(r)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", b.cfg.ID, run.ID, len(answer)))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// acquire waits for a slot in a short queue. It reports false if the queue is full.
func (b *Backend) acquire(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	full := b.waiting >= b.cfg.Queue
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
