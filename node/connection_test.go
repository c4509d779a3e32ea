package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/member"
	"toucangw.example/standin/relay"
	"toucangw.example/standin/upstream"
)

// signOff is an at-most-once request in flight from an entry node to the owner of
// its key, through a relay that can fail.
type signOff struct {
	c      *cluster
	owner  *testNode
	entry  *testNode
	relay  *relay.Relay
	header map[string]string
	answer chan reply
}

const (
	signOffPath   = "/release/sign-offs/lot-1"
	signOffAction = "POST /sign-offs/lot-1"
)

// startSignOff starts a cluster, sends the request and returns when the upstream of
// the owner runs it.
func startSignOff(t *testing.T) *signOff {
	t.Helper()
	c := newCluster(t, "release", "ledger", "quality")
	s := &signOff{c: c, owner: c.nodes[0], entry: c.nodes[1], answer: make(chan reply, 1)}
	r, err := relay.Listen("127.0.0.1:0", s.owner.host.Addr)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	s.relay = r
	hosts := c.hosts()
	hosts[0].Addr = r.Addr()
	s.entry.static.Set(c.policy, hosts)
	first := send(t, http.MethodPost, s.entry.url(signOffPath), nil, "{}")
	s.header = map[string]string{"Idempotency-Key": first.header.Get("Idempotency-Key")}
	require.NotEmpty(t, s.header["Idempotency-Key"], "%s", first.body)
	s.owner.upstream.SetMode(upstream.Mode{Slow: 40}) // 400 ms
	go func() {
		answer, _ := trySend(http.MethodPost, s.entry.url(signOffPath), s.header, "{}")
		s.answer <- answer
	}()
	require.Eventually(t, func() bool { return s.owner.upstream.Counts().Runs == 1 }, waitLimit, time.Millisecond)
	return s
}

// Guards I3, I4 and I5 on real connections that fail while an at-most-once request
// runs: its answer arrives over a new connection, or no node reports "not run" and
// the answer can be fetched by key. The request runs once.
func TestConnectionFailsDuringRun(t *testing.T) {
	t.Run("silence", func(t *testing.T) {
		s := startSignOff(t)
		s.relay.Blackhole()
		answer := <-s.answer
		require.Equal(t, http.StatusOK, answer.status, "%s", answer.body)
		require.Equal(t, 1, s.owner.upstream.Counts().ByAction[signOffAction])
	})
	t.Run("partition", func(t *testing.T) {
		s := startSignOff(t)
		s.relay.Close()
		answer := <-s.answer
		require.Equal(t, "may-have-run", answer.header.Get("Toucangw-Verdict"), "%s", answer.body)
		s.c.setHosts(s.c.hosts())
		again := send(t, http.MethodPost, s.entry.url(signOffPath), s.header, "{}")
		require.Equal(t, http.StatusOK, again.status, "%s", again.body)
		require.Equal(t, 1, s.owner.upstream.Counts().ByAction[signOffAction])
	})
	t.Run("drain", func(t *testing.T) {
		s := startSignOff(t)
		s.owner.startDrain()
		answer := <-s.answer
		require.Equal(t, http.StatusOK, answer.status, "%s", answer.body)
	})
}

// closedPort returns an address at which nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lis.Close())
	return lis.Addr().String()
}

// Guards against reads and sign-offs that fail because of unreachable hosts: reads go
// to another host, and without another host both are rejected as not run.
func TestNoConnectionToPeer(t *testing.T) {
	c := newCluster(t, "ledger", "ledger", "batchlog")
	entry, hosts := c.nodes[2], c.hosts()
	hosts[0].Addr = closedPort(t)
	entry.static.Set(c.policy, hosts)
	for i := range 10 {
		r := send(t, http.MethodGet, entry.url(fmt.Sprintf("/ledger/ledger/%d", i)), nil, "")
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	hosts[1].Addr = closedPort(t)
	entry.static.Set(c.policy, hosts)
	r := send(t, http.MethodGet, entry.url("/ledger/ledger/x"), nil, "")
	require.Equal(t, "not-run", r.header.Get("Toucangw-Verdict"), "%s", r.body)
	require.Zero(t, c.nodes[0].upstream.Counts().Runs)

	hosts = append(hosts, member.Host{ID: "release-9", Addr: closedPort(t), Service: "release"})
	entry.static.Set(c.policy, hosts)
	r = send(t, http.MethodPost, entry.url(signOffPath), nil, "{}")
	require.Equal(t, "not-run", r.header.Get("Toucangw-Verdict"), "%s", r.body)
	require.Empty(t, r.header.Get("Idempotency-Key"))
}

// Guards against a node that fails if it starts without platform and peers: it is
// healthy but not ready, rejects calls as not run, and works once it has a
// configuration.
func TestStartWithoutConfiguration(t *testing.T) {
	c := &cluster{t: t, policy: loadPolicy(t)}
	n := c.listen(0, "ledger")
	c.nodes = []*testNode{n}
	t.Cleanup(c.close)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.done <- n.Run(ctx, n.drain) }()
	operator := "http://" + n.Addrs().Operator
	require.Equal(t, http.StatusOK, send(t, http.MethodGet, operator+"/healthz", nil, "").status)
	require.Equal(t, http.StatusServiceUnavailable, send(t, http.MethodGet, operator+"/readyz", nil, "").status)
	r := send(t, http.MethodGet, n.url("/ledger/ledger/1"), nil, "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "starting", r.header.Get("Toucangw-Reason"))
	require.Equal(t, "not-run", r.header.Get("Toucangw-Verdict"))
	require.Zero(t, n.upstream.Counts().Runs)
	c.setHosts(c.hosts())
	require.Eventually(t, func() bool {
		r, err := trySend(http.MethodGet, n.url("/ledger/ledger/2"), nil, "")
		return err == nil && r.status == http.StatusOK
	}, waitLimit, time.Millisecond)
}
