package calltree

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var testNow = time.Unix(1_700_000_000, 0)

func anyRoute(string) bool { return true }

func after(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a call taking the rank of a request that is not its parent.
func TestMatchTakesNearestDeadline(t *testing.T) {
	var r Register
	a := &Parent{Deadline: after(500), Route: "a"}
	b := &Parent{Deadline: after(505), Route: "b"}
	r.Add(testNow, a)
	r.Add(testNow, b)
	assert.Same(t, a, r.Match(after(499), anyRoute))
	assert.Same(t, b, r.Match(after(504), anyRoute))
	assert.Nil(t, r.Match(after(520), anyRoute))
	r.Remove(a)
	r.Remove(a)
	assert.Nil(t, r.Match(after(497), anyRoute))
	assert.Equal(t, 1, r.Len())
}

// Guards against the calls of a parent with more time left than their own
// limit being taken for those of another.
func TestGuessFollowsTheOrderOfCalls(t *testing.T) {
	var r Register
	short := &Parent{Deadline: after(300), Own: "short"}
	older := &Parent{Deadline: after(900), Own: "sync"}
	newer := &Parent{Deadline: after(950), Own: "sync"}
	stale := &Parent{Deadline: after(990), Own: "sync"}
	r.Add(after(-400), stale) // its calls were taken for those of others
	r.Add(after(0), short)
	r.Add(after(1), older)
	r.Add(after(15), newer)
	assert.Same(t, older, r.Guess(after(20), after(720), anyRoute), "its age fits a first call")
	r.Called(after(20), older, false)
	assert.Same(t, newer, r.Guess(after(30), after(730), anyRoute), "the other has a call in progress")
	r.Called(after(30), newer, false)
	r.End(after(100), newer)
	r.End(after(101), older)
	assert.Same(t, newer, r.Next(after(101), after(801), newer), "the same connection")
	assert.Nil(t, r.Next(after(103), after(803), newer), "too late after the call before")
	assert.Nil(t, r.Next(after(101), after(955), newer), "the call ends after its parent")
	r.Remove(newer)
	assert.Nil(t, r.Next(after(101), after(801), newer), "the parent has ended")
	assert.Same(t, older, r.Guess(after(102), after(802), anyRoute))
	r.Remove(older)
	assert.Nil(t, r.Guess(after(102), after(802), anyRoute))
}

// Guards against requests of clients that match a deadline by chance being
// taken for calls, and against calls that reach their own limit being taken
// for requests of clients.
func TestCallsTellsRoutesApart(t *testing.T) {
	var c Calls
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

// Guards against calls being attributed to requests that make none, also where
// so many run that some match by chance.
func TestParentsAreOfRoutesThatCall(t *testing.T) {
	var c Calls
	chance := map[string]float64{"sync": 0.9, "seldom": 0.04, "read": 0.5}
	for i := range 400 {
		own := "sync"
		switch {
		case i%5 == 0:
			own = "read" // by chance
		case i%20 == 1:
			own = "seldom"
		}
		c.Matched(own, "feed", chance)
	}
	assert.True(t, c.Makes("sync", "feed"))
	assert.True(t, c.Makes("seldom", "feed"))
	assert.False(t, c.Makes("read", "feed"))
	assert.True(t, c.Makes("read", "unknown"), "nothing is known yet")

	var crowd Register
	for i := range 100 {
		crowd.Add(after(0), &Parent{Deadline: after(1000 + i), Own: "read"})
	}
	assert.InDelta(t, 7, crowd.Chance(after(1050))["read"], 0.5, "one expires each millisecond")

	assert.False(t, c.Observe("feed", 700*time.Millisecond, false))
	assert.True(t, c.Telling("feed", 500*time.Millisecond))
	assert.False(t, c.Telling("feed", 600*time.Millisecond), "limits of one route differ")

	var r Register
	read := &Parent{Deadline: after(900), Own: "read"}
	sync := &Parent{Deadline: after(910), Own: "sync"}
	r.Add(after(0), read)
	r.Add(after(1), sync)
	makes := func(own string) bool { return c.Makes(own, "feed") }
	assert.Same(t, sync, r.Guess(after(20), after(720), makes))
	assert.Nil(t, r.Match(after(900), makes))
}

// Guards calls whose own limits differ: none of them matches a parent, but they
// all begin at one service, while those of clients begin at several.
func TestRoutesOfOneOriginAreCalled(t *testing.T) {
	var o Origins
	var c Calls
	services := []string{"front", "middle", "deep"}
	for i := range 300 {
		c.Origin("clients", o.Count("clients", services[i%3]))
		for range 20 {
			c.Origin("called", o.Count("called", "middle"))
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

// Guards against chance: among many running requests one expires with any call,
// also where the calls have shorter limits of their own.
func TestDeadlinesOfHiddenParentsTellNothing(t *testing.T) {
	var c Calls
	p := &Parent{Deadline: after(1000)}
	for i := range 200 {
		c.Expired("hidden", p.Expires(after(580+i)))
		c.Expired("shown", p.Expires(after(1000)))
	}
	assert.False(t, c.Shown("hidden"))
	assert.True(t, c.Shown("shown"))
	assert.True(t, c.Shown("new"), "nothing is known yet")
}

// Guards calls without a likely parent: a request that makes such calls stands
// for it.
func TestAnyParentThatMakesTheCall(t *testing.T) {
	var r Register
	p := &Parent{Deadline: after(100), Own: "sync"}
	r.Add(after(0), p)
	r.Called(after(1), p, true)
	makes := func(own string) bool { return own == "sync" }
	assert.Nil(t, r.Guess(after(20), after(720), makes))
	assert.Same(t, p, r.Any(makes))
	assert.Nil(t, r.Any(func(string) bool { return false }))
}
