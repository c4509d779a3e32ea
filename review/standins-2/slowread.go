package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// slowConns is the number of kept connections with reads; the rule allows three cuts.
	slowConns = 6
	// slowSignoffs is the number of kept connections with one sign-off each.
	slowSignoffs = 4
	// slowPause is how long a client stops to read.
	slowPause = 2500 * time.Millisecond
	// largeAnswer is the largest response of ledger-read on the site's sheet, and
	// signoffAnswer that of lot-signoff, bytes.
	largeAnswer   = 36_000
	signoffAnswer = 30_000
	// smallWindow is the receive buffer of the client, bytes.
	smallWindow = 4 << 10
	// timeLimit is that of the clients.
	timeLimit = 5 * time.Second
)

// slowEnd is how the requests of one connection ended.
type slowEnd struct {
	warm          string // answer to the first request of the connection
	first, second string // request ids; second is empty for a sign-off
	firstEnd      string
	secondEnd     string
}

const noAnswerEnd = "the connection ended without an answer"

// slowRead: on a kept connection a client sends a read with a large answer and, behind
// it, a read with a small one. It stops to read for slowPause, and then reads on, well
// inside its time limit. Other clients do so with the answer of a sign-off.
func slowRead(e *env) (result, error) {
	large, signoff := make([]byte, largeAnswer), make([]byte, signoffAnswer)
	cfg := BackendConfig{
		Slots: 40, Queue: 40,
		Work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		Answer: func(r *http.Request) (int, []byte) {
			switch {
			case strings.HasPrefix(r.URL.Path, "/large/"):
				return http.StatusOK, large
			case strings.HasPrefix(r.URL.Path, "/signoff/"):
				return http.StatusOK, signoff
			}
			return http.StatusOK, []byte("small answer")
		},
	}
	front, err := e.site.AddHost("batchlog", "vl-a", cfg)
	if err != nil {
		return noRun, err
	}
	if _, err := e.site.AddHost("ledger", "vl-a", cfg); err != nil {
		return noRun, err
	}
	e.site.Configure(7, []Route{
		{Prefix: "/large/", Kind: "download", Service: "ledger", Timeout: "5000ms", Target: "1500ms", Priority: 2},
		{Prefix: "/small/", Kind: "safe", Service: "ledger", Timeout: "5000ms", Target: "1500ms", Priority: 1},
		{Prefix: "/signoff/", Kind: "unsafe", Service: "ledger", Timeout: "5000ms", Target: "1500ms", Priority: 0},
	}, nil)
	if err := e.site.AwaitReady(); err != nil {
		return noRun, err
	}
	out := make(chan slowEnd, slowConns+slowSignoffs)
	for i := range slowConns + slowSignoffs {
		go func() { out <- slowClient(e, front, i, i >= slowConns) }()
	}
	var all []slowEnd
	for range slowConns + slowSignoffs {
		all = append(all, <-out)
	}
	ran := map[string]bool{}
	for _, h := range e.site.hosts {
		for _, r := range h.Backend.Runs() {
			if r.Executed {
				ran[r.ID] = true
			}
		}
	}
	cut, signoffs := 0, 0
	for _, o := range all {
		switch {
		case o.warm != "200":
			return noRun, fmt.Errorf("first request on a connection: %s", o.warm)
		case o.second == "" && ran[o.first] && o.firstEnd != "200":
			signoffs++
			e.rec.Line("sign-off %s was run; its client has no complete answer: %s", o.first, o.firstEnd)
		case ran[o.second] && o.secondEnd == noAnswerEnd:
			cut++
			e.rec.Line("request %s was passed on and run; its connection was closed without an answer", o.second)
		}
	}
	e.rec.Print("beside the rule: of %d sign-offs that were run, %d got no complete answer", slowSignoffs, signoffs)
	e.rec.Print("LOST: %d of %d kept connections were closed without an answer to a request that a sound backend had run; more than 3 break the rule", cut, slowConns)
	if cut > 3 {
		return broken, nil
	}
	return held, nil
}

// slowClient plays one client.
func slowClient(e *env, front *Host, i int, unsafe bool) slowEnd {
	var o slowEnd
	c, err := dial(front.Callers(), smallWindow)
	if err != nil {
		o.warm = err.Error()
		return o
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, 4096)
	warm := newID()
	_, _ = io.WriteString(c, head("GET", "/small/1", warm, timeLimit, 0))
	if o.warm = readAnswer(e, br, warm); o.warm != "200" {
		return o
	}
	o.first = newID()
	text := head("POST", "/signoff/2", o.first, timeLimit, 4) + "body"
	if !unsafe {
		o.second = newID()
		text = head("GET", "/large/2", o.first, timeLimit, 0) + head("GET", "/small/3", o.second, timeLimit, 0)
	}
	sent := time.Now()
	_, _ = io.WriteString(c, text)
	e.rec.Line("connection %d: %s %s sent", i, o.first, o.second)
	if e.trouble {
		_, _ = br.Peek(100) // the answer has begun
		time.Sleep(slowPause)
		e.rec.Line("connection %d: reads on after %v", i, slowPause)
	}
	_ = c.SetReadDeadline(sent.Add(timeLimit))
	o.firstEnd = readAnswer(e, br, o.first)
	o.secondEnd = noAnswerEnd
	if o.firstEnd == "200" && !unsafe {
		if s := readAnswer(e, br, o.second); !strings.HasPrefix(s, "no answer") {
			o.secondEnd = s
		}
	}
	e.rec.Line("connection %d, %v after the requests: first: %s, second: %s", i, time.Since(sent).Round(time.Millisecond), o.firstEnd, o.secondEnd)
	return o
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
		return fmt.Sprintf("%d broke off after %d bytes: %v", r.StatusCode, n, err)
	}
	if got := r.Header.Get("Request-Id"); got != id {
		e.rec.Line("request %s: answer of another request, %s", id, got)
		return "foreign"
	}
	e.rec.Line("request %s: answer %d, %d bytes, signature %q, connection close %v", id, r.StatusCode, n, r.Header.Get("Response-Signature"), r.Close)
	return fmt.Sprint(r.StatusCode)
}
