package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a server of a service began to work on.
type run struct {
	id, instance string
	at           time.Time
	end          string // complete, or cut: its connection closed while it was at work
}

// server is a stand-in of a server beside a node. Each start is a new lifetime with
// a new identifier.
type server struct {
	service, address, zone string
	store                  *store
	work                   func(r *http.Request) time.Duration
	body                   func(r *http.Request) []byte
	pace                   time.Duration // of writing an answer; zero writes it at once

	mu       sync.Mutex
	id       string
	leaving  bool
	http     *http.Server
	stopBeat context.CancelFunc
	runs     []run
	began    time.Time
	seq      uint64
	coldTill time.Time
}

// entry is what a server writes about itself into the store.
type entry struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Version       string `json:"version"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`
	ColdRemaining string `json:"cold-remaining"`
	Sequence      uint64 `json:"sequence-number"`
	Born          int64  `json:"born"`
}

func randomID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// start begins a new lifetime and registers it.
func (s *server) start() error {
	lis, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.id, s.leaving, s.began, s.stopBeat, s.seq = "i-"+randomID()[:10], false, time.Now(), cancel, 0
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	h := s.http
	s.mu.Unlock()
	go func() { _ = h.Serve(lis) }()
	s.register("ready")
	go s.report(ctx)
	return nil
}

func (s *server) key() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "servers/" + s.id
}

// register writes the entry and returns the time of the confirmation.
func (s *server) register(state string) time.Time {
	s.mu.Lock()
	s.seq++
	e := entry{s.service, s.address, s.zone, "v1", 60, state, "0ms", s.seq, s.began.UnixMilli()}
	s.leaving = state == "draining"
	s.mu.Unlock()
	s.store.beat(s.key())
	return s.store.put(s.key(), e)
}

// report sends a status report each heartbeat interval.
func (s *server) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
			s.store.beat(s.key())
		}
	}
}

// crash ends the lifetime without a word to the store.
func (s *server) crash() {
	s.mu.Lock()
	s.stopBeat()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
}

// leave ends the lifetime as a planned shutdown does, and removes the entry.
func (s *server) leave() {
	s.crash()
	s.store.remove(s.key())
}

func (s *server) all() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, leaving := s.id, s.leaving
	s.mu.Unlock()
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	n := len(s.runs)
	s.runs = append(s.runs, run{id: r.Header.Get("Request-Id"), instance: id, at: time.Now(), end: "cut"})
	s.mu.Unlock()
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		return // a request whose connection closes is dropped
	}
	body := s.body(r)
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Response-Signature", fmt.Sprintf("%s.%d", strings.TrimPrefix(id, "i-"), len(body)))
	h.Set("Content-Length", fmt.Sprint(len(body)))
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	err := s.write(w, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.runs[n].end = "complete"
	}
}

// write sends a body, in equal pieces if the server has a pace.
func (s *server) write(w http.ResponseWriter, body []byte) error {
	if s.pace == 0 {
		_, err := w.Write(body)
		return err
	}
	size := max(len(body)/pieces, 1)
	for len(body) > 0 {
		n := min(size, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(s.pace / pieces)
	}
	return nil
}

// pieces is the number of parts in which an answer with a pace is written.
const pieces = 50
