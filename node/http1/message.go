package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// ServerResponse is a response to be written to a client.
type ServerResponse struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Stream is set.
	Body []byte
	// Stream is the rest of a body that is too large to buffer.
	Stream io.Reader
	// Length is the length of Body and Stream together; -1 if it is unknown.
	Length int64
}

// NewServerResponse returns a response with a complete body.
func NewServerResponse(status int, header http.Header, body []byte) *ServerResponse {
	if header == nil {
		header = http.Header{}
	}
	return &ServerResponse{Status: status, Header: header, Body: body, Length: int64(len(body))}
}

// connectionHeaders are the hop-by-hop headers, which are never forwarded.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// StripHopByHop removes the hop-by-hop headers, including those named by the
// Connection header.
func StripHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range connectionHeaders {
		delete(h, name)
	}
}

// writeHeader writes the headers except the hop-by-hop ones and Content-Length:
// writeLength derives the framing headers from the length of the body.
func writeHeader(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		if name == "Content-Length" || connectionHeaders[name] {
			continue
		}
		for _, v := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(v)
			_, _ = w.WriteString("\r\n")
		}
	}
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// writeLength writes the framing header of a body; length -1 selects chunked
// encoding.
func writeLength(w *bufio.Writer, length int64) {
	if length < 0 {
		writeField(w, "Transfer-Encoding", "chunked")
		return
	}
	writeField(w, "Content-Length", strconv.FormatInt(length, 10))
}

// errBodyLength reports a body whose length differs from its Content-Length.
var errBodyLength = errors.New("body length differs from Content-Length")

// writeBody writes a body; length -1 selects chunked encoding. A body that ends
// early is an error, so that a truncated message never looks complete.
func writeBody(w *bufio.Writer, first []byte, rest io.Reader, length int64) error {
	if length < 0 {
		return writeChunks(w, first, rest)
	}
	n, err := w.Write(first)
	if err != nil {
		return err
	}
	if rest != nil {
		copied, err := io.Copy(w, io.LimitReader(rest, length-int64(n)))
		if err != nil {
			return err
		}
		n += int(copied)
	}
	if int64(n) != length {
		return fmt.Errorf("%w: %d of %d bytes", errBodyLength, n, length)
	}
	return nil
}

const chunkSize = 32 << 10

func writeChunks(w *bufio.Writer, first []byte, rest io.Reader) error {
	if err := writeChunk(w, first); err != nil {
		return err
	}
	if rest != nil {
		buf := make([]byte, chunkSize)
		for {
			n, err := rest.Read(buf)
			if werr := writeChunk(w, buf[:n]); werr != nil {
				return werr
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
	_, err := w.WriteString("0\r\n\r\n")
	return err
}

func writeChunk(w *bufio.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, _ = w.WriteString(strconv.FormatInt(int64(len(data)), 16))
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(data)
	_, err := w.WriteString("\r\n")
	return err
}

// bodyAllowed reports whether a response with the given status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
