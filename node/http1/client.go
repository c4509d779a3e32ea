package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// Request is one request to a server.
type Request struct {
	Method string
	Target string // path and query, passed on unchanged
	Host   string
	Header http.Header
	// Extra headers are written besides Header and take the place of those
	// with the same canonical name.
	Extra []Field
	// Body is the whole body, or its begin if Stream is set.
	Body   []byte
	Stream io.Reader
	Length int64 // of Body and Stream; -1 for chunks
	// Accept tells whether a response belongs to this call. Others are
	// discarded.
	Accept func(*http.Response) bool
}

// Field is one header.
type Field struct{ Name, Value string }

// RequestError is a call without a response.
type RequestError struct {
	// Sent reports that the server may have received the request.
	Sent bool
	// Reused reports that the connection had carried earlier requests.
	Reused bool
	Err    error
}

// Error implements error.
func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// ClientResponse is a response whose body is being read.
type ClientResponse struct {
	Status int
	Header http.Header
	// Length of the body; -1 if it is unknown.
	Length int64

	response *http.Response
	conn     *clientConn
	pool     *Pool
	stop     func() bool // ends the watch of the context
	wrote    <-chan error
	stray    bool // other responses came first
	ended    bool
}

// asyncBody is the length from which a body is written while the response is
// awaited: a server may answer before it has read the body.
const asyncBody = 8 << 10

var errStray = errors.New("the connection carries responses to other requests")

// Do sends a request. The connection is closed if ctx ends before the reply is
// closed.
func (p *Pool) Do(ctx context.Context, address string, call *Request) (*ClientResponse, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, &RequestError{Err: fmt.Errorf("connect: %w", err)}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(deadline)
	}
	r := &ClientResponse{conn: c, pool: p}
	r.stop = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	if err := r.exchange(call); err != nil {
		r.stop()
		_ = c.nc.Close()
		switch ctxErr := ctx.Err(); {
		case ctxErr != nil:
			err = ctxErr
		case c.reused && lost(err):
			p.bounds.failed(time.Now(), address, c.idled)
		}
		return nil, &RequestError{Sent: true, Reused: c.reused, Err: err}
	}
	return r, nil
}

// lost reports that the server has closed or reset the connection.
func lost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// exchange writes the request and reads the head of its response.
func (r *ClientResponse) exchange(call *Request) error {
	wrote := make(chan error, 1)
	r.wrote = wrote
	if call.Stream == nil && len(call.Body) < asyncBody {
		err := call.write(r.conn.bw)
		wrote <- err
		if err != nil {
			return err
		}
	} else {
		go func() { wrote <- call.write(r.conn.bw) }()
	}
	for {
		response, err := readResponse(r.conn.br, call.Method) //nolint:bodyclose // ends with its connection
		if err != nil {
			return err
		}
		if call.Accept == nil || call.Accept(response) {
			r.response = response
			r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
			return nil
		}
		// The response to an earlier request came late.
		r.stray = true
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errStray
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// readResponse skips interim responses.
func readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

func (c *Request) write(w *bufio.Writer) error {
	_, _ = w.WriteString(c.Method)
	_, _ = w.WriteString(" ")
	_, _ = w.WriteString(c.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeField(w, "Host", c.Host)
	writeHeader(w, c.Header)
	for _, f := range c.Extra {
		writeField(w, f.Name, f.Value)
	}
	if c.Length != 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		writeLength(w, c.Length)
	}
	_, _ = w.WriteString("\r\n")
	if c.Length != 0 {
		if err := writeBody(w, c.Body, c.Stream, c.Length); err != nil {
			return err
		}
	}
	return w.Flush()
}

// ReadBody reads the body up to limit bytes. Whole reports that the body is
// complete; the connection is free then. The rest of a longer body is read
// from Stream.
func (r *ClientResponse) ReadBody(limit int) (data []byte, whole bool, err error) {
	if r.Length > int64(limit) {
		return nil, false, nil
	}
	if r.Length >= 0 {
		data = make([]byte, r.Length)
		_, err = io.ReadFull(r.response.Body, data)
		whole = err == nil
	} else {
		data, err = io.ReadAll(io.LimitReader(r.response.Body, int64(limit)))
		whole = err == nil && len(data) < limit
	}
	if err != nil {
		r.Close()
		return nil, false, err
	}
	if whole {
		r.release()
	}
	return data, whole, nil
}

// Stream returns the rest of the body. It fails if the body is cut short.
func (r *ClientResponse) Stream() io.Reader { return r.response.Body }

// Finish frees the connection after the whole body was read from Stream.
func (r *ClientResponse) Finish() {
	if _, err := r.response.Body.Read(make([]byte, 1)); err == io.EOF {
		r.release()
		return
	}
	r.Close()
}

// release keeps the connection if it can carry another request.
func (r *ClientResponse) release() {
	if r.ended {
		return
	}
	r.ended = true
	stopped := r.stop()
	keep := keepFor(r.Header, r.pool.timeouts.Idle)
	if !stopped || r.stray || r.response.Close || keep <= 0 || !r.requestWritten() || r.conn.br.Buffered() > 0 {
		_ = r.conn.nc.Close()
		return
	}
	r.conn.keep = keep
	r.pool.put(r.conn)
}

// requestWritten reports that the server has been sent the whole request. The
// rest of a body must not be taken for another request.
func (r *ClientResponse) requestWritten() bool {
	select {
	case err := <-r.wrote:
		return err == nil
	default:
		return false
	}
}

// Close ends a reply whose body was not read to its end, and its connection.
func (r *ClientResponse) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.stop()
	_ = r.conn.nc.Close()
}
