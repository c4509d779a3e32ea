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

// Guards a deputy that was paused: the readers looked silent only because it
// stood still, so it does not take over until it has listened again.
func TestPausedDeputyDoesNotTakeOver(t *testing.T) {
	var nodes []Node
	for i := range 20 {
		nodes = append(nodes, Node{ID: member.HostID(fmt.Sprintf("host-%02d", i)), Zone: "a"})
	}
	deputy := Readers(nodes, "a", ReadersPerZone+1)[ReadersPerZone]
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	s := New(now, Config{Self: deputy, Zone: "a", Random: random.IntN})
	s.Step(now, NodesChanged{Nodes: nodes})
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(TickPeriod)
			s.Step(now, Tick{})
		}
	}
	tick(time.Second)
	now = now.Add(time.Minute)
	tick(deputyDelay - 500*time.Millisecond)
	require.False(t, s.Status().Reader)
	tick(takeoverJitter + time.Second)
	require.True(t, s.Status().Reader, "no sign of a reader since it woke")
}

// Guards against answers of the platform that mix revisions or are damaged.
func TestTornPlatformAnswers(t *testing.T) {
	base := value(BaseName, 4, []byte("base"))
	overlay := value(OverlayPrefix+"a", 3, []byte("a"))
	held := setOf(4, base, overlay)
	newBase := value(BaseName, 6, []byte("new base"))
	newOverlay := value(OverlayPrefix+"a", 5, []byte("new a"))
	whole := setOf(6, newBase, newOverlay)

	answer := PlatformAnswer{Revision: 6, Digest: whole.Digest, Values: []Value{newBase, newOverlay}}
	got, err := held.merge(answer, false)
	require.NoError(t, err)
	require.Equal(t, whole.Digest, got.Digest)

	missing := answer
	missing.Values = []Value{newBase}
	_, err = held.merge(missing, false)
	require.ErrorIs(t, err, ErrInconsistent, "a change of revision 5 is missing")

	newer := answer
	newer.Values = []Value{value(BaseName, 7, []byte("too new")), newOverlay}
	_, err = held.merge(newer, false)
	require.ErrorIs(t, err, ErrInconsistent, "a value is newer than the answer")

	cut := answer
	cut.Values = []Value{{Name: BaseName, Revision: 6, Sum: sha256.Sum256([]byte("new base")), Body: []byte("new")}, newOverlay}
	_, err = held.merge(cut, false)
	require.ErrorIs(t, err, ErrCorrupt)

	kept := answer
	kept.Deleted = []string{OverlayPrefix + "a"}
	_, err = held.merge(kept, false)
	require.ErrorIs(t, err, ErrInconsistent, "a value is listed as removed and present")
}
