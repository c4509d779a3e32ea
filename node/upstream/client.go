// Package upstream sends requests to the local upstream over HTTP. It never sends
// a request twice and returns only answers that are provably complete.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/node/http1"
)

// Headers between a node and its local upstream.
const (
	HeaderContext   = "Toucangw-Context"
	HeaderCaller    = "Toucangw-Caller"
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Toucangw-Timeout-Ms"
	// HeaderKey carries the idempotency key.
	HeaderKey      = "Toucangw-Key"
	HeaderNotRun   = "Toucangw-Not-Run"
	HeaderDraining = "Toucangw-Draining"
)

const (
	dialTimeout   = time.Second
	idleTimeout   = 90 * time.Second
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	// maxHead bounds the head of an answer in bytes.
	maxHead = 32 << 10
)

// Client is an HTTP client of the local upstream. It is safe for concurrent use.
type Client struct {
	addr    string
	maxBody atomic.Int64
	pool    atomic.Pointer[pool]
	probes  *http1.Pool // separate, so that probes do not wait while the pool is full
}

// pool is a connection pool of limited size.
type pool struct {
	*http1.Pool
	connections int
	slots       chan struct{} // one element per request; nil for no limit
}

// New returns a client of the upstream at addr (IP:port). It connects on first
// use and does not limit its connections until SetLimits is called.
func New(addr string, maxBody int64) *Client {
	c := &Client{addr: addr, probes: newHTTPPool()}
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
		old.Close()
	}
}

func newPool(connections int) *pool {
	p := &pool{Pool: newHTTPPool(), connections: connections}
	if connections > 0 {
		p.slots = make(chan struct{}, connections)
	}
	return p
}

func newHTTPPool() *http1.Pool {
	return http1.NewPool(http1.PoolConfig{Dial: dialTimeout, Idle: idleTimeout, MaxHead: maxHead})
}

// acquire waits until the pool may use another connection. Kept connections are used
// first, so that there are never more than the limit.
func (p *pool) acquire(ctx context.Context) error {
	if p.slots == nil {
		return nil
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) release() {
	if p.slots != nil {
		<-p.slots
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pool.Load().Close()
	c.probes.Close()
}

// Run implements driver.Upstream.
func (c *Client) Run(ctx context.Context, r driver.Run) engine.Event {
	req, err := c.request(r)
	if err != nil {
		return engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Detail: err.Error()}
	}
	pool := c.pool.Load()
	if err := pool.acquire(ctx); err != nil {
		return sendFailed(ctx, &http1.RequestError{Err: fmt.Errorf("wait for a connection: %w", err)})
	}
	defer pool.release()
	response, err := pool.Do(ctx, c.addr, req)
	if err != nil {
		return sendFailed(ctx, err)
	}
	defer response.Close()
	if refusal, ok := parseShed(response, r.Idempotent); ok {
		if !refusal.MayHaveRun {
			response.MarkRefused()
		}
		_, _, _ = response.ReadBody(int(c.maxBody.Load()))
		return refusal
	}
	body, err := c.readComplete(response, r.Method)
	if err != nil {
		return engine.UpstreamFailed{Verdict: verdict.Run, Reason: verdict.IncompleteAnswer, Detail: err.Error()}
	}
	answer := &call.Answer{
		Status:      response.Status,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	return engine.UpstreamReplied{Answer: answer, Draining: draining(response.Header)}
}

func (c *Client) request(r driver.Run) (*http1.Request, error) {
	u, err := url.Parse("http://" + c.addr + r.Path)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	h := http.Header{}
	setHeader(h, "Content-Type", r.Payload.ContentType)
	setHeader(h, HeaderRequestID, r.RequestID)
	setHeader(h, HeaderCaller, r.Caller)
	setHeader(h, HeaderKey, r.Key)
	setHeader(h, HeaderContext, r.Token)
	remaining := max(time.Until(r.Deadline).Milliseconds(), 1)
	h.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	body := r.Payload.Body
	req := &http1.Request{
		Method: r.Method, Target: u.RequestURI(), Host: c.addr, Header: h, Body: body, Length: int64(len(body)),
	}
	if err := req.Check(); err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	return req, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// sendFailed returns the event for a request that failed before a response.
func sendFailed(ctx context.Context, err error) engine.Event {
	failed := engine.UpstreamFailed{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.UpstreamFailed,
		Detail:  err.Error(),
	}
	var reqErr *http1.RequestError
	if errors.As(err, &reqErr) && !reqErr.Sent {
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
func parseShed(resp *http1.ClientResponse, idempotent bool) (engine.UpstreamReplied, bool) {
	if resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable {
		return engine.UpstreamReplied{}, false
	}
	after := resp.Header.Get("Retry-After")
	provenNotRun := resp.Header.Get(HeaderNotRun) == "1"
	if !provenNotRun && (!idempotent || after == "") {
		return engine.UpstreamReplied{}, false
	}
	refusal := engine.UpstreamReplied{Shed: true, MayHaveRun: !provenNotRun, Draining: draining(resp.Header)}
	if seconds, err := strconv.ParseUint(after, 10, 16); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal, true
}

func draining(h http.Header) bool { return h.Get(HeaderDraining) == "1" }

// readComplete reads the body. It fails if the body is too large, is truncated or
// has neither a length nor a terminating chunk.
func (c *Client) readComplete(resp *http1.ClientResponse, method string) ([]byte, error) {
	if method == http.MethodHead {
		resp.Finish()
		return nil, nil
	}
	if !resp.Delimited() {
		return nil, errors.New("answer has neither a length nor a terminating chunk")
	}
	limit := c.maxBody.Load()
	if resp.Length > limit {
		return nil, fmt.Errorf("answer of %d bytes is above the limit of %d", resp.Length, limit)
	}
	body, complete, err := resp.ReadBody(int(limit) + 1)
	if err != nil {
		return nil, fmt.Errorf("answer cut: %w", err)
	}
	if !complete {
		return nil, fmt.Errorf("answer is above the limit of %d bytes", limit)
	}
	return body, nil
}
