package calltree

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testNow = time.Unix(1_700_000_000, 0)

func anyRoute(string) bool { return true }

func atMillis(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a call that gets the priority of a request that is not its
// parent.
func TestMatchTakesNearestDeadline(t *testing.T) {
	var tracker Tracker
	a := &Parent{Deadline: atMillis(500), RootRoute: "a"}
	b := &Parent{Deadline: atMillis(505), RootRoute: "b"}
	tracker.Add(testNow, a)
	tracker.Add(testNow, b)
	assert.Same(t, a, tracker.Match(atMillis(499), anyRoute))
	assert.Same(t, b, tracker.Match(atMillis(504), anyRoute))
	assert.Nil(t, tracker.Match(atMillis(520), anyRoute))
	tracker.Remove(a)
	tracker.Remove(a)
	assert.Nil(t, tracker.Match(atMillis(497), anyRoute))
	assert.Equal(t, 1, tracker.Len())
}

// Guards against attributing calls to the wrong request when their own time
// limit is shorter than the remaining time of the parent.
func TestGuessFollowsTheOrderOfCalls(t *testing.T) {
	var tracker Tracker
	short := &Parent{Deadline: atMillis(300), Route: "short"}
	older := &Parent{Deadline: atMillis(900), Route: "sync"}
	newer := &Parent{Deadline: atMillis(950), Route: "sync"}
	stale := &Parent{Deadline: atMillis(990), Route: "sync"}
	tracker.Add(atMillis(-400), stale) // its calls were attributed to other requests
	tracker.Add(atMillis(0), short)
	tracker.Add(atMillis(1), older)
	tracker.Add(atMillis(15), newer)
	assert.Same(t, older, tracker.Guess(atMillis(20), atMillis(720), anyRoute), "its age fits a first call")
	tracker.StartCall(atMillis(20), older, false)
	assert.Same(t, newer, tracker.Guess(atMillis(30), atMillis(730), anyRoute), "the other has a call in flight")
	tracker.StartCall(atMillis(30), newer, false)
	tracker.EndCall(atMillis(100), newer)
	tracker.EndCall(atMillis(101), older)
	assert.Same(t, newer, tracker.Next(atMillis(101), atMillis(801), newer), "the same connection")
	assert.Nil(t, tracker.Next(atMillis(103), atMillis(803), newer), "too late after the previous call")
	assert.Nil(t, tracker.Next(atMillis(101), atMillis(955), newer), "the call ends after its parent")
	tracker.Remove(newer)
	assert.Nil(t, tracker.Next(atMillis(101), atMillis(801), newer), "the parent has ended")
	assert.Same(t, older, tracker.Guess(atMillis(102), atMillis(802), anyRoute))
	tracker.Remove(older)
	assert.Nil(t, tracker.Guess(atMillis(102), atMillis(802), anyRoute))
}

// Guards against requests of clients counted as calls because they match a
// deadline by chance, and against calls that reach their own limit counted as
// requests of clients.
func TestRouteGraphDistinguishesCalledRoutes(t *testing.T) {
	var graph RouteGraph
	const ms = time.Millisecond
	for i := range 300 {
		graph.Observe(atMillis(0), "called", 700*ms, i%10 == 0)
		graph.Observe(atMillis(0), "called", time.Duration(300+i)*ms, i%20 != 0)
		graph.Observe(atMillis(0), "clients", 800*ms, i%2 == 0)
		graph.Observe(atMillis(0), "clients", time.Duration(300+i)*ms, i%3 == 0)
	}
	assert.True(t, graph.Observe(atMillis(0), "called", 700*ms, false))
	assert.False(t, graph.Observe(atMillis(0), "clients", 800*ms, true))
}

// Guards against attributing calls to requests of routes that make none, also
// when so many run that some match by chance.
func TestParentsBelongToCallingRoutes(t *testing.T) {
	var graph RouteGraph
	chance := map[string]float64{"sync": 0.9, "seldom": 0.04, "read": 0.5}
	for i := range 400 {
		route := "sync"
		switch {
		case i%5 == 0:
			route = "read" // matches by chance
		case i%20 == 1:
			route = "seldom"
		}
		graph.Matched(route, "feed", chance)
	}
	assert.True(t, graph.MayCall("sync", "feed"))
	assert.True(t, graph.MayCall("seldom", "feed"))
	assert.False(t, graph.MayCall("read", "feed"))
	assert.True(t, graph.MayCall("read", "unknown"), "nothing has been learned yet")

	var manyRunning Tracker
	for i := range 100 {
		manyRunning.Add(atMillis(0), &Parent{Deadline: atMillis(1000 + i), Route: "read"})
	}
	assert.InDelta(t, 7, manyRunning.ChanceMatches(atMillis(1050))["read"], 0.5, "one expires each millisecond")

	assert.False(t, graph.Observe(atMillis(0), "feed", 700*time.Millisecond, false))
	assert.True(t, graph.LimitInherited("feed", 500*time.Millisecond))
	assert.False(t, graph.LimitInherited("feed", 600*time.Millisecond), "limits of one route differ")

	var tracker Tracker
	read := &Parent{Deadline: atMillis(900), Route: "read"}
	sync := &Parent{Deadline: atMillis(910), Route: "sync"}
	tracker.Add(atMillis(0), read)
	tracker.Add(atMillis(1), sync)
	mayCall := func(route string) bool { return graph.MayCall(route, "feed") }
	assert.Same(t, sync, tracker.Guess(atMillis(20), atMillis(720), mayCall))
	assert.Nil(t, tracker.Match(atMillis(900), mayCall))
}

// Guards against missing a called route whose calls have differing time limits
// of their own: they match no parent, but they enter at few services, while
// requests of clients enter at all. A refusal of such a call as that of a client
// wastes the work of its tree.
func TestRoutesOfFewOriginsAreCalled(t *testing.T) {
	for name, tt := range map[string]struct {
		hosts  map[string]int // by service
		called map[string]int // requests of the called route by service of origin
	}{
		"one caller":               {map[string]int{"front": 3, "middle": 3, "deep": 3}, map[string]int{"middle": 9}},
		"two callers":              {map[string]int{"front": 3, "middle": 3, "deep": 3, "end": 3}, map[string]int{"front": 5, "middle": 5}},
		"a second caller at times": {map[string]int{"front": 90, "middle": 73, "deep": 21, "end": 10}, map[string]int{"middle": 93, "front": 7}},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var o Origins
			o.SetClients([]map[string]float64{shares(tt.hosts)})
			var graph RouteGraph
			end := 8000
			for ms := 0; ms < end; ms += 20 {
				// The rates of an upstream of the large deployment: 50 calls and 5
				// requests of clients a second.
				now := atMillis(ms)
				graph.SetCallers(now, "called", o.Count(now, "called", draw(random, tt.called)))
				if ms%200 == 0 {
					graph.SetCallers(now, "clients", o.Count(now, "clients", draw(random, tt.hosts)))
				}
				if ms%60 == 0 {
					graph.SetCallers(now, "others", o.Count(now, "others", draw(random, tt.hosts)))
				}
			}
			now := atMillis(end)
			assert.True(t, graph.IsCalled(now, "called"))
			assert.False(t, graph.IsCalled(now, "clients"))
			assert.False(t, graph.IsCalled(now, "others"))
			assert.True(t, graph.Observe(now, "called", 650*time.Millisecond, false))
			assert.False(t, graph.Observe(now, "clients", 650*time.Millisecond, true))
			// An upstream that has counted few requests changes nothing.
			graph.SetCallers(now, "called", CallersUnknown)
			assert.True(t, graph.IsCalled(now, "called"))
			assert.False(t, graph.IsCalled(now.Add(calledTTL), "called"))
		})
	}
}

// shares returns the shares of names with the given weights.
func shares(weights map[string]int) map[string]float64 {
	total := 0
	for _, w := range weights {
		total += w
	}
	out := map[string]float64{}
	for name, w := range weights {
		out[name] = float64(w) / float64(total)
	}
	return out
}

// draw returns a name with a probability in proportion to its weight.
func draw(random *rand.Rand, weights map[string]int) string {
	names := slices.Sorted(maps.Keys(weights))
	total := 0
	for _, w := range weights {
		total += w
	}
	n := random.IntN(total)
	for _, name := range names {
		if n -= weights[name]; n < 0 {
			return name
		}
	}
	return ""
}

// Guards against client routes that count as called: where all hosts of a zone, or
// all that are known, run one service, nothing distinguishes clients from callers.
func TestOneOriginMayBeClients(t *testing.T) {
	var none, single, zone Origins
	single.SetClients([]map[string]float64{{"middle": 1}})
	zone.SetClients([]map[string]float64{{"middle": 0.2, "front": 0.8}, {"middle": 1}, {"front": 1}})
	for range 300 {
		assert.Equal(t, CallersUnknown, none.Count(testNow, "any", "middle"))
		assert.NotEqual(t, CallersUpstreams, single.Count(testNow, "any", "middle"))
		assert.NotEqual(t, CallersUpstreams, zone.Count(testNow, "any", "middle"))
	}
}

// Guards against client routes that count as called while an upstream is reached
// by few hosts, for instance by its own alone, because the others are cut off:
// their requests would no longer be shed at the root and would fail after they have
// begun.
func TestCutOffHostsAreNoCallers(t *testing.T) {
	hosts := map[string]int{"front": 5, "middle": 4, "deep": 3, "end": 3}
	for name, reached := range map[string]map[string]int{
		"own host only": {"middle": 1}, "one other host": {"middle": 3, "deep": 1}, "two services": {"middle": 1, "end": 1},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			var o Origins
			o.SetClients([]map[string]float64{shares(hosts)})
			for ms := 0; ms < 20_000; ms += 20 {
				entered := hosts
				if ms >= 10_000 {
					entered = reached
				}
				now := atMillis(ms)
				assert.NotEqual(t, CallersUpstreams, o.Count(now, "read", draw(random, entered)))
				if ms%100 == 0 {
					assert.NotEqual(t, CallersUpstreams, o.Count(now, "sign", draw(random, entered)))
				}
				if ms%300 == 0 {
					assert.NotEqual(t, CallersUpstreams, o.Count(now, "seldom", draw(random, entered)))
				}
			}
		})
	}
}

// Guards against treating chance matches as parents: among many running
// requests one expires with any call, also when the calls have shorter limits
// of their own.
func TestShortLimitsHideParentDeadlines(t *testing.T) {
	var graph RouteGraph
	p := &Parent{Deadline: atMillis(1000)}
	for i := range 200 {
		graph.Expired("hidden", p.MatchesDeadline(atMillis(580+i)))
		graph.Expired("shown", p.MatchesDeadline(atMillis(1000)))
	}
	assert.False(t, graph.DeadlineMatches("hidden"))
	assert.True(t, graph.DeadlineMatches("shown"))
	assert.True(t, graph.DeadlineMatches("new"), "nothing has been learned yet")
}

// Guards against calls without any parent: if none is likely, any running
// request that may make the call represents it.
func TestAnyParentThatMakesTheCall(t *testing.T) {
	var tracker Tracker
	p := &Parent{Deadline: atMillis(100), Route: "sync"}
	tracker.Add(atMillis(0), p)
	tracker.StartCall(atMillis(1), p, true)
	mayCall := func(route string) bool { return route == "sync" }
	assert.Nil(t, tracker.Guess(atMillis(20), atMillis(720), mayCall))
	assert.Same(t, p, tracker.Any(mayCall))
	assert.Nil(t, tracker.Any(func(string) bool { return false }))
}
