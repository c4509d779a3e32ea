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

// faultDuration is how long a fault lasts.
const faultDuration = 20 * time.Second

// newHost is a host that the changed list adds.
const newHost = member.HostID("host-99999")

// matrixCell is one cell of docs/fault-matrix.md: a change during which faults
// occur.
type matrixCell struct {
	cluster    *gossiptest.Cluster
	random     *rand.Rand
	stale      *gossiptest.Platform // answers as before the change
	fresh      *gossiptest.Platform
	newest     map[member.HostID]uint64
	violations []string // violations of I8
}

func newMatrixCell(seed uint64) *matrixCell {
	m := &matrixCell{
		cluster: gossiptest.NewCluster(seed), random: rand.New(rand.NewPCG(seed, 5)), newest: map[member.HostID]uint64{},
	}
	m.cluster.OnActivate = func(n *gossiptest.Node, snapshot *gossip.Snapshot) {
		if snapshot.Prefix != gossip.ConfigPrefix {
			return
		}
		if snapshot.Revision < m.newest[n.ID] {
			m.violations = append(m.violations, fmt.Sprintf("%s went back from %d to %d", n.ID, m.newest[n.ID], snapshot.Revision))
		}
		m.newest[n.ID] = max(m.newest[n.ID], snapshot.Revision)
		if strings.Contains(string(snapshot.Base()), "invalid") {
			m.violations = append(m.violations, fmt.Sprintf("%s activated an invalid base", n.ID))
		}
	}
	m.cluster.Deploy(30, 3, base(0))
	m.cluster.Run(30 * time.Second)
	copied := *m.cluster.Platform
	m.stale, m.fresh = &copied, m.cluster.Platform
	m.stale.Freeze()
	return m
}

// faultTargets returns up to two readers and another node.
func (m *matrixCell) faultTargets() []*gossiptest.Node {
	readers, up := m.cluster.Readers(), m.cluster.UpNodes()
	out := []*gossiptest.Node{up[m.random.IntN(len(up))]}
	for range min(2, len(readers)) {
		out = append(out, readers[m.random.IntN(len(readers))])
	}
	return out
}

// controlFaults lists the faults; each begin starts one, and heal ends it.
var controlFaults = []struct {
	name  string
	begin func(m *matrixCell)
}{
	{"platform-down", func(m *matrixCell) { m.fresh.Down, m.stale.Down = true, true }},
	{"platform-stale", func(m *matrixCell) { m.cluster.Platform = m.stale }},
	{"pause", func(m *matrixCell) {
		for _, n := range m.faultTargets() {
			n.Pause(faultDuration / 2)
		}
	}},
	{"partition", func(m *matrixCell) {
		zone := gossiptest.ZoneName(m.random.IntN(3))
		m.cluster.Partitioned = func(a, b *gossiptest.Node) bool { return (a.Zone == zone) != (b.Zone == zone) }
		m.cluster.PlatformPartitioned = func(n *gossiptest.Node) bool { return n.Zone == zone }
	}},
	{"silence", func(m *matrixCell) {
		unreachable := map[*gossiptest.Node]bool{}
		for _, n := range m.faultTargets() {
			unreachable[n] = true
		}
		m.cluster.Partitioned = func(a, b *gossiptest.Node) bool { return unreachable[a] || unreachable[b] }
	}},
	{"crash", func(m *matrixCell) {
		for _, n := range m.faultTargets() {
			n.Kill()
		}
	}},
	{"replacement", func(m *matrixCell) {
		for _, n := range m.faultTargets() {
			n.Kill()
			n.Start(m.cluster.Seeds()...)
		}
	}},
	{"drain", func(m *matrixCell) {
		for _, n := range m.faultTargets() {
			if n.Up {
				n.Announce(gossip.HostState{Host: n.ID, Incarnation: n.Incarnation(), Leaving: true})
				m.cluster.After(time.Second, n.Kill)
			}
		}
	}},
}

func (m *matrixCell) heal() {
	m.cluster.Partitioned, m.cluster.PlatformPartitioned, m.cluster.Platform = nil, nil, m.fresh
	m.fresh.Down = false
	for _, n := range m.cluster.Nodes {
		if !n.Up {
			n.Start(m.cluster.Seeds()...)
		}
	}
}

// change publishes a configuration or a host list and returns a function that
// reports whether all nodes have it.
func (m *matrixCell) change(list bool) (arrived func() bool) {
	if !list {
		revision := m.fresh.Put(gossip.BaseName, base(1))
		return func() bool { return m.cluster.Converged(revision) }
	}
	zone := gossiptest.ZoneName(1)
	ids := []member.HostID{newHost}
	for _, n := range m.cluster.Nodes {
		if n.Zone == zone {
			ids = append([]member.HostID{n.ID}, ids...)
		}
	}
	m.fresh.Put(gossip.HostsPrefix+zone, gossiptest.ListBody(zone, ids))
	return func() bool {
		for _, n := range m.cluster.UpNodes() {
			if _, known := n.View.Host(newHost); !known {
				return false
			}
		}
		return true
	}
}

// run makes a change and injects the faults at the given step, later faults
// while earlier ones last. At a read step the faults begin with the change, at
// "spreading" somewhat later.
func (m *matrixCell) run(t *testing.T, step string, faults ...func(*matrixCell)) {
	t.Helper()
	begin := func() {
		for i, fault := range faults {
			m.cluster.After(time.Duration(i)*time.Duration(m.random.IntN(1000))*time.Millisecond, func() { fault(m) })
		}
	}
	if step != "spreading" {
		begin()
		m.cluster.Run(time.Duration(m.random.IntN(2)) * time.Millisecond)
	}
	arrived := m.change(step == "list-read")
	if step == "spreading" {
		m.cluster.After(time.Duration(5+m.random.IntN(200))*time.Millisecond, begin)
	}
	m.cluster.Run(faultDuration)
	for _, n := range m.cluster.UpNodes() {
		require.GreaterOrEqual(t, len(n.View.Nodes()), 30-3*len(faults), "%s emptied its view", n.ID)
	}
	m.heal()
	require.Less(t, m.cluster.RunUntil(30*time.Second, arrived), maxConvergence)
	m.cluster.Run(10 * time.Second)
	require.True(t, arrived(), "a node went back later")
	require.Empty(t, m.violations)
}

// Guards I8 against each fault while a configuration or a list is read, and
// while a configuration is distributed; the subtests are cells of
// docs/fault-matrix.md.
func TestFaultAtControlStep(t *testing.T) {
	for _, fault := range controlFaults {
		for _, step := range []string{"configuration-read", "spreading", "list-read"} {
			t.Run(fault.name+"/"+step, func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 4; seed++ {
					newMatrixCell(seed).run(t, step, fault.begin)
				}
			})
		}
	}
}

// Guards I8 against all pairs of faults of the control path, in both orders,
// and against each fault twice.
func TestControlFaultPair(t *testing.T) {
	for i, first := range controlFaults {
		for j, second := range controlFaults {
			t.Run(first.name+"+"+second.name, func(t *testing.T) {
				t.Parallel()
				step := []string{"configuration-read", "spreading", "list-read"}[(i+j)%3]
				newMatrixCell(uint64(100+i*10+j)).run(t, step, first.begin, second.begin)
			})
		}
	}
}

// Guards against checks of I6 and I8 that cannot fail: each injected violation
// must be detected.
func TestMatrixDetectsViolations(t *testing.T) {
	t.Run("invalid base activated", func(t *testing.T) {
		m := newMatrixCell(1)
		m.cluster.Validate = func(*gossip.Snapshot, bool) string { return "" }
		m.fresh.Put(gossip.BaseName, "invalid")
		m.cluster.Run(10 * time.Second)
		require.NotEmpty(t, m.violations)
	})
	t.Run("older version activated", func(t *testing.T) {
		m := newMatrixCell(2)
		arrived := m.change(false)
		m.cluster.RunUntil(maxConvergence, arrived)
		m.cluster.Partitioned = func(*gossiptest.Node, *gossiptest.Node) bool { return true }
		m.cluster.Platform = m.stale
		m.cluster.Nodes[0].Kill()
		m.cluster.Nodes[0].Start(m.cluster.Seeds()...)
		m.cluster.Run(time.Minute)
		require.NotEmpty(t, m.violations)
		require.False(t, arrived())
	})
	t.Run("host that stops without announcing it", func(t *testing.T) {
		m := newMatrixCell(4)
		m.cluster.Nodes[10].Kill()
		m.cluster.Run(10 * time.Second)
		require.Positive(t, m.countSenders(m.cluster.Nodes[10]))
	})
	t.Run("change that is not distributed", func(t *testing.T) {
		m := newMatrixCell(3)
		m.cluster.PlatformPartitioned = func(*gossiptest.Node) bool { return true }
		require.GreaterOrEqual(t, m.cluster.RunUntil(30*time.Second, m.change(false)), maxConvergence)
	})
}

// countSenders returns how many other running nodes would still send requests to
// a host.
func (m *matrixCell) countSenders(host *gossiptest.Node) (count int) {
	for _, n := range m.cluster.UpNodes() {
		for _, h := range n.View.Nodes() {
			if h.ID == host.ID && n != host {
				count++
			}
		}
	}
	return count
}

// Guards I6 against each fault while a host leaves: 3 s after the end of the
// fault no node uses it, and a late list or a restarted node does not restore
// it.
func TestLeavingDuringFault(t *testing.T) {
	for _, fault := range controlFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			completed := 0
			for seed := uint64(1); seed <= 3; seed++ {
				m := newMatrixCell(seed)
				host := m.cluster.Nodes[10+3*m.random.IntN(5)] // in the zone whose list changes
				require.Equal(t, len(m.cluster.Nodes)-1, m.countSenders(host))
				leave := func() {
					if host.Up {
						host.Announce(gossip.HostState{Host: host.ID, Incarnation: host.Incarnation(), Leaving: true})
					}
				}
				before := host.Incarnation()
				m.cluster.After(time.Duration(m.random.IntN(400))*time.Millisecond, leave)
				m.cluster.After(time.Duration(m.random.IntN(400))*time.Millisecond, func() { fault.begin(m) })
				m.cluster.Run(faultDuration)
				if host.Incarnation() != before {
					continue // the fault ended the process
				}
				m.heal()
				took := m.cluster.RunUntil(30*time.Second, func() bool { return m.countSenders(host) == 0 })
				require.Less(t, took, 3*time.Second)
				m.change(true)
				n := m.cluster.Nodes[3]
				n.Kill()
				n.Start(m.cluster.Seeds()...)
				m.cluster.Run(faultDuration)
				require.Zero(t, m.countSenders(host), "a late list restored the host")
				completed++
			}
			require.Positive(t, completed)
		})
	}
}
