package pressure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/call"
	"toucangw.example/core/pressure"
)

var (
	t0    = time.Unix(1000, 0)
	class = pressure.Class{Service: "ledger", Kind: "batch-read", Caller: "a"}
)

func random() func(int) int { return rand.New(rand.NewPCG(1, 2)).IntN }

func rank(importance call.Importance, id int) call.Rank {
	return call.NewRank(importance, 1, 10*time.Millisecond, fmt.Sprint(id))
}

// admitted offers n calls at one moment and returns the share admitted.
func admitted(table pressure.Table, now time.Time, importance call.Importance, n int) float64 {
	got := 0
	for id := range n {
		if ok, _ := table.Admit(now, class, rank(importance, id)); ok {
			got++
		}
	}
	return float64(got) / float64(n)
}

// report lets the table record the rank of the class, and reports the threshold
// often enough for the average to converge.
func report(table pressure.Table, now time.Time, threshold call.Rank) {
	table.Observe(now, class, threshold)
	table.Admit(now, class, rank(call.Low, 0))
	for range 30 {
		table.Observe(now, class, threshold)
	}
}

// Guards against sending work to an upstream that will reject it.
func TestRejectsBelowThreshold(t *testing.T) {
	table := pressure.New(random())
	assert.Equal(t, 1.0, admitted(table, t0, call.Low, 100), "no threshold has been reported")
	report(table, t0, call.LowestOf(call.Normal))
	assert.Less(t, admitted(table, t0, call.Low, 1000), 0.01)
}

// Guards against an all-or-nothing response to a threshold within the class.
func TestThresholdWithinClassAdmitsShare(t *testing.T) {
	table := pressure.New(random())
	base := rank(call.Low, 0) >> 12 << 12
	report(table, t0, base+1024)
	assert.InDelta(t, 0.75, admitted(table, t0, call.Low, 4000), 0.03)
	again := admitted(table, t0, call.Low, 4000)
	assert.InDelta(t, 0.75, again, 0.03, "the same requests are admitted at each attempt")
}

// Guards against shedding critical calls because of a report alone.
func TestCriticalIsNeverRejected(t *testing.T) {
	table := pressure.New(random())
	report(table, t0, call.LowestOf(call.Critical+1))
	assert.Equal(t, 1.0, admitted(table, t0, call.Critical, 1000))
}

// Guards against thresholds that outlive the overload.
func TestThresholdDecaysWithinOneSecond(t *testing.T) {
	table := pressure.New(random())
	report(table, t0, call.LowestOf(call.Normal))
	assert.Equal(t, 0.0, admitted(table, t0, call.Low, 500))
	assert.NotZero(t, table.Threshold(t0.Add(50*time.Millisecond), class))
	assert.Greater(t, admitted(table, t0.Add(700*time.Millisecond), call.Low, 1000), 0.9)
	assert.Greater(t, admitted(table, t0.Add(2*time.Second), call.Low, 1000), 0.99)
	assert.Zero(t, table.Threshold(t0.Add(5*time.Second), class))
}

// Guards against a rejected class that never notices the end of the overload,
// and against probes that cause noticeable load.
func TestProbesAreAdmitted(t *testing.T) {
	table := pressure.New(random())
	threshold := call.LowestOf(call.Normal)
	report(table, t0, threshold)
	probes := 0
	for ms := range 1000 {
		now := t0.Add(time.Duration(ms) * time.Millisecond)
		if ok, _ := table.Admit(now, class, rank(call.Low, ms)); ok {
			probes++
			table.Observe(now, class, threshold)
		}
	}
	assert.InDelta(t, 7, probes, 3)
}

// Guards against a retry-after time at which the threshold still applies, and
// against one that makes all clients retry at the same moment.
func TestRetryAfterIsSufficientAndJittered(t *testing.T) {
	table := pressure.New(random())
	report(table, t0, call.LowestOf(call.Normal))
	times := map[time.Duration]bool{}
	for id := range 100 {
		r := rank(call.Low, id)
		ok, after := table.Admit(t0.Add(time.Millisecond), class, r)
		assert.False(t, ok)
		assert.GreaterOrEqual(t, after, 75*time.Millisecond)
		assert.Less(t, after, 3*time.Second)
		times[after] = true
		tie := float64(r&0xfff) / 4096
		if tie > 0.1 {
			later := t0.Add(time.Second)
			ok, _ = table.Admit(later, class, r)
			assert.True(t, ok, "without further reports, a retry after the advised time succeeds")
			break
		}
	}
	assert.NotEmpty(t, times)
}

// Guards against using old thresholds after a pause.
func TestResetDropsThresholds(t *testing.T) {
	table := pressure.New(random())
	report(table, t0, call.LowestOf(call.Normal))
	table.Reset()
	assert.Equal(t, 1.0, admitted(table, t0, call.Low, 100))
	assert.Zero(t, table.Threshold(t0, class))
}
