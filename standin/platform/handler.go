package platform

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxWait is the longest time for which a watch may wait.
const MaxWait = time.Minute

// Run scans the directory periodically until ctx is cancelled. Scan errors, which
// can occur while a file is being replaced, are passed to report; Run continues.
func (p *Platform) Run(ctx context.Context, report func(error)) {
	ticker := time.NewTicker(p.cfg.Rescan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := p.Scan(); err != nil {
				report(err)
			}
		}
	}
}

// Handler serves the platform's protocol and, under /control, fault injection and
// statistics.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values", p.serveValues)
	mux.HandleFunc("GET /control", p.serveStats)
	mux.HandleFunc("POST /control", p.serveControl)
	return mux
}

func (p *Platform) serveValues(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := parseAfter(r.URL.Query().Get("after"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "after", err)
		return
	}
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "wait", err)
		return
	}
	bodies, err := parseBodies(r.URL.Query().Get("bodies"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bodies", err)
		return
	}
	answer, err := p.read(r.Context(), prefix, after, wait)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "platform", err)
		return
	}
	if !bodies {
		answer.Values = []Value{}
		answer.Deleted = []string{}
	}
	writeJSON(w, r, answer)
}

func parseAfter(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a revision", text)
	}
	return n, nil
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 || seconds > MaxWait.Seconds() {
		return 0, fmt.Errorf("%q is not a number of seconds from 0 to %.0f", text, MaxWait.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func parseBodies(text string) (bool, error) {
	if text == "" {
		return true, nil
	}
	bodies, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("%q is not true or false", text)
	}
	return bodies, nil
}

// errDown is the error of all reads while Faults.Down is set.
var errDown = fmt.Errorf("switched off by /control")

// read returns the values under a prefix that changed after a revision. It blocks
// until there is such a change, wait has elapsed or ctx is cancelled, and returns
// immediately while the platform is down.
func (p *Platform) read(ctx context.Context, prefix string, after uint64, wait time.Duration) (Answer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	p.reads++
	p.waiting++
	defer func() {
		p.waiting--
		p.mu.Unlock()
	}()
	expired := wait == 0
	for {
		if p.faults.Down {
			p.refused++
			return Answer{}, errDown
		}
		if source := p.source(); expired || source.lastChange(prefix) > after {
			return p.finish(ctx, source.answer(prefix, after))
		}
		notify := p.notify
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			expired = true
		case <-timer.C:
			expired = true
		case <-notify:
		}
		p.mu.Lock()
	}
}

// source returns the store to read: the frozen copy while Faults.Stale is set.
func (p *Platform) source() *store {
	if p.frozen != nil {
		return p.frozen
	}
	return p.store
}

// finish applies the faults that modify or delay an answer.
func (p *Platform) finish(ctx context.Context, a Answer) (Answer, error) {
	if p.faults.Inconsistent && len(a.Values) > 0 {
		v := &a.Values[0]
		v.Body = v.Body[:len(v.Body)/2]
	}
	delay := p.faults.Delay
	if delay == 0 {
		return a, nil
	}
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-ctx.Done():
		return a, ctx.Err()
	case <-time.After(delay):
		return a, nil
	}
}

func (p *Platform) serveStats(w http.ResponseWriter, r *http.Request) { writeJSON(w, r, p.Stats()) }

// serveControl sets all faults from the form values down, stale, torn (booleans)
// and delay (a duration). Faults that are not given are switched off.
func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	faults, err := parseFaults(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "control", err)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, r, p.Stats())
}

func parseFaults(r *http.Request) (Faults, error) {
	var f Faults
	if err := r.ParseForm(); err != nil {
		return f, err
	}
	for key, values := range r.Form {
		var err error
		text := values[0]
		switch key {
		case "down":
			f.Down, err = strconv.ParseBool(text)
		case "stale":
			f.Stale, err = strconv.ParseBool(text)
		case "torn":
			f.Inconsistent, err = strconv.ParseBool(text)
		case "delay":
			f.Delay, err = time.ParseDuration(text)
		default:
			err = fmt.Errorf("unknown; known are down, stale, torn, delay")
		}
		if err != nil {
			return f, fmt.Errorf("%s: %w", key, err)
		}
	}
	return f, nil
}

func writeError(w http.ResponseWriter, status int, what string, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": what + ": " + err.Error()})
}

func writeJSON(w http.ResponseWriter, r *http.Request, body any) {
	w.Header().Set("Content-Type", "application/json")
	var out io.Writer = w
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		packed := gzip.NewWriter(w)
		defer func() { _ = packed.Close() }()
		out = packed
	}
	_ = json.NewEncoder(out).Encode(body)
}
