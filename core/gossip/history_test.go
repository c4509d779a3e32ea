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
	histories       = 400
	historyNodes    = 12
	historySteps    = 25
	historyRecovery = 40 * time.Second
)

// history applies random faults to a cluster, several at once.
type history struct {
	c             *gossiptest.Cluster
	random        *rand.Rand
	published     int    // number of published versions
	newestValid   uint64 // revision of the newest valid version
	newestInvalid bool   // the newest version is invalid
}

func (h *history) node() *gossiptest.Node { return h.c.Nodes[h.random.IntN(len(h.c.Nodes))] }

func (h *history) publish(text string) {
	h.published++
	revision := h.c.Platform.Put(gossip.BaseName, base(h.published)+text)
	h.newestInvalid = text != ""
	if !h.newestInvalid {
		h.newestValid = revision
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
		n.Start(h.c.Seeds()...)
	case 8:
		h.node().Pause(time.Duration(h.random.IntN(8000)) * time.Millisecond)
	case 9:
		zone := gossiptest.ZoneName(h.random.IntN(4)) // the fourth zone has no nodes, which ends the partition
		inside := func(n *gossiptest.Node) bool { return n.Zone == zone }
		h.c.Partitioned = func(a, b *gossiptest.Node) bool { return inside(a) != inside(b) }
		h.c.PlatformPartitioned = inside
	case 10:
		h.c.Platform.Down = h.random.IntN(2) == 0
	case 11:
		h.c.Platform.Inconsistent = h.random.IntN(2) == 0
	}
	h.c.Run(time.Duration(h.random.IntN(2000)) * time.Millisecond)
}

// heal ends all faults, publishes a valid version if the newest is invalid, and
// starts all nodes that are down.
func (h *history) heal() {
	h.c.Partitioned, h.c.PlatformPartitioned = nil, nil
	h.c.Platform.Down, h.c.Platform.Inconsistent = false, false
	if h.newestInvalid {
		h.publish("")
	}
	for _, n := range h.c.Nodes {
		if !n.Up {
			n.Start(h.c.Seeds()...)
		}
	}
}

// Guards against any order and overlap of faults: no process goes back to an
// older revision or activates an invalid one, and after the last fault the
// newest valid version becomes active everywhere.
func TestFaultHistories(t *testing.T) {
	for seed := range uint64(histories) {
		c := gossiptest.NewCluster(seed)
		c.ValidationTime = time.Duration(seed%5) * 100 * time.Millisecond
		newest := map[member.HostID]uint64{}
		states := map[member.HostID]*gossip.State{}
		c.OnActivate = func(n *gossiptest.Node, snapshot *gossip.Snapshot) {
			if snapshot.Prefix != gossip.ConfigPrefix {
				return
			}
			if states[n.ID] != n.State {
				states[n.ID], newest[n.ID] = n.State, 0
			}
			require.Greater(t, snapshot.Revision, newest[n.ID], "seed %d: %s went back", seed, n.ID)
			require.NotContains(t, string(snapshot.Base()), "invalid", "seed %d: %s", seed, n.ID)
			newest[n.ID] = snapshot.Revision
		}
		c.Deploy(historyNodes, 3, base(0))
		h := &history{c: c, random: rand.New(rand.NewPCG(seed, 9)), newestValid: 7}
		c.Run(time.Duration(h.random.IntN(12)) * time.Second)
		for range historySteps {
			h.step()
		}
		h.heal()
		took := c.Converge(h.newestValid, historyRecovery)
		require.True(t, c.Converged(h.newestValid), "seed %d: revision %d not active everywhere after %s: %s", seed, h.newestValid, took, versions(c))
	}
}

func versions(c *gossiptest.Cluster) string {
	var out strings.Builder
	for _, n := range c.Nodes {
		fmt.Fprintf(&out, "%s=%d ", n.ID, n.State.Status().Active)
	}
	return out.String()
}
