package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func parseHead(text string, limit int) (*http.Request, error) {
	return readHead(bufio.NewReaderSize(strings.NewReader(text), readBufferSize), limit)
}

// Guards the size limit of a head, and the distinction between a truncated head
// and a connection closed between requests.
func TestReadHeadLimits(t *testing.T) {
	request := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err := parseHead(request, len(request))
	require.NoError(t, err)
	_, err = parseHead(request, len(request)-1)
	var he *headError
	require.True(t, errors.As(err, &he))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, he.status)
	_, err = parseHead("GET / HT", 100)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = parseHead("", 100)
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against request smuggling: an accepted head has at most one
// Content-Length or Transfer-Encoding header.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nX: b\n c\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		req, err := parseHead(text, 4096)
		if err != nil {
			return
		}
		headers, _, _ := strings.Cut(text, "\r\n\r\n")
		lower := strings.ToLower(headers)
		lengths := strings.Count(lower, "\r\ncontent-length:") + strings.Count(lower, "\r\ntransfer-encoding:")
		if lengths > 1 {
			t.Fatalf("accepted with %d lengths: %q", lengths, headers)
		}
		if req.ContentLength < -1 {
			t.Fatalf("length %d", req.ContentLength)
		}
	})
}
