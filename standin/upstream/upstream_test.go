package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, slots int) (*Upstream, string) {
	t.Helper()
	u := New(Config{Service: "ledger", Slots: slots, Routes: Routes("drooglog", "ledger")})
	server := httptest.NewServer(u)
	t.Cleanup(server.Close)
	return u, server.URL
}

// fetch returns the status and headers of the response to a GET.
func fetch(t *testing.T, url string) (int, http.Header) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

// Guards against wrong run counts, with which other tests check whether requests
// ran, and against more requests in flight than slots.
func TestCountsAndSlots(t *testing.T) {
	u, url := start(t, 2)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			resp, err := http.Get(url + "/ledger/1")
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	c := u.Counts()
	require.Equal(t, 8, c.Runs)
	require.Equal(t, 2, c.MaxInFlight)
	require.Empty(t, c.ByAction, "GET requests are not actions")
	require.WithinDuration(t, time.Now(), c.LastRun, time.Minute)
}

// Guards against modes without effect: a shed request must not count as run, and
// unknown fields sent to the control listener must be rejected.
func TestModes(t *testing.T) {
	u, url := start(t, 2)
	control := httptest.NewServer(u.Control())
	t.Cleanup(control.Close)
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, control.URL+"/mode", strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusBadRequest, put(`{"sloww": 1}`))
	require.Equal(t, http.StatusOK, put(`{"shed": true, "drain": true}`))
	status, header := fetch(t, url+"/ledger/1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("Toucangw-Not-Run"))
	require.Equal(t, "1", header.Get("Toucangw-Draining"))
	require.Zero(t, u.Counts().Runs)
	require.Equal(t, http.StatusOK, put(`{}`))
	status, _ = fetch(t, url+"/ledger/1")
	require.Equal(t, http.StatusOK, status)
	status, _ = fetch(t, url+"/other")
	require.Equal(t, http.StatusNotFound, status)
}
