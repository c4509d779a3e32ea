package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/advisory"
	"toucangw.example/core/directory"
	"toucangw.example/core/quarantine"
	"toucangw.example/core/routetable"
	"toucangw.example/core/verdict"
)

// crashThrice quarantines a request at a node.
func crashThrice(g *Gateway, f *forward) {
	for i := range 3 {
		g.quarantine.OnCrash(time.Now(), f.fingerprint(), quarantine.Subject{},
			quarantine.Crash{Upstream: advisory.Instance{ID: fmt.Sprint("u", i)}, At: time.Now()})
	}
}

// liveGateway returns a gateway whose upstream accepts connections.
func liveGateway(t *testing.T) *Gateway {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	g := testGateway()
	g.cfg.Upstream = netip.MustParseAddrPort(lis.Addr().String())
	return g
}

func localForward() *forward {
	return &forward{meta: forwardMeta{Service: "s", Upstream: "own"}, method: "GET", target: "/1", header: http.Header{}, deadline: time.Now().Add(time.Second)}
}

// Guards against an upstream that crashes and is back so fast that no connection is refused, or that falls silent.
func TestReplacedIncarnationHasCrashed(t *testing.T) {
	for name, tt := range map[string]struct {
		next advisory.Instance
		err  error
	}{
		"another ID": {advisory.Instance{ID: "next", StartedAt: 20}, io.EOF},
		"same ID":    {advisory.Instance{ID: "own", StartedAt: 20}, io.EOF},
		"silent":     {advisory.Instance{ID: "next", StartedAt: 20}, context.DeadlineExceeded},
	} {
		g := liveGateway(t)
		g.SetLocalUpstream(directory.LocalUpstream{ID: "own", StartedAt: time.UnixMilli(10)})
		run := &localRun{forward: localForward(), instance: advisory.Instance{ID: "own", StartedAt: 10}, startedAt: time.Now()}
		g.onRunLost(run, &reply{}, tt.err)
		require.True(t, g.quarantine.Empty(), name)
		g.SetLocalUpstream(directory.LocalUpstream{ID: tt.next.ID, StartedAt: time.UnixMilli(tt.next.StartedAt)})
		record, known := g.quarantine.Get(run.forward.fingerprint())
		require.True(t, known, name)
		assert.Equal(t, 1, record.Counted(), name)
	}
}

// Guards against a lost connection that is taken for a crash although the process has answered since.
func TestProcessThatAnsweredAfterALossHasNotCrashed(t *testing.T) {
	g := liveGateway(t)
	own := advisory.Instance{ID: "own", StartedAt: 10}
	g.onRunLost(&localRun{forward: localForward(), instance: own, startedAt: time.Now()}, &reply{}, io.EOF)
	other := localForward()
	other.target = "/2"
	g.onRunAnswered(&localRun{forward: other, instance: own, startedAt: time.Now().Add(time.Millisecond)}, http.StatusOK)
	g.SetLocalUpstream(directory.LocalUpstream{ID: "next", StartedAt: time.UnixMilli(20)})
	assert.True(t, g.quarantine.Empty())
}

// Guards against a crashing request that goes unnoticed because its client leaves before the upstream ends.
func TestRequestThatWasGivenUpBeforeTheCrashIsSuspected(t *testing.T) {
	g := testGateway() // nothing listens at its upstream's address
	own := advisory.Instance{ID: "own", StartedAt: 10}
	givenUp := &localRun{forward: localForward(), instance: own, startedAt: time.Now()}
	g.onRunLost(givenUp, &reply{}, context.Canceled)
	assert.True(t, g.quarantine.Empty())
	other := localForward()
	other.target = "/2"
	r := &reply{}
	g.onRunLost(&localRun{forward: other, instance: own, startedAt: time.Now()}, r, io.EOF)
	assert.Equal(t, verdict.UpstreamCrashed, r.meta.Reason)
	for _, f := range []*forward{givenUp.forward, other} {
		record, _ := g.quarantine.Get(f.fingerprint())
		assert.Equal(t, 1, record.Counted())
	}
}

// Guards against a refusal with a promise for a request whose earlier attempt ran, and against one that clients soon repeat.
func TestRefusalOfACrashingRequestIsTrue(t *testing.T) {
	g := testGateway()
	f := localForward()
	crashThrice(g, f)
	g.SetHosts(directory.NewSnapshot(directory.Position{}, []directory.Upstream{
		{ID: "own", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), Version: ""},
	}))
	q := &request{route: &routetable.Route{Name: "r"}, service: "s", tried: map[string]bool{}}
	r := g.attempt(context.Background(), q, f)
	assert.Equal(t, verdict.Quarantined, r.meta.Reason)
	assert.Equal(t, http.StatusServiceUnavailable, statusOf(r.refusal()))
	assert.Equal(t, quarantineRetryAfter, r.refusal().RetryAfter)
	assert.Zero(t, q.attempts)
	assert.False(t, g.shouldRetry(context.Background(), &request{deadline: time.Now().Add(time.Second), route: q.route}, f, r))
}
