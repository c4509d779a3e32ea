package quarantine

import (
	"sync"
	"time"

	"toucangw.example/core/advisory"
)

// recentSize is the number of fingerprints in each of the two generations of Recent.
const recentSize = 4096

// Answer is the last answer of a local upstream to the requests with one fingerprint.
type Answer struct {
	Upstream advisory.Instance
	At       time.Time
}

// Recent holds the last answers of the incarnations of a local upstream. A request that
// crashes each upstream which begins to run it has none. It is safe for concurrent use.
type Recent struct {
	mu            sync.Mutex
	current, past map[Fingerprint]Answer
}

// Add records an answer to a request.
func (r *Recent) Add(f Fingerprint, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.current[f]; !known && (r.current == nil || len(r.current) >= recentSize) {
		r.past, r.current = r.current, make(map[Fingerprint]Answer)
	}
	r.current[f] = a
}

// Get returns the last answer to a request, and whether there was one lately.
func (r *Recent) Get(f Fingerprint) (Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a, known := r.current[f]; known {
		return a, true
	}
	a, known := r.past[f]
	return a, known
}
