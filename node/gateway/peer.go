package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"toucangw.example/core/dedup"
	"toucangw.example/core/directory"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

const (
	// outcomeQueryTimeout bounds one query of an outcome; outcomeQueryInterval
	// is the delay before the next query.
	outcomeQueryTimeout  = 700 * time.Millisecond
	outcomeQueryInterval = 30 * time.Millisecond
)

// send makes one attempt at an upstream through the node in front of it.
func (g *Gateway) send(ctx context.Context, u *directory.Upstream, f *forward) *reply {
	f.meta.Upstream, f.meta.StartedAt = u.ID, u.StartedAt.UnixMilli()
	if u.Address == g.cfg.Upstream {
		return g.serveLocal(ctx, f)
	}
	peer := g.peerAddress(u)
	sent := time.Now()
	r, indeterminate := g.sendToPeer(ctx, peer, f)
	if indeterminate && f.meta.Key != "" && ctx.Err() == nil {
		r = g.queryOutcome(ctx, peer, f, sent)
	}
	return r
}

// peerAddress returns the address of the peer listener of the node in front of
// an upstream.
func (g *Gateway) peerAddress(u *directory.Upstream) string {
	return netip.AddrPortFrom(u.Address.Addr(), g.cfg.PeerPort).String()
}

// sendToPeer sends an attempt to another node. Indeterminate is true if the
// node may have received it but its reply is missing.
func (g *Gateway) sendToPeer(ctx context.Context, peer string, f *forward) (r *reply, indeterminate bool) {
	f.meta.LeftMS = time.Until(f.deadline).Milliseconds()
	f.meta.Sender = g.selfAddress
	req := &http1.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header,
		Extra: []http1.Field{
			{Name: g.cfg.Headers.RequestID, Value: f.requestID},
			{Name: forwardHeader, Value: encode(&f.meta)},
		},
		Body: f.body, Stream: f.stream, Length: f.length,
	}
	return g.callPeer(ctx, peer, req)
}

// callPeer sends a request to another node and reads its reply.
func (g *Gateway) callPeer(ctx context.Context, peer string, req *http1.Request) (r *reply, indeterminate bool) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := g.peerPool.Do(ctx, peer, req)
	if err != nil {
		defer cancel()
		return g.classifyPeerError(ctx, peer, err)
	}
	r, err = g.readReply(response)
	if err == nil {
		g.compareVersion(r.meta.Version, peer)
		g.updateProbabilities(r.meta.Probabilities)
	}
	if err != nil {
		cancel()
		r = failed(verdict.MayHaveRun, verdict.ConnectionLost, err.Error())
		return r, true
	}
	if r.answer == nil || r.answer.Stream == nil {
		cancel()
		return r, false
	}
	r.finish = func(complete bool) {
		if complete {
			response.Finish()
		} else {
			response.Close()
		}
		cancel()
	}
	return r, false
}

// classifyPeerError classifies the error of a request to another node.
func (g *Gateway) classifyPeerError(ctx context.Context, peer string, err error) (r *reply, indeterminate bool) {
	var reqErr *http1.RequestError
	if errors.As(err, &reqErr) && !reqErr.Sent {
		return failed(verdict.NotRun, verdict.OwnerUnreachable, err.Error()), false
	}
	if !expired(ctx) && isTimeout(err) {
		// The connection is stalled; the other connections to the node may be
		// stalled, too.
		g.peerPool.CloseIdle(peer)
	}
	reason := verdict.ConnectionLost
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.Cancelled
	case expired(ctx):
		reason = verdict.DeadlinePassed
	}
	return failed(verdict.MayHaveRun, reason, err.Error()), true
}

// readReply reads the result of an attempt from another node. It buffers the
// body of the answer if it is not larger than maxBufferedAnswer, and streams it
// otherwise.
func (g *Gateway) readReply(response *http1.ClientResponse) (*reply, error) {
	r := &reply{}
	text := response.Header.Get(replyHeader)
	if err := json.Unmarshal([]byte(text), &r.meta); err != nil {
		response.Close()
		return nil, fmt.Errorf("reply of a node: %w", err)
	}
	body, complete, err := response.ReadBody(maxBufferedAnswer)
	if err != nil {
		return nil, fmt.Errorf("reply of a node broke off: %w", err)
	}
	if r.meta.Verdict != "" {
		response.Close()
		return r, nil
	}
	response.Header.Del(replyHeader)
	http1.StripHopByHop(response.Header)
	r.answer = forwarded(response, body, complete)
	return r, nil
}

// queryOutcome queries the outcome of an at-most-once request after its
// connection was lost, until the node answers or ctx ends.
func (g *Gateway) queryOutcome(ctx context.Context, peer string, f *forward, sent time.Time) *reply {
	last := failed(verdict.MayHaveRun, verdict.ConnectionLost, "node does not tell the outcome")
	queries := 0
	for ctx.Err() == nil {
		queries++
		attempt, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
		req := &http1.Request{
			Method: http.MethodGet, Target: outcomePath, Host: peer,
			Extra: []http1.Field{{Name: forwardHeader, Value: encode(&forwardMeta{
				Key: f.meta.Key, LeftMS: leftMS(ctx), AgeMS: elapsedSince(sent).Milliseconds(),
			})}},
		}
		r, indeterminate := g.callPeer(attempt, peer, req)
		cancel()
		if !indeterminate && r.meta.Reason != verdict.OwnerUnreachable {
			age := elapsedSince(sent)
			r = resolveUnseen(r, age)
			g.log.outcome(f, r, peer, queries, age)
			return r
		}
		last = r
		select {
		case <-ctx.Done():
		case <-time.After(outcomeQueryInterval):
		}
	}
	last.meta.Verdict = verdict.MayHaveRun.String()
	g.log.outcome(f, last, peer, queries, elapsedSince(sent))
	return last
}

// resolveUnseen returns the outcome of a request whose key the replying process had
// not seen before it was queried. SinceSent is the time since the request was sent,
// taken after the reply was received.
func resolveUnseen(r *reply, sinceSent time.Duration) *reply {
	uptime := time.Duration(r.meta.UnseenUptimeMS) * time.Millisecond
	if uptime == 0 || !dedup.NeverRun(uptime, sinceSent) {
		return r
	}
	out := failed(verdict.NotRun, verdict.KeyFenced, "fenced before it arrived")
	out.meta.UnseenUptimeMS = r.meta.UnseenUptimeMS
	return out
}

// elapsedSince returns the time since t. The monotonic clock does not count the
// time for which the host is suspended; the wall clock does, but may be set back.
func elapsedSince(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// leftMS returns the time until the deadline of a context in milliseconds.
func leftMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// ServePeer answers a request of another node.
func (g *Gateway) ServePeer(x *http1.Exchange) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	var meta forwardMeta
	header := x.Request.Header
	if err := json.Unmarshal([]byte(header.Get(forwardHeader)), &meta); err != nil {
		x.CloseAfter()
		_ = x.Respond(http1.NewServerResponse(http.StatusBadRequest, nil, nil))
		return
	}
	if x.Request.RequestURI == viewPath && meta.Service == "" {
		g.respondView(x, &meta)
		return
	}
	if x.Request.RequestURI == quarantinePath && meta.Service == "" {
		g.receiveQuarantine(x, &meta)
		return
	}
	g.compareVersion(meta.Version, meta.Sender)
	deadline := x.Arrived.Add(time.Duration(meta.LeftMS) * time.Millisecond)
	if x.Request.RequestURI == outcomePath && meta.Service == "" {
		g.respondPeer(x, g.outcome(x.Context(), meta.Key, deadline))
		return
	}
	f, err := g.parseForward(x, meta, deadline)
	if err != nil {
		x.Abort()
		return
	}
	g.respondPeer(x, g.serveLocal(x.Context(), f))
}

// parseForward builds an attempt from a request that another node forwarded.
func (g *Gateway) parseForward(x *http1.Exchange, meta forwardMeta, deadline time.Time) (*forward, error) {
	header := x.Request.Header
	f := &forward{
		meta: meta, method: x.Request.Method, target: x.Request.RequestURI, host: x.Request.Host,
		header: header, requestID: header.Get(g.cfg.Headers.RequestID), deadline: deadline,
	}
	header.Del(forwardHeader)
	header.Del(g.cfg.Headers.RequestID)
	http1.StripHopByHop(header)
	return f, f.readBody(x, g.maxBody())
}

// readBody buffers a body of up to maxBufferedBody bytes, so that it can be
// sent again. The rest of a larger body is streamed.
func (f *forward) readBody(x *http1.Exchange, maxBody int64) error {
	body, complete, err := x.ReadBody(maxBufferedBody)
	if err != nil {
		return err
	}
	f.body = body
	if complete {
		f.length = int64(len(body))
		return nil
	}
	f.stream = &boundedReader{r: x.Stream(), left: maxBody - int64(len(body))}
	f.length = x.Request.ContentLength
	if len(f.body) > 0 {
		return nil
	}
	// The fingerprint covers the beginning of a long body.
	f.body = make([]byte, fingerprintedBody)
	_, err = io.ReadFull(f.stream, f.body)
	return err
}

// fingerprintedBody is the part of a body longer than maxBufferedBody that is read
// before the request is sent, in bytes.
const fingerprintedBody = 16 << 10

// errBodyTooLarge ends a request whose body exceeds the limit of the
// configuration.
var errBodyTooLarge = errors.New("body exceeds the limit")

// boundedReader reads a body without an announced length up to a limit.
type boundedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// maxBufferedBody is the largest request body that is buffered.
const maxBufferedBody = 128 << 10

// respondPeer sends the result of an attempt to the node that forwarded it.
func (g *Gateway) respondPeer(x *http1.Exchange, r *reply) {
	answer := r.answer
	if answer == nil {
		answer = http1.NewServerResponse(http.StatusServiceUnavailable, nil, nil)
	}
	// The answer may be kept for a later query of the outcome, so it is not
	// modified.
	out := *answer
	out.Header = answer.Header.Clone()
	out.Header.Set(replyHeader, encode(&r.meta))
	err := x.Respond(&out)
	if r.finish != nil {
		r.finish(err == nil)
	}
}

// outcome returns the outcome of the request with a key. It waits for a running
// request, and fences the key of one that has not started.
func (g *Gateway) outcome(ctx context.Context, key string, deadline time.Time) *reply {
	answered := make(chan *reply, 1)
	switch g.ledger.QueryOrFence(time.Now(), key, func(r *reply) { answered <- r }) {
	case dedup.Unseen:
		r := failed(verdict.MayHaveRun, verdict.KeyUnknown, "not seen by the process that answers")
		r.meta.UnseenUptimeMS = time.Since(g.startedAt).Milliseconds()
		return r
	case dedup.Unknown:
		return failed(verdict.MayHaveRun, verdict.KeyUnknown, "too many keys are stored")
	case dedup.Dropped:
		return failed(verdict.Run, verdict.ConnectionLost, "it has run; its answer is not kept any more")
	case dedup.Fenced:
		return failed(verdict.NotRun, verdict.KeyFenced, "fenced before it began")
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-answered:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return failed(verdict.MayHaveRun, verdict.DeadlinePassed, "still running")
}

// retrySeconds formats a duration for the Retry-After header.
func retrySeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// compareVersion calls OnNewer if another node has a newer configuration.
func (g *Gateway) compareVersion(version uint64, peer string) {
	c := g.routes.Load()
	if g.cfg.OnNewer != nil && version > 0 && (c == nil || version > c.Version) {
		g.cfg.OnNewer(version, peer)
	}
}
