package gateway

import (
	"time"

	"toucangw.example/core/drain"
	"toucangw.example/core/verdict"
)

// refuseLate returns a refusal of a request of a local client, or of a call of the
// local upstream, that may not end before this node stops.
func (g *Gateway) refuseLate(q *request) *verdict.Refusal {
	plan := g.stop.Load()
	if plan == nil {
		return nil
	}
	now := time.Now()
	// A request with the deadline of one in progress is most likely a call of it.
	nested := q.call || g.callTree.Match(q.deadline, anyRoute) != nil
	return g.refuseBeyond(plan, now, drain.Work{
		Deadline: q.deadline.Add(replyGrace), Longest: g.durations.Longest(now, q.route.Name), Nested: nested,
	})
}

// refuseLateWork returns a refusal of a request for the local upstream that may not
// end before this node stops. A request in progress at another node is not failed by
// it, as there are other upstreams.
func (g *Gateway) refuseLateWork(f *forward) *verdict.Refusal {
	plan := g.stop.Load()
	if plan == nil {
		return nil
	}
	now := time.Now()
	return g.refuseBeyond(plan, now, drain.Work{
		Deadline: f.deadline.Add(upstreamGrace), Longest: g.localDurations.Longest(now, f.meta.Route),
	})
}

func (g *Gateway) refuseBeyond(plan *drain.Plan, now time.Time, w drain.Work) *verdict.Refusal {
	if plan.Takes(now, w) {
		return nil
	}
	r := verdict.Refuse(verdict.Leaving, "may not end before the node stops")
	r.RetryAfter = plan.End.Sub(now)
	return r
}

// longestWait returns the time for which a request of a local client may wait for an
// upstream, so that it still ends before this node stops; zero if its deadline is the
// only bound.
func (g *Gateway) longestWait(q *request) time.Duration {
	plan := g.stop.Load()
	if plan == nil || !q.deadline.Add(replyGrace).After(plan.End) {
		return 0
	}
	now := time.Now()
	slack := plan.Slack(now, drain.Work{Longest: g.durations.Longest(now, q.route.Name)})
	return max(slack, time.Millisecond)
}
