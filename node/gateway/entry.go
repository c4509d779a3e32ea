package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"toucangw.example/core/balance"
	"toucangw.example/core/calltree"
	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

const (
	// maxPlacements bounds the nodes that are asked for a slot.
	maxPlacements = 4
	// noRouteYet and noUpstreamYet are the times after which a client may
	// come back when the node does not know enough.
	noRouteYet    = 300 * time.Millisecond
	noUpstreamYet = 400 * time.Millisecond
)

// request is one request of a local client or of the local upstream.
type request struct {
	x        *http1.Exchange
	id       string
	version  uint64 // of the configuration that decided
	route    *routetable.Route
	service  string
	parent   *calltree.Parent // nil for a request of a client
	certain  bool             // the parent is told by its deadline
	priority int
	root     string  // route at the root of the call tree
	started  float64 // probability with which requests of the root are started
	deadline time.Time
	attempts int // sent to upstreams
	placed   int // nodes asked
	tried    map[string]bool
	inputs   placement
}

// placement holds the inputs of the last routing decision.
type placement struct {
	upstream string
	score    float64
	among    int
}

// ServeClient answers a request that begins on this host.
func (g *Gateway) ServeClient(x *http1.Exchange) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	q := &request{x: x}
	if refusal, status := g.accept(q); refusal != nil {
		g.refuse(q, status, refusal)
		return
	}
	if q.parent != nil {
		g.running.StartCall(q.x.Arrived, q.parent, q.certain)
	}
	f, err := g.prepare(q)
	if err != nil {
		g.endCall(q)
		if x.Context().Err() == nil {
			g.refuse(q, http.StatusBadRequest, verdict.Refuse(verdict.BadRequest, err.Error()))
		}
		return
	}
	ctx, cancel := context.WithDeadline(x.Context(), q.deadline.Add(replyGrace))
	defer cancel()
	g.countRequest(q)
	r := g.serve(ctx, q, f)
	g.endCall(q)
	g.learnCall(q, r)
	g.deliver(q, r)
}

// countRequest enters a request in the retry budget. A call made by a run that
// was itself a repeat counts as a repeat, too.
func (g *Gateway) countRequest(q *request) {
	now := time.Now()
	g.budget.OnRequest(now, q.service)
	if q.parent != nil && q.parent.Retry {
		g.budget.OnUnplannedRetry(now, q.service)
	}
}

// endCall notes the end of a call before its answer is written: the upstream
// may make its next call at once.
func (g *Gateway) endCall(q *request) {
	if q.parent != nil {
		g.running.EndCall(time.Now(), q.parent)
	}
}

// accept finds the route of a request and its deadline.
func (g *Gateway) accept(q *request) (*verdict.Refusal, int) {
	routes := g.routes.Load()
	if routes == nil || g.hosts.Load() == nil {
		r := verdict.Refuse(verdict.Starting, "no configuration yet")
		r.RetryAfter = noRouteYet
		return r, http.StatusServiceUnavailable
	}
	q.version = routes.Version
	req := q.x.Request
	q.id = req.Header.Get(g.cfg.Headers.RequestID)
	q.route = routes.Match(req.Host, req.RequestURI)
	if q.route == nil {
		return verdict.Refuse(verdict.UnknownKind, "no route"), http.StatusNotFound
	}
	if q.id == "" {
		return verdict.Refuse(verdict.BadRequest, "no request id"), http.StatusBadRequest
	}
	if req.ContentLength > g.maxBody() {
		return verdict.Refuse(verdict.BadRequest, "body is too large"), http.StatusRequestEntityTooLarge
	}
	g.place(q)
	if q.parent == nil {
		if refusal := g.start(q); refusal != nil {
			return refusal, http.StatusServiceUnavailable
		}
	}
	q.service = q.route.Next()
	return nil, 0
}

// place derives deadline, rank and parent of a request.
func (g *Gateway) place(q *request) {
	q.priority, q.root, q.started = q.route.Priority, q.route.Name, 1
	left := q.route.Timeout
	ms, err := strconv.ParseInt(q.x.Request.Header.Get(g.cfg.Headers.Deadline), 10, 64)
	if err == nil && ms >= 0 {
		client := time.Duration(ms) * time.Millisecond
		q.parent = g.findParent(q, client)
		left = min(left, client)
	}
	q.deadline = q.x.Arrived.Add(left)
	if p := q.parent; p != nil {
		q.priority, q.root, q.started = p.Priority, p.RootRoute, p.AdmissionProbability
	}
}

// findParent returns the request of the local upstream that makes a call, or
// nil for a request of a client.
func (g *Gateway) findParent(q *request, limit time.Duration) *calltree.Parent {
	deadline := q.x.Arrived.Add(limit)
	name := q.route.Name
	match := g.running.Match(deadline, anyRoute)
	if !g.calls.Observe(name, limit, match != nil) {
		return nil
	}
	before, _ := q.x.ConnValue().(*calltree.Parent)
	parent := g.running.Next(q.x.Arrived, deadline, before)
	if parent != nil {
		g.calls.Expired(name, parent.Expires(deadline))
	} else {
		if !g.calls.DeadlineMatches(name) && !g.calls.LimitInherited(name, limit) {
			match = nil
		}
		parent = g.firstParent(q, deadline, match)
	}
	if parent != nil {
		q.x.SetConnValue(parent)
	}
	return parent
}

// firstParent returns the parent of a call that follows no other on its
// connection, or nil. Match is the running request that expires with it, if
// that tells anything.
func (g *Gateway) firstParent(q *request, deadline time.Time, match *calltree.Parent) *calltree.Parent {
	name := q.route.Name
	makes := func(own string) bool { return g.calls.MayCall(own, name) }
	if match != nil {
		g.calls.Matched(match.Route, name, g.running.ChanceMatches(deadline))
		if !makes(match.Route) {
			// It matches by chance; another one may match as well.
			match = g.running.Match(deadline, makes)
		}
		if match != nil {
			q.certain = true
			return match
		}
	}
	if guess := g.running.Guess(q.x.Arrived, deadline, makes); guess != nil {
		return guess
	}
	if g.calls.HasSingleCaller(name) {
		return g.running.Any(makes)
	}
	return nil
}

func anyRoute(string) bool { return true }

// prepare reads the body and builds the attempt.
func (g *Gateway) prepare(q *request) (*forward, error) {
	header := q.x.Request.Header
	names := &g.cfg.Headers
	for _, name := range []string{names.RequestID, names.Deadline, names.ExpectedInstance, names.CallerService, forwardHeader, replyHeader} {
		header.Del(name)
	}
	f := &forward{
		method: q.x.Request.Method, target: q.x.Request.RequestURI, host: q.x.Request.Host,
		header: header, requestID: q.id, deadline: q.deadline,
		meta: forwardMeta{
			Service: q.service, Origin: g.cfg.Service, Own: q.route.Name, Route: q.root, Priority: q.priority, Call: q.parent != nil,
			Started: q.started,
		},
	}
	if q.parent != nil {
		f.meta.Repeat = q.parent.Retry
	}
	f.meta.Version = q.version
	if err := f.readBody(q.x); err != nil {
		return nil, err
	}
	http1.StripHopByHop(header)
	return f, nil
}

// serve makes attempts until one ends the request.
func (g *Gateway) serve(ctx context.Context, q *request, f *forward) *reply {
	q.tried = map[string]bool{}
	var last *reply
	for {
		r := g.attempt(ctx, q, f)
		if r.meta.Reason == verdict.NoUpstream && last != nil {
			return last // says more than that none is left
		}
		last = r
		if r.answer != nil || !g.again(ctx, q, f, r) {
			return r
		}
	}
}

// attempt chooses an upstream and sends the request to it.
func (g *Gateway) attempt(ctx context.Context, q *request, f *forward) *reply {
	now := time.Now()
	list := g.hosts.Load().Service(q.service)
	choice := g.balancer.Pick(now, list, func(u *directory.Upstream) bool { return q.tried[u.ID] })
	if choice.Upstream == nil {
		r := verdict.Refuse(verdict.NoUpstream, "no upstream takes requests")
		r.RetryAfter = noUpstreamYet
		return refused(r)
	}
	u := choice.Upstream
	q.tried[u.ID] = true
	q.placed++
	q.inputs = placement{upstream: u.ID, score: choice.Score, among: choice.Candidates}
	if !q.route.Kind.Idempotent() {
		f.meta.Key = g.keys.make()
	}
	r := g.send(ctx, u, f)
	g.balancer.OnDone(time.Now(), u.ID, resultOf(q, r))
	if r.meta.Limit > 0 {
		g.calls.SetSingleCaller(q.route.Name, r.meta.Called)
	}
	if r.meta.Arrived || r.answer != nil || r.meta.verdict() != verdict.NotRun {
		q.attempts++
	}
	return r
}

func resultOf(q *request, r *reply) balance.Result {
	out := balance.Result{Report: r.meta.report(), Route: q.route.Name}
	if r.answer != nil {
		out.Service = time.Duration(r.meta.ServiceUS) * time.Microsecond
		return out
	}
	switch r.meta.Reason {
	case verdict.OwnerUnreachable, verdict.UpstreamFailed:
		out.Unreachable = true
	case verdict.ConnectionLost:
		out.Unreachable = out.Report == nil
		out.Failed = true
	case verdict.Leaving, verdict.WrongService:
		out.Leaving = true
	case verdict.UpstreamShed, verdict.Truncated:
		out.Failed = true
	case verdict.DeadlinePassed:
		out.Failed = true
	case verdict.QueueFull, verdict.DeadlineUnmet, verdict.Cancelled, verdict.KeyFenced:
		out.Refused = true
	}
	return out
}

// again reports whether a failed attempt is followed by another.
func (g *Gateway) again(ctx context.Context, q *request, f *forward, r *reply) bool {
	now := time.Now()
	if ctx.Err() != nil || q.deadline.Sub(now) < minLeft || f.stream != nil {
		return false
	}
	notRun := r.meta.verdict() == verdict.NotRun
	if !notRun && !q.route.Kind.Idempotent() {
		return false
	}
	switch r.meta.Reason {
	case verdict.NoUpstream, verdict.Cancelled, verdict.DeadlinePassed:
		return false
	}
	if notRun && !r.meta.Arrived {
		return q.placed < maxPlacements
	}
	if q.attempts >= q.route.MaxAttempts {
		return false
	}
	if !g.budget.Allow(now, q.service, g.hosts.Load().Len()) {
		return false
	}
	f.meta.Repeat = true
	return true
}

// deliver writes the end of a request to its client.
func (g *Gateway) deliver(q *request, r *reply) {
	if r.answer == nil {
		refusal := r.refusal()
		g.refuse(q, statusOf(refusal), refusal)
		return
	}
	err := q.x.Respond(r.answer)
	if r.finish != nil {
		r.finish(err == nil)
	}
	if success(r.answer.Status) {
		g.usual.OnAnswer(q.route.Name, time.Since(q.x.Arrived))
	}
	g.log.served(q, r, err)
	g.cfg.Metrics.served(q, r.answer.Status)
}

// statusOf chooses the status of a request that has no answer.
func statusOf(r *verdict.Refusal) int {
	switch {
	case r.Reason == verdict.DeadlinePassed:
		return http.StatusGatewayTimeout
	case r.Verdict != verdict.NotRun:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse answers a request in place of an upstream.
func (g *Gateway) refuse(q *request, status int, r *verdict.Refusal) {
	a := http1.NewServerResponse(status, nil, nil)
	if q.id != "" {
		a.Header.Set(g.cfg.Headers.RequestID, q.id)
	}
	if status == http.StatusServiceUnavailable {
		a.Header.Set("Retry-After", retrySeconds(max(r.RetryAfter, minRetryAfter)))
	}
	err := q.x.Respond(a)
	g.log.refused(q, status, r, err)
	g.cfg.Metrics.refused(q, status, r)
}

// minRetryAfter is the shortest advice to come back.
const minRetryAfter = 50 * time.Millisecond
