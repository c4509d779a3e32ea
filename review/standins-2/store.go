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

// storeItem is one key of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	writtenAt time.Time
}

// Store is a stand-in of the platform's metadata store: linearizable reads, pages
// and watches over one revision counter, with the whole history kept.
type Store struct {
	mu       sync.Mutex
	first    uint64 // the revision before the first write
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	server   *http.Server
	Address  string
	// StaleBy is the age of what a read with stale-ok returns.
	StaleBy time.Duration
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{items: map[string]storeItem{}, changed: make(chan struct{}), first: 3, revision: 3, Address: lis.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

// append adds an event and wakes the watches. s.mu must be held.
func (s *Store) append(it storeItem) {
	it.writtenAt = time.Now()
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, q.Get("key"), q.Get("stale-ok") == "1")
	case "/api/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"), q.Get("stale-ok") == "1")
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// state returns the items and the revision that a read returns. s.mu must be held.
func (s *Store) state(stale bool) (map[string]storeItem, uint64) {
	if !stale || s.StaleBy == 0 {
		return s.items, s.revision
	}
	items, at := map[string]storeItem{}, s.first
	for _, e := range s.history {
		if time.Since(e.writtenAt) < s.StaleBy {
			break
		}
		at = e.Revision
		if e.Deleted {
			delete(items, e.Key)
			continue
		}
		items[e.Key] = e
	}
	return items, at
}

func (s *Store) serveKey(w http.ResponseWriter, key string, stale bool) {
	s.mu.Lock()
	items, at := s.state(stale)
	it, ok := items[key]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		storeItem
		At uint64 `json:"at"`
	}{it, at})
}

// pageSize is the number of items of one page.
const pageSize = 500

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string, stale bool) {
	s.mu.Lock()
	all, at := s.state(stale)
	var keys []string
	for k := range all {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	items := []storeItem{}
	for _, k := range keys {
		items = append(items, all[k])
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
		return
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
