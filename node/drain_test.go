package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/standin/upstream"
)

// Guards against a planned stop that aborts requests in flight or their sub-calls,
// and against a node that does not stop afterwards.
func TestDrainFinishesCallsInFlight(t *testing.T) {
	c := newCluster(t, "batchlog", "ledger", "quality")
	c.nodes[0].upstream.SetMode(upstream.Mode{Slow: 20}) // 120 ms and more
	const calls = 20
	replies := make([]reply, calls)
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			url := c.nodes[0].url(fmt.Sprintf("/batchlog/quality/%d", i))
			replies[i], errs[i] = trySend(http.MethodGet, url, nil, "")
		})
	}
	require.Eventually(t, func() bool { return c.nodes[0].upstream.Counts().Runs == calls }, waitLimit, time.Millisecond)
	c.nodes[0].startDrain()
	wg.Wait()
	for i := range calls {
		require.NoError(t, errs[i])
		require.Equal(t, http.StatusOK, replies[i].status, "%s", replies[i].body)
	}
	select {
	case err := <-c.nodes[0].done:
		c.nodes[0].done <- err
		require.NoError(t, err)
	case <-time.After(waitLimit):
		t.Fatal("the node did not end")
	}
}

// Guards against a leaving host that accepts new work instead of rejecting it as not
// run, and against other nodes that still route calls to it.
func TestLeavingHostGetsNoWork(t *testing.T) {
	c := newCluster(t, "ledger", "ledger", "batchlog")
	leaving, remaining, entry := c.nodes[0], c.nodes[1], c.nodes[2]
	for i := range 20 {
		r := send(t, http.MethodGet, entry.url(fmt.Sprintf("/ledger/ledger/%d", i)), nil, "")
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	require.Positive(t, leaving.upstream.Counts().Runs)
	require.Positive(t, remaining.upstream.Counts().Runs)

	leaving.startDrain()
	refused := send(t, http.MethodGet, leaving.url("/ledger/ledger/x"), nil, "")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "not-run", refused.header.Get("Toucangw-Verdict"))
	require.Equal(t, "leaving", refused.refusal(t)["reason"])
	require.Eventually(t, func() bool {
		for _, m := range entry.Status().Members {
			if m.Host == string(leaving.host.ID) {
				return m.Status == "leaving"
			}
		}
		return false
	}, 3*time.Second, 10*time.Millisecond, "the announcement did not reach the other node")
	before := leaving.upstream.Counts().Runs
	for i := range 20 {
		r := send(t, http.MethodGet, entry.url(fmt.Sprintf("/ledger/ledger/y%d", i)), nil, "")
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	require.Equal(t, before, leaving.upstream.Counts().Runs)
}

// Guards against a drain that reports success although calls were still in flight at
// its timeout.
func TestDrainTimeout(t *testing.T) {
	c := newCluster(t, "ledger")
	n := c.nodes[0]
	n.settings.Limits.DrainTimeout = 200 * time.Millisecond
	n.upstream.SetMode(upstream.Mode{Unresponsive: true})
	go func() { _, _ = trySend(http.MethodGet, n.url("/ledger/ledger/1"), nil, "") }()
	require.Eventually(t, func() bool { return n.upstream.Counts().Runs == 1 }, waitLimit, time.Millisecond)
	n.startDrain()
	err := <-n.done
	n.done <- err
	require.ErrorIs(t, err, ErrDrainIncomplete)
}

// Guards against a host that accepts new work while its upstream is draining, and
// against one that does not announce this to the other nodes.
func TestUpstreamDrains(t *testing.T) {
	c := newCluster(t, "ledger", "batchlog")
	ledger, entry := c.nodes[0], c.nodes[1]
	ledger.upstream.SetMode(upstream.Mode{Draining: true})
	require.Eventually(t, func() bool { return ledger.Status().Leaving && !ledger.Ready() }, waitLimit, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		r := send(t, http.MethodGet, entry.url("/ledger/ledger/1"), nil, "")
		return r.header.Get("Toucangw-Reason") == "no-upstream" && r.header.Get("Toucangw-Verdict") == "not-run"
	}, 3*time.Second, 10*time.Millisecond)
}
