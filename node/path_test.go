package node

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/standin/upstream"
)

// Guards against a request or request ID that is lost on the way through caller
// listener, entry node, node in front of the upstream, upstream, egress listener and
// sub-call, over real sockets.
func TestCallThroughTwoNodes(t *testing.T) {
	c := newCluster(t, "batchlog", "ledger", "quality")
	r := send(t, http.MethodGet, c.nodes[1].url("/batchlog/quality/7?full=1"), map[string]string{"X-Request-Id": "r-7"}, "")
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	require.Equal(t, "run", r.header.Get("Toucangw-Verdict"))
	require.Equal(t, "r-7", r.header.Get("X-Request-Id"))
	var a upstream.Response
	require.NoError(t, json.Unmarshal(r.body, &a))
	require.Equal(t, "r-7", a.RequestID)
	require.Equal(t, []string{"ledger"}, a.Calls)
	for _, n := range c.nodes {
		require.Equal(t, 1, n.upstream.Counts().ByRequest["r-7"], "runs at %s", n.host.ID)
	}
}

// Guards against a broken key flow: a request without a key gets 428 and a key, the
// request with the key runs once, and a repetition through another node gets the
// stored answer.
func TestIdempotencyKeyFlow(t *testing.T) {
	c := newCluster(t, "release", "ledger", "quality")
	first := send(t, http.MethodPost, c.nodes[0].url("/release/sign-offs/lot-1"), nil, "{}")
	require.Equal(t, http.StatusPreconditionRequired, first.status, "%s", first.body)
	require.Equal(t, "not-run", first.header.Get("Toucangw-Verdict"))
	key := first.header.Get("Idempotency-Key")
	require.NotEmpty(t, key)

	header := map[string]string{"Idempotency-Key": key, "X-Request-Id": "s-1"}
	second := send(t, http.MethodPost, c.nodes[1].url("/release/sign-offs/lot-1"), header, "{}")
	require.Equal(t, http.StatusOK, second.status, "%s", second.body)
	again := send(t, http.MethodPost, c.nodes[2].url("/release/sign-offs/lot-1"), header, "{}")
	require.Equal(t, second.body, again.body)
	require.Equal(t, 1, c.nodes[0].upstream.Counts().ByAction["POST /sign-offs/lot-1"])

	state := send(t, http.MethodGet, c.nodes[1].url("/.toucangw/keys/"+key), nil, "")
	require.Equal(t, "done", state.header.Get("Toucangw-Key-State"))
	require.Equal(t, second.body, state.body)

	other := send(t, http.MethodPost, c.nodes[1].url("/release/sign-offs/lot-1"), header, "{ }")
	require.Equal(t, http.StatusUnprocessableEntity, other.status, "%s", other.body)
}
