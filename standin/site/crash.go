package site

import (
	"net/http"
	"strings"
	"time"
)

// CrashPrefix is the path prefix of requests that crash the upstream which begins to run
// them.
const CrashPrefix = "/deep/crash/"

// crashDowntime is the time from a crash of an upstream to its next start.
const crashDowntime = 600 * time.Millisecond

// Crash is the end of an upstream by a request.
type Crash struct {
	RequestID, Path, Caller string
	At                      time.Time
}

// crashedBy ends the upstream if a request is one that does so. The upstream is back as
// another instance after crashDowntime.
func (h *Host) crashedBy(r *http.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, CrashPrefix) || r.Header.Get("Expected-Instance") != h.id {
		return false
	}
	if h.crashed {
		return true
	}
	h.crashed = true
	h.crashes = append(h.crashes, Crash{r.Header.Get("Request-Id"), r.URL.Path, r.Header.Get("Caller-Service"), time.Now()})
	go h.UpstreamRelay.Refuse()
	time.AfterFunc(crashDowntime, func() {
		h.ReplaceUpstream()
		_ = h.UpstreamRelay.Accept()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.crashed = false
	})
	return true
}

// Crashes returns the crashes of all upstreams by requests.
func (s *Site) Crashes() []Crash {
	var out []Crash
	for _, h := range s.Hosts {
		h.mu.Lock()
		out = append(out, h.crashes...)
		h.mu.Unlock()
	}
	return out
}
