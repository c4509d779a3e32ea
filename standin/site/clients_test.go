package site

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	clientsPerHost = 3
	clientPause    = 15 * time.Millisecond
	clientDeadline = 1500 * time.Millisecond
	probePause     = 100 * time.Millisecond
	// configLimit is the time in which a configuration is in force.
	configLimit = 2 * time.Second
	largeBody   = 300 << 10
)

// clients send requests to all nodes and keep what came of them.
type clients struct {
	w      *world
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	number atomic.Uint64

	mu       sync.Mutex
	attempts []Attempt
}

func newClients(w *world) *clients {
	c := &clients{w: w}
	c.ctx, c.cancel = context.WithCancel(w.t.Context())
	return c
}

func (c *clients) start() {
	for _, h := range c.w.site.Hosts {
		for i := range clientsPerHost {
			c.loops.Go(func() { c.client(h, i) })
		}
		c.loops.Go(func() { c.probe(h) })
	}
}

func (c *clients) stop() {
	c.cancel()
	c.loops.Wait()
}

// client sends requests over connections that it keeps until the node closes
// them.
func (c *clients) client(h *Host, n int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	paths := []string{"/front/x", "/once/x", "/deep/x"}
	for i := n; c.ctx.Err() == nil; i++ {
		if !h.Ready(c.ctx) && i%2 == 0 {
			time.Sleep(clientPause) // half of the clients go on at once
			continue
		}
		body := ""
		if path := paths[i%len(paths)]; path == "/once/x" && i%20 == 1 {
			body = strings.Repeat("x", largeBody)
		}
		c.do(transport, h, paths[i%len(paths)], body)
		time.Sleep(clientPause)
	}
}

// do sends one request and keeps what came of it.
func (c *clients) do(transport *http.Transport, h *Host, path, body string) Attempt {
	a := h.Send(transport, Request{
		ID: fmt.Sprintf("client-%d", c.number.Add(1)), Path: path, Body: body, Deadline: clientDeadline,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// probe follows the configuration of a node: within one lifetime, it never
// goes back, and with planned work only it is soon in force.
func (c *clients) probe(h *Host) {
	transport := &http.Transport{DisableKeepAlives: true}
	newest, process := 0, 0
	for c.ctx.Err() == nil {
		time.Sleep(probePause)
		version, changed := c.w.newest(), c.w.changedAt()
		h.mu.Lock()
		pid := h.cmd.Process.Pid
		h.mu.Unlock()
		if pid != process {
			newest, process = 0, pid
		}
		sent := time.Now()
		a := c.do(transport, h, versionPath(version), "")
		if c.w.newest() != version {
			continue // the node may have a newer one, without this route
		}
		switch {
		case a.Status == http.StatusNotFound && newest >= version:
			c.w.t.Errorf("%s went back from version %d to an older one", h.Name, newest)
		case a.Status == http.StatusNotFound && c.w.planned && sent.Sub(changed) > configLimit:
			c.w.t.Errorf("%s does not have version %d after %s", h.Name, version, sent.Sub(changed))
		case a.Status == http.StatusOK:
			newest = max(newest, version)
		}
	}
}

// checkRecovery sends a few requests of each kind to each node, all of which
// must be answered.
func (c *clients) checkRecovery() {
	transport := &http.Transport{DisableKeepAlives: true}
	for _, h := range c.w.site.Hosts {
		for _, path := range []string{"/front/x", "/once/x", "/deep/x"} {
			a := c.do(transport, h, path, "")
			assert.Equal(c.w.t, http.StatusOK, a.Status, "%s of %s: %v", path, h.Name, a.Err)
		}
	}
}

// checkRuns compares the answers with what ran at the upstreams.
func (c *clients) checkRuns() {
	assert.Empty(c.w.t, c.w.site.Violations(c.attempts))
	runs := map[string]int{}
	for _, r := range c.w.site.Runs() {
		runs[r.ID]++
	}
	served := 0
	for _, a := range c.attempts {
		switch a.Status {
		case http.StatusOK:
			served++
		case 0:
			c.checkCut(a, runs[a.ID])
		}
	}
	assert.Greater(c.w.t, served, len(c.attempts)/4, "of %d attempts", len(c.attempts))
	c.w.t.Logf("%d attempts, %d served, %d runs", len(c.attempts), served, len(runs))
}

// checkCut allows an attempt without an answer only where an unplanned fault
// may have caused it, or where the connection was refused or closed before the
// request was read.
func (c *clients) checkCut(a Attempt, runs int) {
	if !c.w.planned || errors.Is(a.Err, syscall.ECONNREFUSED) {
		return
	}
	assert.Zero(c.w.t, runs, "%s ran and was cut during planned work: %v", a.ID, a.Err)
	assert.NotErrorIs(c.w.t, a.Err, context.DeadlineExceeded, "%s got no final answer", a.ID)
}
