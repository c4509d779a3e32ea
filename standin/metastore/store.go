// Package metastore is a development stand-in for the users' metadata store.
// It speaks the published protocol over HTTP: single items, ranges in pages,
// watches that end with 410 once their history is gone, and faults that can be
// switched on.
package metastore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are failures of the store. The zero value has none.
type Faults struct {
	// Status is sent in place of each response; zero for none.
	Status int
	// Unresponsive leaves calls without a response.
	Unresponsive bool
	// Delay is waited before each response.
	Delay time.Duration
	// Stale freezes stale reads at the state before the fault was set.
	Stale bool
}

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
}

// Store holds the items. It is safe for concurrent use.
type Store struct {
	pageSize int

	mu      sync.Mutex
	items   map[string]item
	stale   map[string]item // what stale reads see while Faults.Stale is set
	history []event
	first   uint64 // oldest revision after which a watch may start
	at      uint64
	changed chan struct{} // closed at the next change
	faults  Faults
	calls   map[string]int
}

// New returns an empty store that returns pageSize items a page.
func New(pageSize int) *Store {
	return &Store{
		pageSize: pageSize, items: map[string]item{}, at: 1, first: 1,
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Put writes an item and returns the revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	created := s.at
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.at, Created: created}
	s.record(event{Key: key, Value: value, Revision: s.at})
	return s.at
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	delete(s.items, key)
	s.record(event{Key: key, Revision: s.at, Deleted: true})
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history: watches that start before now get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.first = s.at
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the failures in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.stale = make(map[string]item, len(s.items))
		for k, v := range s.items {
			s.stale[k] = v
		}
	}
	s.faults = f
}

// Calls returns the number of calls by path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(faults.Delay):
	case <-r.Context().Done():
		return
	}
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
		return
	}
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, r)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// view returns the items that a read sees; s.mu is held.
func (s *Store) view(r *http.Request) map[string]item {
	if s.faults.Stale && r.URL.Query().Get("stale-ok") == "1" {
		return s.stale
	}
	return s.items
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.view(r)[r.URL.Query().Get("key")]
	at := s.at
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		At uint64 `json:"at"`
	}{found, at})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	keys := []string{}
	view := s.view(r)
	for key := range view {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has-more"`
		At      uint64 `json:"at"`
	}{Items: []item{}, HasMore: len(keys) > s.pageSize, At: s.at}
	for _, key := range keys[:min(len(keys), s.pageSize)] {
		out.Items = append(out.Items, view[key])
	}
	s.mu.Unlock()
	respond(w, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, at, gone, changed := s.since(q.Get("path-prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respondWatch(w, events, at)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			respondWatch(w, events, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (events []event, at uint64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.first {
		return nil, s.at, true, nil
	}
	events = []event{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.at, false, s.changed
}

func respondWatch(w http.ResponseWriter, events []event, at uint64) {
	respond(w, struct {
		Events []event `json:"events"`
		At     uint64  `json:"at"`
	}{events, at})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has left.
	_ = json.NewEncoder(w).Encode(body)
}
