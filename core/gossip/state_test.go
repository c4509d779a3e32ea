package gossip

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/member"
)

// Guards against a standby reader that takes over after its own process was
// paused: the heartbeats look old only because of the pause, so it has to wait
// for its full timeout again.
func TestPausedStandbyReaderDoesNotTakeOver(t *testing.T) {
	var nodes []Node
	for i := range 20 {
		nodes = append(nodes, Node{ID: member.HostID(fmt.Sprintf("host-%02d", i)), Zone: "a"})
	}
	standby := Readers(nodes, "a", ReadersPerZone+1)[ReadersPerZone]
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	s := New(now, Config{Self: standby, Zone: "a", Random: random.IntN})
	s.Step(now, NodesChanged{Nodes: nodes})
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickPeriod)
			s.Step(now, Tick{})
		}
	}
	tick(time.Second)
	now = now.Add(time.Minute)
	tick(standbyTimeout - 500*time.Millisecond)
	require.False(t, s.Status().Reader)
	tick(takeoverJitter + time.Second)
	require.True(t, s.Status().Reader, "no reader heartbeat since it resumed")
}

// Guards against platform answers that mix revisions or are damaged.
func TestInconsistentPlatformAnswers(t *testing.T) {
	base := value(BaseName, 4, []byte("base"))
	overlay := value(OverlayPrefix+"a", 3, []byte("a"))
	current := snapshotOf(4, base, overlay)
	newBase := value(BaseName, 6, []byte("new base"))
	newOverlay := value(OverlayPrefix+"a", 5, []byte("new a"))
	next := snapshotOf(6, newBase, newOverlay)

	answer := PlatformAnswer{Revision: 6, Digest: next.Digest, Values: []Value{newBase, newOverlay}}
	got, err := current.merge(answer, false)
	require.NoError(t, err)
	require.Equal(t, next.Digest, got.Digest)

	missing := answer
	missing.Values = []Value{newBase}
	_, err = current.merge(missing, false)
	require.ErrorIs(t, err, ErrInconsistent, "a change of revision 5 is missing")

	newer := answer
	newer.Values = []Value{value(BaseName, 7, []byte("too new")), newOverlay}
	_, err = current.merge(newer, false)
	require.ErrorIs(t, err, ErrInconsistent, "a value is newer than the answer")

	truncated := answer
	truncated.Values = []Value{{Name: BaseName, Revision: 6, Sum: sha256.Sum256([]byte("new base")), Body: []byte("new")}, newOverlay}
	_, err = current.merge(truncated, false)
	require.ErrorIs(t, err, ErrCorrupt)

	contradictory := answer
	contradictory.Deleted = []string{OverlayPrefix + "a"}
	_, err = current.merge(contradictory, false)
	require.ErrorIs(t, err, ErrInconsistent, "a value is listed as removed and present")
}
