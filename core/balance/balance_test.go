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

func all(*directory.Upstream) bool { return false }

func share(b *Balancer, list []*directory.Upstream, n int, end func(id string) Result) map[string]int {
	count := map[string]int{}
	now := testNow
	for range n {
		now = now.Add(time.Millisecond)
		c := b.Pick(now, list, all)
		count[c.Upstream.ID]++
		b.Ended(now, c.Upstream.ID, end(c.Upstream.ID))
	}
	return count
}

// Guards the preference for the own availability zone, and that it ends when
// the upstream there is busier.
func TestOwnZoneFirstWhileNoBusier(t *testing.T) {
	b := New("a")
	list := upstreams("a", "b")
	count := share(b, list, 100, func(string) Result { return Result{Report: &Report{Running: 1, Limit: 10}} })
	assert.Equal(t, 100, count["u0"])
	count = share(b, list, 100, func(id string) Result {
		if id == "u0" {
			return Result{Report: &Report{Running: 10, Queued: 5, Limit: 10}}
		}
		return Result{Report: &Report{Running: 2, Limit: 10}}
	})
	assert.Greater(t, count["u1"], 90)
}

// Guards against a slow upstream getting as much work as the others.
func TestSlowUpstreamGetsLess(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a", "a")
	count := share(b, list, 600, func(id string) Result {
		took := 20 * time.Millisecond
		if id == "u1" {
			took = 200 * time.Millisecond
		}
		return Result{Report: &Report{Running: 5, Limit: 10}, Service: took, Route: "r"}
	})
	assert.Less(t, count["u1"], 60)
	assert.NotZero(t, count["u1"], "it must be tried again to notice its recovery")
}

// Guards against an upstream that fails fast attracting the requests.
func TestFailingUpstreamGetsLess(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a", "a")
	count := share(b, list, 600, func(id string) Result {
		return Result{Report: &Report{Running: 2, Limit: 10}, Failed: id == "u2"}
	})
	assert.Less(t, count["u2"], 60)
}

// Guards against requests to a host that does not answer, and against losing
// it for good.
func TestUnreachableUpstreamIsSuspendedAndTriedAgain(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a")
	b.Ended(testNow, "u0", Result{Unreachable: true})
	for range 50 {
		c := b.Pick(testNow, list, all)
		assert.Equal(t, "u1", c.Upstream.ID)
		b.Ended(testNow, "u1", Result{Report: &Report{Limit: 10}})
	}
	later := testNow.Add(firstSuspension)
	count := map[string]int{}
	for range 20 {
		count[b.Pick(later, list, all).Upstream.ID]++
	}
	assert.Equal(t, 1, count["u0"], "one request at a time tests it")
	only := b.Pick(testNow, list[:1], all)
	require.NotNil(t, only.Upstream, "a suspended upstream is better than none")
}

// Guards against requests being held for connections that time out one after
// the other, as in a zone that is cut off and has no upstream of a service.
func TestNoUpstreamWhileAllFailAgainAndAgain(t *testing.T) {
	b := New("a")
	list := upstreams("b", "b")
	now := testNow
	for range 3 {
		for _, u := range list {
			b.Ended(now, u.ID, Result{Unreachable: true})
		}
	}
	assert.Nil(t, b.Pick(now, list, all).Upstream)
	now = now.Add(maxSuspension)
	first, second := b.Pick(now, list, all), b.Pick(now, list, all)
	assert.NotNil(t, first.Upstream, "one request tests each")
	assert.NotNil(t, second.Upstream)
	assert.Nil(t, b.Pick(now, list, all).Upstream)
	b.Ended(now, first.Upstream.ID, Result{Report: &Report{Limit: 10}})
	assert.Equal(t, first.Upstream.ID, b.Pick(now, list, all).Upstream.ID, "it is back")
}

// Guards against work for upstreams that drain or were tried already.
func TestDrainingAndExcludedUpstreams(t *testing.T) {
	b := New("a")
	list := upstreams("a", "a")
	list[0].State = directory.Draining
	c := b.Pick(testNow, list, func(u *directory.Upstream) bool { return u.ID == "u1" })
	assert.Nil(t, c.Upstream)
}
