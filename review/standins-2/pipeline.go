package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// stopConns is the number of kept connections with reads in flight at the stop.
	stopConns = 5
	// stopAfter is the time from the reads until SIGTERM.
	stopAfter = 150 * time.Millisecond
)

// pipelineStop: on kept connections, clients send two further reads before the first
// one has been answered. All three run at backends when the node of the clients gets
// SIGTERM.
func pipelineStop(e *env) (result, error) {
	cfg := BackendConfig{
		Slots: 40, Queue: 40,
		Work: func(r *http.Request) time.Duration {
			switch {
			case strings.HasSuffix(r.URL.Path, "/first"):
				return 300 * time.Millisecond
			case strings.HasSuffix(r.URL.Path, "/further"):
				return 700 * time.Millisecond
			}
			return 20 * time.Millisecond
		},
		Answer: func(*http.Request) (int, []byte) { return http.StatusOK, []byte("answer") },
	}
	front, err := e.site.AddHost("release", "vl-a", cfg)
	if err != nil {
		return noRun, err
	}
	if _, err := e.site.AddHost("batchlog", "vl-a", cfg); err != nil {
		return noRun, err
	}
	e.site.Configure(7, []Route{{Prefix: "/batch/", Kind: "safe", Service: "batchlog", Timeout: "1000ms", Target: "1500ms", Priority: 2}}, nil)
	if err := e.site.AwaitReady(); err != nil {
		return noRun, err
	}
	type conn struct {
		ids  []string
		ends []string
	}
	out := make(chan conn, stopConns)
	for i := range stopConns {
		go func() {
			var k conn
			defer func() { out <- k }()
			c, err := dial(front.Callers(), 0)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			br := bufio.NewReader(c)
			warm := newID()
			_, _ = io.WriteString(c, head("GET", "/batch/warm", warm, 5*time.Second, 0))
			if s := readAnswer(e, br, warm); s != "200" {
				e.rec.Line("connection %d: first answer %s", i, s)
				return
			}
			k.ids = []string{newID(), newID(), newID()}
			text := head("GET", "/batch/first", k.ids[0], 5*time.Second, 0)
			for _, id := range k.ids[1:] {
				text += head("GET", "/batch/further", id, 5*time.Second, 0)
			}
			e.rec.Line("connection %d: requests %v sent", i, k.ids)
			_, _ = io.WriteString(c, text)
			for _, id := range k.ids {
				k.ends = append(k.ends, readAnswer(e, br, id))
			}
		}()
	}
	time.Sleep(100*time.Millisecond + stopAfter)
	if e.trouble {
		e.rec.Line("SIGTERM to %s", front.Name)
		front.Signal(syscall.SIGTERM)
	}
	var all []conn
	for range stopConns {
		all = append(all, <-out)
	}
	ran := map[string]bool{}
	for _, h := range e.site.hosts {
		for _, r := range h.Backend.Runs() {
			ran[r.ID] = r.Executed
		}
	}
	lost := 0
	for _, k := range all {
		for i, id := range k.ids {
			if ran[id] && strings.HasPrefix(k.ends[i], "no answer") {
				lost++
				e.rec.Line("request %s was passed on to a backend; its connection ended without an answer", id)
			}
		}
	}
	if e.trouble {
		<-front.Exited()
	}
	e.rec.Print("LOST: around the SIGTERM, the connections of %d requests that had been passed on to a backend ended without an answer", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
