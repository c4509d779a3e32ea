package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The bounds of docs/design.md 1.6.
const (
	minGoodput  = 0.95
	minCritical = 0.999
	maxRecovery = time.Second
	maxWasted   = 0.03
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

// Guards against failed critical requests, slow recovery, wasted slot time,
// retries beyond the credit, and violated guarantees of execution, under a surge
// and while the deepest service is slowed down and restored. With a surge, also
// against goodput too far below the oracle's. Each target is a subtest.
func TestDesignTargets(t *testing.T) {
	for _, d := range []*Deployment{Drooglog(), Kandy()} {
		for _, name := range []string{"surge-3x", "slow-deep-5x"} {
			t.Run(d.Name+"/"+name, func(t *testing.T) {
				t.Parallel()
				r := Run(d, scenario(t, name), Product(), 1)
				t.Run("recovery", func(t *testing.T) {
					assert.True(t, r.Recovered)
					assert.LessOrEqual(t, r.Recovery, maxRecovery)
				})
				t.Run("critical", func(t *testing.T) {
					require.True(t, r.CriticalFits)
					assert.GreaterOrEqual(t, r.CriticalInTime, minCritical)
				})
				t.Run("promises", func(t *testing.T) {
					assert.Zero(t, r.FalseNotRun)
					assert.Zero(t, r.RunTwice)
					assert.LessOrEqual(t, r.MaxRetries, extraAttempts)
				})
				t.Run("wasted", func(t *testing.T) {
					assert.Less(t, r.WastedShare, maxWasted)
				})
				t.Run("order", func(t *testing.T) {
					assert.Less(t, r.Shed["critical"], 0.001)
				})
				if name == "slow-deep-5x" {
					return
				}
				t.Run("goodput", func(t *testing.T) {
					assert.GreaterOrEqual(t, r.Goodput, minGoodput*r.Oracle)
				})
			})
		}
	}
}

// Guards against non-deterministic runs: the results of two versions can be
// compared only if equal seeds give equal results.
func TestRunIsRepeatable(t *testing.T) {
	d := Drooglog().Shrink(8)
	s := scenario(t, "cold-restart+hard-retries")
	for _, v := range Variants() {
		assert.Equal(t, Run(d, s, v, 7), Run(d, s, v, 7), v.Name)
	}
}

// Guards against a wrong upper bound: the oracle must saturate the bottleneck
// exactly, prefer kinds of higher worth and never use more slots than there are.
func TestOracle(t *testing.T) {
	d := Drooglog()
	full := 0.0
	for _, k := range d.Kinds {
		full += k.Mix * k.Worth
	}
	value, _ := d.oracle(d.Capacity(), conditions{})
	assert.InDelta(t, full*d.Capacity(), value, 1e-3*value, "the capacity fits exactly")
	value, rates := d.oracle(10*d.Capacity(), conditions{})
	assert.Greater(t, value, full*d.Capacity())
	use, capacity := d.slotSeconds(), d.capacities(conditions{})
	for i := range use {
		assert.LessOrEqual(t, dot(use[i], rates), 1.0001*capacity[i])
	}
	half, _ := d.oracle(10*d.Capacity(), conditions{slotShares: map[string]float64{"release": 0.5}})
	assert.Less(t, half, value)
	assert.False(t, d.criticalFits(10*d.Capacity(), conditions{}))
	assert.True(t, d.criticalFits(3*d.Capacity(), conditions{}))
}

// Guards against a measurement that misses retries: without overload control,
// they must multiply when the deepest service is slow. Also guards against a
// product that is no better than this baseline.
func TestRetriesMultiplyWithoutControl(t *testing.T) {
	d := Drooglog().Shrink(4)
	s := scenario(t, "hard-retries")
	none := Run(d, s, None(), 1)
	product := Run(d, s, Product(), 1)
	assert.Greater(t, none.MaxRetries, extraAttempts)
	assert.LessOrEqual(t, product.MaxRetries, extraAttempts)
	assert.Greater(t, product.Goodput, none.Goodput)
}
