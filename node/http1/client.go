package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Request is a request to be sent to a server.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	// Extra is written after Header, which must not contain the same names.
	Extra []Field
	// Body is the complete body, or its first part if Stream is set.
	Body   []byte
	Stream io.Reader
	Length int64 // of Body and Stream together; -1 selects chunked encoding
	// ID is that by which the server identifies the request in its responses; empty
	// if it does not.
	ID string
	// Match tells whether a response belongs to this request. Nil matches every
	// response.
	Match func(*http.Response) Match
}

// ErrInvalidRequest reports a request that cannot be written as a message.
var ErrInvalidRequest = errors.New("invalid request")

// Check returns an error if the method or a header holds bytes that it must not have. A
// request that was not received as one must be checked before it is sent.
func (r *Request) Check() error {
	if r.Method == "" || !allIn([]byte(r.Method), &isToken) {
		return fmt.Errorf("%w: method %q", ErrInvalidRequest, r.Method)
	}
	for name, values := range r.Header {
		for _, value := range values {
			if !allIn([]byte(name), &isToken) || !allIn([]byte(value), &isText) {
				return fmt.Errorf("%w: header %q", ErrInvalidRequest, name)
			}
		}
	}
	return nil
}

// Match tells whether a response belongs to a request.
type Match int

// Values of Match.
const (
	// MatchOwn is a response to the request.
	MatchOwn Match = iota
	// MatchOther is a late or repeated response to another request. It is
	// discarded.
	MatchOther
	// MatchUnknown is a response that does not identify its request. It is
	// accepted if the connection has carried no other request or response.
	MatchUnknown
	// MatchInvalid is a response that contradicts itself about its request. It ends
	// the connection.
	MatchInvalid
)

// Field is a header field.
type Field struct{ Name, Value string }

// RequestError reports a request that got no response.
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

// ClientResponse is a response from a server. It holds its connection until the
// body has been read or Close is called.
type ClientResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 if it is unknown. For a response to a HEAD
	// request it is that of the body which the response does not have.
	Length int64

	response  *http.Response
	conn      *clientConn
	pool      *Pool
	stopWatch func() bool // stops closing the connection when the context ends
	writeDone <-chan error
	unmatched bool   // responses to other requests came first
	refused   bool   // MarkRefused was called
	id        string // of the request
	released  bool
}

// asyncBodySize is the body length from which the request is written on a
// goroutine of its own while the response is awaited: a server may respond
// before it has read the body.
const asyncBodySize = 8 << 10

// errUnidentified ends a connection: the response may be a repeated one to an
// earlier request, and must not be taken for a refusal of this one.
var errUnidentified = fmt.Errorf("%w: it does not identify its request", ErrMalformedResponse)

var errContradictory = fmt.Errorf("%w: it names more than one request", ErrMalformedResponse)

var errUnmatched = fmt.Errorf("%w: the connection carried responses to other requests", ErrMalformedResponse)

// Do sends a request and returns the head of its response. The connection is
// closed if ctx ends before the response is finished or closed.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*ClientResponse, error) {
	c, err := p.get(ctx, address, req.ID)
	if err != nil {
		return nil, &RequestError{Err: fmt.Errorf("connect: %w", err)}
	}
	c.carried = true
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(deadline)
	}
	r := &ClientResponse{conn: c, pool: p, id: req.ID}
	r.stopWatch = context.AfterFunc(ctx, func() { _ = c.nc.Close() })
	if err := r.exchange(req); err != nil {
		r.stopWatch()
		_ = c.nc.Close()
		switch ctxErr := ctx.Err(); {
		case ctxErr != nil:
			err = ctxErr
		case c.reused && connLost(err):
			p.bounds.recordLoss(time.Now(), address, c.idleTime)
		}
		return nil, &RequestError{Sent: true, Reused: c.reused, Err: err}
	}
	return r, nil
}

// connLost reports whether err means that the server closed or reset the
// connection.
func connLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// exchange writes the request and reads the head of its response.
func (r *ClientResponse) exchange(req *Request) error {
	writeDone := make(chan error, 1)
	r.writeDone = writeDone
	r.conn.br = takeReader(clientReaders, r.conn.input)
	if req.Stream == nil && len(req.Body) < asyncBodySize {
		err := req.write(r.conn.writer)
		writeDone <- err
		if err != nil {
			return err
		}
	} else {
		go func() { writeDone <- req.writeStream(r.conn.writer) }()
	}
	discarded := int64(maxDiscarded)
	for range maxUnmatched {
		response, err := r.readHead(req.Method) //nolint:bodyclose // ends with its connection
		if err != nil {
			return err
		}
		switch match := req.match(response); {
		case match == MatchInvalid:
			return errContradictory
		case match == MatchUnknown && (r.conn.reused || r.unmatched):
			return errUnidentified
		case match != MatchOther:
			r.response = response
			r.Status, r.Header, r.Length = response.StatusCode, response.Header, response.ContentLength
			return nil
		}
		r.unmatched = true
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errUnmatched
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, discarded))
		if err != nil {
			return err
		}
		if discarded -= n; discarded <= 0 {
			return errUnmatched
		}
	}
	return errUnmatched
}

// readHead reads the head of the next response and skips interim (1xx)
// responses.
func (r *ClientResponse) readHead(method string) (*http.Response, error) {
	r.conn.input.limit(r.pool.cfg.MaxHead)
	defer r.conn.input.unlimit()
	for {
		response, err := r.conn.readResponse(method)
		if err != nil {
			return nil, malformed(err)
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// malformed marks the errors of the parser, as opposed to those of the
// connection, as ErrMalformedResponse.
func malformed(err error) error {
	var netErr net.Error
	if connLost(err) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) || errors.Is(err, ErrMalformedResponse) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
}

func (r *Request) match(response *http.Response) Match {
	if r.Match == nil {
		return MatchOwn
	}
	return r.Match(response)
}

// writeStream is write on a goroutine of its own. A panic of the reader of the
// body ends this request only.
func (r *Request) writeStream(to io.Writer) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic while the body was read: %v", v)
		}
	}()
	return r.write(to)
}

func (r *Request) write(to io.Writer) error {
	w := takeWriter(to)
	defer putWriter(w)
	_, _ = w.WriteString(r.Method)
	_, _ = w.WriteString(" ")
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeField(w, "Host", r.Host)
	writeHeader(w, r.Header)
	for _, f := range r.Extra {
		writeField(w, f.Name, f.Value)
	}
	if r.Length != 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeLength(w, r.Length)
	}
	_, _ = w.WriteString("\r\n")
	if r.Length != 0 {
		if err := writeBody(w, r.Body, r.Stream, r.Length); err != nil {
			return err
		}
	}
	return w.Flush()
}

// ReadBody reads up to limit bytes of the body. If complete is set, the body has
// been read to its end and the connection has been released. The rest of a
// longer body is read from Stream.
func (r *ClientResponse) ReadBody(limit int) (data []byte, complete bool, err error) {
	if r.Bodyless() {
		r.release()
		return nil, true, nil
	}
	if r.Length > int64(limit) {
		return nil, false, nil
	}
	if r.Length >= 0 {
		data = make([]byte, r.Length)
		_, err = io.ReadFull(r.response.Body, data)
		complete = err == nil
	} else {
		data, err = io.ReadAll(io.LimitReader(r.response.Body, int64(limit)))
		complete = err == nil && len(data) < limit
	}
	if err != nil {
		r.Close()
		return nil, false, err
	}
	if complete {
		r.release()
	}
	return data, complete, nil
}

// Bodyless reports whether the response has no body, whatever its length is.
func (r *ClientResponse) Bodyless() bool { return r.response.Body == http.NoBody }

// Delimited reports whether the head tells where the body ends. The end of other
// bodies is that of the connection.
func (r *ClientResponse) Delimited() bool {
	_, closeDelimited := r.response.Body.(*closeDelimitedBody)
	return !closeDelimited
}

// Stream returns a reader of the rest of the body. It returns an error if the
// body is truncated.
func (r *ClientResponse) Stream() io.Reader { return r.response.Body }

// Finish releases the connection after the body has been read to its end from
// Stream, and closes it otherwise.
func (r *ClientResponse) Finish() {
	if _, err := r.response.Body.Read(make([]byte, 1)); err == io.EOF {
		r.release()
		return
	}
	r.Close()
}

// release returns the connection to the pool if it can carry another request,
// and closes it otherwise.
func (r *ClientResponse) release() {
	if r.released {
		return
	}
	r.released = true
	stopped := r.stopWatch()
	maxIdle := allowedIdle(r.Header, r.pool.cfg.Idle)
	if !stopped || r.unmatched || r.response.Close || maxIdle <= 0 || !r.requestWritten() || r.conn.br.Buffered() > 0 ||
		r.refused && !r.conn.recordRefusal(r.id) {
		_ = r.conn.nc.Close()
		return
	}
	r.conn.maxIdle = maxIdle
	r.pool.put(r.conn)
}

// MarkRefused tells that the response refuses the request, which has not run. The
// server may write the refusal once more, so the connection carries no other request
// with the same ID; it carries none at all if the request has no ID. It must be called
// before the body is read.
func (r *ClientResponse) MarkRefused() { r.refused = true }

// requestWritten reports whether the complete request has been written. If not,
// the rest of its body could be taken for the next request on the connection.
func (r *ClientResponse) requestWritten() bool {
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection of a response whose body was not read to its end.
// It does nothing after the response has been released.
func (r *ClientResponse) Close() {
	if r.released {
		return
	}
	r.released = true
	r.stopWatch()
	_ = r.conn.nc.Close()
}
