package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	testNow       = time.Unix(1_700_000_000, 0)
	testAllowance = Config{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 50}
)

// Guards the bound of the fleet: all nodes together, each with its own view,
// never exceed ratio and slack in any window.
func TestFleetStaysWithinAllowance(t *testing.T) {
	const nodes, perSecond = 13, 40
	budgets := make([]*Limiter, nodes)
	for i := range budgets {
		budgets[i] = New(testAllowance)
	}
	var repeats []time.Time
	now := testNow
	for range 30 * perSecond {
		now = now.Add(time.Second / perSecond)
		for _, b := range budgets {
			b.OnRequest(now, "s")
			for b.Allow(now, "s", nodes) {
				repeats = append(repeats, now)
			}
		}
	}
	bound := testAllowance.Ratio*nodes*perSecond*testAllowance.Window.Seconds() + testAllowance.MinRetries
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Sub(from) < testAllowance.Window {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d repeats in the window from %v, bound %v", n, from.Sub(testNow), bound)
		}
	}
	assert.NotEmpty(t, repeats)
}

// Guards against repeats that a node was forced to count being spent again.
func TestCountedRepeatsUseTheBudget(t *testing.T) {
	b := New(testAllowance)
	for range 100 {
		b.OnRequest(testNow, "s")
	}
	for range 20 {
		b.OnUnplannedRetry(testNow, "s")
	}
	assert.False(t, b.Allow(testNow, "s", 13))
	assert.True(t, b.Allow(testNow.Add(30*time.Second), "s", 1), "an old window has passed")
}
