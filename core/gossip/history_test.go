package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/gossip"
	"toucangw.example/core/gossip/gossiptest"
	"toucangw.example/core/member"
)

const (
	histories      = 400
	historyNodes   = 12
	historySteps   = 25
	historyRecover = 40 * time.Second
)

// history applies random faults to a fleet, several at once.
type history struct {
	f      *gossiptest.Cluster
	random *rand.Rand
	n      int    // published versions
	valid  uint64 // revision of the newest valid version
	broken bool   // the newest version is not valid
}

func (h *history) node() *gossiptest.Node { return h.f.Nodes[h.random.IntN(len(h.f.Nodes))] }

func (h *history) publish(text string) {
	h.n++
	revision := h.f.Platform.Put(gossip.BaseName, base(h.n)+text)
	h.broken = text != ""
	if !h.broken {
		h.valid = revision
	}
}

func (h *history) step() {
	switch h.random.IntN(12) {
	case 0, 1, 2:
		h.publish("")
	case 3:
		h.publish("invalid")
	case 4, 5:
		h.node().Kill()
	case 6, 7:
		n := h.node()
		n.Kill()
		n.Start(h.f.Seeds()...)
	case 8:
		h.node().Pause(time.Duration(h.random.IntN(8000)) * time.Millisecond)
	case 9:
		zone := gossiptest.ZoneName(h.random.IntN(4)) // the fourth has no nodes: heals
		inside := func(n *gossiptest.Node) bool { return n.Zone == zone }
		h.f.Partitioned = func(a, b *gossiptest.Node) bool { return inside(a) != inside(b) }
		h.f.PlatformPartitioned = inside
	case 10:
		h.f.Platform.Down = h.random.IntN(2) == 0
	case 11:
		h.f.Platform.Inconsistent = h.random.IntN(2) == 0
	}
	h.f.Run(time.Duration(h.random.IntN(2000)) * time.Millisecond)
}

// end lifts all faults, publishes a valid version if the newest is not, and
// starts all nodes that are down.
func (h *history) end() {
	h.f.Partitioned, h.f.PlatformPartitioned = nil, nil
	h.f.Platform.Down, h.f.Platform.Inconsistent = false, false
	if h.broken {
		h.publish("")
	}
	for _, n := range h.f.Nodes {
		if !n.Up {
			n.Start(h.f.Seeds()...)
		}
	}
}

// Guards any order and overlap of faults: no process goes back to an older
// revision or takes an invalid one into force, and after the last fault the
// newest valid version is in force everywhere.
func TestFaultHistories(t *testing.T) {
	for seed := range uint64(histories) {
		f := gossiptest.NewCluster(seed)
		f.ValidationTime = time.Duration(seed%5) * 100 * time.Millisecond
		newest := map[member.HostID]uint64{}
		states := map[member.HostID]*gossip.State{}
		f.OnActivate = func(n *gossiptest.Node, set *gossip.Snapshot) {
			if set.Prefix != gossip.ConfigPrefix {
				return
			}
			if states[n.ID] != n.State {
				states[n.ID], newest[n.ID] = n.State, 0
			}
			require.Greater(t, set.Revision, newest[n.ID], "seed %d: %s went back", seed, n.ID)
			require.NotContains(t, string(set.Base()), "invalid", "seed %d: %s", seed, n.ID)
			newest[n.ID] = set.Revision
		}
		f.Deploy(historyNodes, 3, base(0))
		h := &history{f: f, random: rand.New(rand.NewPCG(seed, 9)), valid: 7}
		f.Run(time.Duration(h.random.IntN(12)) * time.Second)
		for range historySteps {
			h.step()
		}
		h.end()
		took := f.Converge(h.valid, historyRecover)
		require.True(t, f.Converged(h.valid), "seed %d: revision %d not in force everywhere after %s: %s", seed, h.valid, took, versions(f))
	}
}

func versions(f *gossiptest.Cluster) string {
	var out strings.Builder
	for _, n := range f.Nodes {
		fmt.Fprintf(&out, "%s=%d ", n.ID, n.State.Status().Active)
	}
	return out.String()
}
