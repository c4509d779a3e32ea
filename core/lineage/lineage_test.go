package lineage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a call taking the rank of a request that is not its parent.
func TestFindTakesNearestDeadline(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var r Register
	a := &Parent{Deadline: now.Add(500 * time.Millisecond), Route: "a"}
	b := &Parent{Deadline: now.Add(520 * time.Millisecond), Route: "b"}
	r.Add(a)
	r.Add(b)
	assert.Same(t, a, r.Find(now.Add(503*time.Millisecond)))
	assert.Same(t, b, r.Find(now.Add(515*time.Millisecond)))
	assert.Nil(t, r.Find(now.Add(800*time.Millisecond)))
	r.Remove(a)
	r.Remove(a)
	assert.Nil(t, r.Find(now.Add(500*time.Millisecond)))
	assert.Equal(t, 1, r.Len())
}

// Guards against the calls of a parent with more time left than their own
// limit losing their rank.
func TestMostUrgentOutlivesTheCall(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var r Register
	r.Add(&Parent{Deadline: now.Add(300 * time.Millisecond), Priority: 0, Route: "short"})
	low := &Parent{Deadline: now.Add(900 * time.Millisecond), Priority: 2, Route: "low"}
	high := &Parent{Deadline: now.Add(950 * time.Millisecond), Priority: 1, Route: "high"}
	r.Add(low)
	r.Add(high)
	assert.Same(t, high, r.MostUrgent(now.Add(700*time.Millisecond)))
	assert.Nil(t, r.MostUrgent(now.Add(time.Second)))
}

// Guards against requests of clients that match a deadline by chance being
// taken for calls.
func TestCallsTellsRoutesApart(t *testing.T) {
	var c Calls
	for i := range 200 {
		c.Observe("called", i%20 != 0)
		c.Observe("clients", i%3 == 0)
	}
	assert.True(t, c.Observe("called", false))
	assert.False(t, c.Observe("clients", true))
}
