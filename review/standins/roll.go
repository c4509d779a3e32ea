package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll-long-requests"] = rollLongRequests }

const (
	reportRoute = "/report/"
	// reportWork is the longest work of wind-log in kandy-rota-grown, reportTimeout the
	// timeout of its route and reportLimit the time limit of its clients.
	reportWork    = 2100 * time.Millisecond
	reportTimeout = 2500 * time.Millisecond
	reportLimit   = 6 * time.Second
	// rollGap is the pause between the stops of two nodes.
	rollGap = time.Second
)

// readiness is what the platform knows of the nodes of one zone: it asks each node
// once a second. After two misses the clients on that machine get no new work, unless
// fewer than half of the zone's nodes are in.
type readiness struct {
	mu     sync.Mutex
	misses map[*host]int
	hosts  []*host
}

func watchReadiness(r *run, hosts []*host, stop <-chan struct{}) *readiness {
	p := &readiness{misses: map[*host]int{}, hosts: hosts}
	for _, h := range hosts {
		go func() {
			for {
				ok := h.ready()
				p.mu.Lock()
				before := p.misses[h]
				if ok {
					p.misses[h] = 0
				} else {
					p.misses[h]++
				}
				if before < 2 && p.misses[h] == 2 || before >= 2 && ok {
					r.record.line("platform %s in: %v", h.name, ok)
				}
				p.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return p
}

// takes reports whether the clients on a machine get new work.
func (p *readiness) takes(h *host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := 0
	for _, other := range p.hosts {
		if p.misses[other] < 2 {
			in++
		}
	}
	return p.misses[h] < 2 || 2*in < len(p.hosts)
}

// rollLongRequests stops the three nodes of a zone in turn, one second after the
// other, and starts each again, while clients send requests that take reportWork.
func rollLongRequests(r *run) error {
	for range 3 {
		h, err := r.add("front", 40, 10*time.Millisecond)
		if err != nil {
			return err
		}
		h.zone = "zone-a"
		h.register("ready")
		if err := h.writeSettings(); err != nil {
			return err
		}
	}
	for range 3 {
		h, err := r.add("reports", 121, reportWork)
		if err != nil {
			return err
		}
		h.zone = "zone-b"
		h.register("ready")
		if err := h.writeSettings(); err != nil {
			return err
		}
	}
	fronts := r.hosts[:3]
	r.configure(1, route{reportRoute, "unsafe", "reports", reportTimeout, 0}, route{"/front/", "safe", "front", time.Second, 1})
	if err := r.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	platform := watchReadiness(r, fronts, stop)
	time.Sleep(4 * time.Second)
	var open sync.WaitGroup
	terms := &termTimes{at: map[*host]time.Time{}}
	for i, h := range fronts {
		open.Go(func() { reports(r, h, i, platform, terms, &open, stop) })
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, h := range fronts {
			open.Go(func() { restartPlanned(r, h, terms) })
			time.Sleep(rollGap)
		}
	}
	time.Sleep(9 * time.Second)
	close(stop)
	open.Wait()
	return nil
}

// termTimes holds when SIGTERM was sent to the node of each host.
type termTimes struct {
	mu sync.Mutex
	at map[*host]time.Time
}

func (t *termTimes) of(h *host) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at[h]
}

// restartPlanned stops a node with SIGTERM, kills it after the grace period if it
// still runs, and starts it again.
func restartPlanned(r *run, h *host, terms *termTimes) {
	terms.mu.Lock()
	terms.at[h] = time.Now()
	terms.mu.Unlock()
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(r.grace):
		h.kill()
	}
	r.record.line("platform the process of %s has ended, %.2f s after SIGTERM", h.name, time.Since(terms.of(h)).Seconds())
	if err := h.start(); err != nil {
		r.record.line("start %s: %v", h.name, err)
	}
}

// reports sends requests from the clients of a host, as long as they get work.
func reports(r *run, h *host, client int, platform *readiness, terms *termTimes, open *sync.WaitGroup, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if !platform.takes(h) {
			continue
		}
		id := fmt.Sprintf("r%d-%04d", client, n)
		open.Go(func() { report(r, h, id, terms) })
	}
}

func report(r *run, h *host, id string, terms *termTimes) {
	c, err := dialClient(h.client())
	if err != nil {
		return
	}
	defer func() { _ = c.nc.Close() }()
	if err := c.send("POST", reportRoute+id, id, reportLimit, strings.Repeat("x", 2000)); err != nil {
		return
	}
	sent := time.Now()
	a := c.receive("POST", time.Now().Add(reportLimit))
	r.record.line("answered %s at %s after %.2f s: status %d, complete %v, error %v", id, h.name, time.Since(sent).Seconds(), a.status, a.complete, a.err)
	if a.complete {
		return
	}
	term := terms.of(h)
	if r.ran(id) == 0 || term.IsZero() || time.Since(sent) >= reportTimeout {
		return
	}
	late := sent.Sub(term)
	ended := time.Since(term)
	// Excused: sent up to 3 s after SIGTERM and at work in the last sixth of the grace period.
	if late <= 3*time.Second && ended >= r.grace*5/6 {
		r.record.line("excused  %s, sent %.2f s after SIGTERM", id, late.Seconds())
		return
	}
	r.breaks("LOST: %s, sent %.2f s after SIGTERM of %s, was run and its connection ended %.2f s after SIGTERM without an answer: %v",
		id, late.Seconds(), h.name, ended.Seconds(), a.err)
}
