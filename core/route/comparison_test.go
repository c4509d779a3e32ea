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

// Scenario of the comparison: one node in zone a that makes calls, three hosts in each of
// three zones, and 60% load over all hosts of the local zone.
const (
	scenarioCalls       = 20_000
	scenarioSlots       = 8
	scenarioServiceTime = 5 * time.Millisecond
	scenarioRemoteDelay = 1500 * time.Microsecond // one way, to another zone
	scenarioMeanGap     = 350 * time.Microsecond  // mean time between calls
)

type simulatedHost struct {
	member.Host
	service time.Duration
	dead    bool
	busy    []time.Duration // time at which each slot becomes free
}

type scenarioResult struct {
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

// serve runs a call on a host and returns its outcome. The report counts the
// calls at the host when the reply is made.
func (h *simulatedHost) serve(now, network time.Duration) route.Outcome {
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
	return route.Outcome{Latency: latency, Report: &route.Report{Running: running, Limit: scenarioSlots}}
}

// runScenario makes the calls and returns the results that the node observes.
func runScenario(build route.Builder, change func(hosts []*simulatedHost)) scenarioResult {
	source := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	r := build(route.Locality{Host: "self", Zone: "a", Region: "r"}, source.IntN)
	r.SetPolicy(start, &policy.Policy{Services: map[string]*policy.Service{"s": {Slots: scenarioSlots, SubsetSize: 9}}})
	byID := map[member.HostID]*simulatedHost{}
	var hosts []*simulatedHost
	var listed []member.Host
	for i := range 9 {
		h := &simulatedHost{
			Host:    member.Host{ID: member.HostID(fmt.Sprint("h", i)), Region: "r", Zone: []string{"a", "b", "c"}[i%3]},
			service: scenarioServiceTime, busy: make([]time.Duration, scenarioSlots),
		}
		byID[h.ID] = h
		hosts = append(hosts, h)
		listed = append(listed, h.Host)
	}
	change(hosts)
	r.SetHosts(start, "s", listed)

	var pending replies
	var latencies []time.Duration
	var result scenarioResult
	now := time.Duration(0)
	for range scenarioCalls {
		now += time.Duration(source.ExpFloat64() * float64(scenarioMeanGap))
		for len(pending) > 0 && pending[0].at <= now {
			p := heap.Pop(&pending).(reply)
			r.OnDone(start.Add(p.at), p.id, p.out)
		}
		choice, _ := r.Pick(start.Add(now), &call.Request{Service: "s"}, nil)
		h := byID[choice.Host.ID]
		network := time.Duration(0)
		if h.Zone != "a" {
			network = scenarioRemoteDelay
			result.remote += 1.0 / scenarioCalls
		}
		r.OnSent(start.Add(now), h.ID)
		out := h.serve(now, network)
		heap.Push(&pending, reply{now + out.Latency, h.ID, out})
		if out.Failed {
			result.failed += 1.0 / scenarioCalls
			continue
		}
		latencies = append(latencies, out.Latency)
	}
	slices.Sort(latencies)
	result.p50 = latencies[len(latencies)/2]
	result.p99 = latencies[len(latencies)*99/100]
	return result
}

// Guards against a router that does worse than round robin over all hosts; the
// figures in docs/mechanism-routing.md come from this test.
func TestRouterAgainstRoundRobin(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		change func(hosts []*simulatedHost)
	}{
		{"all hosts healthy", func([]*simulatedHost) {}},
		{"one host of the local zone fails at once", func(hosts []*simulatedHost) { hosts[0].dead = true }},
		{"one host of the local zone is ten times slower", func(hosts []*simulatedHost) { hosts[0].service *= 10 }},
		{"local zone fails", func(hosts []*simulatedHost) { hosts[0].dead, hosts[3].dead, hosts[6].dead = true, true, true }},
	} {
		roundRobin := runScenario(baseline.NewRoundRobin, scenario.change)
		routed := runScenario(route.New, scenario.change)
		t.Logf("%s: round-robin %+v, router %+v", scenario.name, roundRobin, routed)
		assert.LessOrEqual(t, routed.failed, roundRobin.failed/4, scenario.name)
		assert.LessOrEqual(t, routed.p99, roundRobin.p99, scenario.name)
		assert.LessOrEqual(t, routed.p50, roundRobin.p50, scenario.name)
	}
}

// Guards against subsets that leave hosts without nodes that call them.
func TestSubsetsSpreadOverHosts(t *testing.T) {
	const nodes, hostCount = 900, 33
	zones := []string{"a", "b", "c"}
	var listed []member.Host
	for i := range hostCount {
		listed = append(listed, member.Host{ID: member.HostID(fmt.Sprint("h", i)), Region: "r", Zone: zones[i%3]})
	}
	counts := map[member.HostID]int{}
	total := 0
	for i := range nodes {
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
	least, most := nodes, 0
	for _, h := range listed {
		least, most = min(least, counts[h.ID]), max(most, counts[h.ID])
	}
	mean := float64(total) / hostCount
	t.Logf("nodes per host: mean %.1f, least %d, most %d", mean, least, most)
	assert.Equal(t, nodes*policy.DefaultSubsetSize, total)
	assert.Greater(t, float64(least), 0.75*mean)
	assert.Less(t, float64(most), 1.25*mean)
}
