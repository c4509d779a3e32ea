package engine_test

import (
	"flag"
	"fmt"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/engine"
	"toucangw.example/core/internal/history"
)

// Size of TestHistories in CI: parts run in parallel, each with its own range of
// seeds.
const (
	historyParts     = 10
	historiesPerPart = 1_050
)

var (
	historySeed  = flag.Uint64("history.seed", 0, "replay this one history of TestHistories with its trace")
	historyFirst = flag.Uint64("history.first", 1, "first seed of TestHistories, to try others than CI does")
)

func historyOptions(seed uint64) history.Options {
	return history.Options{Seed: seed, Records: engine.Records}
}

// Guards the invariants of design section 1.1 that concern single calls, under
// generated faults. The checks are in package history, file check.go.
func TestHistories(t *testing.T) {
	if *historySeed != 0 {
		opt := historyOptions(*historySeed)
		opt.Trace = func(line string) { fmt.Println(line) }
		_, err := history.Run(opt)
		require.NoError(t, err)
		return
	}
	// Less frequent garbage collection saves a third of the processor time.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	parts := make([]history.Stats, historyParts)
	t.Run("parts", func(t *testing.T) {
		for part := range parts {
			t.Run(fmt.Sprint(part), func(t *testing.T) {
				t.Parallel()
				for i := range historiesPerPart {
					seed := *historyFirst + uint64(part*historiesPerPart+i)
					stats, err := history.Run(historyOptions(seed))
					if err != nil {
						t.Fatalf("%v\nreplay: go test ./core/engine -run 'TestHistories$' -history.seed=%d", err, seed)
					}
					parts[part].Add(stats)
				}
			})
		}
	})
	var all history.Stats
	for _, s := range parts {
		all.Add(s)
	}
	t.Logf("%+v", all)
	assert.Greater(t, all.Answered, all.Calls/3, "the histories must not consist of refusals only")
}
