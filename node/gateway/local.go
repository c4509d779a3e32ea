package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/concurrency"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

const (
	// maxBufferedAnswer is the largest answer that is buffered until it is
	// complete. If a buffered answer is truncated, the request can be retried,
	// and the slot is free while a slow client reads. Larger answers are
	// streamed.
	maxBufferedAnswer = 256 << 10
	// minTimeLeft is the least time left with which a request is still sent.
	minTimeLeft = 3 * time.Millisecond
	// upstreamGrace is how long after a deadline the node in front of an
	// upstream still waits for the answer of the upstream; replyGrace is how
	// long after the deadline the sending node waits for the reply of that node.
	upstreamGrace = 40 * time.Millisecond
	replyGrace    = 80 * time.Millisecond
)

// serveLocal runs a request at the local upstream as soon as a slot is free. It
// adds the load of the upstream and the admission probabilities to the reply.
func (g *Gateway) serveLocal(ctx context.Context, f *forward) *reply {
	callers := g.origins.Count(time.Now(), f.meta.Route, f.meta.Origin)
	r := g.admitAndRun(ctx, f)
	r.meta.Callers = callers
	load := g.load()
	r.meta.Running, r.meta.Queued, r.meta.Limit = load.Running, load.Queued, load.Limit
	if load.Capacity < float64(load.Limit) {
		r.meta.Capacity = load.Capacity
	}
	if c := g.routes.Load(); c != nil {
		r.meta.Version = c.Version
	}
	g.advertiseProbabilities(f, r, g.rateShortage.usableCapacity(time.Now(), load))
	return r
}

// admitAndRun runs a request unless the local upstream takes no new ones or the
// idempotency key of the request is known.
func (g *Gateway) admitAndRun(ctx context.Context, f *forward) *reply {
	if refusal := g.rejectNewWork(f); refusal != nil {
		return rejected(refusal)
	}
	if refusal := g.refuseQuarantined(f); refusal != nil {
		return rejected(refusal)
	}
	g.adoptRateLimit(f)
	limited := g.announced.limit().Active
	if limited && !f.meta.Elsewhere {
		g.rateShortage.onArrival(time.Now())
	}
	movable := limited && f.meta.Elsewhere
	if !movable {
		g.countArrival(f)
	}
	key := f.meta.Key
	if key != "" && !g.ledger.Begin(time.Now(), key) {
		return failed(verdict.MayHaveRun, verdict.KeyFenced, "the key was used before")
	}
	req := &concurrency.Request{
		Rank:     concurrency.RankOf(f.meta.Priority, f.meta.Call),
		Deadline: f.deadline,
		MaxWait:  time.Duration(f.meta.WaitMS) * time.Millisecond,

		Elsewhere: f.meta.Elsewhere,
	}
	returned := false
	defer func() {
		if !returned {
			g.release(req, 0) // a panic must not keep the slot
		}
	}()
	r := g.queueAndRun(ctx, f, req, movable)
	returned = true
	return r
}

// countArrival counts a request in the demand for the local upstream.
func (g *Gateway) countArrival(f *forward) {
	g.demand.OnArrival(time.Now(), f.meta.RootRoute, f.meta.Priority, f.meta.AdmissionProbability)
}

// queueAndRun waits for a slot and runs the request. It records the outcome of an
// at-most-once request in the ledger. Movable is set if a request beyond the rate
// limit of the local upstream runs at another one: then it is no demand here.
func (g *Gateway) queueAndRun(ctx context.Context, f *forward, req *concurrency.Request, movable bool) *reply {
	key := f.meta.Key
	refusal := g.acquire(ctx, req)
	waited := req.Waited(time.Now())
	switch {
	case !movable:
		g.demand.OnQueued(f.meta.RootRoute, waited)
	case refusal == nil:
		g.countArrival(f)
	}
	g.cfg.Metrics.queueTime.Observe(waited.Seconds())
	if refusal == nil {
		if refusal = g.refuseAfterQueue(f); refusal != nil {
			g.release(req, 0)
		}
	}
	if refusal != nil {
		if key != "" {
			g.ledger.Reject(time.Now(), key)
		}
		return rejected(refusal)
	}
	if key != "" {
		if !g.ledger.MarkRunning(time.Now(), key) {
			g.release(req, 0)
			return failed(verdict.NotRun, verdict.KeyFenced, "its sender has given it up")
		}
		return g.runAtMostOnce(f, req)
	}
	return g.run(ctx, f, req)
}

// refuseAfterQueue returns a refusal if a request must not run any more that has waited
// for its slot.
func (g *Gateway) refuseAfterQueue(f *forward) *verdict.Refusal {
	if refusal := g.refuseLateWork(f); refusal != nil {
		return refusal
	}
	if refusal := g.refuseLeaving(f); refusal != nil {
		return refusal
	}
	return g.refuseQuarantined(f)
}

// refuseLeaving returns a refusal if the upstream that is to run the request leaves or
// has left.
func (g *Gateway) refuseLeaving(f *forward) *verdict.Refusal {
	if g.announced.current(f.instance()).Leaving {
		return verdict.Refuse(verdict.Leaving, "upstream announces that it leaves")
	}
	if local := g.localUpstream.Load(); local != nil && local.Left(f.meta.Upstream, time.UnixMilli(f.meta.StartedAt)) {
		return verdict.Refuse(verdict.Leaving, "upstream leaves or is gone")
	}
	return nil
}

// rejectNewWork returns a refusal if the local upstream takes no new requests or
// is not the one that is to run the request.
func (g *Gateway) rejectNewWork(f *forward) *verdict.Refusal {
	if g.upstreamClosed.Load() {
		return verdict.Refuse(verdict.Leaving, "node stops")
	}
	if f.meta.Service != g.cfg.Service {
		return verdict.Refuse(verdict.WrongService, "this host runs "+g.cfg.Service)
	}
	if refusal := g.refuseLateWork(f); refusal != nil {
		return refusal
	}
	return g.refuseLeaving(f)
}

// runAtMostOnce runs an at-most-once request. It continues if the connection to
// the sender is lost, and keeps the answer so that the sender can query the
// outcome.
func (g *Gateway) runAtMostOnce(f *forward, req *concurrency.Request) *reply {
	r := g.run(context.Background(), f, req)
	kept := *r
	if r.answer != nil && r.answer.Stream != nil {
		// A stream can be read only once and cannot be kept.
		kept.answer, kept.finish = nil, nil
		kept.meta.Verdict, kept.meta.Reason = verdict.Run.String(), verdict.ConnectionLost
	}
	g.ledger.Finish(time.Now(), f.meta.Key, &kept)
	return r
}

// serviceTime returns the time since the start of an answered attempt, and zero
// for an attempt without an answer.
func serviceTime(r *reply, started time.Time) time.Duration {
	if r.answer == nil {
		return 0
	}
	return time.Since(started)
}

func (g *Gateway) upstreamRequest(f *forward, left time.Duration) *http1.Request {
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
		ID:    f.requestID,
		Match: func(r *http.Response) http1.Match { return matchAnswer(r, f.requestID, names.RequestID) },
	}
}

// matchAnswer tells whether an answer belongs to the request with the given ID. A
// refusal of an upstream may come without an ID, an answer may not. A head that was cut
// and joined with another one may have two.
func matchAnswer(r *http.Response, requestID, header string) http1.Match {
	id := r.Header.Get(header)
	switch {
	case len(r.Header.Values(header)) > 1:
		return http1.MatchInvalid
	case id == requestID:
		return http1.MatchOwn
	case id == "" && !success(r.StatusCode):
		return http1.MatchUnknown
	default:
		return http1.MatchOther
	}
}

// classifyUpstreamError classifies the error of an attempt without a response.
func classifyUpstreamError(ctx context.Context, err error) *reply {
	var reqErr *http1.RequestError
	if errors.As(err, &reqErr) && !reqErr.Sent {
		return failed(verdict.NotRun, verdict.UpstreamFailed, err.Error())
	}
	reason := verdict.ConnectionLost
	switch {
	case errors.Is(err, http1.ErrMalformedResponse):
		reason = verdict.IncompleteAnswer
	case errors.Is(err, context.Canceled):
		reason = verdict.Cancelled
	case expired(ctx):
		reason = verdict.DeadlinePassed
	}
	r := failed(verdict.MayHaveRun, reason, err.Error())
	r.meta.ReachedUpstream = true
	return r
}

// expired reports whether the deadline of a context has passed. It compares the
// time because the timer of the context may fire slightly later than the timer
// of the connection.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readAnswer reads the response of an incarnation of the local upstream and records
// what it announces. It buffers the body if it is not larger than maxBufferedAnswer, and
// streams it otherwise.
func (g *Gateway) readAnswer(instance advisory.Instance, response *http1.ClientResponse) *reply {
	names := &g.cfg.Headers
	header := response.Header
	if success(response.Status) && !g.soundSuccess(header) {
		response.Close()
		return failed(verdict.MayHaveRun, verdict.IncompleteAnswer, "answer is not the upstream's")
	}
	g.onLocalAnswer(instance, response.Status, header)
	if header.Get(names.NotExecuted) != "" || response.Status == http.StatusMisdirectedRequest {
		response.MarkRefused()
		_, _, _ = response.ReadBody(maxBufferedAnswer)
		response.Close()
		r := failed(verdict.NotRun, verdict.UpstreamShed, "upstream answered "+strconv.Itoa(response.Status))
		if response.Status == http.StatusMisdirectedRequest {
			r.meta.Reason = verdict.WrongService
		}
		r.meta.RetryMS = retryAfter(header).Milliseconds()
		return r
	}
	if promisesNotRun(response.Status) {
		_, _, _ = response.ReadBody(maxBufferedAnswer)
		response.Close()
		return failed(verdict.MayHaveRun, verdict.IncompleteAnswer,
			"upstream answered "+strconv.Itoa(response.Status)+" but does not say that the request has not run")
	}
	body, complete, err := response.ReadBody(maxBufferedAnswer)
	if err != nil {
		r := failed(verdict.Run, verdict.IncompleteAnswer, "answer broke off: "+err.Error())
		r.lost = err
		return r
	}
	http1.StripHopByHop(header)
	return &reply{answer: forwarded(response, body, complete)}
}

// promisesNotRun reports whether a status tells a client that its request has not run
// and never will. An upstream gives this promise by its not-executed header only.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// soundSuccess reports whether the head of a success is that of an answer: it has one
// signature, no content encoding and no not-executed header.
func (g *Gateway) soundSuccess(h http.Header) bool {
	names := &g.cfg.Headers
	signatures := h.Values(names.Signature)
	return len(signatures) == 1 && signatures[0] != "" && h.Get("Content-Encoding") == "" && h.Get(names.NotExecuted) == ""
}

func success(status int) bool { return status >= 200 && status < 300 }

// retryAfter returns the retry time that an upstream advises, or zero.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
