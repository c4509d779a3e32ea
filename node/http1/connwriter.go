package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// connWriter writes requests to a connection and records its loss. The kernel
// reports the loss of a connection once: if it reports it to the writer of a
// request, the reader of the response gets an end of file as after an orderly end.
type connWriter struct {
	nc net.Conn

	mu   sync.Mutex // held during a write
	lost error      // by which the kernel reported the loss of the connection
}

// Write implements io.Writer.
func (w *connWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.nc.Write(p)
	if w.lost == nil && reportsLoss(err) {
		w.lost = err
	}
	return n, err
}

const copyBufferSize = 32 << 10

// ReadFrom implements io.ReaderFrom, so that a long body is written in larger parts
// than those of the buffer before it.
func (w *connWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, copyBufferSize))
}

// stop ends the write in progress and all further ones. It returns the error by
// which the kernel reported the loss of the connection to the writer, or nil.
func (w *connWriter) stop() error {
	_ = w.nc.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// reportsLoss reports whether the error of a write means that the peer had not ended
// its side of the connection when the connection was lost. EPIPE means that it had:
// the kernel reports a loss before the end of the peer's side by another error first.
func reportsLoss(err error) bool {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.EPIPE):
		return false
	}
	return true
}

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
