package engine

import "time"

// maxRecentRequests limits the number of request IDs kept. At 338 calls a second
// per node and deadlines of a few seconds, a few thousand are in use.
const maxRecentRequests = 1 << 16

// recentRequests keeps the IDs of callers' requests until their deadline, so
// that a retry by the caller gets no retry credit of its own.
type recentRequests struct {
	until     map[recentKey]time.Time
	lastSweep time.Time
}

type recentKey struct{ caller, requestID string }

func newRecentRequests() *recentRequests {
	return &recentRequests{until: make(map[recentKey]time.Time)}
}

// add records a request and reports whether it was seen before. When the table
// is full, every new request counts as seen: it gets no retry credit, so that
// the bound on retries holds.
func (r *recentRequests) add(caller, requestID string, now, until time.Time) (seen bool) {
	key := recentKey{caller, requestID}
	if previous, ok := r.until[key]; ok && now.Before(previous) {
		return true
	}
	if len(r.until) >= maxRecentRequests {
		return true
	}
	r.until[key] = until
	return false
}

// sweep removes expired IDs, at most once a second.
func (r *recentRequests) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < time.Second {
		return
	}
	r.lastSweep = now
	for key, until := range r.until {
		if !now.Before(until) {
			delete(r.until, key)
		}
	}
}
