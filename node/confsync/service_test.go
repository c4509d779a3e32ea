package confsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/peer"
	"toucangw.example/standin/platform"
)

const waitFor = 15 * time.Second

// network delivers messages between services in this process.
type network struct {
	mu     sync.Mutex
	byAddr map[string]*Service
}

func (n *network) find(host member.Host) (*Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.byAddr[host.Addr]; s != nil {
		return s, nil
	}
	return nil, errors.New("no such host")
}

func (n *network) Exchange(ctx context.Context, host member.Host, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	s, err := n.find(host)
	if err != nil {
		return nil, err
	}
	return s.HandleExchange(ctx, m)
}

func (n *network) Push(ctx context.Context, host member.Host, m *peer.PushRequest) (*peer.PushReply, error) {
	s, err := n.find(host)
	if err != nil {
		return nil, err
	}
	return s.HandlePush(ctx, m)
}

// compileText accepts every configuration without the word invalid.
func compileText(revision uint64, base []byte, overlays map[string][]byte) (map[string]*policy.Policy, error) {
	out := map[string]*policy.Policy{baseSite: {Revision: revision}}
	if bytes.Contains(base, []byte("invalid")) {
		return nil, errors.New("base is invalid")
	}
	for site, body := range overlays {
		if bytes.Contains(body, []byte("invalid")) {
			return nil, fmt.Errorf("overlay %s is invalid", site)
		}
		out[site] = &policy.Policy{Revision: revision, Site: site}
	}
	return out, nil
}

// cluster is a published directory with its platform and nodes.
type cluster struct {
	t        *testing.T
	dir      string
	platform *platform.Platform
	address  string // of the platform
	net      *network
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), net: &network{byAddr: map[string]*Service{}}}
	for _, zone := range []string{"a", "b"} {
		hosts := ""
		for i := range 4 {
			hosts += fmt.Sprintf(`{"id":"%s%d","addr":"127.0.0.1:%d","service":"ledger"},`, zone, i, port(zone, i))
		}
		c.write("hosts/"+zone+".json", fmt.Sprintf(`{"zone":%q,"region":"r","hosts":[%s]}`, zone, hosts[:len(hosts)-1]))
	}
	c.write("base.toml", "first")
	c.write("overlay/a.toml", "for a")
	p, err := platform.New(platform.Config{Dir: c.dir})
	require.NoError(t, err)
	c.platform = p
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c.address = server.Listener.Addr().String()
	return c
}

func port(zone string, i int) int { return 7000 + int(zone[0])*10 + i }

func (c *cluster) write(name, body string) {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(c.t, os.WriteFile(path, []byte(body), 0o644))
	if c.platform != nil {
		require.NoError(c.t, c.platform.Scan())
	}
}

// start runs all nodes until the test ends.
func (c *cluster) start() []*Service {
	var all []*Service
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, zone := range []string{"a", "b"} {
		for i := range 4 {
			addr := fmt.Sprintf("127.0.0.1:%d", port(zone, i))
			service := New(Config{
				Self:        member.Host{ID: member.HostID(fmt.Sprintf("%s%d", zone, i)), Addr: addr, Zone: zone},
				Incarnation: 1, Site: zone, PlatformAddrs: []string{c.address},
				Seeds: []string{fmt.Sprintf("127.0.0.1:%d", port("a", 0))},
				Peers: c.net, Compiler: compileText,
				OnPolicy: func(*policy.Policy) {}, OnHosts: func(map[string][]member.Host) {},
				Seed: uint64(len(all) + 1),
			})
			c.net.byAddr[addr] = service
			all = append(all, service)
		}
	}
	for _, service := range all {
		group.Go(func() { _ = service.Run(ctx) })
	}
	c.t.Cleanup(func() { cancel(); group.Wait() })
	return all
}

// allActive returns a condition: the revision is active on all nodes.
func allActive(all []*Service, revision uint64) func() bool {
	return func() bool {
		for _, s := range all {
			if s.Status().Active != revision {
				return false
			}
		}
		return true
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a change of the published files that does not reach all nodes,
// and against an invalid overlay that replaces the active version.
func TestChangeReachesAllNodes(t *testing.T) {
	c := newCluster(t)
	all := c.start()
	first := c.platform.Stats().Revision
	require.Eventually(t, allActive(all, first), waitFor, 20*time.Millisecond)
	require.True(t, all[0].Allowed("b1", netip.MustParseAddr("127.0.0.1")))
	require.False(t, all[0].Allowed("b1", netip.MustParseAddr("127.0.0.2")), "wrong address")
	require.False(t, all[0].Allowed("x1", netip.MustParseAddr("127.0.0.1")), "not on the list")

	c.write("base.toml", "second")
	second := c.platform.Stats().Revision
	require.Eventually(t, allActive(all, second), waitFor, 20*time.Millisecond)

	c.write("overlay/b.toml", "invalid")
	bad := c.platform.Stats().Revision
	reader := findReader(all)
	require.Eventually(t, func() bool { return reader.Status().Rejected == bad }, waitFor, 20*time.Millisecond)
	require.Contains(t, reader.Status().RejectedReason, "overlay b is invalid")
	require.True(t, allActive(all, second)())

	c.write("overlay/b.toml", "for b")
	require.Eventually(t, allActive(all, c.platform.Stats().Revision), waitFor, 20*time.Millisecond)
	require.Zero(t, reader.Status().Rejected)
}

func findReader(all []*Service) *Service {
	for _, s := range all {
		if s.Status().Reader {
			return s
		}
	}
	return nil
}

// Guards against activating an inconsistent read of the platform, and against
// a reader that does not recover once reads are consistent again.
func TestInconsistentReadIsDiscarded(t *testing.T) {
	c := newCluster(t)
	all := c.start()
	first := c.platform.Stats().Revision
	require.Eventually(t, allActive(all, first), waitFor, 20*time.Millisecond)
	c.platform.SetFaults(platform.Faults{Inconsistent: true})
	c.write("base.toml", "second")
	reader := findReader(all)
	require.Eventually(t, func() bool { return reader.Status().Discarded > 0 }, waitFor, 20*time.Millisecond)
	require.True(t, allActive(all, first)())
	c.platform.SetFaults(platform.Faults{})
	require.Eventually(t, allActive(all, c.platform.Stats().Revision), waitFor, 20*time.Millisecond)
}

// Guards against peers that go on using a host that announced it is leaving,
// while the host list still contains it.
func TestLeavingReachesPeers(t *testing.T) {
	c := newCluster(t)
	all := c.start()
	require.Eventually(t, allActive(all, c.platform.Stats().Revision), waitFor, 20*time.Millisecond)
	all[3].SelfLeaving()
	require.Eventually(t, func() bool { return all[7].Status().Hosts == 7 }, 3*time.Second, 20*time.Millisecond)
}

// Guards against wasted processor time on a change: only changed parts are
// compiled, and overlays of other sites only by the node that read them from
// the platform.
func TestValidatorCompilesOnlyChanges(t *testing.T) {
	var compiled []int
	v := validator{site: "a", compile: func(r uint64, base []byte, o map[string][]byte) (map[string]*policy.Policy, error) {
		compiled = append(compiled, len(o))
		return compileText(r, base, o)
	}}
	snapshot := func(revision uint64, base, a, b string) *gossip.Snapshot {
		values := map[string]gossip.Value{}
		for name, body := range map[string]string{"config/base": base, "config/overlay/a": a, "config/overlay/b": b} {
			values[name] = gossip.Value{Name: name, Body: []byte(body)}
		}
		return gossip.NewSnapshot(gossip.ConfigPrefix, revision, values)
	}
	steps := []struct {
		name        string
		snapshot    *gossip.Snapshot
		allOverlays bool
		want        []int
	}{
		{"first, from the platform", snapshot(1, "x", "a", "b"), true, []int{2}},
		{"other overlay, from a peer", snapshot(2, "x", "a", "b2"), false, nil},
		{"other overlay, from the platform", snapshot(3, "x", "a", "b3"), true, []int{1}},
		{"own overlay, from a peer", snapshot(4, "x", "a2", "b3"), false, []int{1}},
		{"base, from a peer", snapshot(5, "y", "a2", "b3"), false, []int{1}},
		{"base, from the platform", snapshot(6, "z", "a2", "b3"), true, []int{2}},
	}
	for _, step := range steps {
		compiled = nil
		require.NoError(t, v.validate(step.snapshot, step.allOverlays), step.name)
		p := v.activateConfig(step.snapshot)
		require.Equal(t, step.want, compiled, step.name)
		require.Equal(t, step.snapshot.Revision, p.Revision, step.name)
		require.Equal(t, "a", p.Site, step.name)
	}
}

// Guards against a seed that is listed as a peer in addition to its host.
func TestSeedIsNotListedAsPeer(t *testing.T) {
	s := New(Config{Self: member.Host{ID: "a0"}, Seeds: []string{"127.0.0.1:1"}, Compiler: compileText})
	reply := &gossip.ExchangeReply{Snapshots: []gossip.SnapshotVersion{{Prefix: gossip.ConfigPrefix, Active: 7}}}
	s.step(gossip.ExchangeReplied{From: seedPrefix + "127.0.0.1:1", Reply: reply})
	s.step(gossip.ExchangeReplied{From: "a1", Reply: reply})
	peers := s.Status().Peers
	require.Len(t, peers, 1)
	require.EqualValues(t, "a1", peers[0].Host)
}
