package admit

import (
	"container/heap"
	"sort"
	"time"

	"toucangw.example/core/call"
)

const lanes = int(call.Critical) + 1

// entry is a waiting call.
type entry struct {
	req    *call.Request
	owner  *account
	latest time.Time // last time at which it is worth starting
	cost   time.Duration
	seq    uint64
	index  int // in the heap of expiries
}

// before reports whether e runs before o within one caller and importance.
func (e *entry) before(o *entry) bool {
	if e.req.Rank != o.req.Rank {
		return e.req.Rank > o.req.Rank
	}
	return e.seq < o.seq
}

// account is the fair-queueing state of one caller.
type account struct {
	name  string
	share float64
	lanes [lanes]lane
	rates rates
}

// lane holds the waiting calls of one caller and importance, the next to run
// last.
type lane struct {
	entries []*entry
	cost    time.Duration
	// served is the slot time used per unit of share, in seconds.
	served float64
}

// position returns the number of waiting calls that run before e.
func (l *lane) position(e *entry) int {
	at := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].before(e) })
	return len(l.entries) - at
}

func (l *lane) insert(e *entry) {
	at := len(l.entries) - l.position(e)
	l.entries = append(l.entries, nil)
	copy(l.entries[at+1:], l.entries[at:])
	l.entries[at] = e
	l.cost += e.cost
}

func (l *lane) remove(e *entry) {
	at := len(l.entries) - 1 - l.position(e)
	copy(l.entries[at:], l.entries[at+1:])
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
	l.cost -= e.cost
}

// queue orders waiting calls by importance, then by caller (the one furthest
// below its share of slot time), then by rank.
type queue struct {
	accounts []*account // sorted by name
	byID     map[call.ID]*entry
	expiry   expiries
	cost     [lanes]time.Duration
	total    time.Duration
	floor    [lanes]float64 // served value of the caller that ran last
	seq      uint64
}

func (q *queue) insert(e *entry) {
	q.seq++
	e.seq = q.seq
	i := int(e.req.Rank.Importance())
	l := &e.owner.lanes[i]
	if len(l.entries) == 0 && l.served < q.floor[i] {
		// A caller that was idle gets no credit for the time of its absence.
		l.served = q.floor[i]
	}
	l.insert(e)
	q.cost[i] += e.cost
	q.total += e.cost
	q.byID[e.req.ID] = e
	heap.Push(&q.expiry, e)
}

func (q *queue) remove(e *entry) {
	i := int(e.req.Rank.Importance())
	e.owner.lanes[i].remove(e)
	q.cost[i] -= e.cost
	q.total -= e.cost
	delete(q.byID, e.req.ID)
	heap.Remove(&q.expiry, e.index)
}

// extend lets a waiting call wait until a later time.
func (q *queue) extend(e *entry, latest time.Time) {
	e.latest = latest
	heap.Fix(&q.expiry, e.index)
}

// waitsBelow reports whether a call of lower importance waits.
func (q *queue) waitsBelow(importance call.Importance) bool {
	for i := range int(importance) {
		if q.cost[i] > 0 {
			return true
		}
	}
	return false
}

// top returns the next call to run, or nil.
func (q *queue) top() *entry {
	for i := lanes - 1; i >= 0; i-- {
		if q.cost[i] == 0 {
			continue
		}
		var best *lane
		for _, a := range q.accounts {
			l := &a.lanes[i]
			if len(l.entries) > 0 && (best == nil || l.served < best.served) {
				best = l
			}
		}
		if best != nil {
			return best.entries[len(best.entries)-1]
		}
	}
	return nil
}

// bottom returns the first call to give up, or nil: of the lowest importance,
// of the caller furthest above its share, the one of the lowest rank.
func (q *queue) bottom() *entry {
	for i := range lanes {
		if q.cost[i] == 0 {
			continue
		}
		var worst *lane
		var worstUse float64
		for _, a := range q.accounts {
			l := &a.lanes[i]
			use := l.served + l.cost.Seconds()/a.share
			if len(l.entries) > 0 && (worst == nil || use > worstUse) {
				worst = l
				worstUse = use
			}
		}
		if worst != nil {
			return worst.entries[0]
		}
	}
	return nil
}

// started books the expected slot time of a call on its caller's account.
func (q *queue) started(a *account, importance call.Importance, expected time.Duration) {
	q.floor[importance] = max(q.floor[importance], a.lanes[importance].served)
	q.charge(a, importance, expected)
}

// charge books slot time on a caller's account; it may be negative to correct
// an earlier booking.
func (q *queue) charge(a *account, importance call.Importance, used time.Duration) {
	a.lanes[importance].served += used.Seconds() / a.share
}

// ahead estimates the slot time of the waiting calls that would run before e.
func (q *queue) ahead(e *entry) time.Duration {
	i := int(e.req.Rank.Importance())
	var sum time.Duration
	for higher := i + 1; higher < lanes; higher++ {
		sum += q.cost[higher]
	}
	l := &e.owner.lanes[i]
	if q.cost[i] == 0 {
		return sum
	}
	own := time.Duration(0)
	if n := len(l.entries); n > 0 {
		own = l.cost * time.Duration(l.position(e)) / time.Duration(n)
	}
	// The other callers of the importance run in turn with this one, in
	// proportion to their shares.
	for _, a := range q.accounts {
		o := &a.lanes[i]
		if a == e.owner || len(o.entries) == 0 {
			continue
		}
		turn := time.Duration(float64(own+e.cost) * a.share / e.owner.share)
		sum += min(o.cost, turn)
	}
	return sum + own
}

// expiries is a heap of waiting calls by the time until which they are worth
// starting.
type expiries []*entry

func (h expiries) Len() int           { return len(h) }
func (h expiries) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h expiries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiries) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
