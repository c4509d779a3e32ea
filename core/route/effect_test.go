package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/baseline"
	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/route"
)

// The scene of the comparison: one caller in zone a, three hosts in each of
// three zones, and 60% load over all hosts of the own zone.
const (
	sceneCalls   = 20_000
	sceneSlots   = 8
	sceneService = 5 * time.Millisecond
	sceneRemote  = 1500 * time.Microsecond // one way, to another zone
	sceneGap     = 350 * time.Microsecond  // mean time between calls
)

type sceneHost struct {
	member.Host
	service time.Duration
	dead    bool
	busy    []time.Duration // end of the work of each slot
}

type sceneResult struct {
	failed, remote float64 // shares of all calls
	p50, p99       time.Duration
}

type reply struct {
	at  time.Duration
	id  member.HostID
	out route.Outcome
}

type replies []reply

func (r replies) Len() int           { return len(r) }
func (r replies) Less(i, j int) bool { return r[i].at < r[j].at }
func (r replies) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *replies) Push(x any)        { *r = append(*r, x.(reply)) }
func (r *replies) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

// serve runs a call on a host and returns its outcome; reports count the calls
// at the host when the reply is made.
func (h *sceneHost) serve(now, network time.Duration) route.Outcome {
	if h.dead {
		return route.Outcome{Failed: true, Latency: time.Millisecond}
	}
	slot := 0
	running := 0
	for i, end := range h.busy {
		if end < h.busy[slot] {
			slot = i
		}
		if end > now {
			running++
		}
	}
	h.busy[slot] = max(h.busy[slot], now+network) + h.service
	latency := h.busy[slot] - now + network
	return route.Outcome{Latency: latency, Report: &route.Report{Running: running, Limit: sceneSlots}}
}

// playScene makes the calls and returns what the caller saw.
func playScene(build route.Builder, change func(hosts []*sceneHost)) sceneResult {
	source := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	r := build(route.Locality{Host: "self", Zone: "a", Region: "r"}, source.IntN)
	r.SetPolicy(start, &policy.Policy{Services: map[string]*policy.Service{"s": {Slots: sceneSlots, SubsetSize: 9}}})
	byID := map[member.HostID]*sceneHost{}
	var hosts []*sceneHost
	var listed []member.Host
	for i := range 9 {
		h := &sceneHost{
			Host:    member.Host{ID: member.HostID(fmt.Sprint("h", i)), Region: "r", Zone: []string{"a", "b", "c"}[i%3]},
			service: sceneService, busy: make([]time.Duration, sceneSlots),
		}
		byID[h.ID] = h
		hosts = append(hosts, h)
		listed = append(listed, h.Host)
	}
	change(hosts)
	r.SetHosts(start, "s", listed)

	var pending replies
	var latencies []time.Duration
	var result sceneResult
	now := time.Duration(0)
	for range sceneCalls {
		now += time.Duration(source.ExpFloat64() * float64(sceneGap))
		for len(pending) > 0 && pending[0].at <= now {
			p := heap.Pop(&pending).(reply)
			r.Done(start.Add(p.at), p.id, p.out)
		}
		choice, _ := r.Pick(start.Add(now), &call.Request{Service: "s"}, nil)
		h := byID[choice.Host.ID]
		network := time.Duration(0)
		if h.Zone != "a" {
			network = sceneRemote
			result.remote += 1.0 / sceneCalls
		}
		r.Sent(start.Add(now), h.ID)
		out := h.serve(now, network)
		heap.Push(&pending, reply{now + out.Latency, h.ID, out})
		if out.Failed {
			result.failed += 1.0 / sceneCalls
			continue
		}
		latencies = append(latencies, out.Latency)
	}
	slices.Sort(latencies)
	result.p50 = latencies[len(latencies)/2]
	result.p99 = latencies[len(latencies)*99/100]
	return result
}

// Guards the router against doing worse than taking all hosts in turn; the
// figures in docs/mechanism-routing.md come from here.
func TestRouterAgainstRoundRobin(t *testing.T) {
	for _, scene := range []struct {
		name   string
		change func(hosts []*sceneHost)
	}{
		{"all well", func([]*sceneHost) {}},
		{"one host of the own zone fails at once", func(hosts []*sceneHost) { hosts[0].dead = true }},
		{"one host of the own zone is ten times slower", func(hosts []*sceneHost) { hosts[0].service *= 10 }},
		{"own zone fails", func(hosts []*sceneHost) { hosts[0].dead, hosts[3].dead, hosts[6].dead = true, true, true }},
	} {
		plain := playScene(baseline.NewRoundRobin, scene.change)
		chosen := playScene(route.New, scene.change)
		t.Logf("%s: round-robin %+v, router %+v", scene.name, plain, chosen)
		assert.LessOrEqual(t, chosen.failed, plain.failed/4, scene.name)
		assert.LessOrEqual(t, chosen.p99, plain.p99, scene.name)
		assert.LessOrEqual(t, chosen.p50, plain.p50, scene.name)
	}
}

// Guards against subsets that leave hosts without callers.
func TestSubsetsSpreadOverHosts(t *testing.T) {
	const callers, hostCount = 900, 33
	zones := []string{"a", "b", "c"}
	var listed []member.Host
	for i := range hostCount {
		listed = append(listed, member.Host{ID: member.HostID(fmt.Sprint("h", i)), Region: "r", Zone: zones[i%3]})
	}
	counts := map[member.HostID]int{}
	total := 0
	for i := range callers {
		self := route.Locality{Host: member.HostID(fmt.Sprint("c", i)), Zone: zones[i%3], Region: "r"}
		r := route.New(self, rand.New(rand.NewPCG(1, 1)).IntN)
		r.SetHosts(time.Time{}, "s", listed)
		var tried []member.HostID
		for {
			c, ok := r.Pick(time.Time{}, &call.Request{Service: "s"}, tried)
			if !ok || c.Reason == route.OutsideSubset {
				break
			}
			tried = append(tried, c.Host.ID)
			counts[c.Host.ID]++
			total++
		}
	}
	least, most := callers, 0
	for _, h := range listed {
		least, most = min(least, counts[h.ID]), max(most, counts[h.ID])
	}
	mean := float64(total) / hostCount
	t.Logf("callers per host: mean %.1f, least %d, most %d", mean, least, most)
	assert.Equal(t, callers*policy.DefaultSubsetSize, total)
	assert.Greater(t, float64(least), 0.75*mean)
	assert.Less(t, float64(most), 1.25*mean)
}
