package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against at-most-once requests that fail because one upstream is down while
// its node works: a caller that follows the key flow is answered by another host.
func TestAtMostOnceWithUpstreamDown(t *testing.T) {
	c := newCluster(t, "release", "release", "ledger", "quality")
	c.nodes[0].server.CloseClientConnections()
	require.NoError(t, c.nodes[0].server.Listener.Close())
	entry := c.nodes[2]
	answered := 0
	const requests = 30
	for i := range requests {
		url := entry.url(fmt.Sprintf("/release/sign-offs/lot-%d", i))
		header := map[string]string{}
		for range 4 { // a 428 and three attempts
			r := send(t, http.MethodPost, url, header, "{}")
			if r.status == http.StatusOK {
				answered++
				break
			}
			require.Equal(t, "not-run", r.header.Get("Toucangw-Verdict"), "%s", r.body)
			delete(header, "Idempotency-Key") // the request never runs under this key
			if key := r.header.Get("Idempotency-Key"); key != "" {
				header["Idempotency-Key"] = key
			}
		}
	}
	t.Logf("%d of %d answered", answered, requests)
	require.GreaterOrEqual(t, answered, requests*9/10)
}
