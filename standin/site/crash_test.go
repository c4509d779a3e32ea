package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// stabilityWindow is the users' stability-window, and lateRetries the retries that
	// their pages allow later than that after the third crash.
	stabilityWindow = 3 * time.Second
	lateRetries     = 3
	// leastCrashGap and crashGaps bound the pause between two crashing requests.
	leastCrashGap = 50 * time.Millisecond
	crashGaps     = 600 * time.Millisecond
)

// disturbances records when faults began and ended at each host.
type disturbances struct {
	mu     sync.Mutex
	active map[*Host]int
	last   map[*Host]time.Time
}

// during runs a fault at hosts.
func (d *disturbances) during(hosts []*Host, fault func()) {
	d.add(hosts, 1)
	defer d.add(hosts, -1)
	fault()
}

func (d *disturbances) add(hosts []*Host, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active, d.last = map[*Host]int{}, map[*Host]time.Time{}
	}
	for _, h := range hosts {
		d.active[h] += n
		d.last[h] = time.Now()
	}
}

// inTouch reports whether a host has been without faults for stabilityWindow.
func (d *disturbances) inTouch(h *Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[h] == 0 && time.Since(d.last[h]) > stabilityWindow
}

// crashingClient repeats one request that crashes upstreams, at one host of a service
// after the other.
type crashingClient struct {
	clients *clients
	hosts   []*Host
	path    string
	pauses  *rand.Rand

	mu      sync.Mutex
	inTouch map[string]bool // by request ID: sent by a host in touch
}

func newCrashingClient(c *clients, seed uint64) *crashingClient {
	k := &crashingClient{clients: c, pauses: rand.New(rand.NewPCG(seed, 4)), inTouch: map[string]bool{}}
	k.path = fmt.Sprintf("%s%d", CrashPrefix, seed)
	for _, h := range c.run.site.Hosts {
		if h.Service.Name == "front" {
			k.hosts = append(k.hosts, h)
		}
	}
	return k
}

// loop sends requests until the clients stop.
func (k *crashingClient) loop() {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; k.clients.ctx.Err() == nil; n++ {
		h := k.hosts[n%len(k.hosts)]
		sentInTouch := k.clients.run.disturbed.inTouch(h)
		open.Go(func() {
			a := k.clients.do(transport, h, k.path, "")
			k.mu.Lock()
			defer k.mu.Unlock()
			k.inTouch[a.ID] = sentInTouch
		})
		time.Sleep(leastCrashGap + time.Duration(k.pauses.Int64N(int64(crashGaps))))
	}
}

// check asserts the bound on crashes later than stabilityWindow after the third.
func (k *crashingClient) check() {
	var crashes []Crash
	for _, c := range k.clients.run.site.Crashes() {
		if c.Path == k.path {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	late := 0
	for i, c := range crashes {
		if i >= 3 && c.At.Sub(crashes[2].At) > stabilityWindow && k.inTouch[c.RequestID] {
			late++
		}
	}
	assert.LessOrEqual(k.clients.run.t, late, lateRetries, "crashes by one request: %v", crashes)
	k.clients.run.t.Logf("%d crashes by one request, %d late", len(crashes), late)
}
