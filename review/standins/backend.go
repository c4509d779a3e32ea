package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in of an application backend.
type backend struct {
	id, service string
	work        time.Duration
	slots       chan struct{}
	record      *record
	// answer returns the body of the answer to a request.
	answer func(id string) []byte
	// serve, if set, replaces the work and the answer of a request that runs.
	serve func(w http.ResponseWriter, r *http.Request, id string)

	mu      sync.Mutex
	runs    map[string]int // by request id
	cut     map[string]bool
	address string
	server  *http.Server
}

func newBackend(address, id, service string, slots int, work time.Duration, rec *record) (*backend, error) {
	b := &backend{
		id: id, service: service, work: work, slots: make(chan struct{}, slots), record: rec,
		runs: map[string]int{}, cut: map[string]bool{}, address: address,
	}
	b.answer = func(id string) []byte { return []byte("answer to " + id) }
	return b, b.listen()
}

func (b *backend) listen() error {
	lis, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 30 * time.Second}
	b.server = server
	go func() { _ = server.Serve(lis) }()
	return nil
}

// close ends the backend at once, as a crash does.
func (b *backend) close() { _ = b.server.Close() }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	w.Header().Set("Request-Id", id)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // a request that isn't complete doesn't run
	}
	b.mu.Lock()
	b.runs[id]++
	n := b.runs[id]
	b.mu.Unlock()
	b.record.line("run      %s at %s (run %d there), caller %s", id, b.id, n, r.Header.Get("Caller-Service"))
	if b.serve != nil {
		b.serve(w, r, id)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	left := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer left.Stop()
	select {
	case <-time.After(b.work):
	case <-left.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		b.mu.Lock()
		b.cut[id] = true
		b.mu.Unlock()
		return
	}
	b.respond(w, id)
}

func (b *backend) respond(w http.ResponseWriter, id string) {
	body := b.answer(id)
	w.Header().Set("Response-Signature", "sig."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// ran returns how often each request ran.
func (b *backend) ran() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for id, n := range b.runs {
		out[id] = n
	}
	return out
}

// ran returns how often a request ran at any backend.
func (s *site) ran(id string) int {
	n := 0
	for _, h := range s.hosts {
		n += h.backend.ran()[id]
	}
	return n
}
