package admissionprob

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testNow = time.Unix(1_700_000_000, 0)

// noRemoteBound is the remote probability of routes that no other service
// throttles.
func noRemoteBound(string) float64 { return 1 }

// load describes the calls of one route that arrive at a limiter.
type load struct {
	route    string
	priority int
	perTick  int // calls per 10 ms before rejections
	slotTime time.Duration
}

// simulate feeds the estimator with the arrivals of some loads, admitted with the
// given probabilities, in ticks of 10 ms. It returns the time of the last tick.
func simulate(e *Estimator, probabilities map[string]float64, loads []load, from time.Time, ticks int) time.Time {
	now := from
	carry := map[string]float64{}
	for range ticks {
		now = now.Add(10 * time.Millisecond)
		for _, l := range loads {
			probability, ok := probabilities[l.route]
			if !ok {
				probability = 1
			}
			carry[l.route] += probability * float64(l.perTick)
			for carry[l.route] >= 1 {
				carry[l.route]--
				e.OnArrival(now, l.route, l.priority, probability)
				e.OnComplete(l.route, l.slotTime)
			}
		}
	}
	return now
}

func byRoute(probabilities []Advertised) map[string]float64 {
	m := map[string]float64{}
	for _, a := range probabilities {
		m[a.Route] = a.Probability
	}
	return m
}

// Guards the order under overload: the more important route is admitted in full
// and the other one gets what is left, also once rejections reduce the
// arrivals.
func TestCapacityGoesToImportantRoutesFirst(t *testing.T) {
	e := NewEstimator()
	// 100 slots: signoff wants 60, read wants 80.
	loads := []load{
		{"signoff", 0, 15, 40 * time.Millisecond},
		{"read", 2, 20, 40 * time.Millisecond},
	}
	probabilities := map[string]float64{}
	now := testNow
	for range 20 {
		now = simulate(e, probabilities, loads, now, 20)
		probabilities = byRoute(e.Probabilities(now, 100, noRemoteBound))
	}
	require.Contains(t, probabilities, "read")
	assert.NotContains(t, probabilities, "signoff")
	assert.InDelta(t, (92.0-60)/80, probabilities["read"], 0.06)
}

// Guards against throttling routes without an overload, and against throttling
// that outlives the overload.
func TestNoThrottlingWithoutOverload(t *testing.T) {
	e := NewEstimator()
	overload := []load{{"read", 2, 60, 40 * time.Millisecond}}
	light := []load{{"read", 2, 10, 40 * time.Millisecond}}
	now := simulate(e, nil, light, testNow, 100)
	assert.Empty(t, e.Probabilities(now, 100, noRemoteBound))
	now = simulate(e, nil, overload, now, 100)
	assert.NotEmpty(t, e.Probabilities(now, 100, noRemoteBound))
	now = simulate(e, nil, light, now, 300)
	for _, a := range e.Probabilities(now, 100, noRemoteBound) {
		assert.Equal(t, 1.0, a.Probability)
	}
}

// Guards against starving the least important route.
func TestMinProbabilityRemains(t *testing.T) {
	e := NewEstimator()
	now := simulate(e, nil, []load{
		{"signoff", 0, 60, 40 * time.Millisecond},
		{"read", 2, 20, 40 * time.Millisecond},
	}, testNow, 200)
	assert.Equal(t, MinProbability, byRoute(e.Probabilities(now, 100, noRemoteBound))["read"])
}

// updateRepeatedly records a probability often enough for the average to
// settle.
func updateRepeatedly(tab *Table, now time.Time, r Received) {
	for i := range 40 {
		tab.Update(now.Add(time.Duration(i)*time.Microsecond), r)
	}
}

// Guards the fraction of admitted requests, and the choice of the smallest
// probability of all services of a tree.
func TestTableAdmitsSmallestProbability(t *testing.T) {
	tab := NewTable()
	updateRepeatedly(tab, testNow, Received{Service: "ledger", Route: "read", Probability: 0.8})
	updateRepeatedly(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.4, Age: 20 * time.Millisecond})
	admitted := 0
	for range 100 {
		if tab.Admit(testNow, "read").Admitted {
			admitted++
		}
	}
	assert.InDelta(t, 40, admitted, 1)
	assert.Equal(t, "quality", tab.Admit(testNow, "read").Service)
	assert.Equal(t, Decision{Probability: 1, Admitted: true}, tab.Admit(testNow, "other"))
}

// Guards against a probability that applies forever although no service
// advertises it any more.
func TestProbabilityRecoversWithoutUpdates(t *testing.T) {
	tab := NewTable()
	updateRepeatedly(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.2})
	assert.InDelta(t, 0.2, tab.Probability(testNow.Add(fullWeightAge), "read"), 0.01)
	recovering := tab.Probability(testNow.Add(fullWeightAge+recoveryTime/2), "read")
	assert.InDelta(t, 0.6, recovering, 0.01)
	assert.Equal(t, 1.0, tab.Probability(testNow.Add(fullWeightAge+recoveryTime+time.Millisecond), "read"))
}

// Guards against an older, forwarded probability replacing a newer one, and
// against a single outlier deciding alone.
func TestOlderUpdateIsIgnored(t *testing.T) {
	tab := NewTable()
	updateRepeatedly(tab, testNow, Received{Service: "quality", Route: "read", Probability: 0.5})
	tab.Update(testNow, Received{Service: "quality", Route: "read", Probability: 0.1, Age: 100 * time.Millisecond})
	assert.InDelta(t, 0.5, tab.Probability(testNow, "read"), 0.01)
	later := testNow.Add(200 * time.Millisecond)
	tab.Update(later, Received{Service: "quality", Route: "read", Probability: 0.1, Age: 100 * time.Millisecond})
	probability := tab.Probability(later, "read")
	assert.Less(t, probability, 0.49)
	assert.Greater(t, probability, 0.3)
	require.Len(t, tab.Snapshot(later), 1)
	assert.Equal(t, 100*time.Millisecond, tab.Snapshot(later)[0].Age)
}

// Guards against admitting trees whose calls find no upstream, and against
// rejecting them still once they do.
func TestFailedCallsThrottleTheRoute(t *testing.T) {
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
	assert.Len(t, tab.Snapshot(now), 1, "routes that are not throttled are not kept")
}

// Guards against an overload that the queue hides: calls that wait delay the
// calls after them, so that no more arrive than are served.
func TestWaitingCallsThrottleTheirRoute(t *testing.T) {
	e := NewEstimator()
	now := testNow
	for range 100 {
		now = simulate(e, nil, []load{{"signoff", 0, 5, 40 * time.Millisecond}, {"read", 2, 15, 40 * time.Millisecond}}, now, 1)
		e.OnQueued("signoff", 2*time.Millisecond)
		for range 15 {
			e.OnQueued("read", 80*time.Millisecond)
		}
		e.Probabilities(now, 100, noRemoteBound)
	}
	probabilities := byRoute(e.Probabilities(now, 100, noRemoteBound))
	assert.Less(t, probabilities["read"], 0.3)
	assert.NotContains(t, probabilities, "signoff")
	for range 100 {
		now = simulate(e, nil, []load{{"read", 2, 2, 40 * time.Millisecond}}, now, 10)
		e.OnQueued("read", 0)
		e.Probabilities(now, 100, noRemoteBound)
	}
	for _, a := range e.Probabilities(now, 100, noRemoteBound) {
		assert.Equal(t, 1.0, a.Probability)
	}
}

// Guards against throttling a route for the demand of another one that other
// services throttle, so that it never arrives.
func TestRemotelyRejectedDemandLeavesCapacity(t *testing.T) {
	e := NewEstimator()
	loads := []load{
		{"batch", 2, 50, 40 * time.Millisecond}, // 200 slots, of which 10% arrive
		{"ledger", 2, 10, 40 * time.Millisecond},
	}
	remote := func(route string) float64 {
		if route == "batch" {
			return 0.1
		}
		return 1
	}
	now := testNow
	for range 10 {
		now = simulate(e, map[string]float64{"batch": 0.1}, loads, now, 20)
		e.Probabilities(now, 100, remote)
	}
	assert.NotContains(t, byRoute(e.Probabilities(now, 100, remote)), "ledger")
	now = simulate(e, nil, loads, now, 200)
	assert.Less(t, byRoute(e.Probabilities(now, 100, noRemoteBound))["ledger"], 0.6)
}

// Guards against throttling a route because of a few calls of other routes that
// were attributed to it.
func TestFewCallsDoNotThrottleARoute(t *testing.T) {
	e := NewEstimator()
	now := testNow
	probabilities := map[string]float64{"read": MinProbability}
	for range 20 {
		now = simulate(e, probabilities, []load{{"signoff", 0, 60, 40 * time.Millisecond}, {"read", 2, 5, 40 * time.Millisecond}}, now, 20)
		assert.NotContains(t, byRoute(e.Probabilities(now, 100, noRemoteBound)), "read")
	}
}

// Guards against throttling an important route because the calls of a less
// important one wait behind it.
func TestWaitOfLesserRoutesDoesNotThrottleImportantOnes(t *testing.T) {
	e := NewEstimator()
	now := testNow
	for range 200 {
		now = simulate(e, nil, []load{{"signoff", 0, 15, 40 * time.Millisecond}, {"read", 2, 2, 40 * time.Millisecond}}, now, 5)
		for range 10 {
			e.OnQueued("read", 200*time.Millisecond)
			e.OnQueued("signoff", time.Millisecond)
		}
		assert.NotContains(t, byRoute(e.Probabilities(now, 100, noRemoteBound)), "signoff")
	}
}

// Guards the beginning of a surge: each request that is admitted while calls
// wait lengthens the queue for all trees in progress, so the least important
// route must be throttled within some hundred milliseconds.
func TestSurgeIsThrottledSoon(t *testing.T) {
	e := NewEstimator()
	loads := []load{{"signoff", 0, 15, 30 * time.Millisecond}, {"read", 2, 15, 30 * time.Millisecond}}
	now := simulate(e, nil, loads, testNow, 100)
	require.Empty(t, e.Probabilities(now, 100, noRemoteBound))
	var probabilities map[string]float64
	for range 30 {
		now = simulate(e, probabilities, loads, now, 1)
		for range 10 {
			e.OnQueued("read", 120*time.Millisecond)
		}
		probabilities = byRoute(e.Probabilities(now, 100, noRemoteBound))
	}
	assert.LessOrEqual(t, probabilities["read"], 0.35)
	assert.NotContains(t, probabilities, "signoff")
}

// Guards against rejections after the end of a surge, while slots are free.
func TestProbabilitiesRecoverSoonAfterASurge(t *testing.T) {
	e := NewEstimator()
	var probabilities map[string]float64
	now := testNow
	for range 100 {
		now = simulate(e, probabilities, []load{{"signoff", 0, 15, 30 * time.Millisecond}, {"read", 2, 60, 30 * time.Millisecond}}, now, 1)
		for range 10 {
			e.OnQueued("read", 120*time.Millisecond)
		}
		probabilities = byRoute(e.Probabilities(now, 100, noRemoteBound))
	}
	require.LessOrEqual(t, probabilities["read"], 0.1)
	for range 120 {
		now = simulate(e, probabilities, []load{{"signoff", 0, 5, 30 * time.Millisecond}, {"read", 2, 10, 30 * time.Millisecond}}, now, 1)
		e.OnQueued("read", 0)
		probabilities = byRoute(e.Probabilities(now, 100, noRemoteBound))
	}
	read, advertised := probabilities["read"]
	assert.True(t, !advertised || read >= 0.95, "%f", read)
}
