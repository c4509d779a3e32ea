package spread_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/spread"
	"toucangw.example/core/spread/spreadtest"
)

// bound is the time within which a change is in force everywhere.
const bound = 8 * time.Second

func base(n int) string {
	return strings.Repeat("# service\nslots = 80\n", 500) + fmt.Sprintf("version = %d\n", n)
}

// deployed returns a fleet at rest with the first configuration in force.
func deployed(t *testing.T, seed uint64, nodes int) (*spreadtest.Fleet, uint64) {
	t.Helper()
	f := spreadtest.NewFleet(seed)
	f.Deploy(nodes, 3, base(0))
	revision := uint64(7)
	took := f.Spread(revision, 30*time.Second)
	require.True(t, f.InForce(revision), "no configuration after %s", took)
	f.Run(10 * time.Second)
	return f, revision
}

// Guards the start of a whole fleet at once: few nodes read the platform.
func TestStart(t *testing.T) {
	f := spreadtest.NewFleet(1)
	f.Deploy(60, 3, base(0))
	took := f.Spread(7, 30*time.Second)
	t.Log("start took", took, "platform reads", f.Platform.Reads)
	require.Less(t, took, bound)
	require.Less(t, f.Platform.Reads, 60)
}

// Guards two changes in quick succession: the later one is in force in the end.
func TestTwoChangesInQuickSuccession(t *testing.T) {
	f, _ := deployed(t, 2, 60)
	f.Platform.Put(spread.BaseName, base(1))
	f.Run(30 * time.Millisecond)
	second := f.Platform.Put(spread.BaseName, base(2))
	require.Less(t, f.Spread(second, 30*time.Second), bound)
}
