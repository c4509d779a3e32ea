package admit

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// countSubCall updates the share of sub-calls among the arrivals.
func (c *controller) countSubCall(subCall bool) {
	target := 0.0
	if subCall {
		target = 1
	}
	c.subCallRatio += subCallRatioWeight * (target - c.subCallRatio)
}

// mayQueue decides whether an arriving call is worth queueing, and sets the
// latest time at which it is worth starting.
func (c *controller) mayQueue(now time.Time, e *entry, limit int) (verdict.Reason, bool) {
	if !c.features.DeadlineDrop {
		e.latestStart = e.req.Deadline
		full := perSlot(c.queue.total, limit) > c.maxWait()
		return verdict.QueueFull, c.features.Preemption || !full
	}
	remaining := e.req.Deadline.Sub(now)
	wait := perSlot(c.queue.costAhead(e), limit)
	if wait+e.cost > remaining {
		return verdict.DeadlineUnmet, false
	}
	longestWait := min(c.maxWait(), time.Duration(maxWaitShare(e.req)*float64(remaining)))
	if c.keepsWaiting(e) {
		longestWait = remaining - e.cost
	}
	full := !c.features.Preemption && perSlot(c.queue.total, limit) > c.maxWait()
	if full || wait > longestWait {
		return verdict.QueueFull, false
	}
	// The threshold applies to calls that would have to wait. A call that would
	// start almost at once, owing to its importance or to the share of its
	// caller, is admitted below the threshold.
	critical := e.req.Rank.Importance() == call.Critical
	if !critical && e.req.Rank < e.caller.demand.threshold && wait > c.target(limit)/2 {
		return verdict.QueueFull, false
	}
	e.latestStart = now.Add(min(longestWait, remaining-e.cost))
	return "", true
}

// maxWaitShare returns the part of its remaining time that a call may spend
// waiting.
func maxWaitShare(req *call.Request) float64 {
	switch {
	case req.Depth == 0:
		return queueShare
	case req.Rank.Importance() == call.Critical:
		return criticalSubCallQueueShare
	default:
		return subCallQueueShare
	}
}

// expire sheds the waiting calls that are no longer worth starting.
func (c *controller) expire(now time.Time) []Decision {
	var out []Decision
	for len(c.queue.expiry) > 0 {
		e := c.queue.expiry[0]
		if !e.latestStart.Before(now) {
			return out
		}
		reason := verdict.QueueFull
		switch {
		case now.Add(e.cost).After(e.req.Deadline):
			reason = verdict.DeadlineUnmet
		case c.keepsWaiting(e):
			c.queue.extendWait(e, e.req.Deadline.Add(-e.cost))
			continue
		}
		c.queue.remove(e)
		out = append(out, c.reject(now, e, reason))
	}
	return out
}

// keepsWaiting reports whether a call is critical and may wait beyond the bound
// on waiting. While calls of lower importance wait, one of them would get the
// slot if the critical call were shed.
func (c *controller) keepsWaiting(e *entry) bool {
	return e.req.Rank.Importance() == call.Critical && c.queue.hasLowerImportance(call.Critical)
}

// preempt sheds the lowest waiting calls while the queue exceeds its bound.
func (c *controller) preempt(now time.Time, limit int, out []Decision) []Decision {
	for c.features.Preemption && perSlot(c.queue.total, limit) > c.maxWait() {
		e := c.queue.lowest()
		c.queue.remove(e)
		out = append(out, c.reject(now, e, verdict.QueueFull))
	}
	return out
}

// reject makes the decision to reject a call, with the present queue wait as
// retry-after time.
func (c *controller) reject(now time.Time, e *entry, reason verdict.Reason) Decision {
	wait := perSlot(c.queue.total, c.limit.Current(now))
	return Decision{ID: e.req.ID, Reason: reason, RetryAfter: max(minRetryAfter, wait)}
}

// target returns the queue wait that the thresholds aim at.
func (c *controller) target(limit int) time.Duration {
	waiting := len(c.queue.byID)
	if waiting == 0 {
		return targetWait
	}
	mean := c.queue.total / time.Duration(waiting)
	return max(targetWait, perSlot(targetCalls*mean, limit))
}

func (c *controller) maxWait() time.Duration {
	if c.service.MaxQueueWait > 0 {
		return c.service.MaxQueueWait
	}
	return policy.DefaultMaxQueueWait
}
