package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// askTimeout bounds one question for an outcome; askPause lies between
	// two of them.
	askTimeout = 700 * time.Millisecond
	askPause   = 30 * time.Millisecond
	// ageMargin allows for clocks of two hosts that do not run alike.
	ageMargin = 250 * time.Millisecond
)

// send makes one attempt at an upstream, through the node beside it.
func (g *Gateway) send(ctx context.Context, u *directory.Upstream, f *forward) *reply {
	f.meta.Upstream = u.ID
	if u.Address == g.cfg.Upstream {
		return g.guard(ctx, f)
	}
	peer := g.peerAddress(u)
	sent := time.Now()
	r, lost := g.sendPeer(ctx, peer, f)
	if lost && f.meta.Key != "" && ctx.Err() == nil {
		return g.ask(ctx, peer, f.meta.Key, sent)
	}
	return r
}

// peerAddress is the peer listener of the node beside an upstream.
func (g *Gateway) peerAddress(u *directory.Upstream) string {
	return netip.AddrPortFrom(u.Address.Addr(), g.cfg.PeerPort).String()
}

// sendPeer passes an attempt on. Lost reports that the node may have received
// it and that its reply is missing.
func (g *Gateway) sendPeer(ctx context.Context, peer string, f *forward) (r *reply, lost bool) {
	f.meta.LeftMS = time.Until(f.deadline).Milliseconds()
	f.meta.Sender = g.self
	call := &http1.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header,
		Extra: []http1.Field{
			{Name: g.cfg.Headers.RequestID, Value: f.requestID},
			{Name: forwardHeader, Value: encode(&f.meta)},
		},
		Body: f.body, Stream: f.stream, Length: f.length,
	}
	return g.peerCall(ctx, peer, call)
}

func (g *Gateway) peerCall(ctx context.Context, peer string, call *http1.Request) (r *reply, lost bool) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := g.peers.Do(ctx, peer, call)
	if err != nil {
		defer cancel()
		return g.peerFailed(ctx, peer, err)
	}
	r, err = g.readReply(response)
	if err == nil {
		g.compareVersion(r.meta.Version, peer)
		g.hearShares(r.meta.Shares)
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
	r.finish = func(whole bool) {
		if whole {
			response.Finish()
		} else {
			response.Close()
		}
		cancel()
	}
	return r, false
}

func (g *Gateway) peerFailed(ctx context.Context, peer string, err error) (r *reply, lost bool) {
	var call *http1.RequestError
	if errors.As(err, &call) && !call.Sent {
		return failed(verdict.NotRun, verdict.OwnerUnreachable, err.Error()), false
	}
	if !expired(ctx) && isTimeout(err) {
		// The connection has gone silent, and so may have the others.
		g.peers.CloseIdle(peer)
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

// readReply reads what a node tells of an attempt, and the answer, whole if it
// is not too large.
func (g *Gateway) readReply(response *http1.ClientResponse) (*reply, error) {
	r := &reply{}
	text := response.Header.Get(replyHeader)
	if err := json.Unmarshal([]byte(text), &r.meta); err != nil {
		response.Close()
		return nil, fmt.Errorf("reply of a node: %w", err)
	}
	body, whole, err := response.ReadBody(wholeAnswer)
	if err != nil {
		return nil, fmt.Errorf("reply of a node broke off: %w", err)
	}
	if r.meta.Verdict != "" {
		response.Close()
		return r, nil
	}
	response.Header.Del(replyHeader)
	http1.StripHopByHop(response.Header)
	r.answer = &http1.ServerResponse{Status: response.Status, Header: response.Header, Body: body, Length: response.Length}
	if whole {
		r.answer.Length = int64(len(body))
	} else {
		r.answer.Stream = response.Stream()
	}
	return r, nil
}

// ask finds out what became of a request that may run at most once, after the
// connection that carried it was lost.
func (g *Gateway) ask(ctx context.Context, peer, key string, sent time.Time) *reply {
	last := failed(verdict.MayHaveRun, verdict.ConnectionLost, "node does not tell the outcome")
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, askTimeout)
		call := &http1.Request{
			Method: http.MethodGet, Target: outcomePath, Host: peer,
			Extra: []http1.Field{{Name: forwardHeader, Value: encode(&forwardMeta{
				Key: key, LeftMS: leftMS(ctx), AgeMS: time.Since(sent).Milliseconds(),
			})}},
		}
		r, lost := g.peerCall(attempt, peer, call)
		cancel()
		if !lost && r.meta.Reason != verdict.OwnerUnreachable {
			return r
		}
		last = r
		select {
		case <-ctx.Done():
		case <-time.After(askPause):
		}
	}
	last.meta.Verdict = verdict.MayHaveRun.String()
	return last
}

func leftMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// ServePeer answers a request that another node passes on.
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
		g.respondView(x)
		return
	}
	g.compareVersion(meta.Version, meta.Sender)
	deadline := x.Arrived.Add(time.Duration(meta.LeftMS) * time.Millisecond)
	if x.Request.RequestURI == outcomePath && meta.Service == "" {
		g.respondPeer(x, g.outcome(x.Context(), meta.Key, time.Duration(meta.AgeMS)*time.Millisecond, deadline))
		return
	}
	f, err := g.forwarded(x, meta, deadline)
	if err != nil {
		x.Abort()
		return
	}
	g.respondPeer(x, g.guard(x.Context(), f))
}

// forwarded rebuilds an attempt from the request of another node.
func (g *Gateway) forwarded(x *http1.Exchange, meta forwardMeta, deadline time.Time) (*forward, error) {
	header := x.Request.Header
	f := &forward{
		meta: meta, method: x.Request.Method, target: x.Request.RequestURI, host: x.Request.Host,
		header: header, requestID: header.Get(g.cfg.Headers.RequestID), deadline: deadline,
	}
	header.Del(forwardHeader)
	header.Del(g.cfg.Headers.RequestID)
	http1.StripHopByHop(header)
	return f, f.readBody(x)
}

// readBody holds a small body whole, so that it can be sent again, and leaves
// the rest of a large one to be streamed.
func (f *forward) readBody(x *http1.Exchange) error {
	body, whole, err := x.ReadBody(wholeBody)
	if err != nil {
		return err
	}
	f.body = body
	if whole {
		f.length = int64(len(body))
		return nil
	}
	f.stream = x.Stream()
	f.length = x.Request.ContentLength
	return nil
}

// wholeBody is the largest request body that is held.
const wholeBody = 128 << 10

func (g *Gateway) respondPeer(x *http1.Exchange, r *reply) {
	answer := r.answer
	if answer == nil {
		answer = http1.NewServerResponse(http.StatusServiceUnavailable, nil, nil)
	}
	// The answer may be kept for a question after it.
	out := *answer
	out.Header = answer.Header.Clone()
	out.Header.Set(replyHeader, encode(&r.meta))
	err := x.Respond(&out)
	if r.finish != nil {
		r.finish(err == nil)
	}
}

// outcome tells what became of a key, and waits for a running request.
func (g *Gateway) outcome(ctx context.Context, key string, age time.Duration, deadline time.Time) *reply {
	answered := make(chan *reply, 1)
	state := g.ledger.QueryOrFence(time.Now(), key, func(r *reply) { answered <- r })
	if state == dedup.Unseen && time.Since(g.began) < age+ageMargin {
		// An earlier process on this host may have run it.
		return failed(verdict.MayHaveRun, verdict.KeyUnknown, "node started after the request was sent")
	}
	if state == dedup.Unseen || state == dedup.Fenced {
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

// retrySeconds renders an advice for the Retry-After header.
func retrySeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// compareVersion reports a node with a newer configuration.
func (g *Gateway) compareVersion(version uint64, peer string) {
	c := g.routes.Load()
	if g.cfg.OnNewer != nil && version > 0 && (c == nil || version > c.Version) {
		g.cfg.OnNewer(version, peer)
	}
}

// PeerView is what a node hands to another one that knows less.
type PeerView struct {
	// Document is the configuration in force.
	Document []byte `json:"document"`
	// Revision of the store at which the upstreams were read.
	Revision  uint64               `json:"revision"`
	Upstreams []directory.Upstream `json:"upstreams"`
}

// respondView hands the node's view to another node.
func (g *Gateway) respondView(x *http1.Exchange) {
	c, hosts := g.routes.Load(), g.hosts.Load()
	if c == nil || hosts == nil {
		_ = x.Respond(http1.NewServerResponse(http.StatusNotFound, nil, nil))
		return
	}
	view := PeerView{Document: c.Document, Revision: hosts.Revision}
	for _, u := range hosts.All() {
		view.Upstreams = append(view.Upstreams, *u)
	}
	_ = x.Respond(http1.NewServerResponse(http.StatusOK, nil, []byte(encode(&view))))
}

// View asks another node for its view.
func (g *Gateway) View(ctx context.Context, peer string) ([]byte, *directory.Snapshot, error) {
	response, err := g.peers.Do(ctx, peer, &http1.Request{
		Method: http.MethodGet, Target: viewPath, Host: peer,
		Extra: []http1.Field{{Name: forwardHeader, Value: encode(&forwardMeta{})}},
	})
	if err != nil {
		return nil, nil, err
	}
	body, whole, err := response.ReadBody(maxView)
	if err != nil {
		return nil, nil, err
	}
	if !whole || response.Status != http.StatusOK {
		response.Close()
		return nil, nil, fmt.Errorf("status %d, %d bytes", response.Status, len(body))
	}
	var view PeerView
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, nil, fmt.Errorf("view of a node: %w", err)
	}
	return view.Document, directory.NewSnapshot(view.Revision, view.Upstreams), nil
}
