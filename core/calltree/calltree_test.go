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
	var r Tracker
	a := &Parent{Deadline: atMillis(500), RootRoute: "a"}
	b := &Parent{Deadline: atMillis(505), RootRoute: "b"}
	r.Add(testNow, a)
	r.Add(testNow, b)
	assert.Same(t, a, r.Match(atMillis(499), anyRoute))
	assert.Same(t, b, r.Match(atMillis(504), anyRoute))
	assert.Nil(t, r.Match(atMillis(520), anyRoute))
	r.Remove(a)
	r.Remove(a)
	assert.Nil(t, r.Match(atMillis(497), anyRoute))
	assert.Equal(t, 1, r.Len())
}

// Guards against attributing calls to the wrong request when their own time
// limit is shorter than the remaining time of the parent.
func TestGuessFollowsTheOrderOfCalls(t *testing.T) {
	var r Tracker
	short := &Parent{Deadline: atMillis(300), Route: "short"}
	older := &Parent{Deadline: atMillis(900), Route: "sync"}
	newer := &Parent{Deadline: atMillis(950), Route: "sync"}
	stale := &Parent{Deadline: atMillis(990), Route: "sync"}
	r.Add(atMillis(-400), stale) // its calls were attributed to other requests
	r.Add(atMillis(0), short)
	r.Add(atMillis(1), older)
	r.Add(atMillis(15), newer)
	assert.Same(t, older, r.Guess(atMillis(20), atMillis(720), anyRoute), "its age fits a first call")
	r.StartCall(atMillis(20), older, false)
	assert.Same(t, newer, r.Guess(atMillis(30), atMillis(730), anyRoute), "the other has a call in progress")
	r.StartCall(atMillis(30), newer, false)
	r.EndCall(atMillis(100), newer)
	r.EndCall(atMillis(101), older)
	assert.Same(t, newer, r.Next(atMillis(101), atMillis(801), newer), "the same connection")
	assert.Nil(t, r.Next(atMillis(103), atMillis(803), newer), "too late after the call before")
	assert.Nil(t, r.Next(atMillis(101), atMillis(955), newer), "the call ends after its parent")
	r.Remove(newer)
	assert.Nil(t, r.Next(atMillis(101), atMillis(801), newer), "the parent has ended")
	assert.Same(t, older, r.Guess(atMillis(102), atMillis(802), anyRoute))
	r.Remove(older)
	assert.Nil(t, r.Guess(atMillis(102), atMillis(802), anyRoute))
}

// Guards against requests of clients counted as calls because they match a
// deadline by chance, and against calls that reach their own limit counted as
// requests of clients.
func TestRouteGraphDistinguishesCalledRoutes(t *testing.T) {
	var c RouteGraph
	const ms = time.Millisecond
	for i := range 300 {
		c.Observe("called", 700*ms, i%10 == 0)
		c.Observe("called", time.Duration(300+i)*ms, i%20 != 0)
		c.Observe("clients", 800*ms, i%2 == 0)
		c.Observe("clients", time.Duration(300+i)*ms, i%3 == 0)
	}
	assert.True(t, c.Observe("called", 700*ms, false))
	assert.False(t, c.Observe("clients", 800*ms, true))
}

// Guards against attributing calls to requests of routes that make none, also
// when so many run that some match by chance.
func TestParentsBelongToCallingRoutes(t *testing.T) {
	var c RouteGraph
	chance := map[string]float64{"sync": 0.9, "seldom": 0.04, "read": 0.5}
	for i := range 400 {
		route := "sync"
		switch {
		case i%5 == 0:
			route = "read" // matches by chance
		case i%20 == 1:
			route = "seldom"
		}
		c.Matched(route, "feed", chance)
	}
	assert.True(t, c.MayCall("sync", "feed"))
	assert.True(t, c.MayCall("seldom", "feed"))
	assert.False(t, c.MayCall("read", "feed"))
	assert.True(t, c.MayCall("read", "unknown"), "nothing has been learned yet")

	var manyRunning Tracker
	for i := range 100 {
		manyRunning.Add(atMillis(0), &Parent{Deadline: atMillis(1000 + i), Route: "read"})
	}
	assert.InDelta(t, 7, manyRunning.ChanceMatches(atMillis(1050))["read"], 0.5, "one expires each millisecond")

	assert.False(t, c.Observe("feed", 700*time.Millisecond, false))
	assert.True(t, c.LimitInherited("feed", 500*time.Millisecond))
	assert.False(t, c.LimitInherited("feed", 600*time.Millisecond), "limits of one route differ")

	var r Tracker
	read := &Parent{Deadline: atMillis(900), Route: "read"}
	sync := &Parent{Deadline: atMillis(910), Route: "sync"}
	r.Add(atMillis(0), read)
	r.Add(atMillis(1), sync)
	mayCall := func(route string) bool { return c.MayCall(route, "feed") }
	assert.Same(t, sync, r.Guess(atMillis(20), atMillis(720), mayCall))
	assert.Nil(t, r.Match(atMillis(900), mayCall))
}

// Guards against missing a called route whose calls have differing time limits
// of their own: they match no parent, but they all enter at one service, while
// requests of clients enter at several.
func TestSingleOriginRoutesAreCalled(t *testing.T) {
	var o Origins
	var c RouteGraph
	services := []string{"front", "middle", "deep"}
	for i := range 300 {
		c.SetSingleCaller("clients", o.Count("clients", services[i%3]))
		for range 20 {
			c.SetSingleCaller("called", o.Count("called", "middle"))
		}
		c.Observe("called", time.Duration(580+i%120)*time.Millisecond, i%10 == 0)
		c.Observe("clients", time.Duration(580+i%120)*time.Millisecond, i%10 == 0)
	}
	assert.True(t, c.Observe("called", 650*time.Millisecond, false))
	assert.False(t, c.Observe("clients", 650*time.Millisecond, true))

	var single Origins
	for range 300 {
		assert.False(t, single.Count("any", "middle"), "clients may enter at one service only")
	}
}

// Guards against treating chance matches as parents: among many running
// requests one expires with any call, also when the calls have shorter limits
// of their own.
func TestShortLimitsHideParentDeadlines(t *testing.T) {
	var c RouteGraph
	p := &Parent{Deadline: atMillis(1000)}
	for i := range 200 {
		c.Expired("hidden", p.MatchesDeadline(atMillis(580+i)))
		c.Expired("shown", p.MatchesDeadline(atMillis(1000)))
	}
	assert.False(t, c.DeadlineMatches("hidden"))
	assert.True(t, c.DeadlineMatches("shown"))
	assert.True(t, c.DeadlineMatches("new"), "nothing has been learned yet")
}

// Guards against calls without any parent: if none is likely, any running
// request that may make the call represents it.
func TestAnyParentThatMakesTheCall(t *testing.T) {
	var r Tracker
	p := &Parent{Deadline: atMillis(100), Route: "sync"}
	r.Add(atMillis(0), p)
	r.StartCall(atMillis(1), p, true)
	mayCall := func(route string) bool { return route == "sync" }
	assert.Nil(t, r.Guess(atMillis(20), atMillis(720), mayCall))
	assert.Same(t, p, r.Any(mayCall))
	assert.Nil(t, r.Any(func(string) bool { return false }))
}
