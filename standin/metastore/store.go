// Package metastore is a fake of the platform's metadata store, for development and
// tests. It implements the published HTTP protocol: reads of single items, paged
// range reads, and watches, which get 410 when they start at a compacted
// revision. Faults can be injected.
package metastore

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the injected failures of the store. The zero value has none.
type Faults struct {
	// Status is the status code sent instead of each response; zero for none.
	Status int
	// Unresponsive holds requests without a response until the client
	// disconnects.
	Unresponsive bool
	// Delay is added before each response.
	Delay time.Duration
	// Stale makes reads that accept stale data return the state from before
	// the fault was set.
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

// Store is an http.Handler that serves the items. It is safe for concurrent use.
type Store struct {
	pageSize int

	mu       sync.Mutex
	items    map[string]item
	stale    map[string]item // returned to stale reads while Faults.Stale is set
	history  []event
	oldest   uint64 // oldest revision after which a watch can start
	revision uint64
	era      uint64        // rises with each Restore
	changed  chan struct{} // closed on the next change
	faults   Faults
	calls    map[string]int
}

// maxPageBytes bounds the values of a page together, unless it has one item only.
const maxPageBytes = 1 << 20

// New returns an empty store with pages of pageSize items and maxPageBytes at most.
func New(pageSize int) *Store {
	return &Store{
		pageSize: pageSize, items: map[string]item{}, revision: 1, oldest: 1, era: 1,
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.record(event{Key: key, Value: value, Revision: s.revision})
	return s.revision
}

// Value returns the value of an item; nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(event{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the event history: watches that start at an older revision
// get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy is a state of the store for Restore.
type Copy struct {
	items    map[string]item
	revision uint64
}

// Copy returns the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{items: maps.Clone(s.items), revision: s.revision}
}

// Restore replaces the state by an older one: what was written since is lost, and
// its revisions are given out again. Watches from a later revision get 410.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.oldest, s.history = maps.Clone(c.items), c.revision, c.revision, nil
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces all current faults.
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

// Calls returns the number of requests to a path.
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
	w = &eraWriter{ResponseWriter: w, store: s}
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

// eraWriter puts the era at the time of the response on it.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

func (w *eraWriter) setEra() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.era, 10))
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if w.Header().Get("Store-Era") == "" {
		w.setEra()
	}
	return w.ResponseWriter.Write(data)
}

// view returns the items visible to a read. s.mu must be held.
func (s *Store) view(r *http.Request) map[string]item {
	if s.faults.Stale && r.URL.Query().Get("stale-ok") == "1" {
		return s.stale
	}
	return s.items
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.view(r)[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		At uint64 `json:"at"`
	}{found, revision})
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
	}{Items: []item{}, At: s.revision}
	bytes := 0
	for i, key := range keys {
		bytes += len(view[key].Value)
		if i == s.pageSize || i > 0 && bytes > maxPageBytes {
			out.HasMore = true
			break
		}
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
		events, revision, compacted, changed := s.eventsAfter(q.Get("path-prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respondWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			respondWatch(w, events, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the events under a prefix after a revision. compacted
// reports that older events are no longer available.
func (s *Store) eventsAfter(prefix string, after uint64) (events []event, revision uint64, compacted bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest || after > s.revision {
		return nil, s.revision, true, nil
	}
	events = []event{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, false, s.changed
}

func respondWatch(w http.ResponseWriter, events []event, revision uint64) {
	respond(w, struct {
		Events []event `json:"events"`
		At     uint64  `json:"at"`
	}{events, revision})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
