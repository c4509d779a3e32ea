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
