package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/calltree"
	"toucangw.example/core/retrybudget"
)

// Guards against the retry budget being exceeded by the calls that retries make:
// such calls count as retries to the service that they call.
func TestCallsOfRetriesUseTheBudget(t *testing.T) {
	allowed := func(retry bool) bool {
		g := testGateway()
		g.budget = retrybudget.New(retrybudget.Config{Ratio: 0.2, Window: 10 * time.Second})
		for range 100 {
			g.countRequest(&request{service: "deep", parent: &calltree.Parent{Retry: retry}})
		}
		return g.budget.Allow(time.Now(), "deep", 1)
	}
	assert.True(t, allowed(false))
	assert.False(t, allowed(true))
}
