package admit

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// countDeep keeps the share of sub-calls among the arrivals.
func (g *guard) countDeep(deep bool) {
	target := 0.0
	if deep {
		target = 1
	}
	g.deep += deepWeight * (target - g.deep)
}

// place decides whether an arrival is worth queueing and sets the time until
// which it is.
func (g *guard) place(now time.Time, e *entry, limit int) (verdict.Reason, bool) {
	if !g.with.DeadlineDrop {
		e.latest = e.req.Deadline
		full := perSlot(g.queue.total, limit) > g.maxWait()
		return verdict.QueueFull, g.with.Preemption || !full
	}
	left := e.req.Deadline.Sub(now)
	wait := perSlot(g.queue.ahead(e), limit)
	if wait+e.cost > left {
		return verdict.DeadlineUnmet, false
	}
	longest := min(g.maxWait(), time.Duration(waitShare(e.req)*float64(left)))
	if g.keepsCritical(e) {
		longest = left - e.cost
	}
	full := !g.with.Preemption && perSlot(g.queue.total, limit) > g.maxWait()
	if full || wait > longest {
		return verdict.QueueFull, false
	}
	// The level holds for calls that would wait. One whose turn comes at once,
	// by importance or by the share of its caller, is admitted below it.
	critical := e.req.Rank.Importance() == call.Critical
	if !critical && e.req.Rank < e.owner.rates.level && wait > g.target(limit)/2 {
		return verdict.QueueFull, false
	}
	e.latest = now.Add(min(longest, left-e.cost))
	return "", true
}

// waitShare returns the part of its time left that a call may wait.
func waitShare(req *call.Request) float64 {
	switch {
	case req.Depth == 0:
		return queueShare
	case req.Rank.Importance() == call.Critical:
		return urgentDeepShare
	default:
		return deepQueueShare
	}
}

// expire drops the waiting calls that are no longer worth starting.
func (g *guard) expire(now time.Time) []Decision {
	var out []Decision
	for len(g.queue.expiry) > 0 {
		e := g.queue.expiry[0]
		if !e.latest.Before(now) {
			return out
		}
		reason := verdict.QueueFull
		switch {
		case now.Add(e.cost).After(e.req.Deadline):
			reason = verdict.DeadlineUnmet
		case g.keepsCritical(e):
			g.queue.extend(e, e.req.Deadline.Add(-e.cost))
			continue
		}
		g.queue.remove(e)
		out = append(out, g.refuse(now, e, reason))
	}
	return out
}

// keepsCritical reports whether a critical call waits on beyond the bound on
// waiting: while less important calls wait, one of them would get the slot that
// the critical call was refused.
func (g *guard) keepsCritical(e *entry) bool {
	return e.req.Rank.Importance() == call.Critical && g.queue.waitsBelow(call.Critical)
}

// displace drops the lowest waiting calls while the queue is longer than its
// bound.
func (g *guard) displace(now time.Time, limit int, out []Decision) []Decision {
	for g.with.Preemption && perSlot(g.queue.total, limit) > g.maxWait() {
		e := g.queue.bottom()
		g.queue.remove(e)
		out = append(out, g.refuse(now, e, verdict.QueueFull))
	}
	return out
}

func (g *guard) refuse(now time.Time, e *entry, reason verdict.Reason) Decision {
	wait := perSlot(g.queue.total, g.limit.Current(now))
	return Decision{ID: e.req.ID, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}

// target returns the wait that the levels aim at.
func (g *guard) target(limit int) time.Duration {
	n := len(g.queue.byID)
	if n == 0 {
		return targetWait
	}
	mean := g.queue.total / time.Duration(n)
	return max(targetWait, perSlot(targetCalls*mean, limit))
}

func (g *guard) maxWait() time.Duration {
	if g.service.MaxQueueWait > 0 {
		return g.service.MaxQueueWait
	}
	return policy.DefaultMaxQueueWait
}
