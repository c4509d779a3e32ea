package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxCut is the longest cut of a machine from the store (core_cut on the site).
	maxCut = 5500 * time.Millisecond
	// readTimeout is when the node has given up a read that is held.
	readTimeout = 1250 * time.Millisecond
	// stability is stability-window.
	stability = 3 * time.Second
	// leaveAfter is the time from the node's first read after the cut until the backend
	// leaves.
	leaveAfter = 150 * time.Millisecond
	// stayFor is how long the backend serves on after it has left: drain-timeout and a
	// little longer. Then it ends.
	stayFor = 2500 * time.Millisecond
	// cutbackRate is the number of requests a second of the clients of the host.
	cutbackRate = 80
)

// cutBack: one machine is partitioned from the store for some seconds. Soon after it is
// back, the backend beside it leaves: its entry is removed, and it serves on.
func cutBack(e *env) (result, error) {
	cfg := BackendConfig{
		Slots: 91, Queue: 144,
		Work:   func(*http.Request) time.Duration { return 600 * time.Millisecond },
		Answer: func(*http.Request) (int, []byte) { return http.StatusOK, []byte("answer") },
	}
	proxy, err := NewProxy(e.site.Store.Address)
	if err != nil {
		return noRun, err
	}
	defer proxy.Close()
	e.site.storeFor = func(n int) string {
		if n == 1 {
			return proxy.Address
		}
		return e.site.Store.Address
	}
	host, err := e.site.AddHost("batchlog", "vl-a", cfg)
	if err != nil {
		return noRun, err
	}
	for range 3 { // other hosts of the service
		if _, err := e.site.AddHost("batchlog", "vl-a", cfg); err != nil {
			return noRun, err
		}
	}
	e.site.Configure(7, []Route{{Prefix: "/signoff/", Kind: "unsafe", Service: "batchlog", Timeout: "1200ms", Target: "1500ms", Priority: 0}}, nil)
	if err := e.site.AwaitReady(); err != nil {
		return noRun, err
	}
	sentAt := map[string]time.Time{}
	counts, answers := map[string]int{}, map[string]string{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / cutbackRate):
			}
			clients.Go(func() {
				id := newID()
				c, err := dial(host.Callers())
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				_, _ = io.WriteString(c, head("POST", "/signoff/1", id, 5*time.Second, 4)+"body")
				s := readAnswer(e, bufio.NewReader(c), id)
				mu.Lock()
				counts[s]++
				answers[id] = s
				mu.Unlock()
			})
		}
	}()
	time.Sleep(2 * time.Second)
	leaving := host.Backend
	var healed time.Time
	if e.trouble {
		e.rec.Line("%s is cut off from the store", host.Name)
		proxy.SetCut(true)
		started := time.Now()
		time.Sleep(2 * time.Second)
		drainCalls(proxy)
		// The cut ends between two reads of the node.
		if !awaitCall(proxy, true, 2200*time.Millisecond) {
			return noRun, errors.New("the node made no read during the cut")
		}
		time.Sleep(readTimeout)
		proxy.SetCut(false)
		healed = time.Now()
		e.rec.Line("%s reaches the store again after %v", host.Name, healed.Sub(started).Round(time.Millisecond))
		if healed.Sub(started) > maxCut {
			return noRun, errors.New("the cut took too long")
		}
		drainCalls(proxy)
		if !awaitCall(proxy, false, 5*time.Second) {
			return noRun, errors.New("the node made no read after the cut")
		}
		e.rec.Line("%s reads the entries again, %v after the cut", host.Name, time.Since(healed).Round(time.Millisecond))
		time.Sleep(leaveAfter)
	}
	leaving.Unregister()
	confirmed := time.Now()
	e.rec.Line("backend %s of %s leaves: its entry is removed, the store has confirmed it", leaving.cfg.ID, host.Name)
	time.Sleep(time.Until(confirmed.Add(stayFor)))
	runs := leaving.Runs()
	leaving.Close()
	e.rec.Line("backend %s ends", leaving.cfg.ID)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	late, lost := 0, 0
	var latest time.Duration
	for _, r := range runs {
		after := r.Arrived.Sub(confirmed)
		mu.Lock()
		sent, answer := sentAt[r.ID], answers[r.ID]
		mu.Unlock()
		if after <= drainBound || sent.Sub(healed) <= stability {
			continue
		}
		late++
		latest = max(latest, after)
		if answer != "200" {
			lost++
		}
		e.rec.Line("request %s, sent %v after the end of the cut, reached the backend %v after the confirmation; answer: %s", r.ID,
			sent.Sub(healed).Round(time.Millisecond), after.Round(time.Millisecond), answer)
	}
	e.rec.Line("answers: %v", counts)
	e.rec.Print("DRAIN: %d requests reached the backend later than %v after the confirmation, taken by a machine in touch; the last one after %v; %d of them were lost", late, drainBound, latest.Round(time.Millisecond), lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

func drainCalls(p *Proxy) {
	for {
		select {
		case <-p.listCalls:
		default:
			return
		}
	}
}

func awaitCall(p *Proxy, cut bool, limit time.Duration) bool {
	timeout := time.After(limit)
	for {
		select {
		case c := <-p.listCalls:
			if c.cut == cut {
				return true
			}
		case <-timeout:
			return false
		}
	}
}
