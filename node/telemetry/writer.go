package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferLimit bounds the buffered bytes; lines beyond it are dropped and
	// counted, so that a slow disk or terminal does not delay calls.
	bufferLimit = 4 << 20
	// Buffered lines are written after flushInterval, or earlier when they
	// reach flushSize bytes.
	flushInterval = 100 * time.Millisecond
	flushSize     = 64 << 10
)

// Writer buffers lines and writes them from one goroutine. It is safe for
// concurrent use and never blocks on the destination.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buf    []byte
	closed bool

	wake chan struct{} // holds a value while bytes may be buffered
	full chan struct{} // holds a value after the buffer has reached flushSize
	stop chan struct{}
	done chan struct{}
}

// NewWriter returns a writer to out. It must be closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:  out,
		wake: make(chan struct{}, 1),
		full: make(chan struct{}, 1),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It returns no error for a dropped line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buf)+len(line) > bufferLimit {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	full := len(w.buf) >= flushSize
	w.mu.Unlock()
	signal(w.wake)
	if full {
		signal(w.full)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.stop)
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for {
		stopped := awaitBatch(w.stop, w.wake, w.full, flushInterval)
		spare = w.flush(spare)
		if stopped {
			return
		}
	}
}

// flush writes the buffer, which spare replaces, and returns it for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	lines := w.buf
	w.buf = spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	return lines
}
