package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// staleLags is the age of stale reads of the store, by case; zero if not named.
var staleLags = map[string]time.Duration{"restarted-server-drains": 2 * time.Second}

func constant(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

func small(*http.Request) []byte { return []byte("the server's bytes") }

const (
	drainTimeout   = 2 * time.Second
	clientLimit    = 5 * time.Second
	gracePeriod    = 6 * time.Second
	startLimit     = 20 * time.Second
	crashTime      = 4680 * time.Millisecond
	leaveAfter     = 3 * time.Second // drain-timeout and a little longer
	beforeRequests = 100 * time.Millisecond
)

// restartedServerDrains: a server crashes, comes back under a new id and, seconds
// later, reports that it drains. Requests that clients send later than drain-timeout
// after the confirmation must not reach it.
func restartedServerDrains(s *site, trouble bool) (int, error) {
	var fronts []*machine
	for range 3 {
		m, err := s.add("front", constant(20*time.Millisecond), small)
		if err != nil {
			return 0, err
		}
		fronts = append(fronts, m)
	}
	var deep []*machine
	for range 3 {
		m, err := s.add("deep", constant(time.Second), small)
		if err != nil {
			return 0, err
		}
		deep = append(deep, m)
	}
	s.configure(route{"signoff", "/a/", "unsafe", "deep", "1200ms"}, route{"other", "/f/", "safe", "front", "1000ms"})
	if err := s.awaitReady(startLimit); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	leaver := deep[0].server
	s.log("machines are ready; server %s beside %s", leaver.id, deep[0].name)
	if trouble {
		leaver.crash()
		s.log("server %s crashes", leaver.id)
	}
	time.Sleep(crashTime)
	if trouble {
		if err := leaver.start(); err != nil {
			return 0, err
		}
		s.log("the server is back as %s", leaver.id)
	}
	// All machines use the three servers again.
	time.Sleep(7 * time.Second)
	warm := s.askAll(fronts, 8)
	if n := len(runsOf(leaver, leaver.id, warm)); n == 0 {
		return 0, fmt.Errorf("the server got none of %d requests before it drains", len(warm))
	}
	time.Sleep(2 * time.Second)
	confirmed := leaver.register("draining")
	s.log("the store confirms that %s is draining", leaver.id)
	leave := time.AfterFunc(time.Until(confirmed.Add(leaveAfter)), func() {
		s.log("server %s leaves", leaver.id)
		leaver.leave()
	})
	defer leave.Stop()
	time.Sleep(time.Until(confirmed.Add(drainTimeout + beforeRequests)))
	late := s.askAll(fronts, 8)
	time.Sleep(time.Second)
	count, cut := 0, 0
	for _, r := range runsOf(leaver, leaver.id, late) {
		count++
		s.log("request %s reached the leaving server %.3f s after the confirmation: %s; its client got: %s",
			r.id, r.at.Sub(confirmed).Seconds(), r.end, late[r.id])
		if r.end == "cut" {
			cut++
		}
	}
	s.log("%d of %d requests sent later than drain-timeout reached the leaving server; %d were cut at work", count, len(late), cut)
	if count > 0 {
		return broken, nil
	}
	return held, nil
}

// askAll sends requests to all machines at once and returns the answers by id.
func (s *site) askAll(machines []*machine, each int) map[string]answer {
	var mu sync.Mutex
	var clients sync.WaitGroup
	out := map[string]answer{}
	for _, m := range machines {
		for range each {
			clients.Go(func() {
				id := randomID()
				sent := time.Now()
				a := ask(m, http.MethodPost, "/a/"+id, id, clientLimit)
				mu.Lock()
				defer mu.Unlock()
				out[id] = a
				s.log("request %s sent to %s %.3f s ago: %s", id, m.name, time.Since(sent).Seconds(), a)
			})
		}
	}
	clients.Wait()
	return out
}

// runsOf returns the runs of the given requests at one lifetime of a server.
func runsOf(s *server, instance string, requests map[string]answer) []run {
	var out []run
	for _, r := range s.all() {
		if _, ok := requests[r.id]; ok && r.instance == instance {
			out = append(out, r)
		}
	}
	return out
}

const (
	answerSize    = 30_000 // the largest of a sign-off
	receiveBuffer = 8 << 10
	readPause     = 2500 * time.Millisecond
	slowClients   = 8
	lostAllowed   = 3
)

// slowReader: clients on kept connections pause before they read the answers to
// requests that may run once only, well within their time limit. Each must still get
// its answer.
func slowReader(s *site, trouble bool) (int, error) {
	front, err := s.add("front", constant(20*time.Millisecond), small)
	if err != nil {
		return 0, err
	}
	large := func(r *http.Request) []byte {
		if r.URL.Path != "/d/large" {
			return small(r)
		}
		return make([]byte, answerSize)
	}
	deep, err := s.add("deep", constant(50*time.Millisecond), large)
	if err != nil {
		return 0, err
	}
	s.configure(route{"signoff", "/d/", "unsafe", "deep", "1200ms"}, route{"other", "/f/", "safe", "front", "1000ms"})
	if err := s.awaitReady(startLimit); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	pause := time.Duration(0)
	if trouble {
		pause = readPause
	}
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	for range slowClients {
		clients.Go(func() {
			if s.readSlowly(front, deep, pause) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost++
		})
	}
	clients.Wait()
	s.log("%d of %d requests on kept connections that a sound server ran got no complete answer; allowed %d", lost, slowClients, lostAllowed)
	if lost > lostAllowed {
		return broken, nil
	}
	return held, nil
}

// readSlowly makes two requests on one connection and pauses before it reads the
// answer to the second. It reports whether that answer came, or the request didn't
// run.
func (s *site) readSlowly(front, deep *machine, pause time.Duration) bool {
	c, err := dial(front.outbound, receiveBuffer)
	if err != nil {
		s.log("no connection: %v", err)
		return true
	}
	defer func() { _ = c.nc.Close() }()
	first, second := randomID(), randomID()
	_ = c.send(http.MethodPost, "/d/1", first, "", clientLimit)
	a := c.read(clientLimit)
	s.log("first request %s: %s", first, a)
	if a.err != nil || a.status != http.StatusOK {
		return true
	}
	sent := time.Now()
	_ = c.send(http.MethodPost, "/d/large", second, "", clientLimit)
	time.Sleep(pause)
	a = c.read(clientLimit)
	ran := ""
	for _, r := range deep.server.all() {
		if r.id == second {
			ran = r.end
		}
	}
	s.log("request %s after a pause of %v, %.3f s after it was sent: %s; at the server: %s", second, pause, time.Since(sent).Seconds(), a, ran)
	return a.err == nil || ran == ""
}

const (
	pipelines   = 8
	firstWork   = 400 * time.Millisecond
	secondWork  = 900 * time.Millisecond
	stopAfter   = 150 * time.Millisecond
	calmBefore  = 4 * time.Second
	routeLimit  = 3 * time.Second
	answerLimit = 4 * time.Second
)

// pipelinedStop: clients have two safe requests each in progress on a connection when
// the node of their machine gets SIGTERM. Both have been passed on to servers, so that
// both must be answered.
func pipelinedStop(s *site, trouble bool) (int, error) {
	front, err := s.add("front", constant(20*time.Millisecond), small)
	if err != nil {
		return 0, err
	}
	work := func(r *http.Request) time.Duration {
		if r.URL.Path == "/a/second" {
			return secondWork
		}
		return firstWork
	}
	var deep []*machine
	for range 2 {
		m, err := s.add("deep", work, small)
		if err != nil {
			return 0, err
		}
		deep = append(deep, m)
	}
	s.configure(route{"reads", "/a/", "safe", "deep", "3000ms"}, route{"other", "/f/", "safe", "front", "1000ms"})
	if err := s.awaitReady(startLimit); err != nil {
		return 0, err
	}
	time.Sleep(calmBefore)
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	for range pipelines {
		clients.Go(func() {
			c, err := dial(front.outbound, 0)
			if err != nil {
				s.log("no connection: %v", err)
				return
			}
			defer func() { _ = c.nc.Close() }()
			first, second := randomID(), randomID()
			_ = c.send(http.MethodGet, "/a/first", first, "", clientLimit)
			_ = c.send(http.MethodGet, "/a/second", second, "", clientLimit)
			a := c.read(answerLimit)
			s.log("first request %s: %s", first, a)
			b := c.read(answerLimit)
			time.Sleep(100 * time.Millisecond)
			ran := ""
			for _, m := range deep {
				for _, r := range m.server.all() {
					if r.id == second {
						ran = fmt.Sprintf("passed on to %s, %s", m.name, r.end)
					}
				}
			}
			s.log("second request %s: %s; %s", second, b, ran)
			if b.err != nil && ran != "" {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	time.Sleep(stopAfter)
	if trouble {
		s.log("SIGTERM to %s", front.name)
		front.signal(syscall.SIGTERM)
	}
	clients.Wait()
	s.log("%d of %d requests that had been passed on to a server ended without an answer", lost, pipelines)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

const (
	downloads     = 4 // before the SIGTERM, and as many after it
	downloadSize  = 1 << 20
	downloadWork  = 900 * time.Millisecond
	downloadPace  = 3300 * time.Millisecond
	sentBefore    = 200 * time.Millisecond
	sentAfter     = 500 * time.Millisecond
	downloadLimit = 5 * time.Second
)

// downloadStop: clients fetch large answers when the node of their machine gets
// SIGTERM. The servers end their answers before the last sixth of the grace period,
// so that all of them must be complete.
func downloadStop(s *site, trouble bool) (int, error) {
	front, err := s.add("front", constant(20*time.Millisecond), small)
	if err != nil {
		return 0, err
	}
	var deep []*machine
	for range 2 {
		m, err := s.add("deep", constant(downloadWork), func(*http.Request) []byte { return make([]byte, downloadSize) })
		if err != nil {
			return 0, err
		}
		m.server.pace = downloadPace
		deep = append(deep, m)
	}
	s.configure(route{"files", "/a/", "download", "deep", "5000ms"}, route{"other", "/f/", "safe", "front", "1000ms"})
	if err := s.awaitReady(startLimit); err != nil {
		return 0, err
	}
	time.Sleep(calmBefore)
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	fetch := func(when string) {
		clients.Go(func() {
			id := randomID()
			sent := time.Now()
			a := ask(front, http.MethodGet, "/a/"+id, id, downloadLimit)
			s.log("request %s, sent %s the SIGTERM: %s after %.3f s", id, when, a, time.Since(sent).Seconds())
			if a.err == nil {
				return
			}
			for _, m := range deep {
				if len(runsOf(m.server, m.server.id, map[string]answer{id: a})) > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	for range downloads {
		fetch("before")
	}
	time.Sleep(sentBefore)
	if trouble {
		s.log("SIGTERM to %s", front.name)
		front.signal(syscall.SIGTERM)
	}
	time.Sleep(sentAfter)
	for range downloads {
		fetch("after")
	}
	clients.Wait()
	s.log("%d of %d requests that had been passed on to a server ended without a complete answer", lost, 2*downloads)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

const (
	kills        = 32
	betweenKills = 2400 * time.Millisecond
	restartDelay = 100 * time.Millisecond
	freezeWithin = 100 * time.Millisecond // after the node listens, at random
	frozenFor    = 550 * time.Millisecond
	askers       = 8 // clients of each machine
)

// killThenFreeze: the node beside a server is killed and started again, and then its
// machine freezes for half a second. Requests that may run once only are in progress
// there. None may run twice.
func killThenFreeze(s *site, trouble bool) (int, error) {
	var fronts []*machine
	for range 3 {
		m, err := s.add("front", constant(20*time.Millisecond), small)
		if err != nil {
			return 0, err
		}
		fronts = append(fronts, m)
	}
	var deep []*machine
	for range 2 {
		m, err := s.add("deep", constant(300*time.Millisecond), small)
		if err != nil {
			return 0, err
		}
		deep = append(deep, m)
	}
	s.configure(route{"signoff", "/a/", "unsafe", "deep", "1200ms"}, route{"other", "/f/", "safe", "front", "1000ms"})
	if err := s.awaitReady(startLimit); err != nil {
		return 0, err
	}
	time.Sleep(calmBefore)
	stop := make(chan struct{})
	var mu sync.Mutex
	answers := map[string]answer{}
	var clients sync.WaitGroup
	for _, m := range fronts {
		for range askers {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					id := randomID()
					a := ask(m, http.MethodPost, "/a/"+id, id, clientLimit)
					mu.Lock()
					answers[id] = a
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	for range kills {
		time.Sleep(betweenKills)
		if !trouble {
			continue
		}
		if err := killAndFreeze(s, deep[0]); err != nil {
			return 0, err
		}
	}
	time.Sleep(betweenKills)
	close(stop)
	clients.Wait()
	return s.judgeTwice(answers, deep), nil
}

// killAndFreeze kills a node and starts it again after restartDelay. At a random time
// within freezeWithin after it has begun to listen, its machine freezes once.
func killAndFreeze(s *site, m *machine) error {
	s.log("SIGKILL to %s", m.name)
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(restartDelay)
	if err := m.startNode(); err != nil {
		return err
	}
	if err := m.awaitListening(); err != nil {
		return err
	}
	after := time.Duration(rand.Int64N(int64(freezeWithin)))
	time.Sleep(after)
	m.signal(syscall.SIGSTOP)
	s.log("%s freezes %.0f ms after it listens, for %v", m.name, after.Seconds()*1000, frozenFor)
	time.Sleep(frozenFor)
	m.signal(syscall.SIGCONT)
	return nil
}

// judgeTwice counts the requests that more than one server began to work on.
func (s *site) judgeTwice(answers map[string]answer, servers []*machine) int {
	byID := map[string][]string{}
	for _, m := range servers {
		for _, r := range m.server.all() {
			byID[r.id] = append(byID[r.id], fmt.Sprintf("%s at %.3f s (%s)", m.name, r.at.Sub(s.began).Seconds(), r.end))
		}
	}
	twice := 0
	for id, runs := range byID {
		if len(runs) > 1 {
			twice++
			s.log("request %s ran %d times: %v; its client got: %s", id, len(runs), runs, answers[id])
		}
	}
	s.log("%d of %d requests ran more than once", twice, len(byID))
	if twice > 0 {
		return broken
	}
	return held
}
