package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/calltree"
	"toucangw.example/core/retrybudget"
)

// Guards the allowance of the fleet against calls made by runs that were
// repeats: they count as repeats at the service that is called.
func TestCallsOfRepeatsUseTheBudget(t *testing.T) {
	allowed := func(repeat bool) bool {
		g := testGateway()
		g.budget = retrybudget.New(retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second})
		for range 100 {
			g.countRequest(&request{service: "deep", parent: &calltree.Parent{Retry: repeat}})
		}
		return g.budget.Allow(time.Now(), "deep", 1)
	}
	assert.True(t, allowed(false))
	assert.False(t, allowed(true))
}
