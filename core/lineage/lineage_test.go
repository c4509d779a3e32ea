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
