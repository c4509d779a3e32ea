package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/directory"
)

var testNow = time.Unix(1_700_000_000, 0)

func upstreams(zones ...string) []*directory.Upstream {
	var out []*directory.Upstream
	for i, zone := range zones {
		out = append(out, &directory.Upstream{
			ID: fmt.Sprint("u", i), Zone: zone, Slots: 10,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)),
		})
	}
	return out
}

func skipNone(*directory.Upstream) bool { return false }

func countPicks(b *Balancer, list []*directory.Upstream, n int, end func(id string) Result) map[string]int {
	count := map[string]int{}
	now := testNow
	for range n {
		now = now.Add(time.Millisecond)
		c := b.Pick(now, list, skipNone)
		count[c.Upstream.ID]++
		b.OnDone(now, c.Upstream.ID, end(c.Upstream.ID))
	}
	return count
}

// Guards against requests to other availability zones without need, and against
// staying in the local zone when its upstream is busier.
func TestLocalZoneFirstWhileNoBusier(t *testing.T) {
	b := New("a")
	list := upstreams("a", "b")
	count := countPicks(b, list, 100, func(string) Result { return Result{Report: &Report{Running: 1, Capacity: 10}} })
	assert.Equal(t, 100, count["u0"])
	count = countPicks(b, list, 100, func(id string) Result {
		if id == "u0" {
			return Result{Report: &Report{Running: 10, Queued: 5, Capacity: 10}}
		}
		return Result{Report: &Report{Running: 2, Capacity: 10}}
	})
	assert.Greater(t, count["u1"], 90)
}

// Guards against a slow upstream that gets as many requests as the others.
func TestSlowUpstreamGetsLess(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a", "a")
	count := countPicks(b, list, 600, func(id string) Result {
		took := 20 * time.Millisecond
		if id == "u1" {
			took = 200 * time.Millisecond
		}
		return Result{Report: &Report{Running: 5, Capacity: 10}, Service: took, Route: "r"}
	})
	assert.Less(t, count["u1"], 60)
	assert.NotZero(t, count["u1"], "it must be tried again to detect its recovery")
}

// Guards against an upstream that attracts requests because it fails fast.
func TestFailingUpstreamGetsLess(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a", "a")
	count := countPicks(b, list, 600, func(id string) Result {
		return Result{Report: &Report{Running: 2, Capacity: 10}, Failed: id == "u2"}
	})
	assert.Less(t, count["u2"], 60)
}

// Guards against requests to a host that does not answer, and against never
// trying it again.
func TestUnreachableUpstreamIsSuspendedAndTriedAgain(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a")
	b.OnDone(testNow, "u0", Result{Unreachable: true})
	for range 50 {
		c := b.Pick(testNow, list, skipNone)
		assert.Equal(t, "u1", c.Upstream.ID)
		b.OnDone(testNow, "u1", Result{Report: &Report{Capacity: 10}})
	}
	later := testNow.Add(minSuspension)
	count := map[string]int{}
	for range 20 {
		count[b.Pick(later, list, skipNone).Upstream.ID]++
	}
	assert.Equal(t, 1, count["u0"], "one request at a time tests it")
	single := b.Pick(testNow, list[:1], skipNone)
	require.NotNil(t, single.Upstream, "a suspended upstream is better than none")
}

// Guards against requests that wait for one connection timeout after the other,
// as in a zone that is cut off from the network and has no upstream of a
// service.
func TestNoUpstreamWhileAllFailRepeatedly(t *testing.T) {
	b := New("a")
	list := upstreams("b", "b")
	now := testNow
	for range 3 {
		for _, u := range list {
			b.OnDone(now, u.ID, Result{Unreachable: true})
		}
	}
	assert.Nil(t, b.Pick(now, list, skipNone).Upstream)
	now = now.Add(maxSuspension)
	first, second := b.Pick(now, list, skipNone), b.Pick(now, list, skipNone)
	assert.NotNil(t, first.Upstream, "one request tests each")
	assert.NotNil(t, second.Upstream)
	assert.Nil(t, b.Pick(now, list, skipNone).Upstream)
	b.OnDone(now, first.Upstream.ID, Result{Report: &Report{Capacity: 10}})
	assert.Equal(t, first.Upstream.ID, b.Pick(now, list, skipNone).Upstream.ID, "it has recovered")
}

// Guards against requests to upstreams that are draining or were tried already.
func TestDrainingAndExcludedUpstreams(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a")
	list[0].State = directory.Draining
	c := b.Pick(testNow, list, func(u *directory.Upstream) bool { return u.ID == "u1" })
	assert.Nil(t, c.Upstream)
}
