package site

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a client of the soak that sends a request once more by itself, under the same ID, when its node is killed: the second
// node process answers that it has not run.
func TestClientSendsARequestOnce(t *testing.T) {
	var mu sync.Mutex
	sent := map[string]int{}
	lis, err := net.Listen("tcp", address("127.0.0.1", clientsPort))
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Request-Id")
		if sent[id]++; id == "lost" {
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = server.Serve(lis) }()
	defer func() { _ = server.Close() }()
	h := &Host{IP: "127.0.0.1"}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, id := range []string{"first", "lost"} {
		h.Send(transport, Request{ID: id, Path: "/deep/x", Deadline: time.Second})
	}
	assert.Equal(t, map[string]int{"first": 1, "lost": 1}, sent)
}
