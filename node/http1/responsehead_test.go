package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startAnswerServer starts a server that answers each connection's first request with
// the given bytes and keeps the connection open.
func startAnswerServer(t *testing.T, answer string) string {
	return startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, answer)
		_, _ = io.Copy(io.Discard, br)
	})
}

// fetch sends a request and reads its response to the end.
func fetch(t *testing.T, method, address string) (*ClientResponse, string, error) {
	p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	r, err := p.Do(ctx, address, &Request{Method: method, Target: "/", Host: "x"})
	if err != nil {
		return nil, "", err
	}
	body, complete, err := r.ReadBody(1 << 20)
	if err == nil && !complete {
		r.Close()
	}
	return r, string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// brokenHeads returns heads that are no response, each with what follows it, by what is
// wrong. Names of fields are those that the parser of net/http lets through.
func brokenHeads() map[string]string {
	head := func(field string) string { return "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok" }
	heads := map[string]string{
		"blank in a name":           head("X A: b"),
		"blank before the colon":    head("X-A : b"),
		"blank before a name":       "HTTP/1.1 200 OK\r\nX-B: c\r\n X-A: b\r\nContent-Length: 2\r\n\r\nok",
		"tab before a name":         "HTTP/1.1 200 OK\r\nX-B: c\r\n\tX-A: b\r\nContent-Length: 2\r\n\r\nok",
		"length with a blank":       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nok",
		"length in a folded line":   "HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nok",
		"encoding with a blank":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok",
		"empty name":                head(": b"),
		"no colon":                  head("X-A"),
		"byte above ASCII in name":  head("X-\xc3\xa4: b"),
		"separator in a name":       head("X(A): b"),
		"bare line feeds":           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"bare line feed in fields":  "HTTP/1.1 200 OK\r\nX-A: b\nContent-Length: 2\r\n\r\nok",
		"bare line feed at the end": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok",
		"bare CR in the status":     "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok",
		"control byte in status":    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
		"length twice":              head("Content-Length: 2"),
		"lengths differ":            head("Content-Length: 3"),
		"length list":               "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
		"length with a sign":        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"empty length":              "HTTP/1.1 200 OK\r\nContent-Length: \r\nConnection: close\r\n\r\nok",
		"length and chunks":         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"other encoding":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
		"two encodings":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"encoding twice":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two blanks before status":  "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
		"status of two digits":      "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
		"status of four digits":     "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
		"other version":             "HTTP/3.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no status":                 "HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
		"empty first line":          "\r\n" + okAnswer,
		"no line end":               "garbage",
		"one byte":                  "x",
		"start of another version":  "HTTP/2",
		"body of a 204":             "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
		"chunks of a 204":           "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"switch of protocols":       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + okAnswer,
		"interim, blank in a name":  "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + okAnswer,
		"interim with a body":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nok" + okAnswer,
		"interim with chunks":       "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + okAnswer,
		"broken after an interim":   "HTTP/1.1 103 Early Hints\r\n\r\n" + head("X A: b"),
		"trailer, blank in a name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
		"trailer, control byte":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: \x01\r\n\r\n",
		"trailer, bare line feed":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\n\r\n",
		"trailer, no colon":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A\r\n\r\n",
	}
	for _, c := range []string{"\x00", "\x01", "\x08", "\t", "\x0b", "\r", "\x1b", "\x7f"} {
		heads["byte "+string("0123456789abcdef"[c[0]>>4])+string("0123456789abcdef"[c[0]&15])+" in a name"] = head("X" + c + "A: b")
		if c != "\t" {
			heads["byte "+string("0123456789abcdef"[c[0]>>4])+string("0123456789abcdef"[c[0]&15])+" in a value"] = head("X-A: b" + c + "c")
		}
	}
	return heads
}

// Guards against a head that is no response being taken for one, or kept waiting for: it is rejected at once, and no byte
// after it is read as a response.
func TestBrokenHeadsAreNoResponses(t *testing.T) {
	for name, answer := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			r, body, err := fetch(t, http.MethodGet, startAnswerServer(t, answer))
			require.Error(t, err, "%+v %q", r, body)
			assert.ErrorIs(t, err, ErrMalformedResponse)
			assert.Less(t, time.Since(started), 2*time.Second)
		})
	}
}

// Guards against a response whose status is no status being taken for an interim response, so that what follows it is read
// as the response.
func TestBrokenStatusesAreNoResponses(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "1e2", " 20", "2 0", "20x", "0x1", "\xb2\xb0\xb0", "600", "799", "999"} {
		for _, follows := range []string{"", okAnswer} {
			t.Run(status+" followed by "+strconv.Itoa(len(follows)), func(t *testing.T) {
				t.Parallel()
				answer := "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n" + follows
				_, _, err := fetch(t, http.MethodGet, startAnswerServer(t, answer))
				assert.ErrorIs(t, err, ErrMalformedResponse)
			})
		}
	}
}

// Guards against sound responses being rejected as broken.
func TestSoundResponsesAreRead(t *testing.T) {
	long := strings.Repeat("X-A: "+strings.Repeat("v", 100)+"\r\n", 250)
	for name, tt := range map[string]struct {
		answer, body string
		method       string
		status       int
	}{
		"length":              {answer: okAnswer, body: "ok", status: 200},
		"no reason":           {answer: "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"no reason, no blank": {answer: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"HTTP/1.0":            {answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"lower case":          {answer: "HTTP/1.1 200 ok\r\ncontent-length: 2\r\n\r\nok", body: "ok", status: 200},
		"blanks around value": {answer: "HTTP/1.1 200 OK\r\nContent-Length:\t 2 \t\r\nX-A:b\r\nX-B:\r\n\r\nok", body: "ok", status: 200},
		"bytes above ASCII":   {answer: "HTTP/1.1 200 \xe4\r\nX-A: \xff\tb\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"all token bytes":     {answer: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"chunks":              {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n", body: "ok", status: 200},
		"trailers":            {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n", body: "ok", status: 200},
		"interim":             {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer, body: "ok", status: 200},
		"no content":          {answer: "HTTP/1.1 204 No Content\r\n\r\n", status: 204},
		"no content, empty":   {answer: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", status: 204},
		"not modified":        {answer: "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", status: 304},
		"head":                {answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", method: http.MethodHead, status: 200},
		"long head":           {answer: "HTTP/1.1 200 OK\r\n" + long + "Content-Length: 2\r\n\r\nok", body: "ok", status: 200},
		"long interim":        {answer: "HTTP/1.1 103 Early Hints\r\n" + long[:len(long)/2/107*107] + "\r\n" + okAnswer, body: "ok", status: 200},
		"unknown status":      {answer: "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", body: "ok", status: 599},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			method := tt.method
			if method == "" {
				method = http.MethodGet
			}
			r, body, err := fetch(t, method, startAnswerServer(t, tt.answer))
			require.NoError(t, err)
			assert.Equal(t, tt.status, r.Status)
			assert.Equal(t, tt.body, body)
		})
	}
}
