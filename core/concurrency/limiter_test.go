package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/verdict"
)

var testNow = time.Unix(1_700_000_000, 0)

func testEntry(rank Rank) *Request {
	return &Request{Rank: rank, Deadline: testNow.Add(time.Second)}
}

// Guards the upstream against more running requests than its limit.
func TestGateKeepsLimit(t *testing.T) {
	g := New(2)
	running := 0
	for range 5 {
		for _, d := range g.Offer(testNow, testEntry(1)) {
			if d.Refusal == nil {
				running++
			}
		}
	}
	assert.Equal(t, 2, running)
	assert.Equal(t, Load{Running: 2, Queued: 3, Limit: 2, Wait: g.Load().Wait}, g.Load())
}

// Guards against a less important request getting a slot before a more
// important one, and against calls of running requests waiting behind new ones.
func TestGateServesByRank(t *testing.T) {
	g := New(1)
	first := testEntry(1)
	require.Nil(t, g.Offer(testNow, first)[0].Refusal)
	low, high, call := testEntry(RankOf(2, false)), testEntry(RankOf(0, false)), testEntry(RankOf(2, true))
	for _, e := range []*Request{low, high, call} {
		require.Empty(t, g.Offer(testNow, e))
	}
	now, last := testNow, first
	for _, want := range []*Request{high, call, low} {
		now = now.Add(10 * time.Millisecond)
		d := g.Done(now, last, 10*time.Millisecond)
		require.Len(t, d, 1)
		assert.Same(t, want, d[0].Request)
		assert.Nil(t, d[0].Refusal)
		last = want
	}
}

// Guards against work that cannot be done in time taking a place in the queue,
// and against refusing the more important instead of the less important.
func TestGateRefusesWhatCannotBeServedInTime(t *testing.T) {
	g := New(1)
	require.Nil(t, g.Offer(testNow, testEntry(5))[0].Refusal)
	var refused []*Request
	for range 60 {
		for _, d := range g.Offer(testNow, testEntry(5)) {
			require.NotNil(t, d.Refusal)
			assert.Equal(t, verdict.NotRun, d.Refusal.Verdict)
			assert.Positive(t, d.Refusal.RetryAfter)
			refused = append(refused, d.Request)
		}
	}
	assert.NotEmpty(t, refused)
	high := testEntry(0)
	for _, d := range g.Offer(testNow, high) {
		assert.NotSame(t, high, d.Request)
		assert.NotNil(t, d.Refusal)
	}
}

// Guards against requests waiting on after their time.
func TestGateExpiresWaitingRequests(t *testing.T) {
	g := New(1)
	g.Offer(testNow, testEntry(0))
	late := testEntry(0)
	late.MaxWait = 100 * time.Millisecond
	require.Empty(t, g.Offer(testNow, late))
	assert.Empty(t, g.Expire(testNow.Add(99*time.Millisecond)))
	d := g.Expire(testNow.Add(100 * time.Millisecond))
	require.Len(t, d, 1)
	assert.Equal(t, verdict.DeadlineUnmet, d[0].Refusal.Reason)
}

// Guards against a cancelled request getting a slot, and against a slot that
// is freed twice.
func TestGateCancelAndDoubleDone(t *testing.T) {
	g := New(1)
	first, second := testEntry(0), testEntry(0)
	g.Offer(testNow, first)
	g.Offer(testNow, second)
	assert.True(t, g.Cancel(second))
	assert.False(t, g.Cancel(second))
	assert.Empty(t, g.Done(testNow, first, time.Millisecond))
	assert.Empty(t, g.Done(testNow, first, time.Millisecond))
	assert.Zero(t, g.Load().Running)
}
