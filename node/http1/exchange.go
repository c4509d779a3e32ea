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

// Exchange is a request received by a Server, and its response.
type Exchange struct {
	// Request is the parsed head. The body is read with ReadBody and Stream.
	Request *http.Request
	// Arrived is the time at which the head was complete.
	Arrived time.Time

	conn       *serverConn
	ctx        context.Context
	prevDone   <-chan struct{} // closed when the earlier responses of the connection are written
	done       chan struct{}   // closed when this exchange is finished
	finishOnce sync.Once
	bodyDone   chan struct{}
	bodyOnce   sync.Once
	bodyRead   atomic.Bool // the body was read to its end
	bodyMu     sync.Mutex  // held while the body is read from its stream
	bodyEnded  bool        // the body must not be read any more
	closeAfter bool
	responded  bool
}

func newExchange(c *serverConn, req *http.Request, prevDone <-chan struct{}, arrived time.Time) *Exchange {
	x := &Exchange{
		Request: req, Arrived: arrived, conn: c, prevDone: prevDone,
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

// Context returns a context that ends when the client disconnects.
func (x *Exchange) Context() context.Context { return x.ctx }

// ConnValue returns the value stored for the connection by SetConnValue, or nil.
func (x *Exchange) ConnValue() any {
	v, _ := x.conn.value.Load().(connValue)
	return v.value
}

// SetConnValue stores a value for later requests on the connection.
func (x *Exchange) SetConnValue(v any) { x.conn.value.Store(connValue{v}) }

// connValue allows values of differing types in one atomic.Value.
type connValue struct{ value any }

func (x *Exchange) endBody(complete bool) {
	x.bodyOnce.Do(func() {
		x.bodyRead.Store(complete)
		close(x.bodyDone)
	})
}

// ReadBody reads up to limit bytes of the body. complete reports that the body
// has no more bytes; the rest of a longer body is read from Stream.
func (x *Exchange) ReadBody(limit int) (data []byte, complete bool, err error) {
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

// ErrExchangeEnded is returned by the reader of Stream after the end of the exchange,
// when the buffer of the connection may belong to another one.
var ErrExchangeEnded = errors.New("exchange has ended")

// Stream returns a reader of the rest of the body. It may be read on another goroutine,
// also beyond the end of the exchange.
func (x *Exchange) Stream() io.Reader { return (*bodyStream)(x) }

type bodyStream Exchange

func (s *bodyStream) Read(p []byte) (int, error) {
	x := (*Exchange)(s)
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	if x.bodyEnded {
		return 0, ErrExchangeEnded
	}
	n, err := x.Request.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		x.endBody(true)
	case err != nil:
		x.endBody(false)
	}
	return n, err
}

// sendContinue sends 100 Continue to a client that expects it before it sends
// the body.
func (x *Exchange) sendContinue() error {
	if x.Request.Header.Get("Expect") == "" {
		return nil
	}
	x.Request.Header.Del("Expect")
	<-x.prevDone
	_, err := io.WriteString(x.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// CloseAfter closes the connection after the response to this exchange.
func (x *Exchange) CloseAfter() { x.closeAfter = true }

// ErrClientDisconnected reports that a response could not be written because the
// client has disconnected or the connection is closing.
var ErrClientDisconnected = errors.New("client disconnected")

// Respond writes the response once the earlier responses of the connection have
// been written. If the response cannot be written completely, the connection is
// closed.
func (x *Exchange) Respond(resp *ServerResponse) error {
	if x.responded {
		return errors.New("exchange has already been responded to")
	}
	x.responded = true
	defer x.finish()
	select {
	case <-x.prevDone:
	case <-x.ctx.Done():
		return ErrClientDisconnected
	}
	if x.conn.closing.Load() {
		return ErrClientDisconnected
	}
	if x.conn.server.draining.Load() || x.conn.closeAfterFirst || !x.bodyRead.Load() {
		x.closeAfter = true
	}
	if x.closeAfter {
		x.conn.closing.Store(true)
	}
	if err := x.write(resp); err != nil {
		x.conn.abort()
		return err
	}
	if x.closeAfter {
		// Ends the later exchanges and unblocks the reader, which closes the
		// connection.
		x.conn.cancel()
		_ = x.conn.nc.SetReadDeadline(time.Now())
	}
	return nil
}

func (x *Exchange) write(resp *ServerResponse) error {
	w := takeWriter(x.conn.nc)
	defer putWriter(w)
	_ = x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(resp.Status))
	_, _ = w.WriteString(" ")
	_, _ = w.WriteString(http.StatusText(resp.Status))
	_, _ = w.WriteString("\r\n")
	writeHeader(w, resp.Header)
	if x.closeAfter {
		writeField(w, "Connection", "close")
	}
	head := x.Request != nil && x.Request.Method == http.MethodHead
	length := resp.Length
	if length < 0 && x.Request != nil && !x.Request.ProtoAtLeast(1, 1) {
		return errors.New("HTTP/1.0 client does not support chunked encoding")
	}
	if bodyAllowed(resp.Status) {
		writeLength(w, length)
	}
	_, _ = w.WriteString("\r\n")
	if bodyAllowed(resp.Status) && !head {
		var rest io.Reader
		if resp.Stream != nil {
			rest = &deadlineReader{resp.Stream, x}
		}
		if err := writeBody(w, resp.Body, rest, length); err != nil {
			return err
		}
	}
	return w.Flush()
}

// deadlineReader extends the write deadline whenever a streamed response makes
// progress.
type deadlineReader struct {
	io.Reader
	x *Exchange
}

func (r *deadlineReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	_ = r.x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	return n, err
}

// Abort closes the connection without a response.
func (x *Exchange) Abort() {
	x.responded = true
	x.conn.abort()
	x.finish()
}

// stopReading ends the reading of the body from its stream. The connection of a body
// that was not read to its end carries no other request.
func (x *Exchange) stopReading() {
	if x.bodyRead.Load() {
		return
	}
	_ = x.conn.nc.SetReadDeadline(time.Unix(1, 0))
	x.bodyMu.Lock()
	defer x.bodyMu.Unlock()
	x.bodyEnded = true
}

// finish allows the next response of the connection to be written.
func (x *Exchange) finish() {
	x.finishOnce.Do(func() {
		x.stopReading()
		x.endBody(false)
		close(x.done)
	})
}
