package admissionprob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testNow = time.Unix(1_700_000_000, 0)

// anywhere is the share of routes that no other service restricts.
func anywhere(string) float64 { return 1 }

// load plays arrivals of two routes at a gate: each request of a route makes
// calls that hold a slot for a time.
type load struct {
	route    string
	priority int
	perTick  int // calls per 10 ms before refusals
	held     time.Duration
}

func play(e *Estimator, shares map[string]float64, loads []load, from time.Time, ticks int) time.Time {
	now := from
	credit := map[string]float64{}
	for range ticks {
		now = now.Add(10 * time.Millisecond)
		for _, l := range loads {
			share, ok := shares[l.route]
			if !ok {
				share = 1
			}
			credit[l.route] += share * float64(l.perTick)
			for credit[l.route] >= 1 {
				credit[l.route]--
				e.OnArrival(now, l.route, l.priority, share)
				e.OnComplete(l.route, l.held)
			}
		}
	}
	return now
}

func asMap(shares []Advertised) map[string]float64 {
	m := map[string]float64{}
	for _, s := range shares {
		m[s.Route] = s.Probability
	}
	return m
}

// Guards the order under overload: the more important route is started whole
// and the other one gets what is left, also once refusals reduce the arrivals.
func TestCapacityGoesToImportantRoutesFirst(t *testing.T) {
	e := NewEstimator()
	// 100 slots: signoff wants 60, read wants 80.
	loads := []load{
		{"signoff", 0, 15, 40 * time.Millisecond},
		{"read", 2, 20, 40 * time.Millisecond},
	}
	shares := map[string]float64{}
	now := testNow
	for range 20 {
		now = play(e, shares, loads, now, 20)
		shares = asMap(e.Probabilities(now, 100, anywhere))
	}
	require.Contains(t, shares, "read")
	assert.NotContains(t, shares, "signoff")
	assert.InDelta(t, (92.0-60)/80, shares["read"], 0.06)
}

// Guards against routes without trouble being restricted, and against a
// restriction that outlives the overload.
func TestNoRestrictionWithoutOverload(t *testing.T) {
	e := NewEstimator()
	over := []load{{"read", 2, 60, 40 * time.Millisecond}}
	calm := []load{{"read", 2, 10, 40 * time.Millisecond}}
	now := play(e, nil, calm, testNow, 100)
	assert.Empty(t, e.Probabilities(now, 100, anywhere))
	now = play(e, nil, over, now, 100)
	assert.NotEmpty(t, e.Probabilities(now, 100, anywhere))
	now = play(e, nil, calm, now, 300)
	for _, s := range e.Probabilities(now, 100, anywhere) {
		assert.Equal(t, 1.0, s.Probability)
	}
}

// Guards against starving the least important route.
func TestMinShareRemains(t *testing.T) {
	e := NewEstimator()
	now := play(e, nil, []load{
		{"signoff", 0, 60, 40 * time.Millisecond},
		{"read", 2, 20, 40 * time.Millisecond},
	}, testNow, 200)
	assert.Equal(t, MinProbability, asMap(e.Probabilities(now, 100, anywhere))["read"])
}

// hear repeats a statement until it is taken for certain.
func hear(tab *Table, now time.Time, s Received) {
	for i := range 40 {
		tab.Update(now.Add(time.Duration(i)*time.Microsecond), s)
	}
}

// Guards the share of started requests and the use of the most restricted
// service of a tree.
func TestTableStartsSmallestShare(t *testing.T) {
	tab := NewTable()
	hear(tab, testNow, Received{Service: "ledger", Route: "read", Probability: 0.8})
	hear(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.4, Age: 20 * time.Millisecond})
	started := 0
	for range 100 {
		if tab.Admit(testNow, "read").Admitted {
			started++
		}
	}
	assert.InDelta(t, 40, started, 1)
	assert.Equal(t, "quality", tab.Admit(testNow, "read").Service)
	assert.Equal(t, Decision{Probability: 1, Admitted: true}, tab.Admit(testNow, "other"))
}

// Guards against a share that nobody states any more holding for ever.
func TestShareOpensWithoutNews(t *testing.T) {
	tab := NewTable()
	hear(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.2})
	assert.InDelta(t, 0.2, tab.Probability(testNow.Add(lifetime), "read"), 0.01)
	mid := tab.Probability(testNow.Add(lifetime+opening/2), "read")
	assert.InDelta(t, 0.6, mid, 0.01)
	assert.Equal(t, 1.0, tab.Probability(testNow.Add(lifetime+opening+time.Millisecond), "read"))
}

// Guards against older second-hand news changing a share, and against one odd
// statement deciding alone.
func TestOlderNewsIsIgnored(t *testing.T) {
	tab := NewTable()
	hear(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.5})
	tab.Update(testNow, Received{Service: "quality", Route: "read", Probability: 0.1, Age: 100 * time.Millisecond})
	assert.InDelta(t, 0.5, tab.Probability(testNow, "read"), 0.01)
	later := testNow.Add(200 * time.Millisecond)
	tab.Update(later, Received{Service: "quality", Route: "read", Probability: 0.1, Age: 100 * time.Millisecond})
	share := tab.Probability(later, "read")
	assert.Less(t, share, 0.49)
	assert.Greater(t, share, 0.3)
	require.Len(t, tab.Snapshot(later), 1)
	assert.Equal(t, 100*time.Millisecond, tab.Snapshot(later)[0].Age)
}

// Guards against starting trees whose calls find no upstream, and against
// staying closed once they do.
func TestFailedCallsCloseTheRoute(t *testing.T) {
	tab := NewTable()
	now := testNow
	for range 40 {
		now = now.Add(5 * time.Millisecond)
		tab.OnFailure(now, "ledger", "signoff")
	}
	assert.InDelta(t, MinProbability, tab.Probability(now, "signoff"), 0.02)
	for range 40 {
		now = now.Add(5 * time.Millisecond)
		tab.OnSuccess(now, "ledger", "signoff")
	}
	assert.Greater(t, tab.Probability(now, "signoff"), 0.95)
	tab.OnSuccess(now, "ledger", "read")
	assert.Len(t, tab.Snapshot(now), 1, "calls of routes without trouble are not kept")
}

// Guards against an overload that its own queue hides: calls that wait delay
// the calls after them, so that no more arrive than are served.
func TestWaitingCallsRestrictTheirRoute(t *testing.T) {
	e := NewEstimator()
	now := testNow
	for range 100 {
		now = play(e, nil, []load{{"signoff", 0, 5, 40 * time.Millisecond}, {"read", 2, 15, 40 * time.Millisecond}}, now, 1)
		e.OnQueued("signoff", 2*time.Millisecond)
		for range 15 {
			e.OnQueued("read", 80*time.Millisecond)
		}
		e.Probabilities(now, 100, anywhere)
	}
	shares := asMap(e.Probabilities(now, 100, anywhere))
	assert.Less(t, shares["read"], 0.3)
	assert.NotContains(t, shares, "signoff")
	for range 100 {
		now = play(e, nil, []load{{"read", 2, 2, 40 * time.Millisecond}}, now, 10)
		e.OnQueued("read", 0)
		e.Probabilities(now, 100, anywhere)
	}
	for _, s := range e.Probabilities(now, 100, anywhere) {
		assert.Equal(t, 1.0, s.Probability)
	}
}

// Guards against a route being refused for the demand of another one that is
// restricted elsewhere and never comes.
func TestDemandRefusedElsewhereLeavesRoom(t *testing.T) {
	e := NewEstimator()
	loads := []load{
		{"batch", 2, 50, 40 * time.Millisecond}, // 200 slots, of which 10% come
		{"ledger", 2, 10, 40 * time.Millisecond},
	}
	elsewhere := func(route string) float64 {
		if route == "batch" {
			return 0.1
		}
		return 1
	}
	now := testNow
	for range 10 {
		now = play(e, map[string]float64{"batch": 0.1}, loads, now, 20)
		e.Probabilities(now, 100, elsewhere)
	}
	assert.NotContains(t, asMap(e.Probabilities(now, 100, elsewhere)), "ledger")
	now = play(e, nil, loads, now, 200)
	assert.Less(t, asMap(e.Probabilities(now, 100, anywhere))["ledger"], 0.6)
}

// Guards against a route being closed by a few calls of others that were
// attributed to it.
func TestFewCallsDoNotCloseARoute(t *testing.T) {
	e := NewEstimator()
	now := testNow
	shares := map[string]float64{"read": MinProbability}
	for range 20 {
		now = play(e, shares, []load{{"signoff", 0, 60, 40 * time.Millisecond}, {"read", 2, 5, 40 * time.Millisecond}}, now, 20)
		assert.NotContains(t, asMap(e.Probabilities(now, 100, anywhere)), "read")
	}
}

// Guards against an important route being refused because a less important one
// waits behind it.
func TestWaitOfLesserRoutesDoesNotRestrictImportantOnes(t *testing.T) {
	e := NewEstimator()
	now := testNow
	for range 200 {
		now = play(e, nil, []load{{"signoff", 0, 15, 40 * time.Millisecond}, {"read", 2, 2, 40 * time.Millisecond}}, now, 5)
		for range 10 {
			e.OnQueued("read", 200*time.Millisecond)
			e.OnQueued("signoff", time.Millisecond)
		}
		assert.NotContains(t, asMap(e.Probabilities(now, 100, anywhere)), "signoff")
	}
}

// Guards the start of a surge: each request that is started while calls wait
// lengthens the queue for all trees that have begun, so the least important
// route must give way within some hundred milliseconds.
func TestSurgeIsRestrictedSoon(t *testing.T) {
	e := NewEstimator()
	loads := []load{{"signoff", 0, 15, 30 * time.Millisecond}, {"read", 2, 15, 30 * time.Millisecond}}
	now := play(e, nil, loads, testNow, 100)
	require.Empty(t, e.Probabilities(now, 100, anywhere))
	var shares map[string]float64
	for range 30 {
		now = play(e, shares, loads, now, 1)
		for range 10 {
			e.OnQueued("read", 120*time.Millisecond)
		}
		shares = asMap(e.Probabilities(now, 100, anywhere))
	}
	assert.LessOrEqual(t, shares["read"], 0.35)
	assert.NotContains(t, shares, "signoff")
}

// Guards against refusals after the end of a surge, while slots are free.
func TestSharesReopenSoonAfterASurge(t *testing.T) {
	e := NewEstimator()
	var shares map[string]float64
	now := testNow
	for range 100 {
		now = play(e, shares, []load{{"signoff", 0, 15, 30 * time.Millisecond}, {"read", 2, 60, 30 * time.Millisecond}}, now, 1)
		for range 10 {
			e.OnQueued("read", 120*time.Millisecond)
		}
		shares = asMap(e.Probabilities(now, 100, anywhere))
	}
	require.LessOrEqual(t, shares["read"], 0.1)
	for range 120 {
		now = play(e, shares, []load{{"signoff", 0, 5, 30 * time.Millisecond}, {"read", 2, 10, 30 * time.Millisecond}}, now, 1)
		e.OnQueued("read", 0)
		shares = asMap(e.Probabilities(now, 100, anywhere))
	}
	read, restricted := shares["read"]
	assert.True(t, !restricted || read >= 0.95, "%f", read)
}
