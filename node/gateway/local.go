package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"toucangw.example/core/calltree"
	"toucangw.example/core/concurrency"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

const (
	// wholeAnswer is the largest answer that is held until it is complete. A
	// broken one can be asked for again, and the slot is free while a slow
	// client reads.
	wholeAnswer = 256 << 10
	// minLeft is the shortest time left with which a request is sent.
	minLeft = 3 * time.Millisecond
	// upstreamGrace is the time beyond a deadline in which the upstream's own
	// answer to it is awaited; replyGrace is the time in which the node that
	// guards it tells of it.
	upstreamGrace = 40 * time.Millisecond
	replyGrace    = 80 * time.Millisecond
)

// guard runs a request at the local upstream when a slot is free.
func (g *Gateway) guard(ctx context.Context, f *forward) *reply {
	called := g.origins.Count(f.meta.Own, f.meta.Origin)
	r := g.guarded(ctx, f)
	r.meta.Called = called
	load := g.load()
	r.meta.Running, r.meta.Queued, r.meta.Limit = load.Running, load.Queued, load.Limit
	if c := g.routes.Load(); c != nil {
		r.meta.Version = c.Version
	}
	g.tellShares(f, r, load.Limit)
	return r
}

func (g *Gateway) guarded(ctx context.Context, f *forward) *reply {
	if refusal := g.refuseNew(f); refusal != nil {
		return refused(refusal)
	}
	g.demand.OnArrival(time.Now(), f.meta.Route, f.meta.Priority, f.meta.Started)
	key := f.meta.Key
	if key != "" && !g.ledger.Begin(time.Now(), key) {
		return failed(verdict.MayHaveRun, verdict.KeyFenced, "the key was used before")
	}
	entry := &concurrency.Request{
		Rank:     concurrency.RankOf(f.meta.Priority, f.meta.Call),
		Deadline: f.deadline,
		MaxWait:  time.Duration(f.meta.WaitMS) * time.Millisecond,
	}
	refusal := g.acquire(ctx, entry)
	waited := entry.Waited(time.Now())
	g.demand.OnQueued(f.meta.Route, waited)
	g.cfg.Metrics.queued.Observe(waited.Seconds())
	if refusal != nil {
		if key != "" {
			g.ledger.Refuse(time.Now(), key)
		}
		return refused(refusal)
	}
	if key != "" {
		if !g.ledger.Start(time.Now(), key) {
			g.release(entry, 0)
			return failed(verdict.NotRun, verdict.KeyFenced, "its sender has given it up")
		}
		return g.runOnce(f, entry)
	}
	return g.run(ctx, f, entry)
}

// refuseNew returns why the local upstream takes no new request.
func (g *Gateway) refuseNew(f *forward) *verdict.Refusal {
	if g.closed.Load() {
		return verdict.Refuse(verdict.Leaving, "node stops")
	}
	if f.meta.Service != g.cfg.Service {
		return verdict.Refuse(verdict.WrongService, "this host runs "+g.cfg.Service)
	}
	own := g.own.Load()
	if own == nil {
		return nil
	}
	switch {
	case own.PreviousIDs[f.meta.Upstream]:
		return verdict.Refuse(verdict.Leaving, "upstream is gone")
	case own.Draining && own.ID == f.meta.Upstream:
		return verdict.Refuse(verdict.Leaving, "upstream leaves")
	}
	return nil
}

// runOnce runs a request that may run at most once. It goes on if the sender
// is lost: its answer is kept for the question after it.
func (g *Gateway) runOnce(f *forward, entry *concurrency.Request) *reply {
	r := g.run(context.Background(), f, entry)
	kept := *r
	if r.answer != nil && r.answer.Stream != nil {
		// The stream can be read once only.
		kept.answer, kept.finish = nil, nil
		kept.meta.Verdict, kept.meta.Reason = verdict.Run.String(), verdict.ConnectionLost
	}
	g.ledger.Finish(time.Now(), f.meta.Key, &kept)
	return r
}

// run sends a request to the local upstream and frees its slot.
func (g *Gateway) run(ctx context.Context, f *forward, entry *concurrency.Request) *reply {
	started := time.Now()
	left := f.deadline.Sub(started)
	if left < minLeft {
		g.release(entry, 0)
		return failed(verdict.NotRun, verdict.DeadlineUnmet, "no time left")
	}
	parent := &calltree.Parent{
		ID: f.requestID, Deadline: f.deadline, Priority: f.meta.Priority, RootRoute: f.meta.Route, Route: f.meta.Own,
		Retry: f.meta.Repeat, AdmissionProbability: f.meta.Started,
	}
	g.running.Add(started, parent)
	end := func(service time.Duration) {
		g.running.Remove(parent)
		g.release(entry, service)
		g.demand.OnComplete(f.meta.Route, time.Since(started))
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline.Add(upstreamGrace))
	response, err := g.upstream.Do(ctx, g.cfg.Upstream.String(), g.upstreamCall(f, left))
	if err != nil {
		defer cancel()
		end(0)
		return callFailed(ctx, err)
	}
	r := g.readAnswer(response)
	r.meta.WaitedUS = entry.Waited(started).Microseconds()
	r.meta.Arrived = true
	if r.answer == nil || r.answer.Stream == nil {
		cancel()
		r.meta.ServiceUS = time.Since(started).Microseconds()
		service := serviceTime(r, started)
		g.cfg.Metrics.service.Observe(service.Seconds())
		end(service)
		return r
	}
	r.meta.ServiceUS = time.Since(started).Microseconds()
	r.finish = func(whole bool) {
		if whole {
			response.Finish()
		} else {
			response.Close()
		}
		cancel()
		end(0)
	}
	return r
}

// serviceTime is the time of an attempt that ran; zero for others.
func serviceTime(r *reply, started time.Time) time.Duration {
	if r.answer == nil {
		return 0
	}
	return time.Since(started)
}

func (g *Gateway) upstreamCall(f *forward, left time.Duration) *http1.Request {
	names := &g.cfg.Headers
	return &http1.Request{
		Method: f.method, Target: f.target, Host: f.host, Header: f.header,
		Extra: []http1.Field{
			{Name: names.RequestID, Value: f.requestID},
			{Name: names.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
			{Name: names.ExpectedInstance, Value: f.meta.Upstream},
			{Name: names.CallerService, Value: f.meta.Origin},
		},
		Body: f.body, Stream: f.stream, Length: f.length,
		Accept: func(r *http.Response) bool {
			// Refusals may come without an id.
			id := r.Header.Get(names.RequestID)
			return id == f.requestID || id == "" && !success(r.StatusCode)
		},
	}
}

// callFailed classifies an attempt without a response.
func callFailed(ctx context.Context, err error) *reply {
	var call *http1.RequestError
	if errors.As(err, &call) && !call.Sent {
		return failed(verdict.NotRun, verdict.UpstreamFailed, err.Error())
	}
	reason := verdict.ConnectionLost
	switch {
	case errors.Is(err, context.Canceled):
		reason = verdict.Cancelled
	case expired(ctx):
		reason = verdict.DeadlinePassed
	}
	r := failed(verdict.MayHaveRun, reason, err.Error())
	r.meta.Arrived = true
	return r
}

// expired reports that the deadline of a context has passed. The timer of the
// context may fire a little later than that of a connection.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readAnswer takes the response of the upstream, whole if it is not too large.
func (g *Gateway) readAnswer(response *http1.ClientResponse) *reply {
	names := &g.cfg.Headers
	header := response.Header
	if header.Get(names.NotExecuted) != "" || response.Status == http.StatusMisdirectedRequest {
		_, _, _ = response.ReadBody(wholeAnswer)
		response.Close()
		r := failed(verdict.NotRun, verdict.UpstreamShed, "upstream answered "+strconv.Itoa(response.Status))
		if response.Status == http.StatusMisdirectedRequest {
			r.meta.Reason = verdict.WrongService
		}
		r.meta.RetryMS = retryAfter(header).Milliseconds()
		return r
	}
	if success(response.Status) && (header.Get(names.Signature) == "" || header.Get("Content-Encoding") != "") {
		response.Close()
		return failed(verdict.MayHaveRun, verdict.Truncated, "answer is not the upstream's")
	}
	body, whole, err := response.ReadBody(wholeAnswer)
	if err != nil {
		return failed(verdict.Run, verdict.Truncated, "answer broke off: "+err.Error())
	}
	http1.StripHopByHop(header)
	answer := &http1.ServerResponse{Status: response.Status, Header: header, Body: body, Length: response.Length}
	if whole {
		answer.Length = int64(len(body))
	} else {
		answer.Stream = response.Stream()
	}
	return &reply{answer: answer}
}

func success(status int) bool { return status >= 200 && status < 300 }

// retryAfter reads the advice of an upstream; zero if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
