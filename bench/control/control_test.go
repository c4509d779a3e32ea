package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong slopes, intercepts and errors of the least-squares fit.
func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 1, f.Intercept, 1e-9)
	require.InDelta(t, 0, f.SlopeErr, 1e-9)
	require.InDelta(t, 1, f.R2, 1e-9)
	f = FitLine([]float64{1, 2, 3, 4}, []float64{1, 2, 2, 3})
	require.InDelta(t, 0.6, f.Slope, 1e-9)
	require.InDelta(t, 0.1414, f.SlopeErr, 1e-3)
}

// Guards the targets of the design page at 200 nodes and 18,000 changes a day:
// under 3 KB/s at the busiest node, and changes active everywhere within 8 s.
func TestTargets(t *testing.T) {
	overhead, _, err := Transport(t.Context())
	require.NoError(t, err)
	for _, row := range Clusters(1, []int{50, 100, 200}, overhead) {
		switch row.Metric {
		case "bytes per second at the busiest node at 200 nodes":
			require.Less(t, row.Value, 3000.0)
		case "worst time to in force everywhere at 200 nodes":
			require.Less(t, row.Value, 8.0)
		}
	}
}
