package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readDocument reads the next final response and its body from a reader. The result is nil if there is none; err is also
// that of the body.
func readDocument(nc net.Conn, r io.Reader) (*Document, error) {
	c := &clientConn{nc: nc, writer: &connWriter{nc: nc}, input: &limitedReader{r: r}}
	c.br = bufio.NewReaderSize(c.input, clientBufferSize)
	response, err := (&ClientResponse{conn: c, pool: &Pool{cfg: PoolConfig{MaxHead: testMaxHead}}}).readHead(http.MethodGet)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return &Document{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

// Guards against a head that RFC 9112 does not allow being accepted, and against a result that depends on the segments in which
// a response arrives.
func FuzzReadResponse(f *testing.F) {
	for _, answer := range brokenHeads() {
		f.Add(answer)
	}
	for _, answer := range []string{
		okAnswer, okAnswer + okAnswer, okAnswer[:20], "HTTP/1.1 000 Odd\r\n\r\n" + okAnswer, "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 5000) + "\r\n\r\nok", "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		f.Add(answer)
	}
	nc, peer := net.Pipe()
	f.Cleanup(func() { _, _ = nc.Close(), peer.Close() })
	f.Fuzz(func(t *testing.T, text string) {
		got, err := readDocument(nc, strings.NewReader(text))
		again, errAgain := readDocument(nc, iotest.OneByteReader(strings.NewReader(text)))
		require.Equal(t, got, again, "%v, %v", err, errAgain)
		require.Equal(t, err == nil, errAgain == nil, "%v, %v", err, errAgain)
		if got == nil {
			return
		}
		require.GreaterOrEqual(t, got.Status, 200)
		require.Less(t, got.Status, 1000)
		for name, values := range got.Header {
			require.Equal(t, http.CanonicalHeaderKey(name), name, "a token")
			for _, value := range values {
				require.False(t, strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }), "%q", value)
			}
		}
		require.LessOrEqual(t, len(got.Body), len(text))
	})
}
