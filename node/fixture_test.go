package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/settings"
	"toucangw.example/standin/upstream"
)

const waitLimit = 10 * time.Second

// lockedBuffer collects the log of a node. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testNode is a node in this process with a fake upstream.
type testNode struct {
	*Node
	host      member.Host
	static    *Static
	upstream  *upstream.Upstream
	server    *httptest.Server
	log       *lockedBuffer
	drain     chan struct{}
	drainOnce sync.Once
	done      chan error
	cancel    context.CancelFunc
}

func (n *testNode) url(path string) string { return "http://" + n.Addrs().Callers + path }

func (n *testNode) startDrain() { n.drainOnce.Do(func() { close(n.drain) }) }

// cluster is a set of nodes that have each other in their member lists.
type cluster struct {
	t      *testing.T
	nodes  []*testNode
	policy *policy.Policy
}

func loadPolicy(t *testing.T) *policy.Policy {
	t.Helper()
	data, err := os.ReadFile("../examples/drooglog/base.toml")
	require.NoError(t, err)
	policies, problems := settings.Compile(1, settings.Source{Name: "base", Data: data}, nil)
	require.Empty(t, problems)
	p := policies[settings.BaseSite]
	for _, service := range p.Services {
		// The nodes have just started. Their cold start would reject calls for
		// reasons that the tests are not about.
		service.ColdStart = time.Millisecond
	}
	return p
}

func newCluster(t *testing.T, services ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, policy: loadPolicy(t)}
	for i, service := range services {
		c.nodes = append(c.nodes, c.listen(i, service))
	}
	c.setHosts(c.hosts())
	for _, n := range c.nodes {
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		go func() { n.done <- n.Run(ctx, n.drain) }()
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) listen(i int, service string) *testNode {
	n := &testNode{log: &lockedBuffer{}, drain: make(chan struct{}), done: make(chan error, 1)}
	n.server = httptest.NewUnstartedServer(nil)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	id := fmt.Sprintf("%s-%d", service, i)
	s := &settings.Node{
		Host:     settings.NodeHost{ID: id, Region: "flanders", Zone: "flanders-a", Site: "flanders-a", Service: service},
		Listen:   settings.NodeListen{Callers: free, Egress: free, Peers: free, Operator: free},
		Upstream: settings.NodeUpstream{Address: netip.MustParseAddrPort(n.server.Listener.Addr().String())},
		Log:      settings.NodeLog{Format: settings.LogText, Decisions: true},
		Limits:   settings.NodeLimits{MaxBody: 1 << 20, MaxHeader: 64 << 10, DrainTimeout: 10 * time.Second},
	}
	var err error
	n.Node, err = Listen(Options{
		Settings:    s,
		Incarnation: uint64(time.Now().UnixMilli()),
		Policies:    DefaultPolicies(),
		Output:      n.log,
		Source: func(cfg SourceConfig) Source {
			n.static = NewStatic(cfg)
			return n.static
		},
	})
	require.NoError(c.t, err)
	n.upstream = upstream.New(upstream.Config{
		Service: service,
		Slots:   100,
		Egress:  "http://" + n.Addrs().Egress,
		Routes:  upstream.Routes("drooglog", service),
	})
	n.server.Config.Handler = n.upstream
	n.server.Start()
	n.host = member.Host{
		ID: member.HostID(id), Addr: n.Addrs().Peers, Region: "flanders", Zone: "flanders-a", Service: service,
	}
	return n
}

func (c *cluster) hosts() []member.Host {
	var hosts []member.Host
	for _, n := range c.nodes {
		hosts = append(hosts, n.host)
	}
	return hosts
}

func (c *cluster) setHosts(hosts []member.Host) {
	for _, n := range c.nodes {
		n.static.Set(c.policy, hosts)
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		select {
		case <-n.done:
		case <-time.After(waitLimit):
			c.t.Error("node did not stop")
		}
		n.upstream.Close()
		n.server.CloseClientConnections()
		n.server.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	if c.t.Failed() {
		for _, n := range c.nodes {
			text := n.log.String()
			c.t.Logf("end of the log of %s:\n%s", n.host.ID, text[max(0, len(text)-1500):])
		}
	}
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r reply) refusal(t *testing.T) map[string]any {
	t.Helper()
	var body map[string]any
	require.NoError(t, json.Unmarshal(r.body, &body), "body %q", r.body)
	return body
}

func send(t *testing.T, method, url string, header map[string]string, body string) reply {
	t.Helper()
	r, err := trySend(method, url, header, body)
	require.NoError(t, err)
	return r
}

func trySend(method, url string, header map[string]string, body string) (reply, error) {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		return reply{}, err
	}
	req.GetBody = nil
	req.Header.Set("Toucangw-Caller", "scheldt")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data}, err
}
