package main

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualRate is the number of requests a second.
	usualRate = 49
	usualWork = 400 * time.Millisecond
	// slowFactor is how much longer the work of the slow backend takes; the site's
	// largest dose of srv_slow is 12.
	slowFactor = 10
	drainBound = 2 * time.Second // drain-timeout
	// drainAfter is the time from the slow-down until the backend reports draining.
	drainAfter = 1200 * time.Millisecond
	// serveAfter is how long the backend serves on after its report: drain-timeout and a
	// little longer. Then it ends.
	serveAfter = 3600 * time.Millisecond
)

// queueDrain: one backend of three turns slow, and is then drained and taken away. It
// serves on for some seconds after its report, as the pages say.
func queueDrain(e *env) (result, error) {
	var slow atomic.Bool
	work := func(*http.Request) time.Duration { return usualWork }
	slowWork := func(*http.Request) time.Duration {
		if slow.Load() {
			return slowFactor * usualWork
		}
		return usualWork
	}
	cfg := BackendConfig{
		Slots: 8, Queue: 12, Work: work,
		Answer: func(*http.Request) (int, []byte) { return http.StatusOK, []byte("answer") },
	}
	front, err := e.site.AddHost("batchlog", "vl-a", cfg)
	if err != nil {
		return noRun, err
	}
	var leaving *Host
	for i := range 3 {
		c := cfg
		if i == 0 {
			c.Work = slowWork
		}
		h, err := e.site.AddHost("release", "vl-a", c)
		if err != nil {
			return noRun, err
		}
		if i == 0 {
			leaving = h
		}
	}
	e.site.Configure(7, []Route{{Prefix: "/signoff/", Kind: "unsafe", Service: "release", Timeout: "5000ms", Target: "1500ms", Priority: 0}}, nil)
	if err := e.site.AwaitReady(); err != nil {
		return noRun, err
	}
	var clients sync.WaitGroup
	counts, answers := map[string]int{}, map[string]string{}
	var mu sync.Mutex
	send := func() {
		id := newID()
		c, err := dial(front.Callers())
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5500 * time.Millisecond))
		e.rec.Line("request %s sent", id)
		_, _ = io.WriteString(c, head("POST", "/signoff/1", id, 5*time.Second, 4)+"body")
		s := readAnswer(e, bufio.NewReader(c), id)
		mu.Lock()
		counts[s]++
		answers[id] = s
		mu.Unlock()
	}
	load := func(d time.Duration) {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			clients.Go(send)
			time.Sleep(time.Second / usualRate)
		}
	}
	load(6 * time.Second)
	slow.Store(e.trouble)
	e.rec.Line("backend %s turns slow: %v", leaving.Backend.cfg.ID, e.trouble)
	load(drainAfter)
	leaving.Backend.SetState("draining")
	confirmed := time.Now()
	e.rec.Line("backend %s reports draining; the store has confirmed it", leaving.Backend.cfg.ID)
	load(serveAfter)
	runs := leaving.Backend.Runs()
	leaving.Backend.Leave()
	e.rec.Line("backend %s ends", leaving.Backend.cfg.ID)
	clients.Wait()
	late, lost := 0, 0
	var latest time.Duration
	for _, r := range runs {
		if after := r.Arrived.Sub(confirmed); after > drainBound {
			late++
			latest = max(latest, after)
			mu.Lock()
			answer := answers[r.ID]
			mu.Unlock()
			if answer != "200" {
				lost++
			}
			e.rec.Line("request %s reached the leaving backend %v after the confirmation; answer: %s", r.ID, after.Round(time.Millisecond), answer)
		}
	}
	e.rec.Line("answers: %v", counts)
	e.rec.Print("DRAIN: %d requests reached the leaving backend later than %v after the confirmation, the last one after %v; %d of them were lost", late, drainBound, latest.Round(time.Millisecond), lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// readAnswer reads one answer and returns its status, or how it ended.
func readAnswer(e *env, br *bufio.Reader, id string) string {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		e.rec.Line("request %s: no answer: %v", id, err)
		return "no answer: " + err.Error()
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.rec.Line("request %s: answer %d broke off after %d bytes: %v", id, r.StatusCode, n, err)
		return "broke off"
	}
	if got := r.Header.Get("Request-Id"); got != id {
		e.rec.Line("request %s: answer of another request, %s", id, got)
		return "foreign"
	}
	e.rec.Line("request %s: answer %d, %d bytes, signature %q", id, r.StatusCode, n, r.Header.Get("Response-Signature"))
	return strconv.Itoa(r.StatusCode)
}
