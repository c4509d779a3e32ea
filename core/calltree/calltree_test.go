package calltree

import (
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
		graph.Observe("called", 700*ms, i%10 == 0)
		graph.Observe("called", time.Duration(300+i)*ms, i%20 != 0)
		graph.Observe("clients", 800*ms, i%2 == 0)
		graph.Observe("clients", time.Duration(300+i)*ms, i%3 == 0)
	}
	assert.True(t, graph.Observe("called", 700*ms, false))
	assert.False(t, graph.Observe("clients", 800*ms, true))
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

	assert.False(t, graph.Observe("feed", 700*time.Millisecond, false))
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
// of their own: they match no parent, but they all enter at one service, while
// requests of clients enter at several.
func TestSingleOriginRoutesAreCalled(t *testing.T) {
	var o Origins
	var graph RouteGraph
	services := []string{"front", "middle", "deep"}
	for i := range 300 {
		graph.SetSingleOrigin("clients", o.Count("clients", services[i%3]))
		for range 20 {
			graph.SetSingleOrigin("called", o.Count("called", "middle"))
		}
		graph.Observe("called", time.Duration(580+i%120)*time.Millisecond, i%10 == 0)
		graph.Observe("clients", time.Duration(580+i%120)*time.Millisecond, i%10 == 0)
	}
	assert.True(t, graph.Observe("called", 650*time.Millisecond, false))
	assert.False(t, graph.Observe("clients", 650*time.Millisecond, true))

	var single Origins
	for range 300 {
		assert.False(t, single.Count("any", "middle"), "clients may enter at one service only")
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
