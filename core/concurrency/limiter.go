// Package concurrency admits requests to the one upstream that a node guards. The
// guard is the only way to its upstream, so the running requests are known
// exactly: what exceeds the limit waits here, in order of importance, and not
// inside the upstream.
package concurrency

import (
	"sort"
	"time"

	"toucangw.example/core/verdict"
)

// Rank orders requests; a lower rank is more important.
type Rank int

// RankOf returns the rank of a request with a route priority. Calls that
// running requests make come before new requests of the same priority, because
// a refused call wastes the work of its parent.
func RankOf(priority int, call bool) Rank {
	r := Rank(2*max(priority, 0) + 1)
	if call {
		r--
	}
	return r
}

// Request is one request at the gate. The caller keeps it until it is refused or
// done.
type Request struct {
	Rank Rank
	// Deadline is the time by which the answer is due.
	Deadline time.Time
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration

	arrived time.Time
	started time.Time
	state   state
	order   uint64
}

type state uint8

const (
	idle state = iota
	queued
	running
	ended
)

// Waited returns the time that a request spent in the queue until it got a
// slot, or until now if it has none.
func (e *Request) Waited(now time.Time) time.Duration {
	if e.started.IsZero() {
		return now.Sub(e.arrived)
	}
	return e.started.Sub(e.arrived)
}

// Decision is the fate of an entry: it runs now or is refused.
type Decision struct {
	Request *Request
	Refusal *verdict.Refusal // nil: the request runs
}

// Load is the state of a gate at one time.
type Load struct {
	Running, Queued, Limit int
	// Wait is the expected queue time of a request that is less important
	// than all others.
	Wait time.Duration
}

const (
	// initialServiceTime is assumed until requests have been answered.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the mean service time.
	serviceTimeWeight = 0.05
	// minRetryAfter is the shortest advice to come back.
	minRetryAfter = 50 * time.Millisecond
)

// Limiter is the queue of one upstream. It is not safe for concurrent use.
type Limiter struct {
	limit   int
	running int
	queue   []*Request // most important first
	order   uint64
	mean    float64 // service time in seconds
}

// New returns a gate that lets limit requests run at once.
func New(limit int) *Limiter {
	return &Limiter{limit: max(limit, 1), mean: initialServiceTime.Seconds()}
}

// SetLimit changes the number of requests that may run at once.
func (g *Limiter) SetLimit(now time.Time, limit int) []Decision {
	g.limit = max(limit, 1)
	return g.dispatch(now, nil)
}

// Offer admits, queues or refuses a request. It may also decide on others.
func (g *Limiter) Offer(now time.Time, e *Request) []Decision {
	out := g.expire(now, nil)
	e.arrived = now
	if g.running < g.limit && len(g.queue) == 0 {
		return append(out, g.start(now, e))
	}
	at := g.position(e.Rank)
	wait := g.waitAt(at)
	if !g.fits(now, e, wait) {
		return append(out, g.refuse(now, e, verdict.QueueFull))
	}
	g.order++
	e.order = g.order
	e.state = queued
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = e
	return g.dispatch(now, g.displace(now, out))
}

// fits reports whether a request that waits that long is still worth running.
func (g *Limiter) fits(now time.Time, e *Request, wait time.Duration) bool {
	if e.MaxWait > 0 && now.Add(wait).After(e.arrived.Add(e.MaxWait)) {
		return false
	}
	return now.Add(wait + g.serviceTime()/2).Before(e.Deadline)
}

// displace refuses waiting requests that an arrival pushed beyond their
// longest wait, the least important first.
func (g *Limiter) displace(now time.Time, out []Decision) []Decision {
	for i := len(g.queue) - 1; i >= 0; i-- {
		e := g.queue[i]
		if g.fits(now, e, g.waitAt(i)) {
			break
		}
		g.queue = g.queue[:i]
		out = append(out, g.refuse(now, e, verdict.QueueFull))
	}
	return out
}

// Done reports that a running request has ended. Service is the time that the
// upstream needed; zero if it gave no answer.
func (g *Limiter) Done(now time.Time, e *Request, service time.Duration) []Decision {
	if e.state != running {
		return nil
	}
	e.state = ended
	g.running--
	if service > 0 {
		g.mean += serviceTimeWeight * (service.Seconds() - g.mean)
	}
	return g.dispatch(now, g.expire(now, nil))
}

// Cancel takes a waiting request out of the queue. It reports whether the
// request was waiting.
func (g *Limiter) Cancel(e *Request) bool {
	if e.state != queued {
		return false
	}
	for i, other := range g.queue {
		if other == e {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
	e.state = ended
	return true
}

// Expire refuses the waiting requests whose time has passed.
func (g *Limiter) Expire(now time.Time) []Decision { return g.dispatch(now, g.expire(now, nil)) }

// Load returns the state of the gate.
func (g *Limiter) Load() Load {
	return Load{Running: g.running, Queued: len(g.queue), Limit: g.limit, Wait: g.waitAt(len(g.queue))}
}

// EstimatedWait returns the expected queue time of a request with a rank.
func (g *Limiter) EstimatedWait(rank Rank) time.Duration { return g.waitAt(g.position(rank)) }

func (g *Limiter) serviceTime() time.Duration { return time.Duration(g.mean * float64(time.Second)) }

// waitAt returns the expected queue time at a place in the queue.
func (g *Limiter) waitAt(place int) time.Duration {
	free := g.limit - g.running
	if place < free {
		return 0
	}
	ahead := float64(place-max(free, 0)) + 1
	return time.Duration(ahead / float64(g.limit) * g.mean * float64(time.Second))
}

// position returns the place behind all waiting requests that are as
// important.
func (g *Limiter) position(rank Rank) int {
	return sort.Search(len(g.queue), func(i int) bool { return g.queue[i].Rank > rank })
}

func (g *Limiter) expire(now time.Time, out []Decision) []Decision {
	kept := g.queue[:0]
	var expired []*Request
	for _, e := range g.queue {
		if now.Before(e.Deadline) && (e.MaxWait <= 0 || now.Sub(e.arrived) < e.MaxWait) {
			kept = append(kept, e)
			continue
		}
		expired = append(expired, e)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	for _, e := range expired {
		out = append(out, g.refuse(now, e, verdict.DeadlineUnmet))
	}
	return out
}

func (g *Limiter) dispatch(now time.Time, out []Decision) []Decision {
	for g.running < g.limit && len(g.queue) > 0 {
		e := g.queue[0]
		g.queue = g.queue[1:]
		out = append(out, g.start(now, e))
	}
	return out
}

func (g *Limiter) start(now time.Time, e *Request) Decision {
	e.state = running
	e.started = now
	g.running++
	return Decision{Request: e}
}

func (g *Limiter) refuse(_ time.Time, e *Request, reason verdict.Reason) Decision {
	e.state = ended
	refusal := verdict.Refuse(reason, "no slot in time")
	refusal.RetryAfter = max(g.EstimatedWait(e.Rank), minRetryAfter)
	return Decision{Request: e, Refusal: refusal}
}
