// Package upstream sends requests to the local upstream over HTTP. It never sends
// a request twice and returns only answers that are provably complete.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

// Headers between a node and its local upstream.
const (
	HeaderContext   = "Toucangw-Context"
	HeaderCaller    = "Toucangw-Caller"
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Toucangw-Timeout-Ms"
	// HeaderKey carries the idempotency key. It is not called Idempotency-Key
	// because net/http resends requests that have a header of that name.
	HeaderKey      = "Toucangw-Key"
	HeaderNotRun   = "Toucangw-Not-Run"
	HeaderDraining = "Toucangw-Draining"
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
)

// Client is an HTTP client of the local upstream. It is safe for concurrent use.
type Client struct {
	addr    string
	maxBody atomic.Int64
	pool    atomic.Pointer[pool]
	probes  *http.Client // separate, so that probes do not fail when the pool is full
}

// pool is a connection pool of limited size. Requests are passed to the transport
// directly, which follows no redirects and copies no headers.
type pool struct {
	connections int
	transport   *http.Transport
}

// New returns a client of the upstream at addr (IP:port). It connects on first
// use and does not limit its connections until SetLimits is called.
func New(addr string, maxBody int64) *Client {
	c := &Client{addr: addr}
	c.probes = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: idleTimeout}}
	c.SetLimits(0, maxBody)
	return c
}

// SetLimits sets the maximum number of connections (0 for no limit) and of bytes
// of an answer. Requests in flight keep their connections.
func (c *Client) SetLimits(connections int, maxBody int64) {
	c.maxBody.Store(maxBody)
	old := c.pool.Load()
	if old != nil && old.connections == connections {
		return
	}
	c.pool.Store(newPool(connections))
	if old != nil {
		old.transport.CloseIdleConnections()
	}
}

func newPool(connections int) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections, http.DefaultMaxIdleConnsPerHost),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &pool{connections: connections, transport: transport}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pool.Load().transport.CloseIdleConnections()
	c.probes.CloseIdleConnections()
}

// countingConn counts the bytes written, which can prove that a request was not
// sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// transmission records which connection a request got and how many bytes had been
// written on it before.
type transmission struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
}

func (t *transmission) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*countingConn); ok {
		t.writtenBefore.Store(conn.written.Load())
		t.conn.Store(conn)
	}
}

// unsent reports whether it is certain that no byte of the request was written.
// It returns false for a cancelled request that got a connection: the transport
// may still be writing it.
func (t *transmission) unsent(err error) bool {
	conn := t.conn.Load()
	if conn == nil {
		return true
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	return conn.written.Load() == t.writtenBefore.Load()
}

// emptyBody makes net/http treat a request without body as not replayable, so
// that it is not resent on another connection.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// Run implements driver.Upstream.
func (c *Client) Run(ctx context.Context, r driver.Run) engine.Event {
	var t transmission
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Detail: err.Error()}
	}
	resp, err := c.pool.Load().transport.RoundTrip(req)
	if err != nil {
		return c.sendFailed(ctx, &t, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if refusal, ok := parseShed(resp, r.Idempotent); ok {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, c.maxBody.Load()))
		return refusal
	}
	body, err := c.readComplete(resp, r.Method)
	if err != nil {
		return engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer, Detail: err.Error()}
	}
	answer := &call.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
	return engine.UpstreamReplied{Answer: answer, Draining: draining(resp)}
}

func (c *Client) request(ctx context.Context, r driver.Run) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.addr+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	switch {
	case len(r.Payload.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(r.Payload.Body))
		req.ContentLength = int64(len(r.Payload.Body))
	case replayedByTransport(r.Method):
		req.Body = emptyBody{}
	}
	req.GetBody = nil
	setHeader(req.Header, "Content-Type", r.Payload.ContentType)
	setHeader(req.Header, HeaderRequestID, r.RequestID)
	setHeader(req.Header, HeaderCaller, r.Caller)
	setHeader(req.Header, HeaderKey, r.Key)
	setHeader(req.Header, HeaderContext, r.Token)
	remaining := max(time.Until(r.Deadline).Milliseconds(), 1)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	return req, nil
}

// replayedByTransport reports whether net/http may resend a request with this
// method and no body.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// sendFailed returns the event for a request that failed before a response.
func (c *Client) sendFailed(ctx context.Context, t *transmission, err error) engine.Event {
	failed := engine.UpstreamFailed{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.UpstreamFailed,
		Detail:  err.Error(),
	}
	if t.unsent(err) {
		failed.Verdict = verdict.NotRun
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed.Reason = verdict.DeadlinePassed
	} else if ctx.Err() != nil {
		failed.Reason = verdict.Cancelled
	}
	return failed
}

// parseShed recognises a response that sheds the request. Only HeaderNotRun
// proves that the request was not executed. A Retry-After without it counts as
// shedding for idempotent requests only; for others the response is an answer
// like any other.
func parseShed(resp *http.Response, idempotent bool) (engine.UpstreamReplied, bool) {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return engine.UpstreamReplied{}, false
	}
	after := resp.Header.Get("Retry-After")
	provenNotRun := resp.Header.Get(HeaderNotRun) == "1"
	if !provenNotRun && (!idempotent || after == "") {
		return engine.UpstreamReplied{}, false
	}
	refusal := engine.UpstreamReplied{Shed: true, MayHaveRun: !provenNotRun, Draining: draining(resp)}
	if seconds, err := strconv.ParseUint(after, 10, 16); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal, true
}

func draining(resp *http.Response) bool { return resp.Header.Get(HeaderDraining) == "1" }

// readComplete reads the body. It fails if the body is too large, is truncated or
// has neither a length nor a terminating chunk, so that truncation could not be
// detected.
func (c *Client) readComplete(resp *http.Response, method string) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	limit := c.maxBody.Load()
	if resp.ContentLength > limit {
		return nil, fmt.Errorf("answer of %d bytes is above the limit of %d", resp.ContentLength, limit)
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !delimited {
		return nil, errors.New("answer has neither a length nor a terminating chunk")
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, fmt.Errorf("answer cut: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("answer cut: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer is above the limit of %d bytes", limit)
	}
	return body, nil
}
