package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// answerBreaker makes an upstream in trouble of a handler: it breaks half of the
// answers at random. None of the broken ones may reach a client as an answer.
type answerBreaker struct {
	mu     sync.Mutex
	random *rand.Rand
}

// intN returns a random number below n.
func (b *answerBreaker) intN(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// serve answers a request with what upstream answers to it, broken.
func (b *answerBreaker) serve(w http.ResponseWriter, r *http.Request, upstream http.Handler) {
	if b.intN(2) == 0 {
		upstream.ServeHTTP(w, r)
		return
	}
	if b.intN(4) == 0 {
		writeRaw(w, []byte(partOfAnswer(r)), true)
		return
	}
	recorder := httptest.NewRecorder()
	upstream.ServeHTTP(recorder, r)
	var raw bytes.Buffer
	result := recorder.Result()
	result.ContentLength = int64(recorder.Body.Len())
	_ = result.Write(&raw)
	broken, reset := b.breakAnswer(raw.Bytes())
	writeRaw(w, broken, reset)
}

// partOfAnswer returns the beginning of an answer without a length, to a request whose
// body has not been read.
func partOfAnswer(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\nanswer",
		r.Header.Get("Request-Id"))
}

// breakAnswer breaks an answer. It reports whether its connection is to be reset.
func (b *answerBreaker) breakAnswer(raw []byte) (broken []byte, reset bool) {
	status, rest, _ := bytes.Cut(raw, []byte("\r\n"))
	head := bytes.Index(raw, []byte("\r\n\r\n"))
	withLine := func(line string) []byte { return fmt.Appendf(nil, "%s\r\n%s\r\n%s", status, line, rest) }
	switch b.intN(8) {
	case 0:
		return withLine("X A: b"), false
	case 1:
		return withLine("X\x01A: b"), false
	case 2:
		return withLine("Content-Length : 3"), false
	case 3:
		return fmt.Appendf(nil, "HTTP/1.1 000 Odd\r\n%s", rest), false
	case 4:
		return fmt.Appendf(nil, "HTTP/1.1 000 Odd\r\n\r\n%s", raw), false
	case 5:
		return raw[:b.intN(head+1)], b.intN(2) == 0
	case 6:
		return raw[:head+4+b.intN(len(raw)-head-4+1)/2], true
	default:
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s", rest), false
	}
}

// resetDelay lets the bytes before a reset arrive.
const resetDelay = 5 * time.Millisecond

// writeRaw writes bytes to the connection of a request and ends it.
func writeRaw(w http.ResponseWriter, raw []byte, reset bool) {
	nc, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	_, _ = nc.Write(raw)
	if reset {
		time.Sleep(resetDelay)
		_ = nc.(*net.TCPConn).SetLinger(0)
		return
	}
	endOrderly(nc, buffered)
}

// endOrderly ends a connection without a reset, which would follow if bytes of the
// request were left unread.
func endOrderly(nc net.Conn, buffered *bufio.ReadWriter) {
	_ = nc.(*net.TCPConn).CloseWrite()
	_ = nc.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, buffered)
}
