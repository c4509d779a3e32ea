package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// closeDelimitedBody reads a response body that ends with its connection. Its end is
// an error unless it is an orderly one, and the writer of the request knows of no
// loss either.
type closeDelimitedBody struct {
	r      io.Reader
	writer *connWriter
	err    error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	if err == io.EOF {
		if lost := b.writer.stop(); lost != nil {
			err = &bodyLostError{lost}
		}
	}
	b.err = err
	return n, err
}

// Close implements io.Closer. The connection is closed by its owner.
func (b *closeDelimitedBody) Close() error { return nil }

// bodyLostError reports a body that ended with the loss of its connection.
type bodyLostError struct{ err error }

// Error implements error.
func (e *bodyLostError) Error() string { return "connection lost during the body: " + e.err.Error() }

// Unwrap returns io.ErrUnexpectedEOF and the error of the connection.
func (e *bodyLostError) Unwrap() []error { return []error{io.ErrUnexpectedEOF, e.err} }

// maxTrailer bounds the bytes of a trailer section.
const maxTrailer = 4 << 10

// chunkedBody reads a chunked response body and the trailer section after it, which it
// checks and discards.
type chunkedBody struct {
	br     *bufio.Reader
	chunks io.Reader
	err    error
}

func newChunkedBody(br *bufio.Reader) *chunkedBody {
	return &chunkedBody{br: br, chunks: httputil.NewChunkedReader(br)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer returns io.EOF after a sound trailer section.
func (b *chunkedBody) readTrailer() error {
	for size := 0; ; {
		line, err := b.br.ReadSlice('\n')
		size += len(line)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull) || size > maxTrailer:
			return brokenHead("trailer section is too long")
		case err != nil:
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return brokenHead("line without a carriage return")
		case len(line) == 2:
			return io.EOF
		}
		if _, _, fault := checkField(line[:len(line)-2]); fault != "" {
			return brokenHead(fault)
		}
	}
}

// Close implements io.Closer. The connection is closed by its owner.
func (b *chunkedBody) Close() error { return nil }
