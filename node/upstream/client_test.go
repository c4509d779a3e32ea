package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/standin/rawupstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedServer is a raw HTTP server. For the nth request it writes reply(n) as
// it is, or closes the connection if that is empty.
type scriptedServer struct {
	lis      net.Listener
	requests atomic.Int64
	last     atomic.Pointer[http.Request]
}

func newScriptedServer(t *testing.T, reply func(n int64) string) *scriptedServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{lis: lis}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.serve(conn, reply)
		}
	}()
	t.Cleanup(func() {
		_ = lis.Close()
		<-done
	})
	return s
}

// serve handles one connection at a time, which is enough for these tests.
func (s *scriptedServer) serve(conn net.Conn, reply func(n int64) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.last.Store(req)
		text := reply(s.requests.Add(1))
		if text == "" {
			return
		}
		_, _ = io.WriteString(conn, text)
		if strings.Contains(text, "Connection: close") || strings.HasPrefix(text, "HTTP/1.0") || strings.HasSuffix(text, "cut") {
			return
		}
	}
}

func runOnce(t *testing.T, s *scriptedServer, r driver.Run) engine.Event {
	t.Helper()
	c := New(s.lis.Addr().String(), 1<<10)
	c.SetLimits(4, 1<<10)
	t.Cleanup(c.Close)
	return runWith(c, r)
}

func runWith(c *Client, r driver.Run) engine.Event {
	r.Deadline = time.Now().Add(5 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	return c.Run(ctx, r)
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards I1 and I5: no request is sent twice, although net/http resends some
// requests itself when a reused connection breaks.
func TestNeverResends(t *testing.T) {
	for name, r := range map[string]driver.Run{
		"GET without body":  {Method: http.MethodGet, Path: "/x", Idempotent: true},
		"POST without body": {Method: http.MethodPost, Path: "/x", Key: "k"},
		"POST with body":    {Method: http.MethodPost, Path: "/x", Key: "k", Payload: driver.Payload{Body: []byte("{}")}},
		"PUT with body":     {Method: http.MethodPut, Path: "/x", Payload: driver.Payload{Body: []byte("{}")}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(n int64) string {
				if n == 1 {
					return ok("first")
				}
				return "" // reads the request and closes
			})
			c := New(s.lis.Addr().String(), 1<<10)
			t.Cleanup(c.Close)
			require.IsType(t, engine.UpstreamReplied{}, runWith(c, r))
			failed, isFailed := runWith(c, r).(engine.UpstreamFailed)
			require.True(t, isFailed)
			require.Equal(t, verdict.MayHaveRun, failed.Verdict)
			require.Equal(t, int64(2), s.requests.Load())
		})
	}
}

// Guards I3 and I4: only answers that are provably complete are returned, and a
// request with an incomplete answer counts as run.
func TestAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		reply    string
		body     string // of a complete answer
		complete bool
	}{
		"length":           {ok("hello"), "hello", true},
		"empty":            {ok(""), "", true},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", true},
		"redirect":         {"HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", "", true},
		"truncated body":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "", false},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut", "", false},
		"no length":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", "", false},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nhello", "", false},
		"above the limit":  {ok(strings.Repeat("x", 2<<10)), "", false},
		"chunks too large": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2<<10) + "\r\n0\r\n\r\n", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int64) string { return tt.reply })
			event := runOnce(t, s, driver.Run{Method: http.MethodGet, Path: "/x", Idempotent: true})
			if !tt.complete {
				failed, isFailed := event.(engine.UpstreamFailed)
				require.True(t, isFailed, "%+v", event)
				require.Equal(t, verdict.Run, failed.Verdict)
				require.Equal(t, verdict.IncompleteAnswer, failed.Reason)
				return
			}
			replied, isReply := event.(engine.UpstreamReplied)
			require.True(t, isReply, "%+v", event)
			require.Equal(t, tt.body, string(replied.Answer.Body))
			require.Equal(t, int64(1), s.requests.Load())
		})
	}
}

// Guards I4: only HeaderNotRun proves that an at-most-once request was not run,
// Retry-After alone does not.
func TestShed(t *testing.T) {
	for name, tt := range map[string]struct {
		status, header string
		idempotent     bool
		shed, draining bool
	}{
		"not run":                   {"503", "Toucangw-Not-Run: 1", false, true, false},
		"retry after, idempotent":   {"429", "Retry-After: 1", true, true, false},
		"retry after, at most once": {"503", "Retry-After: 1", false, false, false},
		"plain error":               {"503", "X: y", true, false, false},
		"not run with other status": {"500", "Toucangw-Not-Run: 1", true, false, false},
		"draining":                  {"503", "Toucangw-Not-Run: 1\r\nToucangw-Draining: 1", true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int64) string {
				return "HTTP/1.1 " + tt.status + " X\r\n" + tt.header + "\r\nContent-Length: 0\r\n\r\n"
			})
			event := runOnce(t, s, driver.Run{Method: http.MethodPost, Path: "/x", Idempotent: tt.idempotent})
			replied, isReply := event.(engine.UpstreamReplied)
			require.True(t, isReply, "%+v", event)
			require.Equal(t, tt.shed, replied.Shed)
			require.Equal(t, tt.shed, replied.Answer == nil)
			require.Equal(t, tt.draining, replied.Draining)
			require.Equal(t, strings.HasPrefix(tt.header, "Retry-After") && tt.shed, replied.MayHaveRun)
			require.Equal(t, replied.MayHaveRun, replied.RetryAfter == time.Second)
		})
	}
}

// Guards against a verdict other than not run when no connection could be made.
func TestNoConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	c := New(addr, 1<<10)
	t.Cleanup(c.Close)
	failed, isFailed := runWith(c, driver.Run{Method: http.MethodPost, Path: "/x"}).(engine.UpstreamFailed)
	require.True(t, isFailed)
	require.Equal(t, verdict.NotRun, failed.Verdict)
}

// Guards against missing request headers, and against an Idempotency-Key header,
// which would make net/http resend requests.
func TestHeaders(t *testing.T) {
	s := newScriptedServer(t, func(int64) string { return ok("") })
	runOnce(t, s, driver.Run{
		Method: http.MethodPost, Path: "/x?y=1", RequestID: "r", Caller: "c", Key: "k", Token: "t",
		Payload: driver.Payload{ContentType: "text/plain", Body: []byte("body")},
	})
	req := s.last.Load()
	require.Equal(t, "/x?y=1", req.URL.RequestURI())
	for name, want := range map[string]string{
		HeaderRequestID: "r", HeaderCaller: "c", HeaderKey: "k", HeaderContext: "t", "Content-Type": "text/plain",
	} {
		require.Equal(t, want, req.Header.Get(name), name)
	}
	require.NotEmpty(t, req.Header.Get(HeaderTimeout))
	require.Empty(t, req.Header.Get("Idempotency-Key"))
}

// brokenHeads returns responses whose head is no sound one, by what is wrong.
func brokenHeads() map[string]string {
	return map[string]string{
		"blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
		"folded line":            "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
		"length and chunks":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"000, then an answer":    "HTTP/1.1 000 Odd\r\n\r\n" + ok("ok"),
		"interim, broken":        "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + ok("ok"),
		"refusal, broken":        "HTTP/1.1 503 X\r\nToucangw-Not-Run: 1\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"head cut, with a close": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncut",
	}
}

// Guards against a broken head being taken for an answer or for a refusal that says that the request has not run.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int64) string { return head })
			event := runOnce(t, s, driver.Run{Method: http.MethodPost, Path: "/x"})
			failed, isFailed := event.(engine.UpstreamFailed)
			require.True(t, isFailed, "%+v", event)
			require.Equal(t, verdict.MayHaveRun, failed.Verdict)
		})
	}
}

// Guards against an upstream in trouble being taken for a healthy one.
func TestBrokenHeadsAreNotHealthy(t *testing.T) {
	for name, head := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int64) string { return head })
			c := New(s.lis.Addr().String(), 1<<10)
			t.Cleanup(c.Close)
			require.False(t, c.probe(t.Context(), "/health").Healthy)
		})
	}
}

// Guards against a request of another node that holds a line break being written as two requests.
func TestRequestsThatAreNoMessagesAreNotSent(t *testing.T) {
	for name, r := range map[string]driver.Run{
		"path":   {Method: http.MethodGet, Path: "/x HTTP/1.1\r\nX: y"},
		"method": {Method: "GET /y HTTP/1.1\r\n", Path: "/x"},
		"header": {Method: http.MethodGet, Path: "/x", Caller: "c\r\nX: y"},
		"key":    {Method: http.MethodPost, Path: "/x", Key: "k\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int64) string { return ok("") })
			failed, isFailed := runOnce(t, s, r).(engine.UpstreamFailed)
			require.True(t, isFailed)
			require.Equal(t, verdict.NotRun, failed.Verdict)
			require.Zero(t, s.requests.Load())
		})
	}
}

// Guards against an earlier refusal that an upstream writes once more being taken for one of a request that runs.
func TestRepeatedRefusalIsNotOneOfAnotherRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nToucangw-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var runs atomic.Int64
	server, err := rawupstream.Listen("127.0.0.1:0", func(x *rawupstream.Exchange) bool {
		x.Write(refusal)
		if x.Number > 1 {
			runs.Add(1)
		}
		return true
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	c := New(server.Addr(), 1<<10)
	t.Cleanup(c.Close)
	for range 4 {
		before := runs.Load()
		replied, isReply := runWith(c, driver.Run{Method: http.MethodPost, Path: "/x"}).(engine.UpstreamReplied)
		require.False(t, isReply && replied.Shed && !replied.MayHaveRun && runs.Load() > before, "said not to have run, but runs")
	}
}
