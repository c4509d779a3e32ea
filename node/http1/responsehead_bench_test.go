package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

const typicalHead = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\nRequest-Id: 9c41d07be2a35f68\r\n" +
	"Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: application/octet-stream\r\nKeep-Alive: timeout=8\r\n" +
	"Server-Limit: 120.5\r\nContent-Length: 0\r\n\r\n"

// endlessHeads repeats a head without end.
type endlessHeads struct{ *strings.Reader }

// Read implements io.Reader.
func (h endlessHeads) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if err != nil {
		h.Reset(typicalHead)
		n, err = h.Reader.Read(p)
	}
	return n, err
}

func BenchmarkReadResponseChecked(b *testing.B) {
	in := &limitedReader{r: endlessHeads{strings.NewReader(typicalHead)}}
	c := &clientConn{input: in, br: bufio.NewReaderSize(in, clientBufferSize)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.readResponse(http.MethodGet); err != nil { //nolint:bodyclose // has no body
			b.Fatal(err)
		}
	}
}

func BenchmarkReadResponseParsedOnly(b *testing.B) {
	br := bufio.NewReaderSize(endlessHeads{strings.NewReader(typicalHead)}, clientBufferSize)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet}); err != nil { //nolint:bodyclose // has no body
			b.Fatal(err)
		}
	}
}
