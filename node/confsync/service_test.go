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

// network carries messages between services in this process.
type network struct {
	mu   sync.Mutex
	byID map[string]*Service // by address
}

func (n *network) find(host member.Host) (*Service, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.byID[host.Addr]; s != nil {
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

// compileText accepts all snapshots without the word invalid.
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

// site is a published directory with its platform and nodes.
type site struct {
	t        *testing.T
	dir      string
	platform *platform.Platform
	url      string
	net      *network
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), net: &network{byID: map[string]*Service{}}}
	for _, zone := range []string{"a", "b"} {
		hosts := ""
		for i := range 4 {
			hosts += fmt.Sprintf(`{"id":"%s%d","addr":"127.0.0.1:%d","service":"ledger"},`, zone, i, port(zone, i))
		}
		s.write("hosts/"+zone+".json", fmt.Sprintf(`{"zone":%q,"region":"r","hosts":[%s]}`, zone, hosts[:len(hosts)-1]))
	}
	s.write("base.toml", "first")
	s.write("overlay/a.toml", "for a")
	p, err := platform.New(platform.Config{Dir: s.dir})
	require.NoError(t, err)
	s.platform = p
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func port(zone string, i int) int { return 7000 + int(zone[0])*10 + i }

func (s *site) write(name, body string) {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(s.t, os.WriteFile(path, []byte(body), 0o644))
	if s.platform != nil {
		require.NoError(s.t, s.platform.Scan())
	}
}

// start runs all nodes until the test ends.
func (s *site) start() []*Service {
	var all []*Service
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, zone := range []string{"a", "b"} {
		for i := range 4 {
			addr := fmt.Sprintf("127.0.0.1:%d", port(zone, i))
			service := New(Config{
				Self:        member.Host{ID: member.HostID(fmt.Sprintf("%s%d", zone, i)), Addr: addr, Zone: zone},
				Incarnation: 1, Site: zone, PlatformURLs: []string{s.url},
				Seeds: []string{fmt.Sprintf("127.0.0.1:%d", port("a", 0))},
				Peers: s.net, Compiler: compileText,
				OnPolicy: func(*policy.Policy) {}, OnHosts: func(map[string][]member.Host) {},
				Seed: uint64(len(all) + 1),
			})
			s.net.byID[addr] = service
			all = append(all, service)
		}
	}
	for _, service := range all {
		group.Go(func() { _ = service.Run(ctx) })
	}
	s.t.Cleanup(func() { cancel(); group.Wait() })
	return all
}

func inForce(all []*Service, revision uint64) func() bool {
	return func() bool {
		for _, s := range all {
			if s.Status().InForce != revision {
				return false
			}
		}
		return true
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards the way of a change from the published files to all nodes, and that an
// overlay that contradicts the base keeps the old version in force.
func TestChangeReachesAllNodes(t *testing.T) {
	s := newSite(t)
	all := s.start()
	first := s.platform.Stats().Revision
	require.Eventually(t, inForce(all, first), waitFor, 20*time.Millisecond)
	require.True(t, all[0].Allowed("b1", netip.MustParseAddr("127.0.0.1")))
	require.False(t, all[0].Allowed("b1", netip.MustParseAddr("127.0.0.2")), "wrong address")
	require.False(t, all[0].Allowed("x1", netip.MustParseAddr("127.0.0.1")), "not on the list")

	s.write("base.toml", "second")
	second := s.platform.Stats().Revision
	require.Eventually(t, inForce(all, second), waitFor, 20*time.Millisecond)

	s.write("overlay/b.toml", "invalid")
	bad := s.platform.Stats().Revision
	reader := findReader(all)
	require.Eventually(t, func() bool { return reader.Status().Rejected == bad }, waitFor, 20*time.Millisecond)
	require.Contains(t, reader.Status().RejectedWhy, "overlay b is invalid")
	require.True(t, inForce(all, second)())

	s.write("overlay/b.toml", "for b")
	require.Eventually(t, inForce(all, s.platform.Stats().Revision), waitFor, 20*time.Millisecond)
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

// Guards against torn answers, which must not come into force, and against
// staying with them once the platform is whole again.
func TestTornAnswerIsDiscarded(t *testing.T) {
	s := newSite(t)
	all := s.start()
	first := s.platform.Stats().Revision
	require.Eventually(t, inForce(all, first), waitFor, 20*time.Millisecond)
	s.platform.SetFaults(platform.Faults{Inconsistent: true})
	s.write("base.toml", "second")
	reader := findReader(all)
	require.Eventually(t, func() bool { return reader.Status().Discarded > 0 }, waitFor, 20*time.Millisecond)
	require.True(t, inForce(all, first)())
	s.platform.SetFaults(platform.Faults{})
	require.Eventually(t, inForce(all, s.platform.Stats().Revision), waitFor, 20*time.Millisecond)
}

// Guards the leaving announcement: peers stop using the host although the list
// still shows it as live.
func TestLeavingReachesPeers(t *testing.T) {
	s := newSite(t)
	all := s.start()
	require.Eventually(t, inForce(all, s.platform.Stats().Revision), waitFor, 20*time.Millisecond)
	all[3].SelfLeaving()
	require.Eventually(t, func() bool { return all[7].Status().Hosts == 7 }, 3*time.Second, 20*time.Millisecond)
}

// Guards the processor time of a change: only what changed is compiled, and
// other overlays only by the node that read them from the platform.
func TestJudgeCompilesOnlyWhatChanged(t *testing.T) {
	var compiled []int
	j := judge{site: "a", compile: func(r uint64, base []byte, o map[string][]byte) (map[string]*policy.Policy, error) {
		compiled = append(compiled, len(o))
		return compileText(r, base, o)
	}}
	set := func(revision uint64, base, a, b string) *gossip.Snapshot {
		values := map[string]gossip.Value{}
		for name, body := range map[string]string{"config/base": base, "config/overlay/a": a, "config/overlay/b": b} {
			values[name] = gossip.Value{Name: name, Body: []byte(body)}
		}
		return gossip.NewSnapshot(gossip.ConfigPrefix, revision, values)
	}
	steps := []struct {
		name string
		set  *gossip.Snapshot
		all  bool
		want []int
	}{
		{"first, from the platform", set(1, "x", "a", "b"), true, []int{2}},
		{"other overlay, from a peer", set(2, "x", "a", "b2"), false, nil},
		{"other overlay, from the platform", set(3, "x", "a", "b3"), true, []int{1}},
		{"own overlay, from a peer", set(4, "x", "a2", "b3"), false, []int{1}},
		{"base, from a peer", set(5, "y", "a2", "b3"), false, []int{1}},
		{"base, from the platform", set(6, "z", "a2", "b3"), true, []int{2}},
	}
	for _, step := range steps {
		compiled = nil
		require.NoError(t, j.check(step.set, step.all), step.name)
		p := j.adoptConfig(step.set)
		require.Equal(t, step.want, compiled, step.name)
		require.Equal(t, step.set.Revision, p.Revision, step.name)
		require.Equal(t, "a", p.Site, step.name)
	}
}

// Guards against a seed that counts as a second peer beside its host.
func TestSeedIsNoPeerOfItsOwn(t *testing.T) {
	s := New(Config{Self: member.Host{ID: "a0"}, Seeds: []string{"127.0.0.1:1"}, Compiler: compileText})
	reply := &gossip.ExchangeReply{Snapshots: []gossip.SnapshotVersion{{Prefix: gossip.ConfigPrefix, Active: 7}}}
	s.step(gossip.ExchangeReplied{From: seedPrefix + "127.0.0.1:1", Reply: reply})
	s.step(gossip.ExchangeReplied{From: "a1", Reply: reply})
	peers := s.Status().Peers
	require.Len(t, peers, 1)
	require.EqualValues(t, "a1", peers[0].Host)
}
