package baseline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// Guards against a round-robin baseline that skips hosts or picks an excluded
// one, which would make comparisons unfair.
func TestRoundRobinTakesHostsInTurn(t *testing.T) {
	r := NewRoundRobin(route.Locality{}, nil)
	req := &call.Request{Service: "s"}
	_, ok := r.Pick(time.Time{}, req, nil)
	assert.False(t, ok)
	r.SetHosts(time.Time{}, "s", []member.Host{{ID: "b"}, {ID: "a"}, {ID: "c"}})
	var got []member.HostID
	for range 4 {
		c, ok := r.Pick(time.Time{}, req, []member.HostID{"b"})
		assert.True(t, ok)
		got = append(got, c.Host.ID)
	}
	assert.Equal(t, []member.HostID{"a", "c", "a", "c"}, got)
	_, ok = r.Pick(time.Time{}, req, []member.HostID{"a", "b", "c"})
	assert.False(t, ok)
}

// Guards against a baseline that would run an at-most-once request twice.
func TestUnlimitedBudget(t *testing.T) {
	b := NewUnlimitedBudget()
	assert.True(t, b.Allow(time.Time{}, "s", retry.Failure{Idempotent: true}))
	assert.True(t, b.Allow(time.Time{}, "s", retry.Failure{Verdict: verdict.NotRun}))
	assert.False(t, b.Allow(time.Time{}, "s", retry.Failure{Verdict: verdict.MayHaveRun}))
}
