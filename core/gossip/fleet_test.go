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

// bound is the time within which a change is in force everywhere.
const bound = 8 * time.Second

func base(n int) string {
	return strings.Repeat("# service\nslots = 80\n", 500) + fmt.Sprintf("version = %d\n", n)
}

// watched returns a fleet that fails the test if any node, restarted or not,
// goes back to an older revision or takes an invalid set into force.
func watched(t *testing.T, seed uint64) *gossiptest.Cluster {
	f := gossiptest.NewCluster(seed)
	newest := map[member.HostID]uint64{}
	f.OnActivate = func(n *gossiptest.Node, set *gossip.Snapshot) {
		if set.Prefix != gossip.ConfigPrefix {
			return
		}
		if set.Revision < newest[n.ID] {
			t.Errorf("%s went back from revision %d to %d", n.ID, newest[n.ID], set.Revision)
		}
		newest[n.ID] = set.Revision
		if strings.Contains(string(set.Base()), "invalid") {
			t.Errorf("%s took an invalid base into force", n.ID)
		}
	}
	return f
}

// deployed returns a fleet at rest with the first configuration in force.
func deployed(t *testing.T, seed uint64, nodes int) (*gossiptest.Cluster, uint64) {
	t.Helper()
	f := watched(t, seed)
	f.Deploy(nodes, 3, base(0))
	revision := uint64(7)
	took := f.Converge(revision, 30*time.Second)
	require.Less(t, took, 30*time.Second)
	f.Run(10 * time.Second)
	return f, revision
}

// Guards the start of a whole fleet at once: few nodes read the platform.
func TestStart(t *testing.T) {
	f := watched(t, 1)
	f.Deploy(60, 3, base(0))
	took := f.Converge(7, 30*time.Second)
	t.Log("start took", took, "platform reads", f.Platform.Reads)
	require.Less(t, took, bound)
	require.Less(t, f.Platform.Reads, 60)
}

// Guards two changes in quick succession: the later one is in force in the end.
func TestTwoChangesInQuickSuccession(t *testing.T) {
	f, _ := deployed(t, 2, 60)
	f.Platform.Put(gossip.BaseName, base(1))
	f.Run(30 * time.Millisecond)
	second := f.Platform.Put(gossip.BaseName, base(2))
	require.Less(t, f.Converge(second, 30*time.Second), bound)
}

// Guards against an invalid change: it stays out, is shown with its reason, and
// does not hold up the next valid one.
func TestInvalidThenValid(t *testing.T) {
	f, first := deployed(t, 3, 60)
	bad := f.Platform.Put(gossip.BaseName, "invalid")
	f.Run(5 * time.Second)
	require.True(t, f.Converged(first))
	for _, n := range f.Readers() {
		require.Equal(t, bad, n.State.Status().Rejected)
		require.Equal(t, "base is invalid", n.State.Status().Reason)
	}
	f.Run(20 * time.Second)
	for _, n := range f.Nodes {
		require.Equal(t, "base is invalid", n.State.Status().Reason, "operators see it at any node")
	}
	good := f.Platform.Put(gossip.BaseName, base(1))
	require.Less(t, f.Converge(good, 30*time.Second), bound)
	require.Zero(t, f.Readers()[0].State.Status().Rejected)

	f.Platform.Put(gossip.BaseName, "invalid")
	f.Run(5 * time.Millisecond)
	good = f.Platform.Put(gossip.BaseName, base(2))
	require.Less(t, f.Converge(good, 30*time.Second), bound)
}

// Guards a base and an overlay that contradict each other: neither comes into
// force at any site, also not at sites that the overlay does not concern.
func TestOverlayContradictsBase(t *testing.T) {
	f, first := deployed(t, 4, 60)
	f.Platform.Put(gossip.OverlayPrefix+"zone-b", "invalid")
	f.Platform.Put(gossip.BaseName, base(1))
	f.Run(10 * time.Second)
	require.True(t, f.Converged(first))
	good := f.Platform.Put(gossip.OverlayPrefix+"zone-b", "fine")
	require.Less(t, f.Converge(good, 30*time.Second), bound)
}

// Guards the removal of an overlay.
func TestOverlayRemoved(t *testing.T) {
	f, _ := deployed(t, 5, 60)
	revision := f.Platform.Delete(gossip.OverlayPrefix + "zone-b")
	require.Less(t, f.Converge(revision, 30*time.Second), bound)
	n := f.Nodes[20]
	n.Kill()
	n.Start(f.Seeds()...)
	require.Less(t, f.Converge(revision, 30*time.Second), bound)
}

// Guards against a platform that answers from an old copy after nodes, readers
// among them, were restarted: the older revision never comes into force.
func TestStalePlatformAfterRestart(t *testing.T) {
	f, _ := deployed(t, 6, 60)
	f.Platform.Freeze()
	stale := f.Platform
	f.Platform = gossiptest.NewPlatform()
	*f.Platform = *stale
	f.Platform.Thaw()
	newest := f.Platform.Put(gossip.BaseName, base(1))
	require.Less(t, f.Converge(newest, 30*time.Second), bound)
	f.Platform = stale
	for _, n := range append(f.Readers(), f.Nodes[:5]...) {
		n.Kill()
		n.Start(f.Seeds()...)
	}
	f.Run(30 * time.Second)
	require.True(t, f.Converged(newest))
}

// Guards hours without the platform and its return: nodes keep what they have,
// few reads are tried meanwhile and on return.
func TestPlatformDownForHours(t *testing.T) {
	f, first := deployed(t, 7, 30)
	readers := len(f.Readers())
	f.Platform.Down = true
	f.Run(20 * time.Second)
	before := f.Platform.Reads
	f.Run(2 * time.Hour)
	perSecond := float64(f.Platform.Reads-before) / (2 * time.Hour).Seconds()
	t.Logf("%.2f reads a second by %d readers while down", perSecond, readers)
	require.Less(t, perSecond, float64(2*readers))
	require.True(t, f.Converged(first))
	require.Len(t, f.Readers(), readers, "no node takes over from readers that are alive")

	f.Platform.Down = false
	revision := f.Platform.Put(gossip.BaseName, base(1))
	before = f.Platform.Reads
	require.Less(t, f.Converge(revision, 30*time.Second), bound)
	t.Log("reads on return", f.Platform.Reads-before)
	require.Less(t, f.Platform.Reads-before, 8*readers)
}

// Guards a start while the platform is down: nodes get values from peers, and
// do not read the platform in a loop.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f, first := deployed(t, 8, 60)
	f.Platform.Down = true
	for _, n := range f.Nodes[30:] {
		n.Kill()
		n.Start(f.Seeds()...)
	}
	require.Less(t, f.Converge(first, 30*time.Second), bound)
}

// Guards a paused node: on waking it neither keeps nor spreads its old version.
func TestPausedNodeWakes(t *testing.T) {
	f, _ := deployed(t, 9, 60)
	paused := append(f.Readers()[:2], f.Nodes[40])
	for _, n := range paused {
		n.Pause(5 * time.Minute)
	}
	f.Run(time.Minute)
	newest := uint64(0)
	for i := range 20 {
		newest = f.Platform.Put(gossip.BaseName, base(i+1))
		f.Run(10 * time.Second)
	}
	f.Run(5*time.Minute - time.Minute - 200*time.Second)
	reads := f.Platform.Reads
	took := f.Converge(newest, 30*time.Second)
	t.Log("in force after waking:", took)
	require.Less(t, took, 3*time.Second)
	require.Less(t, f.Platform.Reads-reads, 40)
}

// Guards a partition between zones with the platform on one side: each side
// keeps serving, and the cut-off side catches up when it heals.
func TestPartitionHeals(t *testing.T) {
	f, first := deployed(t, 10, 60)
	cutOff := func(n *gossiptest.Node) bool { return n.Zone == "zone-c" }
	f.Partitioned = func(a, b *gossiptest.Node) bool { return cutOff(a) != cutOff(b) }
	f.PlatformPartitioned = cutOff
	revision := f.Platform.Put(gossip.BaseName, base(1))
	f.Run(time.Hour)
	for _, n := range f.Nodes {
		want := revision
		if cutOff(n) {
			want = first
		}
		require.Equal(t, want, n.State.Status().Active, n.ID)
		require.Len(t, n.View.Nodes(), 60, "the view is not emptied")
	}
	f.Partitioned, f.PlatformPartitioned = nil, nil
	require.Less(t, f.Converge(revision, 30*time.Second), bound)
}

// Guards readers that die while a change spreads: in each zone all readers die
// at the moment of the change, and others take over.
func TestReadersDieWhileChangeSpreads(t *testing.T) {
	for seed := range uint64(10) {
		f, _ := deployed(t, 100+seed, 60)
		revision := f.Platform.Put(gossip.BaseName, base(1))
		for _, n := range f.Readers() {
			n.Kill()
		}
		took := f.Converge(revision, 30*time.Second)
		t.Log("in force after", took, "readers now", len(f.Readers()))
		require.Less(t, took, bound)
		f.Run(time.Minute)
		require.LessOrEqual(t, len(f.Readers()), 27, "surplus readers stay few")
	}
}

// Guards the target: 200 nodes in one process, readers dying all the time and
// returning later; every change is in force within 8 s, and no node's version
// goes back.
func TestTwoHundredNodes(t *testing.T) {
	f, _ := deployed(t, 11, 200)
	random := rand.New(rand.NewPCG(11, 3))
	worst := time.Duration(0)
	for i := range 20 {
		revision := f.Platform.Put(gossip.BaseName, base(i+1))
		f.Run(time.Duration(random.IntN(20)) * time.Millisecond)
		var dead []*gossiptest.Node
		for _, n := range f.Readers() {
			if random.IntN(3) > 0 {
				n.Kill()
				dead = append(dead, n)
			}
		}
		worst = max(worst, f.Converge(revision, 30*time.Second))
		for _, n := range dead {
			n.Start(f.Seeds()...)
		}
		f.Run(5 * time.Second)
	}
	t.Log("worst", worst)
	require.Less(t, worst, bound)
}

// Guards the platform against growth of the fleet: reads depend on the zones
// alone.
func TestPlatformReadsDoNotGrow(t *testing.T) {
	var reads []int
	for _, nodes := range []int{30, 300} {
		f, _ := deployed(t, 12, nodes)
		before := f.Platform.Reads
		for i := range 10 {
			f.Platform.Put(gossip.BaseName, base(i+1))
			f.Run(5 * time.Second)
		}
		reads = append(reads, f.Platform.Reads-before)
	}
	require.InDelta(t, reads[0], reads[1], float64(reads[0])/10)
}

// Guards a leaving host against the published list, which lags: all nodes stop
// using it within 3 s, and a late list does not bring it back; its next process
// is used again.
func TestLeavingFactOutweighsList(t *testing.T) {
	f, _ := deployed(t, 13, 60)
	host := f.Nodes[33]
	host.Announce(gossip.HostState{Host: host.ID, Incarnation: 1, Leaving: true})
	gone := func() bool {
		for _, n := range f.Nodes {
			if len(n.View.Nodes()) != 59 {
				return false
			}
		}
		return true
	}
	require.Less(t, f.RunUntil(30*time.Second, gone), 3*time.Second)
	host.Kill()
	body := strings.Replace(listOf(f, host.Zone), "10.", "10.", 1)
	f.Platform.Put(gossip.HostsPrefix+host.Zone, body+"\n")
	f.Run(30 * time.Second)
	gone = func() bool { return len(f.Nodes[0].View.Nodes()) == 59 }
	require.True(t, gone(), "a late list brought the host back")
	host.Start(f.Seeds()...)
	host.Announce(gossip.HostState{Host: host.ID, Incarnation: 2})
	back := func() bool { return len(f.Nodes[0].View.Nodes()) == 60 }
	require.Less(t, f.RunUntil(30*time.Second, back), bound)
}

func listOf(f *gossiptest.Cluster, zone string) string {
	var ids []member.HostID
	for _, n := range f.Nodes {
		if n.Zone == zone {
			ids = append(ids, n.ID)
		}
	}
	return gossiptest.ListBody(zone, ids)
}
