// Package concurrency limits the number of requests in flight at the local
// upstream of a node, and the rate at which they start if the upstream announces a
// limit of it. The node is the only way to its local upstream, so both are known
// exactly. Requests above the limits wait here, ordered by importance, instead of
// inside the upstream.
package concurrency

import (
	"sort"
	"time"

	"toucangw.example/core/verdict"
)

// Rank orders requests; a lower rank is more important (unlike call.Rank of
// engine mode, where a higher one is).
type Rank int

// RankOf returns the rank of a request with a route priority. Sub-calls of
// running requests come before new requests of the same priority, because
// rejecting a sub-call wastes the work done for its parent call.
func RankOf(priority int, subCall bool) Rank {
	r := Rank(2*max(priority, 0) + 1)
	if subCall {
		r--
	}
	return r
}

// Request is one request at the limiter, which keeps a pointer to it until the
// request is rejected or done.
type Request struct {
	Rank Rank
	// Deadline is the time by which the answer is due.
	Deadline time.Time
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Elsewhere is set if the sender tries another upstream after a rejection.
	Elsewhere bool

	arrived  time.Time
	started  time.Time
	state    state
	sequence uint64
}

type state uint8

const (
	created state = iota
	queued
	running
	ended
)

// Waited returns the time that a request spent in the queue until it got a
// slot, or until now if it has none.
func (req *Request) Waited(now time.Time) time.Duration {
	if req.started.IsZero() {
		return now.Sub(req.arrived)
	}
	return req.started.Sub(req.arrived)
}

// Decision concerns one request: it runs now or is rejected.
type Decision struct {
	Request *Request
	Refusal *verdict.Refusal // nil if the request runs
}

// Load is a snapshot of the load of a limiter.
type Load struct {
	Running, Queued, Limit int
	// Capacity is the number of requests that run at once when the upstream is
	// fully used: Limit, or fewer if the rate is limited.
	Capacity float64
	// Wait is the expected queue time of a request that is less important than
	// all others.
	Wait time.Duration
}

const (
	// initialServiceTime is assumed until requests have been answered.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the mean service time.
	serviceTimeWeight = 0.05
	// minRetryAfter is the shortest retry-after time.
	minRetryAfter = 50 * time.Millisecond
	// maxPacedWait is how long a request may wait because of a rate limit if it
	// can run elsewhere.
	maxPacedWait = 25 * time.Millisecond
	// maxPacedWaitShare is the part of its remaining time for which a request may
	// wait because of a rate limit if it cannot run elsewhere.
	maxPacedWaitShare = 0.25
)

// Limiter is the concurrency limiter and the queue of one upstream. It is not
// safe for concurrent use.
type Limiter struct {
	limit    int
	running  int
	queue    []*Request // most important first
	sequence uint64
	mean     float64 // mean service time in seconds
	pace     pacer
}

// New returns a limiter that lets limit requests run at once.
func New(limit int) *Limiter {
	return &Limiter{limit: max(limit, 1), mean: initialServiceTime.Seconds()}
}

// SetLimit changes the number of requests that may run at once.
func (l *Limiter) SetLimit(now time.Time, limit int) []Decision {
	l.limit = max(limit, 1)
	return l.dispatch(now, nil)
}

// SetRate limits the rate at which requests start, in requests per second.
func (l *Limiter) SetRate(now time.Time, perSecond float64) []Decision {
	l.pace.limit(now, perSecond)
	return l.dispatch(now, l.preempt(now, l.expire(now)))
}

// ClearRate ends the limit of the rate.
func (l *Limiter) ClearRate(now time.Time) []Decision {
	l.pace.unlimit()
	return l.dispatch(now, l.expire(now))
}

// NextStart returns the time after which Expire starts a waiting request, if only
// the rate holds it back.
func (l *Limiter) NextStart(now time.Time) (delay time.Duration, waiting bool) {
	if len(l.queue) == 0 || l.running >= l.limit || !l.pace.active {
		return 0, false
	}
	return l.pace.delay(now, 1), true
}

// Offer admits, queues or rejects a request. The result may include decisions
// about other requests.
func (l *Limiter) Offer(now time.Time, req *Request) []Decision {
	out := l.expire(now)
	req.arrived = now
	if l.running < l.limit && len(l.queue) == 0 && l.pace.take(now) {
		return append(out, l.start(now, req))
	}
	index := l.indexFor(req.Rank)
	if !l.inTime(now, req, index) {
		return append(out, l.reject(now, req, verdict.QueueFull))
	}
	l.sequence++
	req.sequence = l.sequence
	req.state = queued
	l.queue = append(l.queue, nil)
	copy(l.queue[index+1:], l.queue[index:])
	l.queue[index] = req
	return l.dispatch(now, l.preempt(now, out))
}

// inTime reports whether a request is still worth running after the wait at an
// index of the queue.
func (l *Limiter) inTime(now time.Time, req *Request, index int) bool {
	if l.pace.delay(now, index+1) > maxPaced(now, req) {
		return false
	}
	wait := l.waitAt(now, index)
	if req.MaxWait > 0 && now.Add(wait).After(req.arrived.Add(req.MaxWait)) {
		return false
	}
	return now.Add(wait + l.serviceTime()/2).Before(req.Deadline)
}

// maxPaced returns how long a request may wait from now on because of a rate limit.
func maxPaced(now time.Time, req *Request) time.Duration {
	if req.Elsewhere {
		return maxPacedWait
	}
	return time.Duration(maxPacedWaitShare * float64(req.Deadline.Sub(now)))
}

// preempt rejects waiting requests that can no longer be served in time because
// of an arrival, the least important first.
func (l *Limiter) preempt(now time.Time, out []Decision) []Decision {
	for i := len(l.queue) - 1; i >= 0; i-- {
		req := l.queue[i]
		if l.inTime(now, req, i) {
			break
		}
		l.queue = l.queue[:i]
		out = append(out, l.reject(now, req, verdict.QueueFull))
	}
	return out
}

// Done reports that a running request has ended. Service is the time that the
// upstream took; zero if it gave no answer.
func (l *Limiter) Done(now time.Time, req *Request, service time.Duration) []Decision {
	if req.state != running {
		return nil
	}
	req.state = ended
	l.running--
	if service > 0 {
		l.mean += serviceTimeWeight * (service.Seconds() - l.mean)
	}
	return l.dispatch(now, l.expire(now))
}

// Cancel removes a waiting request from the queue. It reports whether the
// request was waiting.
func (l *Limiter) Cancel(req *Request) bool {
	if req.state != queued {
		return false
	}
	for i, other := range l.queue {
		if other == req {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	req.state = ended
	return true
}

// Expire rejects the waiting requests whose deadline or MaxWait has passed.
func (l *Limiter) Expire(now time.Time) []Decision { return l.dispatch(now, l.expire(now)) }

// Load returns the present load.
func (l *Limiter) Load(now time.Time) Load {
	return Load{
		Running: l.running, Queued: len(l.queue), Limit: l.limit, Capacity: l.capacity(),
		Wait: l.waitAt(now, len(l.queue)),
	}
}

// capacity returns the number of requests that run at once at the limited rate, by
// Little's law, within the limit.
func (l *Limiter) capacity() float64 {
	if !l.pace.active {
		return float64(l.limit)
	}
	return min(float64(l.limit), l.pace.rate*l.mean)
}

// EstimatedWait returns the expected queue time of a request with a rank.
func (l *Limiter) EstimatedWait(now time.Time, rank Rank) time.Duration {
	return l.waitAt(now, l.indexFor(rank))
}

func (l *Limiter) serviceTime() time.Duration { return time.Duration(l.mean * float64(time.Second)) }

// waitAt returns the expected queue time at an index of the queue.
func (l *Limiter) waitAt(now time.Time, index int) time.Duration {
	paced := l.pace.delay(now, index+1)
	free := l.limit - l.running
	if index < free {
		return paced
	}
	ahead := float64(index-max(free, 0)) + 1
	return max(paced, time.Duration(ahead/float64(l.limit)*l.mean*float64(time.Second)))
}

// indexFor returns the index at which a new request is queued: behind all
// waiting requests of the same or greater importance.
func (l *Limiter) indexFor(rank Rank) int {
	return sort.Search(len(l.queue), func(i int) bool { return l.queue[i].Rank > rank })
}

// expire rejects the waiting requests whose deadline or MaxWait has passed.
func (l *Limiter) expire(now time.Time) []Decision {
	var out []Decision
	kept := l.queue[:0]
	var expired []*Request
	for _, req := range l.queue {
		if now.Before(req.Deadline) && (req.MaxWait <= 0 || now.Sub(req.arrived) < req.MaxWait) {
			kept = append(kept, req)
			continue
		}
		expired = append(expired, req)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	for _, req := range expired {
		out = append(out, l.reject(now, req, verdict.DeadlineUnmet))
	}
	return out
}

// dispatch starts waiting requests while slots are free and the rate allows it.
func (l *Limiter) dispatch(now time.Time, out []Decision) []Decision {
	for l.running < l.limit && len(l.queue) > 0 && l.pace.take(now) {
		req := l.queue[0]
		l.queue = l.queue[1:]
		out = append(out, l.start(now, req))
	}
	return out
}

func (l *Limiter) start(now time.Time, req *Request) Decision {
	req.state = running
	req.started = now
	l.running++
	return Decision{Request: req}
}

func (l *Limiter) reject(now time.Time, req *Request, reason verdict.Reason) Decision {
	req.state = ended
	detail := "no slot in time"
	if l.pace.active {
		detail = "no slot in time at the rate limit of the upstream"
	}
	refusal := verdict.Refuse(reason, detail)
	refusal.RetryAfter = max(l.EstimatedWait(now, req.Rank), minRetryAfter)
	return Decision{Request: req, Refusal: refusal}
}
