package engine

import "time"

// maxRecentRequests bounds the memory for request ids seen lately. At 338
// calls a second per node and deadlines of seconds, a few thousand are live.
const maxRecentRequests = 1 << 16

// recentRequests remembers the request ids of callers until their deadline, so
// that a repeat gets no retry credit of its own.
type recentRequests struct {
	until map[recentKey]time.Time
	swept time.Time
}

type recentKey struct{ caller, requestID string }

func newRecentRequests() *recentRequests {
	return &recentRequests{until: make(map[recentKey]time.Time)}
}

// add records a request and reports whether it was seen before. When the
// memory is full, every request counts as seen: granting no credit keeps the
// retry bound.
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

// sweep drops expired ids, at most once a second.
func (r *recentRequests) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Second {
		return
	}
	r.swept = now
	for key, until := range r.until {
		if !now.Before(until) {
			delete(r.until, key)
		}
	}
}
