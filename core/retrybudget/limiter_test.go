package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	testNow    = time.Unix(1_700_000_000, 0)
	testConfig = Config{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 50}
)

// Guards the bound: all nodes together, each with its own counts, never exceed
// the ratio and the minimum in any window.
func TestNodesStayWithinBudget(t *testing.T) {
	const nodes, perSecond = 13, 40
	limiters := make([]*Limiter, nodes)
	for i := range limiters {
		limiters[i] = New(testConfig)
	}
	var retries []time.Time
	now := testNow
	for range 30 * perSecond {
		now = now.Add(time.Second / perSecond)
		for _, l := range limiters {
			l.OnRequest(now, "s")
			for l.Allow(now, "s", nodes) {
				retries = append(retries, now)
			}
		}
	}
	bound := testConfig.Ratio*nodes*perSecond*testConfig.Window.Seconds() + testConfig.MinRetries
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Sub(from) < testConfig.Window {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d retries in the window from %v, bound %v", n, from.Sub(testNow), bound)
		}
	}
	assert.NotEmpty(t, retries)
}

// Guards against spending budget that unplanned retries have used already.
func TestUnplannedRetriesUseTheBudget(t *testing.T) {
	l := New(testConfig)
	for range 100 {
		l.OnRequest(testNow, "s")
	}
	for range 20 {
		l.OnUnplannedRetry(testNow, "s")
	}
	assert.False(t, l.Allow(testNow, "s", 13))
	assert.True(t, l.Allow(testNow.Add(30*time.Second), "s", 1), "an old window has passed")
}
