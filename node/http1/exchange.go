package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Exchange is one request and its answer.
type Exchange struct {
	// Request is the parsed head. Its body is read by ReadBody and Stream.
	Request *http.Request
	// Arrived is the time at which the head was complete.
	Arrived time.Time

	conn       *serverConn
	ctx        context.Context
	turn       <-chan struct{} // closed when the earlier answers are written
	done       chan struct{}   // closed when this one is
	finishOnce sync.Once
	bodyDone   chan struct{}
	bodyOnce   sync.Once
	bodyRead   atomic.Bool // the whole body was read
	closeAfter bool
	responded  bool
}

func newExchange(c *serverConn, req *http.Request, turn <-chan struct{}, arrived time.Time) *Exchange {
	x := &Exchange{
		Request: req, Arrived: arrived, conn: c, turn: turn,
		done: make(chan struct{}), bodyDone: make(chan struct{}),
	}
	x.ctx = c.ctx
	if req == nil || req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		x.endBody(true)
	}
	if req != nil && (req.Close || !req.ProtoAtLeast(1, 1)) {
		x.closeAfter = true
	}
	return x
}

// Context ends when the client has left.
func (x *Exchange) Context() context.Context { return x.ctx }

// ConnValue returns what SetConnValue stored for the connection; nil without.
func (x *Exchange) ConnValue() any {
	v, _ := x.conn.value.Load().(connValue)
	return v.value
}

// SetConnValue stores a value for the later requests of the connection.
func (x *Exchange) SetConnValue(v any) { x.conn.value.Store(connValue{v}) }

// connValue lets values of any type be stored atomically.
type connValue struct{ value any }

func (x *Exchange) endBody(whole bool) {
	x.bodyOnce.Do(func() {
		x.bodyRead.Store(whole)
		close(x.bodyDone)
	})
}

// ReadBody reads the body up to limit bytes. Whole reports that it has no
// more bytes; the rest of a longer body is read from Stream.
func (x *Exchange) ReadBody(limit int) (data []byte, whole bool, err error) {
	if x.bodyRead.Load() {
		return nil, true, nil
	}
	if err := x.sendContinue(); err != nil {
		return nil, false, err
	}
	length := x.Request.ContentLength
	if length > int64(limit) {
		return nil, false, nil
	}
	if length > 0 {
		data = make([]byte, length)
		if _, err := io.ReadFull(x.Request.Body, data); err != nil {
			x.endBody(false)
			return nil, false, err
		}
		x.endBody(true)
		return data, true, nil
	}
	data, err = io.ReadAll(io.LimitReader(x.Request.Body, int64(limit)))
	if err != nil {
		x.endBody(false)
		return nil, false, err
	}
	if len(data) < limit {
		x.endBody(true)
		return data, true, nil
	}
	return data, false, nil
}

// Stream returns the rest of the body.
func (x *Exchange) Stream() io.Reader { return (*bodyStream)(x) }

type bodyStream Exchange

func (s *bodyStream) Read(p []byte) (int, error) {
	x := (*Exchange)(s)
	n, err := x.Request.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		x.endBody(true)
	case err != nil:
		x.endBody(false)
	}
	return n, err
}

// sendContinue asks a client that waits for it to send the body.
func (x *Exchange) sendContinue() error {
	if x.Request.Header.Get("Expect") == "" {
		return nil
	}
	x.Request.Header.Del("Expect")
	<-x.turn
	_, _ = x.conn.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	return x.conn.bw.Flush()
}

// CloseAfter makes the answer of this exchange the last of its connection.
func (x *Exchange) CloseAfter() { x.closeAfter = true }

// ErrClientDisconnected reports an answer that could not be written.
var ErrClientDisconnected = errors.New("client has left")

// Respond writes the answer when the earlier ones of the connection have been
// written. An answer that cannot be written whole closes the connection.
func (x *Exchange) Respond(a *ServerResponse) error {
	if x.responded {
		return errors.New("exchange is answered already")
	}
	x.responded = true
	defer x.finish()
	select {
	case <-x.turn:
	case <-x.ctx.Done():
		return ErrClientDisconnected
	}
	if x.conn.closing.Load() {
		return ErrClientDisconnected
	}
	if x.conn.server.draining.Load() || x.conn.single || !x.bodyRead.Load() {
		x.closeAfter = true
	}
	if x.closeAfter {
		x.conn.closing.Store(true)
	}
	if err := x.write(a); err != nil {
		x.conn.abort()
		return err
	}
	if x.closeAfter {
		// Ends the exchanges behind this one and wakes the reader, which
		// closes the connection.
		x.conn.cancel()
		_ = x.conn.nc.SetReadDeadline(time.Now())
	}
	return nil
}

func (x *Exchange) write(a *ServerResponse) error {
	w := x.conn.bw
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(a.Status))
	_, _ = w.WriteString(" ")
	_, _ = w.WriteString(http.StatusText(a.Status))
	_, _ = w.WriteString("\r\n")
	writeHeader(w, a.Header)
	if x.closeAfter {
		writeField(w, "Connection", "close")
	}
	head := x.Request != nil && x.Request.Method == http.MethodHead
	length := a.Length
	if length < 0 && x.Request != nil && !x.Request.ProtoAtLeast(1, 1) {
		return errors.New("a client of HTTP/1.0 cannot tell the end of a chunked body")
	}
	if bodyAllowed(a.Status) {
		writeLength(w, length)
	}
	_, _ = w.WriteString("\r\n")
	if bodyAllowed(a.Status) && !head {
		var rest io.Reader
		if a.Stream != nil {
			rest = &pacedReader{a.Stream, x}
		}
		if err := writeBody(w, a.Body, rest, length); err != nil {
			return err
		}
	}
	return w.Flush()
}

// pacedReader renews the write timeout while a long answer makes progress.
type pacedReader struct {
	io.Reader
	x *Exchange
}

func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	_ = r.x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	return n, err
}

// Abort closes the connection without an answer.
func (x *Exchange) Abort() {
	x.responded = true
	x.conn.abort()
	x.finish()
}

// finish lets the next answer be written.
func (x *Exchange) finish() {
	x.finishOnce.Do(func() {
		x.endBody(false)
		close(x.done)
	})
}
