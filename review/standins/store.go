package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	server   *http.Server
	address  string
	// staleAge is the age of what reads return that accept stale data.
	staleAge time.Duration
}

const storePage = 50

func newStore() (*store, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), address: lis.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.notify(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

func (s *store) notify(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// view returns the items and the revision that a read sees.
func (s *store) view(stale bool) (map[string]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now()
	if stale {
		until = until.Add(-s.staleAge)
	}
	items, revision := map[string]item{}, uint64(1)
	for _, e := range s.events {
		if e.at.After(until) {
			break
		}
		revision = e.Revision
		if e.Deleted {
			delete(items, e.Key)
		} else {
			items[e.Key] = e
		}
	}
	return items, revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	stale := q.Get("stale-ok") == "1"
	switch r.URL.Path {
	case "/api/kv-key":
		items, at := s.view(stale)
		it, ok := items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			item
			At uint64 `json:"at"`
		}{it, at})
	case "/api/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"), stale)
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string, stale bool) {
	items, at := s.view(stale)
	var found []item
	for key, it := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > storePage
	if more {
		found = found[:storePage]
	}
	if found == nil {
		found = []item{}
	}
	reply(w, map[string]any{"items": found, "has-more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || done {
			reply(w, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }
