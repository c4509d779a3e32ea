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

// faultLength is how long a fault of the matrix lasts.
const faultLength = 20 * time.Second

// newHost is a host that the changed list adds.
const newHost = member.HostID("host-99999")

// matrix is one cell of docs/fault-matrix.md: a change during which faults
// occur.
type matrix struct {
	f      *gossiptest.Cluster
	random *rand.Rand
	stale  *gossiptest.Platform // answers as before the change
	fresh  *gossiptest.Platform
	newest map[member.HostID]uint64
	broken []string // violations of I8
}

func newMatrix(seed uint64) *matrix {
	m := &matrix{
		f: gossiptest.NewCluster(seed), random: rand.New(rand.NewPCG(seed, 5)), newest: map[member.HostID]uint64{},
	}
	m.f.OnActivate = func(n *gossiptest.Node, set *gossip.Snapshot) {
		if set.Prefix != gossip.ConfigPrefix {
			return
		}
		if set.Revision < m.newest[n.ID] {
			m.broken = append(m.broken, fmt.Sprintf("%s went back from %d to %d", n.ID, m.newest[n.ID], set.Revision))
		}
		m.newest[n.ID] = max(m.newest[n.ID], set.Revision)
		if strings.Contains(string(set.Base()), "invalid") {
			m.broken = append(m.broken, fmt.Sprintf("%s took an invalid base into force", n.ID))
		}
	}
	m.f.Deploy(30, 3, base(0))
	m.f.Run(30 * time.Second)
	copied := *m.f.Platform
	m.stale, m.fresh = &copied, m.f.Platform
	m.stale.Freeze()
	return m
}

// victims returns two readers and another node.
func (m *matrix) victims() []*gossiptest.Node {
	readers, up := m.f.Readers(), m.f.UpNodes()
	out := []*gossiptest.Node{up[m.random.IntN(len(up))]}
	for range min(2, len(readers)) {
		out = append(out, readers[m.random.IntN(len(readers))])
	}
	return out
}

// controlFaults begin a fault; heal ends it.
var controlFaults = []struct {
	name  string
	begin func(m *matrix)
}{
	{"platform-down", func(m *matrix) { m.fresh.Down, m.stale.Down = true, true }},
	{"platform-stale", func(m *matrix) { m.f.Platform = m.stale }},
	{"pause", func(m *matrix) {
		for _, n := range m.victims() {
			n.Pause(faultLength / 2)
		}
	}},
	{"partition", func(m *matrix) {
		zone := gossiptest.ZoneName(m.random.IntN(3))
		m.f.Partitioned = func(a, b *gossiptest.Node) bool { return (a.Zone == zone) != (b.Zone == zone) }
		m.f.PlatformPartitioned = func(n *gossiptest.Node) bool { return n.Zone == zone }
	}},
	{"silence", func(m *matrix) {
		silent := map[*gossiptest.Node]bool{}
		for _, n := range m.victims() {
			silent[n] = true
		}
		m.f.Partitioned = func(a, b *gossiptest.Node) bool { return silent[a] || silent[b] }
	}},
	{"crash", func(m *matrix) {
		for _, n := range m.victims() {
			n.Kill()
		}
	}},
	{"replacement", func(m *matrix) {
		for _, n := range m.victims() {
			n.Kill()
			n.Start(m.f.Seeds()...)
		}
	}},
	{"drain", func(m *matrix) {
		for _, n := range m.victims() {
			if n.Up {
				n.Announce(gossip.HostState{Host: n.ID, Incarnation: n.Incarnation(), Leaving: true})
				m.f.After(time.Second, n.Kill)
			}
		}
	}},
}

func (m *matrix) heal() {
	m.f.Partitioned, m.f.PlatformPartitioned, m.f.Platform = nil, nil, m.fresh
	m.fresh.Down = false
	for _, n := range m.f.Nodes {
		if !n.Up {
			n.Start(m.f.Seeds()...)
		}
	}
}

// change publishes a configuration or a list and returns when it has arrived.
func (m *matrix) change(list bool) (arrived func() bool) {
	if !list {
		revision := m.fresh.Put(gossip.BaseName, base(1))
		return func() bool { return m.f.Converged(revision) }
	}
	zone := gossiptest.ZoneName(1)
	ids := []member.HostID{newHost}
	for _, n := range m.f.Nodes {
		if n.Zone == zone {
			ids = append([]member.HostID{n.ID}, ids...)
		}
	}
	m.fresh.Put(gossip.HostsPrefix+zone, gossiptest.ListBody(zone, ids))
	return func() bool {
		for _, n := range m.f.UpNodes() {
			if _, known := n.View.Host(newHost); !known {
				return false
			}
		}
		return true
	}
}

// play changes something at one step and lets the faults occur, the later ones
// while the earlier ones last. At a read they begin with the change, while it
// spreads somewhat later.
func (m *matrix) play(t *testing.T, step string, faults ...func(*matrix)) {
	t.Helper()
	begin := func() {
		for i, fault := range faults {
			m.f.After(time.Duration(i)*time.Duration(m.random.IntN(1000))*time.Millisecond, func() { fault(m) })
		}
	}
	if step != "spreading" {
		begin()
		m.f.Run(time.Duration(m.random.IntN(2)) * time.Millisecond)
	}
	arrived := m.change(step == "list-read")
	if step == "spreading" {
		m.f.After(time.Duration(5+m.random.IntN(200))*time.Millisecond, begin)
	}
	m.f.Run(faultLength)
	for _, n := range m.f.UpNodes() {
		require.GreaterOrEqual(t, len(n.View.Nodes()), 30-3*len(faults), "%s emptied its view", n.ID)
	}
	m.heal()
	require.Less(t, m.f.RunUntil(30*time.Second, arrived), bound)
	m.f.Run(10 * time.Second)
	require.True(t, arrived(), "a node went back later")
	require.Empty(t, m.broken)
}

// Guards I8 against each fault while a configuration or a list is read, and
// while a configuration spreads; the subtests are cells of
// docs/fault-matrix.md.
func TestFaultAtControlStep(t *testing.T) {
	for _, fault := range controlFaults {
		for _, step := range []string{"configuration-read", "spreading", "list-read"} {
			t.Run(fault.name+"/"+step, func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 4; seed++ {
					newMatrix(seed).play(t, step, fault.begin)
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
				newMatrix(uint64(100+i*10+j)).play(t, step, first.begin, second.begin)
			})
		}
	}
}

// Guards against checks of I6 and I8 that cannot fail: each deliberate fault must be
// found.
func TestMatrixFindsBrokenSpread(t *testing.T) {
	t.Run("invalid base taken", func(t *testing.T) {
		m := newMatrix(1)
		m.f.Validate = func(*gossip.Snapshot, bool) string { return "" }
		m.fresh.Put(gossip.BaseName, "invalid")
		m.f.Run(10 * time.Second)
		require.NotEmpty(t, m.broken)
	})
	t.Run("older version taken", func(t *testing.T) {
		m := newMatrix(2)
		arrived := m.change(false)
		m.f.RunUntil(bound, arrived)
		m.f.Partitioned = func(*gossiptest.Node, *gossiptest.Node) bool { return true }
		m.f.Platform = m.stale
		m.f.Nodes[0].Kill()
		m.f.Nodes[0].Start(m.f.Seeds()...)
		m.f.Run(time.Minute)
		require.NotEmpty(t, m.broken)
		require.False(t, arrived())
	})
	t.Run("host that leaves without saying so", func(t *testing.T) {
		m := newMatrix(4)
		m.f.Nodes[10].Kill()
		m.f.Run(10 * time.Second)
		require.Positive(t, m.usedBy(m.f.Nodes[10]))
	})
	t.Run("change that stays out", func(t *testing.T) {
		m := newMatrix(3)
		m.f.PlatformPartitioned = func(*gossiptest.Node) bool { return true }
		require.GreaterOrEqual(t, m.f.RunUntil(30*time.Second, m.change(false)), bound)
	})
}

// usedBy returns how many running nodes would still send work to a host.
func (m *matrix) usedBy(host *gossiptest.Node) (count int) {
	for _, n := range m.f.UpNodes() {
		for _, h := range n.View.Nodes() {
			if h.ID == host.ID && n != host {
				count++
			}
		}
	}
	return count
}

// Guards I6 against each fault while a host leaves: 3 s after the end of the
// fault no node uses it, and a late list or a restarted node does not bring it
// back.
func TestLeavingDuringFault(t *testing.T) {
	for _, fault := range controlFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			left := 0
			for seed := uint64(1); seed <= 3; seed++ {
				m := newMatrix(seed)
				host := m.f.Nodes[10+3*m.random.IntN(5)] // of the zone whose list changes
				require.Equal(t, len(m.f.Nodes)-1, m.usedBy(host))
				leave := func() {
					if host.Up {
						host.Announce(gossip.HostState{Host: host.ID, Incarnation: host.Incarnation(), Leaving: true})
					}
				}
				before := host.Incarnation()
				m.f.After(time.Duration(m.random.IntN(400))*time.Millisecond, leave)
				m.f.After(time.Duration(m.random.IntN(400))*time.Millisecond, func() { fault.begin(m) })
				m.f.Run(faultLength)
				if host.Incarnation() != before {
					continue // the fault ended the process
				}
				m.heal()
				took := m.f.RunUntil(30*time.Second, func() bool { return m.usedBy(host) == 0 })
				require.Less(t, took, 3*time.Second)
				m.change(true)
				n := m.f.Nodes[3]
				n.Kill()
				n.Start(m.f.Seeds()...)
				m.f.Run(faultLength)
				require.Zero(t, m.usedBy(host), "a late list brought the host back")
				left++
			}
			require.Positive(t, left)
		})
	}
}
