package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
)

const testService = "ledger"

var testNow = time.Unix(1_700_000_000, 0)

// hostsInZones returns n hosts, assigned to the zones in turn.
func hostsInZones(n int, names ...string) []member.Host {
	hosts := make([]member.Host, n)
	for i := range hosts {
		hosts[i] = member.Host{
			ID: member.HostID(fmt.Sprintf("h%03d", i)), Region: "r",
			Zone: names[i%len(names)], Service: testService, Incarnation: 1,
		}
	}
	return hosts
}

func newRouter(seed uint64) *router {
	source := rand.New(rand.NewPCG(seed, 1))
	self := Locality{Host: "self", Zone: "a", Region: "r"}
	return New(self, source.IntN).(*router)
}

func newRouterWithHosts(seed uint64, hosts []member.Host) *router {
	r := newRouter(seed)
	r.SetPolicy(testNow, &policy.Policy{Services: map[string]*policy.Service{
		testService: {Slots: 10, SubsetSize: 8, ColdStart: 5 * time.Second},
	}})
	r.SetHosts(testNow, testService, hosts)
	return r
}

func pick(t *testing.T, r *router, now time.Time, exclude ...member.HostID) Choice {
	t.Helper()
	c, ok := r.Pick(now, &call.Request{Service: testService}, exclude)
	require.True(t, ok)
	return c
}

// runCalls makes n calls, one each millisecond, that end at once with the
// outcome of their host, and counts them by host.
func runCalls(t *testing.T, r *router, start time.Time, n int, out func(member.Host) Outcome) map[member.HostID]int {
	t.Helper()
	counts := map[member.HostID]int{}
	for i := range n {
		now := start.Add(time.Duration(i) * time.Millisecond)
		h := pick(t, r, now).Host
		counts[h.ID]++
		r.OnSent(now, h.ID)
		r.OnDone(now, h.ID, out(h))
	}
	return counts
}

func succeed(member.Host) Outcome { return Outcome{Latency: 5 * time.Millisecond} }

func failingHosts(ids ...member.HostID) func(member.Host) Outcome {
	return func(h member.Host) Outcome {
		for _, id := range ids {
			if h.ID == id {
				return Outcome{Failed: true}
			}
		}
		return succeed(h)
	}
}

// Guards against choices that are not reproducible from the seed.
func TestSameSeedSameChoices(t *testing.T) {
	trace := func(order int) (ids []member.HostID) {
		hosts := hostsInZones(20, "a", "b", "c")
		rand.New(rand.NewPCG(uint64(order), 2)).Shuffle(len(hosts), func(i, j int) {
			hosts[i], hosts[j] = hosts[j], hosts[i]
		})
		r := newRouterWithHosts(7, hosts)
		for i := range 500 {
			now := testNow.Add(time.Duration(i) * time.Millisecond)
			h := pick(t, r, now).Host
			r.OnSent(now, h.ID)
			if i%3 > 0 {
				r.OnDone(now, h.ID, failingHosts("h003", "h006")(h))
			}
			ids = append(ids, h.ID)
		}
		return ids
	}
	want := trace(1)
	for order := range 10 {
		require.Equal(t, want, trace(order))
	}
}

// Guards against a subset that exceeds its bound, that leaves out other zones,
// or that changes more than the host list does.
func TestSubsetIsBoundedAndStable(t *testing.T) {
	hosts := hostsInZones(60, "a", "b", "c")
	r := newRouterWithHosts(1, hosts)
	ids := func() map[member.HostID]bool {
		m := map[member.HostID]bool{}
		local := 0
		for _, h := range r.pools[testService].subset {
			m[h.ID] = true
			if h.Zone == "a" {
				local++
			}
		}
		require.Len(t, m, 8)
		require.Equal(t, 6, local)
		return m
	}
	before := ids()
	for i := range hosts {
		r.SetHosts(testNow, testService, append(hosts[:i:i], hosts[i+1:]...))
		changed := 0
		for id := range ids() {
			if !before[id] {
				changed++
			}
		}
		require.LessOrEqual(t, changed, 1)
	}
}

// Guards against calls to other zones without need.
func TestLocalZoneFirst(t *testing.T) {
	counts := runCalls(t, newRouterWithHosts(1, hostsInZones(9, "a", "b", "c")), testNow, 1000, succeed)
	for id, n := range counts {
		assert.Contains(t, []member.HostID{"h000", "h003", "h006"}, id)
		assert.Greater(t, n, 200)
	}
}

// Guards against a zone that reaches its limit while other zones have free
// slots.
func TestSpillsBeforeOverload(t *testing.T) {
	for _, c := range []struct {
		running  int
		min, max int
	}{{5, 0, 0}, {7, 1, 500}, {9, 500, 900}} {
		r := newRouterWithHosts(1, hostsInZones(9, "a", "b", "c"))
		report := func(h member.Host) Outcome {
			out := Outcome{Latency: 5 * time.Millisecond, Report: &Report{Limit: 10}}
			if h.Zone == "a" {
				out.Report.Running = c.running
			}
			return out
		}
		remote := 1000
		counts := runCalls(t, r, testNow, 1000, report)
		for _, id := range []member.HostID{"h000", "h003", "h006"} {
			remote -= counts[id]
		}
		assert.GreaterOrEqual(t, remote, c.min, "running %d", c.running)
		assert.LessOrEqual(t, remote, c.max, "running %d", c.running)
	}
}

// Guards against calls to other zones although all zones are equally loaded:
// they free no slot and hold the slots of their parent calls for longer.
func TestNoSpillWhenAllZonesAreFull(t *testing.T) {
	r := newRouterWithHosts(1, hostsInZones(9, "a", "b", "c"))
	full := func(member.Host) Outcome {
		return Outcome{Latency: 5 * time.Millisecond, Report: &Report{Running: 10, Queued: 5, Limit: 10}}
	}
	for _, h := range hostsInZones(9, "a", "b", "c") {
		r.OnDone(testNow, h.ID, full(h))
	}
	counts := runCalls(t, r, testNow, 500, full)
	remote := 500
	for _, id := range []member.HostID{"h000", "h003", "h006"} {
		remote -= counts[id]
	}
	assert.Less(t, remote, 250, "without the comparison all zones are chosen equally often")
}

// Guards against calls that stay with a slow host because it is the only one in
// the local zone.
func TestSpillsFromSlowZone(t *testing.T) {
	slow := func(h member.Host) Outcome {
		if h.Zone == "a" {
			return Outcome{Latency: 100 * time.Millisecond}
		}
		return succeed(h)
	}
	r := newRouterWithHosts(1, hostsInZones(3, "a", "b", "c"))
	r.OnDone(testNow, "h001", succeed(member.Host{}))
	assert.Less(t, runCalls(t, r, testNow, 1000, slow)["h000"], 50)
}

// Guards against a host that attracts calls because it fails fast, and against
// a host that stays ejected after it has recovered.
func TestFailingHostIsEjectedAndRecovers(t *testing.T) {
	r := newRouterWithHosts(1, hostsInZones(4, "a"))
	counts := runCalls(t, r, testNow, 5000, failingHosts("h002"))
	assert.Less(t, counts["h002"], 20)
	later := testNow.Add(5 * time.Second)
	runCalls(t, r, later, 10_000, succeed)
	counts = runCalls(t, r, later.Add(10*time.Second), 1000, succeed)
	assert.Greater(t, counts["h002"], 150)
}

// Guards against ejecting too many hosts: a fault at this node must not send
// all calls to a few hosts or to none.
func TestEjectionIsBounded(t *testing.T) {
	for _, c := range []struct{ hosts, bad, ejected int }{
		{1, 1, 0}, {2, 1, 0}, {3, 1, 1}, {3, 2, 1}, {3, 3, 0}, {8, 5, 2}, {8, 8, 0},
	} {
		r := newRouterWithHosts(1, hostsInZones(c.hosts, "a"))
		for i := range c.bad {
			for range 5 {
				r.OnDone(testNow, member.HostID(fmt.Sprintf("h%03d", i)), Outcome{Failed: true})
			}
		}
		assert.Len(t, r.pools[testService].ejectedHosts(testNow), c.ejected, "%+v", c)
		pick(t, r, testNow)
	}
}

// Guards against a new process that gets its full share before it is warm, and
// against its ejection for failures of the incarnation before it.
func TestNewIncarnationRamps(t *testing.T) {
	hosts := hostsInZones(4, "a")
	r := newRouterWithHosts(1, hosts)
	for range 10 {
		r.OnSent(testNow, "h001")
	}
	hosts[1].Incarnation = 2
	r.SetHosts(testNow, testService, hosts)
	for range 10 {
		r.OnDone(testNow, "h001", Outcome{Failed: true})
	}
	assert.False(t, r.hosts["h001"].ejected(testNow))
	early := runCalls(t, r, testNow, 1000, succeed)["h001"]
	late := runCalls(t, r, testNow.Add(6*time.Second), 1000, succeed)["h001"]
	assert.Less(t, early, 20)
	assert.Greater(t, late, 150)

	hosts[1].Incarnation = 1
	r.SetHosts(testNow.Add(8*time.Second), testService, hosts)
	assert.EqualValues(t, 2, r.hosts["h001"].Incarnation, "a stale list does not restore an earlier incarnation")
}

// Guards against a refused call that makes its host look fast or faulty.
func TestRefusalCountsAsLoadNotFailure(t *testing.T) {
	r := newRouterWithHosts(1, hostsInZones(2, "a"))
	for range 20 {
		r.OnDone(testNow, "h000", Outcome{Refused: true})
	}
	h := r.hosts["h000"]
	assert.False(t, h.ejected(testNow))
	assert.True(t, h.latencyUpdatedAt.IsZero())
	assert.EqualValues(t, 10, h.load(testNow))
	assert.Equal(t, member.HostID("h001"), pick(t, r, testNow).Host.ID)
}

// Guards against choosing an excluded, leaving or removed host.
func TestPickSkipsIneligibleHosts(t *testing.T) {
	hosts := hostsInZones(12, "a")
	hosts[0].Status = member.Leaving
	r := newRouterWithHosts(1, hosts)
	var exclude []member.HostID
	for range 11 {
		c := pick(t, r, testNow, exclude...)
		require.NotContains(t, exclude, c.Host.ID)
		require.NotEqual(t, member.HostID("h000"), c.Host.ID)
		exclude = append(exclude, c.Host.ID)
	}
	_, ok := r.Pick(testNow, &call.Request{Service: testService}, exclude)
	assert.False(t, ok)

	r.SetHosts(testNow, testService, nil)
	_, ok = r.Pick(testNow, &call.Request{Service: testService}, nil)
	assert.False(t, ok)
	assert.Empty(t, r.hosts)
	r.OnDone(testNow, "h001", Outcome{}) // late reply of a removed host
}

// Guards against reports and ejections from before a process pause that are
// still used after it.
func TestResetKeepsInFlight(t *testing.T) {
	r := newRouterWithHosts(1, hostsInZones(3, "a"))
	r.OnSent(testNow, "h000")
	for range 5 {
		r.OnDone(testNow, "h001", Outcome{Failed: true, Report: &Report{Running: 9, Limit: 10}})
	}
	r.Reset(testNow)
	assert.False(t, r.hosts["h001"].ejected(testNow))
	assert.Zero(t, r.hosts["h001"].load(testNow))
	assert.Equal(t, 1, r.hosts["h000"].inFlight)
}

func BenchmarkPick(b *testing.B) {
	r := newRouterWithHosts(1, hostsInZones(32, "a", "b", "c"))
	req := &call.Request{Service: testService}
	for i := range b.N {
		now := testNow.Add(time.Duration(i) * time.Microsecond)
		c, _ := r.Pick(now, req, nil)
		r.OnSent(now, c.Host.ID)
		r.OnDone(now, c.Host.ID, Outcome{Latency: time.Millisecond})
	}
}

// Guards against counting attempts that clients cancelled as refusals: clients
// with short timeouts would make a healthy host look full.
func TestCancelledAttemptLeavesHostUnchanged(t *testing.T) {
	r := newRouterWithHosts(1, hostsInZones(2, "a"))
	r.OnSent(testNow, "h000")
	before := *r.hosts["h000"]
	before.inFlight = 0
	r.OnDone(testNow, "h000", Outcome{Latency: time.Second, Cancelled: true})
	assert.Equal(t, before, *r.hosts["h000"])
}
