package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["outcome-after-restart"] = outcomeAfterRestart }

const (
	// restartDelay is the time after which the platform starts a process again that
	// was killed.
	restartDelay = 100 * time.Millisecond
	// freezeTime is how long the machine is frozen.
	freezeTime = time.Second
)

// results holds what the clients of a case were answered.
type results struct {
	mu       sync.Mutex
	byID     map[string]answer
	statuses map[int]int
}

func newResults() *results { return &results{byID: map[string]answer{}, statuses: map[int]int{}} }

func (r *results) add(id string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = a
	r.statuses[a.status]++
}

// outcomeAfterRestart kills the node in front of one backend while it runs unsafe
// requests and freezes the process that follows it for freezeTime.
func outcomeAfterRestart(r *run) error {
	for range 7 {
		if _, err := r.add("front", 40, 10*time.Millisecond); err != nil {
			return err
		}
	}
	for range 3 {
		if _, err := r.add("release", 121, 210*time.Millisecond); err != nil {
			return err
		}
	}
	r.configure(1, route{signoffRoute, "unsafe", "release", 5 * time.Second, 0}, route{"/front/", "safe", "front", time.Second, 1})
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	res := newResults()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, h := range r.hosts[:7] {
		clients.Go(func() { signoffs(r, h, i, 60*time.Millisecond, res, stop) })
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		target := r.hosts[7]
		target.kill()
		time.Sleep(restartDelay)
		if err := target.start(); err != nil {
			return err
		}
		if err := awaitListening(addr(target.ip, peersPort)); err != nil {
			return err
		}
		target.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		target.signal(syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	checkOnce(r, r.hosts[7:], res)
	return nil
}

// signoffs sends unsafe requests at an interval, each on a connection of its own, as
// clients do that don't wait for one another.
func signoffs(r *run, h *host, client int, every time.Duration, res *results, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		id := fmt.Sprintf("c%d-%05d", client, n)
		open.Go(func() { res.add(id, signoff(r, h, id)) })
	}
}

func signoff(r *run, h *host, id string) answer {
	const limit = 5 * time.Second
	c, err := dialClient(h.client())
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.nc.Close() }()
	r.record.line("sent     %s to %s", id, h.name)
	if err := c.send("POST", signoffRoute+id, id, limit, strings.Repeat("x", 2000)); err != nil {
		return answer{err: err}
	}
	a := c.receive("POST", time.Now().Add(limit))
	r.record.line("answered %s: status %d, complete %v, error %v", id, a.status, a.complete, a.err)
	return a
}

// awaitListening waits until a process listens at an address.
func awaitListening(address string) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = nc.Close()
			return nil
		}
		time.Sleep(100 * time.Microsecond)
	}
	return fmt.Errorf("nothing listens at %s", address)
}

// checkOnce checks that no unsafe request ran twice, and that none that was answered
// with a promise has run.
func checkOnce(r *run, hosts []*host, res *results) {
	total := map[string]int{}
	for _, h := range hosts {
		for id, n := range h.backend.ran() {
			total[id] += n
		}
	}
	res.mu.Lock()
	defer res.mu.Unlock()
	r.record.line("%d requests answered, by status (0: none): %v; %d ran", len(res.byID), res.statuses, len(total))
	fmt.Printf("%d requests, by status %v; %d ran\n", len(res.byID), res.statuses, len(total))
	for id, n := range total {
		a := res.byID[id]
		if n > 1 {
			r.breaks("TWICE: %s ran %d times (answered %d)", id, n, a.status)
		}
		switch a.status {
		case 408, 421, 429, 503:
			r.breaks("REFUSED: %s was answered %d and has run", id, a.status)
		}
	}
}
