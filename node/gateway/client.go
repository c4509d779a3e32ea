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
	// maxNodesTried bounds the number of nodes to which a request is sent until
	// one of them passes it to its upstream.
	maxNodesTried = 4
	// noConfigRetryAfter and noUpstreamRetryAfter are the advised retry times
	// if the node has no configuration or no eligible upstream.
	noConfigRetryAfter   = 300 * time.Millisecond
	noUpstreamRetryAfter = 400 * time.Millisecond
)

// request is a request of a local client, or a call of the local upstream.
type request struct {
	exchange             *http1.Exchange
	id                   string
	version              uint64 // version of the configuration used
	route                *routetable.Route
	service              string
	call                 bool             // made by the local upstream, also if its parent is unknown
	parent               *calltree.Parent // nil for a root request
	deadlineMatched      bool             // the parent was identified by its deadline
	priority             int
	rootRoute            string  // route at the root of the call tree
	admissionProbability float64 // admission probability of the root route
	deadline             time.Time
	attempts             int             // attempts that may have reached an upstream
	nodesTried           int             // attempts sent to nodes
	crashes              int             // attempts under which an upstream crashed, if the request is suspected
	mayHaveRun           bool            // in one of the attempts
	tried                map[string]bool // IDs of the upstreams that were tried
	routing              routingInputs
}

// routingInputs holds the inputs of the last routing decision.
type routingInputs struct {
	upstream   string
	score      float64
	candidates int
}

// ServeClient answers a request of a client or of the local upstream.
func (g *Gateway) ServeClient(x *http1.Exchange) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	q := &request{exchange: x}
	if refusal, status := g.accept(q); refusal != nil {
		g.reject(q, status, refusal)
		return
	}
	if q.parent != nil {
		g.callTree.StartCall(q.exchange.Arrived, q.parent, q.deadlineMatched)
	}
	f, err := g.prepare(q)
	if err != nil {
		g.endCall(q)
		if x.Context().Err() == nil {
			g.reject(q, http.StatusBadRequest, verdict.Refuse(verdict.BadRequest, err.Error()))
		}
		return
	}
	if refusal := g.refuseLate(q); refusal != nil { // the body may have taken long
		g.endCall(q)
		g.reject(q, http.StatusServiceUnavailable, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(x.Context(), q.deadline.Add(replyGrace))
	defer cancel()
	g.countRequest(q)
	r := g.serve(ctx, q, f)
	if q.attempts > 0 {
		g.durations.Observe(time.Now(), q.route.Name, time.Since(q.exchange.Arrived))
	}
	g.endCall(q)
	g.updateAdmission(q, r)
	g.deliver(q, r)
}

// countRequest counts a request in the retry budget. A call made by a request
// that is itself a retry counts as a retry, too.
func (g *Gateway) countRequest(q *request) {
	now := time.Now()
	g.budget.OnRequest(now, q.service)
	if q.parent != nil && q.parent.Retry {
		g.budget.OnUnplannedRetry(now, q.service)
	}
}

// endCall records the end of a call. It runs before the answer is written,
// because the upstream may make its next call as soon as it has the answer.
func (g *Gateway) endCall(q *request) {
	if q.parent != nil {
		g.callTree.EndCall(time.Now(), q.parent)
	}
}

// accept finds the route of a request, derives its deadline and decides on root
// admission. It returns a refusal and its status if the request is rejected.
func (g *Gateway) accept(q *request) (*verdict.Refusal, int) {
	req := q.exchange.Request
	q.id = req.Header.Get(g.cfg.Headers.RequestID)
	routes := g.routes.Load()
	if routes == nil || g.hosts.Load() == nil {
		r := verdict.Refuse(verdict.Starting, "no configuration yet")
		r.RetryAfter = noConfigRetryAfter
		return r, http.StatusServiceUnavailable
	}
	q.version = routes.Version
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
	g.classify(q)
	if refusal := g.refuseLate(q); refusal != nil {
		return refusal, http.StatusServiceUnavailable
	}
	if !q.call {
		if refusal := g.admitRoot(q); refusal != nil {
			return refusal, http.StatusServiceUnavailable
		}
	}
	q.service = q.route.Next()
	return nil, 0
}

// classify derives the deadline, the priority and the parent of a request.
func (g *Gateway) classify(q *request) {
	q.priority, q.rootRoute, q.admissionProbability = q.route.Priority, q.route.Name, 1
	left := q.route.Timeout
	ms, err := strconv.ParseInt(q.exchange.Request.Header.Get(g.cfg.Headers.Deadline), 10, 64)
	if err == nil && ms >= 0 {
		remaining := time.Duration(ms) * time.Millisecond
		q.parent = g.findParent(q, remaining)
		q.call = q.parent != nil || g.routeGraph.IsCalled(q.exchange.Arrived, q.route.Name)
		left = min(left, remaining)
	}
	q.deadline = q.exchange.Arrived.Add(left)
	if p := q.parent; p != nil {
		q.priority, q.rootRoute, q.admissionProbability = p.Priority, p.RootRoute, p.AdmissionProbability
	}
}

// findParent returns the parent of a call: the request running at the local
// upstream that makes it. It returns nil for a root request.
func (g *Gateway) findParent(q *request, limit time.Duration) *calltree.Parent {
	deadline := q.exchange.Arrived.Add(limit)
	name := q.route.Name
	match := g.callTree.Match(deadline, anyRoute)
	if !g.routeGraph.Observe(q.exchange.Arrived, name, limit, match != nil) {
		return nil
	}
	previous, _ := q.exchange.ConnValue().(*calltree.Parent)
	parent := g.callTree.Next(q.exchange.Arrived, deadline, previous)
	if parent != nil {
		g.routeGraph.Expired(name, parent.MatchesDeadline(deadline))
	} else {
		if !g.routeGraph.DeadlineMatches(name) && !g.routeGraph.LimitInherited(name, limit) {
			match = nil
		}
		parent = g.firstParent(q, deadline, match)
	}
	if parent != nil {
		q.exchange.SetConnValue(parent)
	}
	return parent
}

// firstParent returns the parent of a call that does not follow another call of
// the same parent on its connection, or nil. Match is the running request with
// the same deadline, or nil if there is none or deadlines do not identify the
// parents of this route.
func (g *Gateway) firstParent(q *request, deadline time.Time, match *calltree.Parent) *calltree.Parent {
	name := q.route.Name
	mayCall := func(parentRoute string) bool { return g.routeGraph.MayCall(parentRoute, name) }
	if match != nil {
		g.routeGraph.Matched(match.Route, name, g.callTree.ChanceMatches(deadline))
		if !mayCall(match.Route) {
			// It matches by chance; another running request may match, too.
			match = g.callTree.Match(deadline, mayCall)
		}
		if match != nil {
			q.deadlineMatched = true
			return match
		}
	}
	if guess := g.callTree.Guess(q.exchange.Arrived, deadline, mayCall); guess != nil {
		return guess
	}
	if g.routeGraph.IsCalled(q.exchange.Arrived, name) {
		return g.callTree.Any(mayCall)
	}
	return nil
}

func anyRoute(string) bool { return true }

// prepare reads the body and builds the message that each attempt sends.
func (g *Gateway) prepare(q *request) (*forward, error) {
	header := q.exchange.Request.Header
	names := &g.cfg.Headers
	for _, name := range []string{names.RequestID, names.Deadline, names.ExpectedInstance, names.CallerService, forwardHeader, replyHeader} {
		header.Del(name)
	}
	f := &forward{
		method: q.exchange.Request.Method, target: q.exchange.Request.RequestURI, host: q.exchange.Request.Host,
		header: header, requestID: q.id, deadline: q.deadline,
		meta: forwardMeta{
			Service: q.service, Origin: g.cfg.Service, Route: q.route.Name, RootRoute: q.rootRoute, Priority: q.priority, Call: q.call,
			AdmissionProbability: q.admissionProbability,
		},
	}
	if q.parent != nil {
		f.meta.Retry = q.parent.Retry
	}
	f.meta.Version = q.version
	if err := f.readBody(q.exchange, g.maxBody()); err != nil {
		return nil, err
	}
	http1.StripHopByHop(header)
	return f, nil
}

// serve makes attempts until one is answered or must not be followed by another.
func (g *Gateway) serve(ctx context.Context, q *request, f *forward) *reply {
	q.tried = map[string]bool{}
	var last *reply
	for {
		r := g.attempt(ctx, q, f)
		if r.meta.Reason == verdict.NoUpstream && last != nil {
			return last // its reason is more specific than NoUpstream
		}
		last = r
		if r.answer != nil || !g.shouldRetry(ctx, q, f, r) {
			return r
		}
	}
}

// attempt picks an upstream and sends the request to it.
func (g *Gateway) attempt(ctx context.Context, q *request, f *forward) *reply {
	now := time.Now()
	list := g.hosts.Load().Service(q.service)
	record, quarantined := g.quarantinedRecord(now, f)
	var probe *directory.Upstream
	if quarantined {
		if probe = g.probeTarget(now, f); probe == nil {
			return rejected(quarantineRefusal(now, &record))
		}
	}
	choice := g.balancer.Pick(now, list, func(u *directory.Upstream) bool {
		return q.tried[u.ID] || g.advisories.State(instanceOf(u)).Leaving || probe != nil && u.ID != probe.ID
	})
	if choice.Upstream == nil {
		r := verdict.Refuse(verdict.NoUpstream, "no upstream takes requests")
		r.RetryAfter = noUpstreamRetryAfter
		return rejected(r)
	}
	u := choice.Upstream
	q.tried[u.ID] = true
	q.nodesTried++
	q.routing = routingInputs{upstream: u.ID, score: choice.Score, candidates: choice.Candidates}
	f.meta.RateLimit = g.knownRateLimit(u)
	f.meta.WaitMS = g.longestWait(q).Milliseconds()
	f.meta.Elsewhere = choice.Candidates > 1 && q.nodesTried < maxNodesTried && f.stream == nil
	if !q.route.Kind.Idempotent() {
		f.meta.Key = g.keys.newKey()
	}
	r := g.send(ctx, u, f)
	g.onAnswer(u, r)
	g.balancer.OnDone(time.Now(), u.ID, resultOf(q, r))
	g.routeGraph.SetCallers(time.Now(), q.route.Name, r.meta.Callers)
	notRun := r.answer == nil && r.meta.verdict() == verdict.NotRun
	if r.meta.ReachedUpstream || !notRun {
		q.attempts++
	}
	if !notRun {
		q.mayHaveRun = true
	}
	if r.meta.Crashes > 0 {
		q.crashes++
	}
	return r
}

// resultOf returns the result of an attempt for the balancer.
func resultOf(q *request, r *reply) balance.Result {
	out := balance.Result{Report: r.meta.report(), Route: q.route.Name}
	if r.answer != nil {
		out.Service = time.Duration(r.meta.ServiceUS) * time.Microsecond
		return out
	}
	switch r.meta.Reason {
	case verdict.OwnerUnreachable, verdict.UpstreamFailed, verdict.UpstreamCrashed:
		out.Unreachable = true
	case verdict.ConnectionLost:
		out.Unreachable = out.Report == nil
		out.Failed = true
	case verdict.Leaving, verdict.WrongService:
		out.Leaving = true
	case verdict.UpstreamShed, verdict.IncompleteAnswer:
		out.Failed = true
	case verdict.DeadlinePassed:
		out.Failed = true
	case verdict.QueueFull, verdict.DeadlineUnmet, verdict.Cancelled, verdict.KeyFenced, verdict.Quarantined:
		out.Refused = true
	}
	return out
}

// maxCrashesToRetry is the number of crashes under equal requests from which on a
// request is not retried: another attempt may well cost another upstream.
const maxCrashesToRetry = 2

// shouldRetry reports whether an attempt without an answer is followed by another
// one. The retry budget and the attempts of the route limit only retries of
// attempts that may have reached an upstream.
func (g *Gateway) shouldRetry(ctx context.Context, q *request, f *forward, r *reply) bool {
	now := time.Now()
	if ctx.Err() != nil || q.deadline.Sub(now) < minTimeLeft || f.stream != nil || g.refuseLate(q) != nil {
		return false
	}
	notRun := r.meta.verdict() == verdict.NotRun
	if !notRun && !q.route.Kind.Idempotent() {
		return false
	}
	switch r.meta.Reason {
	case verdict.NoUpstream, verdict.Cancelled, verdict.DeadlinePassed, verdict.Quarantined:
		return false
	}
	if max(r.meta.Crashes, q.crashes) >= maxCrashesToRetry {
		return false
	}
	if notRun && !r.meta.ReachedUpstream {
		return q.nodesTried < maxNodesTried
	}
	if q.attempts >= q.route.MaxAttempts {
		return false
	}
	if !g.budget.Allow(now, q.service, g.hosts.Load().Len()) {
		return false
	}
	f.meta.Retry = true
	return true
}

// deliver writes the answer or the refusal to the client.
func (g *Gateway) deliver(q *request, r *reply) {
	if r.answer == nil {
		refusal := r.refusal()
		if q.mayHaveRun && refusal.Verdict == verdict.NotRun {
			refusal.Verdict = verdict.MayHaveRun // the last attempt does not speak for the others
		}
		g.reject(q, statusOf(refusal), refusal)
		return
	}
	err := q.exchange.Respond(r.answer)
	if r.finish != nil {
		r.finish(err == nil)
	}
	if success(r.answer.Status) {
		g.latencies.OnAnswer(q.route.Name, time.Since(q.exchange.Arrived))
	}
	g.log.served(q, r, err)
	g.cfg.Metrics.served(q, r.answer.Status)
}

// statusOf returns the HTTP status for a refusal.
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

// reject answers a request with a refusal of this node.
func (g *Gateway) reject(q *request, status int, r *verdict.Refusal) {
	a := http1.NewServerResponse(status, nil, nil)
	if q.id != "" {
		a.Header.Set(g.cfg.Headers.RequestID, q.id)
	}
	if status == http.StatusServiceUnavailable {
		a.Header.Set("Retry-After", retrySeconds(max(r.RetryAfter, minRetryAfter)))
	}
	err := q.exchange.Respond(a)
	g.log.rejected(q, status, r, err)
	g.cfg.Metrics.rejected(q, status, r)
}

// minRetryAfter is the shortest retry time advised to clients.
const minRetryAfter = 50 * time.Millisecond
