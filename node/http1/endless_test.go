package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testMaxHead = 32 << 10
	testDial    = 5 * time.Second
)

// startConnServer starts a server that calls serve for each connection, which it
// closes afterwards. It returns the address of the server.
func startConnServer(t *testing.T, serve func(nc net.Conn, br *bufio.Reader)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				serve(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return lis.Addr().String()
}

// startEndlessServer starts a server that answers each connection's first request
// with head and then repeats rest until the client closes.
func startEndlessServer(t *testing.T, head, rest string) string {
	block := []byte(strings.Repeat(rest, 1+(32<<10)/len(rest)))
	return startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, err := nc.Write([]byte(head))
		for err == nil {
			_, err = nc.Write(block)
		}
	})
}

// Guards against a server that exhausts a node's memory, or occupies a connection
// until the deadline, with a response head or body that has no end.
func TestResponsesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tt := range map[string]struct{ head, rest string }{
		"field":           {ok + "X-A: ", "a"},
		"fields":          {ok, "X-A: b\r\n"},
		"distinct fields": {ok, "A: b\r\nC: d\r\nE-F: g\r\n"},
		"status line":     {"HTTP/1.1 200 ", "a"},
		"no response":     {"", "a"},
		"zero bytes":      {"", "\x00"},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"unmatched":       {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nab"},
		"unmatched body":  {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 99999999999\r\n\r\n", "a"},
		"chunk size":      {ok + "Request-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {ok + "Request-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "a"},
		"trailers":        {ok + "Request-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndlessServer(t, tt.head, tt.rest)
			p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
			t.Cleanup(p.Close)
			peak := peakHeap(func() {
				var calls sync.WaitGroup
				for range 50 {
					calls.Go(func() { assert.Error(t, readEndless(p, address)) })
				}
				calls.Wait()
			})
			const perNode = 100 << 20 // bytes that a node may use on its host
			assert.Less(t, peak, uint64(perNode))
		})
	}
}

// readEndless sends a request and reads its response. It returns an error if
// there is no valid one, and nil if the deadline of 3 s passed meanwhile.
func readEndless(p *Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := p.Do(ctx, address, &Request{
		Method: http.MethodGet, Target: "/", Host: "x",
		Match: matchID("own"), //nolint:bodyclose // a matcher does not own the response
	})
	if err == nil {
		_, _, err = r.ReadBody(1 << 20)
		r.Close()
	}
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// peakHeap returns the largest heap, above that before, while run runs.
func peakHeap(run func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	peak := before.HeapAlloc
	for {
		select {
		case <-done:
			return peak - before.HeapAlloc
		case <-time.After(10 * time.Millisecond):
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
		}
	}
}

// matchID matches responses by their Request-Id header.
func matchID(id string) func(*http.Response) Match {
	return func(r *http.Response) Match {
		switch r.Header.Get("Request-Id") {
		case id:
			return MatchOwn
		case "":
			return MatchUnknown
		default:
			return MatchOther
		}
	}
}

// startRepeatingServer starts a server that answers the first request of a
// connection twice. The second copy is sent immediately if late is not set, and
// otherwise once the next request has arrived, before its response.
func startRepeatingServer(t *testing.T, late bool, response func(id string) string) string {
	return startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
		copies := ""
		for n := 0; ; n++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			text := response(req.Header.Get("Request-Id"))
			_, _ = nc.Write([]byte(copies + text))
			copies = ""
			if n == 0 && late {
				copies = text
			} else if n == 0 {
				_, _ = nc.Write([]byte(text))
			}
		}
	})
}

// Guards against the second copy of a response being taken for the response to the
// next request on the connection, whenever it arrives.
func TestRepeatedResponseIsNotTheNextOne(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			address := startRepeatingServer(t, late, func(id string) string {
				return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nRequest-Id: " + id + "\r\n\r\n" + id
			})
			p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
			t.Cleanup(p.Close)
			for i := 100; i < 130; i++ {
				id := strconv.Itoa(i)
				r, err := p.Do(t.Context(), address, &Request{
					Method: http.MethodGet, Target: "/", Host: "x", Extra: []Field{{"Request-Id", id}}, Match: matchID(id), //nolint:bodyclose // as above
				})
				require.NoError(t, err)
				body, _, err := r.ReadBody(100)
				require.NoError(t, err)
				assert.Equal(t, id, string(body))
			}
		})
	}
}

// Guards against the late second copy of a refusal that names no request being
// taken for the refusal of the next request, which may run.
func TestUnidentifiedRefusalOfAnEarlierRequest(t *testing.T) {
	address := startRepeatingServer(t, true, func(string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	})
	p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	req := &Request{Method: http.MethodPost, Target: "/", Host: "x", Match: matchID("a")} //nolint:bodyclose // as above
	first, err := p.Do(t.Context(), address, req)
	require.NoError(t, err)
	_, _, err = first.ReadBody(100)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, first.Status)
	_, err = p.Do(t.Context(), address, req)
	var reqErr *RequestError
	require.ErrorAs(t, err, &reqErr)
	assert.True(t, reqErr.Sent)
	assert.ErrorIs(t, err, ErrMalformedResponse)
}
