package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	longBodyTime = 20 * time.Second
	uploaders    = 16
	others       = 16
	longBody     = 600_000 // bytes
)

// longBodies is no case: no rule was seen broken by it. Clients send long requests that
// the backend rejects before they are in, beside small ones. With a race build of the
// node (variable GATEWAY) it reports the data races that the node prints.
func longBodies(e *env) (result, error) {
	cfg := BackendConfig{
		Slots: 91, Queue: 144, Early: "/long/",
		Work:   func(*http.Request) time.Duration { return time.Millisecond },
		Answer: func(*http.Request) (int, []byte) { return http.StatusOK, []byte("answer") },
	}
	front, err := e.site.AddHost("batchlog", "vl-a", cfg)
	if err != nil {
		return noRun, err
	}
	if _, err := e.site.AddHost("release", "vl-a", cfg); err != nil {
		return noRun, err
	}
	e.site.Configure(7, []Route{
		{Prefix: "/long/", Kind: "unsafe", Service: "release", Timeout: "5000ms", Target: "1500ms", Priority: 0},
		{Prefix: "/small/", Kind: "safe", Service: "release", Timeout: "5000ms", Target: "1500ms", Priority: 0},
	}, nil)
	if err := e.site.AwaitReady(); err != nil {
		return noRun, err
	}
	body := make([]byte, longBody)
	end := time.Now().Add(longBodyTime)
	var clients sync.WaitGroup
	for i := range uploaders + others {
		clients.Go(func() {
			for time.Now().Before(end) {
				c, err := dial(front.Callers())
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(6 * time.Second))
				id := newID()
				if i < uploaders {
					go func() {
						_, _ = io.WriteString(c, head("POST", "/long/1", id, 5*time.Second, len(body)))
						_, _ = c.Write(body)
					}()
				} else {
					_, _ = io.WriteString(c, head("GET", "/small/1", id, 5*time.Second, 0))
				}
				_, _ = http.ReadResponse(bufio.NewReader(c), nil)
				_ = c.Close()
			}
		})
	}
	clients.Wait()
	races := 0
	logs, _ := filepath.Glob(filepath.Join(e.site.dir, "*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return noRun, err
		}
		races += bytes.Count(data, []byte("WARNING: DATA RACE"))
		if first := strings.Index(string(data), "WARNING: DATA RACE"); first >= 0 {
			e.rec.Line("%s:\n%s", path, data[first:min(len(data), first+3000)])
		}
	}
	e.rec.Print("data races reported by the nodes: %d", races)
	if races > 0 {
		return broken, nil
	}
	return held, nil
}

// rejectEarly answers a long request when a part of its body is in, and closes the
// connection.
func rejectEarly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, int64(rand.IntN(longBody/2)))
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(c)
	id := r.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno", id, id)
	time.Sleep(time.Millisecond)
}
