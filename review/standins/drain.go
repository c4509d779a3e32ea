package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drain-after-crash"] = drainAfterCrash }

const (
	// staleReads is the age of stale reads of the store.
	staleReads = 2 * time.Second
	// crashTime is how long the crashed backend is away, lapseTime how long its entry
	// stays: three intervals of the status report.
	crashTime = 4680 * time.Millisecond
	lapseTime = 4500 * time.Millisecond
	// drainTimeout is the bound drain-timeout, leaveTime the time from the report that a
	// backend drains to its end.
	drainTimeout = 2 * time.Second
	leaveTime    = 3 * time.Second
	// drainWork is the work on each request.
	drainWork = time.Second
)

// drainAfterCrash crashes a backend and starts it again under a new id. Seconds later
// it reports that it drains. Requests that clients send later than drain-timeout after
// the store has confirmed this must not reach it.
func drainAfterCrash(r *run) error {
	r.store.staleAge = staleReads
	for range 3 {
		if _, err := r.add("front", 40, 10*time.Millisecond); err != nil {
			return err
		}
	}
	for range 3 {
		if _, err := r.add("release", 121, drainWork); err != nil {
			return err
		}
	}
	r.configure(1, route{signoffRoute, "unsafe", "release", 5 * time.Second, 0}, route{"/front/", "safe", "front", time.Second, 1})
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	leaver := r.hosts[3]
	if r.trouble {
		if err := leaver.crashBackend(); err != nil {
			return err
		}
	} else {
		time.Sleep(crashTime)
	}
	time.Sleep(7 * time.Second)
	before := askAll(r, "before")
	used := 0
	for id := range before.byID {
		used += leaver.backend.ran()[id]
	}
	if used == 0 {
		return fmt.Errorf("the backend gets no requests before it drains")
	}
	time.Sleep(2 * time.Second)
	leaver.register("draining")
	confirmed := time.Now()
	r.record.line("store    confirms that %s is draining", leaver.backend.id)
	leave := time.AfterFunc(leaveTime, func() {
		r.record.line("server   %s leaves", leaver.backend.id)
		leaver.backend.close()
		r.store.remove("servers/" + leaver.backend.id)
	})
	defer leave.Stop()
	time.Sleep(drainTimeout + 100*time.Millisecond)
	r.record.line("clients  send %.2f s after the confirmation", time.Since(confirmed).Seconds())
	late := askAll(r, "late")
	reached, cut := 0, 0
	for id, a := range late.byID {
		if leaver.backend.ran()[id] == 0 {
			continue
		}
		reached++
		leaver.backend.mu.Lock()
		if leaver.backend.cut[id] {
			cut++
		}
		leaver.backend.mu.Unlock()
		r.record.line("reached  %s at the draining backend; its client got %d", id, a.status)
	}
	if reached > 0 {
		r.breaks("DRAIN: %d of %d requests sent later than drain-timeout reached the draining backend, %d were cut at work", reached, len(late.byID), cut)
	}
	return nil
}

// crashBackend crashes the backend of a host and starts it under a new id.
func (h *host) crashBackend() error {
	old := h.backend.id
	h.site.record.line("server   %s crashes", old)
	h.backend.close()
	time.Sleep(lapseTime)
	h.site.store.remove("servers/" + old)
	time.Sleep(crashTime - lapseTime)
	h.backend.id = "again-" + old
	if err := h.backend.listen(); err != nil {
		return err
	}
	h.born, h.sequence = time.Now().UnixMilli(), 0
	h.register("ready")
	h.site.record.line("server   is back as %s", h.backend.id)
	return nil
}

// askAll sends unsafe requests at all machines of the first service at once.
func askAll(r *run, name string) *results {
	const each = 8
	res := newResults()
	var clients sync.WaitGroup
	for i, h := range r.hosts[:3] {
		for n := range each {
			id := fmt.Sprintf("%s-%d-%d", name, i, n)
			clients.Go(func() { res.add(id, signoff(r, h, id)) })
		}
	}
	clients.Wait()
	return res
}
