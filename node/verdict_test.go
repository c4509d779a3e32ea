package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/standin/upstream"
)

// Guards against a refusal whose status, headers and body do not all carry the same
// verdict and reason (design section 2.2).
func TestRefusalsCarryVerdict(t *testing.T) {
	c := newCluster(t, "ledger", "quality")
	entry := c.nodes[1]
	c.nodes[0].upstream.SetMode(upstream.Mode{Unresponsive: true})
	late := send(t, http.MethodGet, entry.url("/ledger/ledger/1"),
		map[string]string{"Toucangw-Timeout-Ms": "100", "Toucangw-Attempt": "2", "X-Request-Id": "late"}, "")
	none := send(t, http.MethodGet, entry.url("/batchlog/batches/1"), map[string]string{"X-Request-Id": "none"}, "")
	for _, tt := range []struct {
		reply           reply
		id              string
		status          int
		verdict, reason string
	}{
		{late, "late", http.StatusGatewayTimeout, "may-have-run", "deadline-passed"},
		{none, "none", http.StatusServiceUnavailable, "not-run", "no-upstream"},
	} {
		require.Equal(t, tt.status, tt.reply.status, "%s", tt.reply.body)
		require.Equal(t, tt.verdict, tt.reply.header.Get("Toucangw-Verdict"))
		require.Equal(t, tt.reason, tt.reply.header.Get("Toucangw-Reason"))
		require.Equal(t, tt.id, tt.reply.header.Get("X-Request-Id"))
		body := tt.reply.refusal(t)
		require.Equal(t, tt.verdict, body["verdict"])
		require.Equal(t, tt.reason, body["reason"])
		require.Equal(t, tt.id, body["request_id"])
		require.Contains(t, body, "retry_after_ms")
	}
	require.Equal(t, 1, c.nodes[0].upstream.Counts().ByRequest["late"])
}

// Guards I4 and I5 for a cancelled key: its request never runs, and the refusal
// reports that and carries a new key, with which the request runs once.
func TestCancelKey(t *testing.T) {
	c := newCluster(t, "release", "ledger", "quality")
	entry := c.nodes[1]
	url := entry.url("/release/sign-offs/lot-1")
	key := send(t, http.MethodPost, url, nil, "{}").header.Get("Idempotency-Key")
	require.NotEmpty(t, key)
	unseen := send(t, http.MethodGet, entry.url("/.toucangw/keys/"+key), nil, "")
	require.Equal(t, "unseen", unseen.header.Get("Toucangw-Key-State"))
	require.Equal(t, "may-have-run", unseen.header.Get("Toucangw-Verdict"), "an unseen key may still run")
	cancelled := send(t, http.MethodDelete, c.nodes[2].url("/.toucangw/keys/"+key), nil, "")
	require.Equal(t, "fenced", cancelled.header.Get("Toucangw-Key-State"))
	require.Equal(t, "not-run", cancelled.header.Get("Toucangw-Verdict"))

	refused := send(t, http.MethodPost, url, map[string]string{"Idempotency-Key": key}, "{}")
	require.Equal(t, http.StatusConflict, refused.status, "%s", refused.body)
	require.Equal(t, "not-run", refused.header.Get("Toucangw-Verdict"))
	require.Zero(t, c.nodes[0].upstream.Counts().Runs)
	fresh := refused.header.Get("Idempotency-Key")
	require.NotEmpty(t, fresh)
	require.NotEqual(t, key, fresh)
	ran := send(t, http.MethodPost, url, map[string]string{"Idempotency-Key": fresh}, "{}")
	require.Equal(t, http.StatusOK, ran.status, "%s", ran.body)

	unknown := send(t, http.MethodGet, entry.url("/.toucangw/keys/nonsense"), nil, "")
	require.Equal(t, http.StatusNotFound, unknown.status)
	require.Equal(t, "may-have-run", unknown.header.Get("Toucangw-Verdict"))
}

// Guards I5 against a caller that disconnects during an at-most-once run: the run
// continues, and its answer is stored for the key.
func TestAtMostOnceRunContinuesAfterDisconnect(t *testing.T) {
	c := newCluster(t, "release", "ledger", "quality")
	url := c.nodes[1].url("/release/sign-offs/lot-1")
	key := send(t, http.MethodPost, url, nil, "{}").header.Get("Idempotency-Key")
	c.nodes[0].upstream.SetMode(upstream.Mode{Slow: 20}) // 160 ms and more
	req, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Toucangw-Caller", "scheldt")
	req.Header["Idempotency-Key"] = []string{key}
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	var done reply
	require.Eventually(t, func() bool {
		done, err = trySend(http.MethodGet, c.nodes[2].url("/.toucangw/keys/"+key), nil, "")
		return err == nil && done.header.Get("Toucangw-Key-State") == "done"
	}, waitLimit, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, done.status)
	require.Equal(t, "run", done.header.Get("Toucangw-Verdict"))
	require.Equal(t, 1, c.nodes[0].upstream.Counts().ByAction["POST /sign-offs/lot-1"])
}
