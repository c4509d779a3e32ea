package concurrency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/verdict"
)

var testNow = time.Unix(1_700_000_000, 0)

func testRequest(rank Rank) *Request {
	return &Request{Rank: rank, Deadline: testNow.Add(time.Second)}
}

// Guards against more running requests than the limit.
func TestLimiterKeepsLimit(t *testing.T) {
	l := New(2)
	running := 0
	for range 5 {
		for _, d := range l.Offer(testNow, testRequest(1)) {
			if d.Refusal == nil {
				running++
			}
		}
	}
	assert.Equal(t, 2, running)
	load := l.Load(testNow)
	assert.Equal(t, Load{Running: 2, Queued: 3, Limit: 2, Capacity: 2, Wait: load.Wait}, load)
}

// Guards against a less important request that gets a slot before a more
// important one, and against sub-calls that wait behind new requests.
func TestLimiterServesByRank(t *testing.T) {
	l := New(1)
	first := testRequest(1)
	require.Nil(t, l.Offer(testNow, first)[0].Refusal)
	low, high, subCall := testRequest(RankOf(2, false)), testRequest(RankOf(0, false)), testRequest(RankOf(2, true))
	for _, req := range []*Request{low, high, subCall} {
		require.Empty(t, l.Offer(testNow, req))
	}
	now, last := testNow, first
	for _, want := range []*Request{high, subCall, low} {
		now = now.Add(10 * time.Millisecond)
		d := l.Done(now, last, 10*time.Millisecond)
		require.Len(t, d, 1)
		assert.Same(t, want, d[0].Request)
		assert.Nil(t, d[0].Refusal)
		last = want
	}
}

// Guards against queueing requests that cannot be served in time, and against
// rejecting a more important request instead of a less important one.
func TestLimiterRejectsWhatCannotBeServedInTime(t *testing.T) {
	l := New(1)
	require.Nil(t, l.Offer(testNow, testRequest(5))[0].Refusal)
	var rejected []*Request
	for range 60 {
		for _, d := range l.Offer(testNow, testRequest(5)) {
			require.NotNil(t, d.Refusal)
			assert.Equal(t, verdict.NotRun, d.Refusal.Verdict)
			assert.Positive(t, d.Refusal.RetryAfter)
			rejected = append(rejected, d.Request)
		}
	}
	assert.NotEmpty(t, rejected)
	high := testRequest(0)
	for _, d := range l.Offer(testNow, high) {
		assert.NotSame(t, high, d.Request)
		assert.NotNil(t, d.Refusal)
	}
}

// Guards against requests that wait for longer than MaxWait.
func TestLimiterExpiresWaitingRequests(t *testing.T) {
	l := New(1)
	l.Offer(testNow, testRequest(0))
	late := testRequest(0)
	late.MaxWait = 100 * time.Millisecond
	require.Empty(t, l.Offer(testNow, late))
	assert.Empty(t, l.Expire(testNow.Add(99*time.Millisecond)))
	d := l.Expire(testNow.Add(100 * time.Millisecond))
	require.Len(t, d, 1)
	assert.Equal(t, verdict.DeadlineUnmet, d[0].Refusal.Reason)
}

// Guards against a cancelled request that gets a slot, and against a slot that
// is freed twice.
func TestLimiterCancelAndDoubleDone(t *testing.T) {
	l := New(1)
	first, second := testRequest(0), testRequest(0)
	l.Offer(testNow, first)
	l.Offer(testNow, second)
	assert.True(t, l.Cancel(second))
	assert.False(t, l.Cancel(second))
	assert.Empty(t, l.Done(testNow, first, time.Millisecond))
	assert.Empty(t, l.Done(testNow, first, time.Millisecond))
	assert.Zero(t, l.Load(testNow).Running)
}
