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

const (
	pageSize  = 500
	entryLife = 4500 * time.Millisecond // three heartbeat intervals
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address  string
	staleLag time.Duration // age of what a read with stale-ok returns
	server   *http.Server

	mu       sync.Mutex
	history  []event // never dropped: a run is short
	revision uint64
	beats    map[string]time.Time // last status report by key
	changed  chan struct{}
}

func newStore(address string, staleLag time.Duration) (*store, error) {
	s := &store{address: address, staleLag: staleLag, revision: 1, beats: map[string]time.Time{}, changed: make(chan struct{})}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(lis) }()
	go s.expire()
	return s, nil
}

func (s *store) write(e event) uint64 {
	s.revision++
	e.Revision, e.at = s.revision, time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a value and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(event{Key: key, Value: data})
	return time.Now()
}

// beat records a status report that changes nothing but the sequence number.
func (s *store) beat(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[key] = time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, key)
	if _, ok := s.view(time.Now())[key]; ok {
		s.write(event{Key: key, Deleted: true})
	}
}

// expire removes entries whose servers are silent.
func (s *store) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		var gone []string
		s.mu.Lock()
		for key, at := range s.beats {
			if time.Since(at) > entryLife {
				gone = append(gone, key)
			}
		}
		s.mu.Unlock()
		for _, key := range gone {
			s.remove(key)
		}
	}
}

// view returns the items at a time. s.mu must be held.
func (s *store) view(at time.Time) map[string]item {
	out := map[string]item{}
	for _, e := range s.history {
		if e.at.After(at) {
			break
		}
		if e.Deleted {
			delete(out, e.Key)
			continue
		}
		created := e.Revision
		if old, ok := out[e.Key]; ok {
			created = old.Created
		}
		out[e.Key] = item{Key: e.Key, Value: e.Value, Revision: e.Revision, Created: created}
	}
	return out
}

// read returns the items and the revision that a request sees.
func (s *store) read(r *http.Request) (map[string]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now()
	if r.URL.Query().Get("stale-ok") == "1" {
		at = at.Add(-s.staleLag)
	}
	revision := uint64(1)
	for _, e := range s.history {
		if !e.at.After(at) {
			revision = e.Revision
		}
	}
	return s.view(at), revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		items, at := s.read(r)
		found, ok := items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, struct {
			item
			At uint64 `json:"at"`
		}{found, at})
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	items, at := s.read(r)
	q := r.URL.Query()
	var keys []string
	for key := range items {
		if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has-more"`
		At      uint64 `json:"at"`
	}{Items: []item{}, HasMore: len(keys) > pageSize, At: at}
	for _, key := range keys[:min(len(keys), pageSize)] {
		out.Items = append(out.Items, items[key])
	}
	writeJSON(w, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.eventsAfter(q.Get("path-prefix"), after)
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, struct {
			Events []event `json:"events"`
			At     uint64  `json:"at"`
		}{events, at})
		return
	}
}

func (s *store) eventsAfter(prefix string, after uint64) ([]event, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []event{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }
