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

// maxConvergence is the time within which a change has to be active on all
// nodes.
const maxConvergence = 8 * time.Second

func base(n int) string {
	return strings.Repeat("# service\nslots = 80\n", 500) + fmt.Sprintf("version = %d\n", n)
}

// newCheckedCluster returns a cluster that fails the test if any node,
// restarted or not, goes back to an older revision or activates an invalid
// snapshot.
func newCheckedCluster(t *testing.T, seed uint64) *gossiptest.Cluster {
	c := gossiptest.NewCluster(seed)
	newest := map[member.HostID]uint64{}
	c.OnActivate = func(n *gossiptest.Node, snapshot *gossip.Snapshot) {
		if snapshot.Prefix != gossip.ConfigPrefix {
			return
		}
		if snapshot.Revision < newest[n.ID] {
			t.Errorf("%s went back from revision %d to %d", n.ID, newest[n.ID], snapshot.Revision)
		}
		newest[n.ID] = snapshot.Revision
		if strings.Contains(string(snapshot.Base()), "invalid") {
			t.Errorf("%s activated an invalid base", n.ID)
		}
	}
	return c
}

// deployCluster returns a cluster in which the first configuration is active on
// all nodes.
func deployCluster(t *testing.T, seed uint64, nodes int) (*gossiptest.Cluster, uint64) {
	t.Helper()
	c := newCheckedCluster(t, seed)
	c.Deploy(nodes, 3, base(0))
	revision := uint64(7)
	took := c.Converge(revision, 30*time.Second)
	require.Less(t, took, 30*time.Second)
	c.Run(10 * time.Second)
	return c, revision
}

// Guards against a cluster whose nodes all read the platform when they start at
// the same time.
func TestClusterBootstrap(t *testing.T) {
	c := newCheckedCluster(t, 1)
	c.Deploy(60, 3, base(0))
	took := c.Converge(7, 30*time.Second)
	t.Log("start took", took, "platform reads", c.Platform.Reads)
	require.Less(t, took, maxConvergence)
	require.Less(t, c.Platform.Reads, 60)
}

// Guards two changes in quick succession: the later one becomes active
// everywhere.
func TestTwoChangesInQuickSuccession(t *testing.T) {
	c, _ := deployCluster(t, 2, 60)
	c.Platform.Put(gossip.BaseName, base(1))
	c.Run(30 * time.Millisecond)
	second := c.Platform.Put(gossip.BaseName, base(2))
	require.Less(t, c.Converge(second, 30*time.Second), maxConvergence)
}

// Guards against an invalid change: it is not activated, is reported with its
// reason, and does not delay the next valid one.
func TestInvalidThenValid(t *testing.T) {
	c, first := deployCluster(t, 3, 60)
	bad := c.Platform.Put(gossip.BaseName, "invalid")
	c.Run(5 * time.Second)
	require.True(t, c.Converged(first))
	for _, n := range c.Readers() {
		require.Equal(t, bad, n.State.Status().Rejected)
		require.Equal(t, "base is invalid", n.State.Status().Reason)
	}
	c.Run(20 * time.Second)
	for _, n := range c.Nodes {
		require.Equal(t, "base is invalid", n.State.Status().Reason, "operators see it at any node")
	}
	good := c.Platform.Put(gossip.BaseName, base(1))
	require.Less(t, c.Converge(good, 30*time.Second), maxConvergence)
	require.Zero(t, c.Readers()[0].State.Status().Rejected)

	c.Platform.Put(gossip.BaseName, "invalid")
	c.Run(5 * time.Millisecond)
	good = c.Platform.Put(gossip.BaseName, base(2))
	require.Less(t, c.Converge(good, 30*time.Second), maxConvergence)
}

// Guards against a base and an overlay that contradict each other: neither
// becomes active at any site, including sites that the overlay does not
// concern.
func TestOverlayContradictsBase(t *testing.T) {
	c, first := deployCluster(t, 4, 60)
	c.Platform.Put(gossip.OverlayPrefix+"zone-b", "invalid")
	c.Platform.Put(gossip.BaseName, base(1))
	c.Run(10 * time.Second)
	require.True(t, c.Converged(first))
	good := c.Platform.Put(gossip.OverlayPrefix+"zone-b", "fine")
	require.Less(t, c.Converge(good, 30*time.Second), maxConvergence)
}

// Guards the removal of an overlay.
func TestOverlayRemoved(t *testing.T) {
	c, _ := deployCluster(t, 5, 60)
	revision := c.Platform.Delete(gossip.OverlayPrefix + "zone-b")
	require.Less(t, c.Converge(revision, 30*time.Second), maxConvergence)
	n := c.Nodes[20]
	n.Kill()
	n.Start(c.Seeds()...)
	require.Less(t, c.Converge(revision, 30*time.Second), maxConvergence)
}

// Guards against a platform that answers from an old copy after nodes,
// including readers, were restarted: the older revision never becomes active.
func TestStalePlatformAfterRestart(t *testing.T) {
	c, _ := deployCluster(t, 6, 60)
	c.Platform.Freeze()
	stale := c.Platform
	c.Platform = gossiptest.NewPlatform()
	*c.Platform = *stale
	c.Platform.Thaw()
	newest := c.Platform.Put(gossip.BaseName, base(1))
	require.Less(t, c.Converge(newest, 30*time.Second), maxConvergence)
	c.Platform = stale
	for _, n := range append(c.Readers(), c.Nodes[:5]...) {
		n.Kill()
		n.Start(c.Seeds()...)
	}
	c.Run(30 * time.Second)
	require.True(t, c.Converged(newest))
}

// Guards against an outage of the platform for hours: nodes keep their
// snapshots, and few reads are attempted during the outage and after it.
func TestPlatformDownForHours(t *testing.T) {
	c, first := deployCluster(t, 7, 30)
	readers := len(c.Readers())
	c.Platform.Down = true
	c.Run(20 * time.Second)
	before := c.Platform.Reads
	c.Run(2 * time.Hour)
	perSecond := float64(c.Platform.Reads-before) / (2 * time.Hour).Seconds()
	t.Logf("%.2f reads a second by %d readers while down", perSecond, readers)
	require.Less(t, perSecond, float64(2*readers))
	require.True(t, c.Converged(first))
	require.Len(t, c.Readers(), readers, "no node takes over from readers that are alive")

	c.Platform.Down = false
	revision := c.Platform.Put(gossip.BaseName, base(1))
	before = c.Platform.Reads
	require.Less(t, c.Converge(revision, 30*time.Second), maxConvergence)
	t.Log("reads on return", c.Platform.Reads-before)
	require.Less(t, c.Platform.Reads-before, 8*readers)
}

// Guards a start while the platform is down: nodes get values from peers.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	c, first := deployCluster(t, 8, 60)
	c.Platform.Down = true
	for _, n := range c.Nodes[30:] {
		n.Kill()
		n.Start(c.Seeds()...)
	}
	require.Less(t, c.Converge(first, 30*time.Second), maxConvergence)
}

// Guards against a paused node that keeps or distributes its old version after
// it resumes.
func TestPausedNodeResumes(t *testing.T) {
	c, _ := deployCluster(t, 9, 60)
	paused := append(c.Readers()[:2], c.Nodes[40])
	for _, n := range paused {
		n.Pause(5 * time.Minute)
	}
	c.Run(time.Minute)
	newest := uint64(0)
	for i := range 20 {
		newest = c.Platform.Put(gossip.BaseName, base(i+1))
		c.Run(10 * time.Second)
	}
	c.Run(5*time.Minute - time.Minute - 200*time.Second)
	reads := c.Platform.Reads
	took := c.Converge(newest, 30*time.Second)
	t.Log("active after resuming:", took)
	require.Less(t, took, 3*time.Second)
	require.Less(t, c.Platform.Reads-reads, 40)
}

// Guards a partition between zones with the platform on one side: each side
// keeps serving, and the isolated side catches up after the partition.
func TestPartitionHeals(t *testing.T) {
	c, first := deployCluster(t, 10, 60)
	isolated := func(n *gossiptest.Node) bool { return n.Zone == "zone-c" }
	c.Partitioned = func(a, b *gossiptest.Node) bool { return isolated(a) != isolated(b) }
	c.PlatformPartitioned = isolated
	revision := c.Platform.Put(gossip.BaseName, base(1))
	c.Run(time.Hour)
	for _, n := range c.Nodes {
		want := revision
		if isolated(n) {
			want = first
		}
		require.Equal(t, want, n.State.Status().Active, n.ID)
		require.Len(t, n.View.Nodes(), 60, "the view is not emptied")
	}
	c.Partitioned, c.PlatformPartitioned = nil, nil
	require.Less(t, c.Converge(revision, 30*time.Second), maxConvergence)
}

// Guards against readers that fail during a change: in each zone all readers
// are killed at the moment of the change, and others have to take over.
func TestReadersFailDuringChange(t *testing.T) {
	for seed := range uint64(10) {
		c, _ := deployCluster(t, 100+seed, 60)
		revision := c.Platform.Put(gossip.BaseName, base(1))
		for _, n := range c.Readers() {
			n.Kill()
		}
		took := c.Converge(revision, 30*time.Second)
		t.Log("active after", took, "readers now", len(c.Readers()))
		require.Less(t, took, maxConvergence)
		c.Run(time.Minute)
		require.LessOrEqual(t, len(c.Readers()), 27, "surplus readers stay few")
	}
}

// Guards the convergence target with 200 nodes in one process whose readers are
// killed and restarted all the time: every change is active within 8 s, and no
// node goes back to an older version.
func TestConvergenceWithTwoHundredNodes(t *testing.T) {
	c, _ := deployCluster(t, 11, 200)
	random := rand.New(rand.NewPCG(11, 3))
	worst := time.Duration(0)
	for i := range 20 {
		revision := c.Platform.Put(gossip.BaseName, base(i+1))
		c.Run(time.Duration(random.IntN(20)) * time.Millisecond)
		var dead []*gossiptest.Node
		for _, n := range c.Readers() {
			if random.IntN(3) > 0 {
				n.Kill()
				dead = append(dead, n)
			}
		}
		worst = max(worst, c.Converge(revision, 30*time.Second))
		for _, n := range dead {
			n.Start(c.Seeds()...)
		}
		c.Run(5 * time.Second)
	}
	t.Log("worst", worst)
	require.Less(t, worst, maxConvergence)
}

// Guards against platform reads that grow with the cluster: their number
// depends on the zones alone.
func TestPlatformReadsIndependentOfClusterSize(t *testing.T) {
	var reads []int
	for _, nodes := range []int{30, 300} {
		c, _ := deployCluster(t, 12, nodes)
		before := c.Platform.Reads
		for i := range 10 {
			c.Platform.Put(gossip.BaseName, base(i+1))
			c.Run(5 * time.Second)
		}
		reads = append(reads, c.Platform.Reads-before)
	}
	require.InDelta(t, reads[0], reads[1], float64(reads[0])/10)
}

// Guards against a published list that lags behind a leaving host: all nodes
// stop using the host within 3 s, and a late list does not restore it; its next
// incarnation is used again.
func TestLeavingHostOverridesList(t *testing.T) {
	c, _ := deployCluster(t, 13, 60)
	host := c.Nodes[33]
	host.Announce(gossip.HostState{Host: host.ID, Incarnation: 1, Leaving: true})
	removed := func() bool {
		for _, n := range c.Nodes {
			if len(n.View.Nodes()) != 59 {
				return false
			}
		}
		return true
	}
	require.Less(t, c.RunUntil(30*time.Second, removed), 3*time.Second)
	host.Kill()
	body := strings.Replace(hostListOf(c, host.Zone), "10.", "10.", 1)
	c.Platform.Put(gossip.HostsPrefix+host.Zone, body+"\n")
	c.Run(30 * time.Second)
	removed = func() bool { return len(c.Nodes[0].View.Nodes()) == 59 }
	require.True(t, removed(), "a late list restored the host")
	host.Start(c.Seeds()...)
	host.Announce(gossip.HostState{Host: host.ID, Incarnation: 2})
	restored := func() bool { return len(c.Nodes[0].View.Nodes()) == 60 }
	require.Less(t, c.RunUntil(30*time.Second, restored), maxConvergence)
}

func hostListOf(c *gossiptest.Cluster, zone string) string {
	var ids []member.HostID
	for _, n := range c.Nodes {
		if n.Zone == zone {
			ids = append(ids, n.ID)
		}
	}
	return gossiptest.ListBody(zone, ids)
}
