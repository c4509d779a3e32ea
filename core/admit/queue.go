package admit

import (
	"container/heap"
	"sort"
	"time"

	"toucangw.example/core/call"
)

// numImportances is the number of importance classes.
const numImportances = int(call.Critical) + 1

// entry is a waiting call.
type entry struct {
	req         *call.Request
	caller      *callerState
	latestStart time.Time // latest time at which it is worth starting
	cost        time.Duration
	seq         uint64
	index       int // in the expiry heap
}

// before reports whether e runs before other, which has the same caller and
// importance.
func (e *entry) before(other *entry) bool {
	if e.req.Rank != other.req.Rank {
		return e.req.Rank > other.req.Rank
	}
	return e.seq < other.seq
}

// callerState is the fair-queueing state and the demand of one caller.
type callerState struct {
	name    string
	share   float64
	waiting [numImportances]waitList
	demand  callerDemand
}

// waitList holds the waiting calls of one caller and importance; the next to
// run comes last.
type waitList struct {
	entries []*entry
	cost    time.Duration
	// virtualTime is the slot time used so far divided by the share of the
	// caller, in seconds.
	virtualTime float64
}

// position returns the number of waiting calls that run before e.
func (l *waitList) position(e *entry) int {
	index := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].before(e) })
	return len(l.entries) - index
}

func (l *waitList) insert(e *entry) {
	index := len(l.entries) - l.position(e)
	l.entries = append(l.entries, nil)
	copy(l.entries[index+1:], l.entries[index:])
	l.entries[index] = e
	l.cost += e.cost
}

func (l *waitList) remove(e *entry) {
	index := len(l.entries) - 1 - l.position(e)
	copy(l.entries[index:], l.entries[index+1:])
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
	l.cost -= e.cost
}

// queue orders waiting calls by importance, then by caller (the one with the
// least slot time relative to its share first), then by rank.
type queue struct {
	callers        []*callerState // sorted by name
	byID           map[call.ID]*entry
	expiry         expiryHeap
	cost           [numImportances]time.Duration
	total          time.Duration
	minVirtualTime [numImportances]float64 // virtual time of the caller that ran last
	seq            uint64
}

func (q *queue) insert(e *entry) {
	q.seq++
	e.seq = q.seq
	i := int(e.req.Rank.Importance())
	l := &e.caller.waiting[i]
	if len(l.entries) == 0 && l.virtualTime < q.minVirtualTime[i] {
		// A caller that had no waiting calls gets no credit for that time.
		l.virtualTime = q.minVirtualTime[i]
	}
	l.insert(e)
	q.cost[i] += e.cost
	q.total += e.cost
	q.byID[e.req.ID] = e
	heap.Push(&q.expiry, e)
}

func (q *queue) remove(e *entry) {
	i := int(e.req.Rank.Importance())
	e.caller.waiting[i].remove(e)
	q.cost[i] -= e.cost
	q.total -= e.cost
	delete(q.byID, e.req.ID)
	heap.Remove(&q.expiry, e.index)
}

// extendWait lets a waiting call wait until a later time.
func (q *queue) extendWait(e *entry, latestStart time.Time) {
	e.latestStart = latestStart
	heap.Fix(&q.expiry, e.index)
}

// hasLowerImportance reports whether a call of lower importance waits.
func (q *queue) hasLowerImportance(importance call.Importance) bool {
	for i := range int(importance) {
		if q.cost[i] > 0 {
			return true
		}
	}
	return false
}

// next returns the next call to run, or nil.
func (q *queue) next() *entry {
	for i := numImportances - 1; i >= 0; i-- {
		if q.cost[i] == 0 {
			continue
		}
		var best *waitList
		for _, state := range q.callers {
			l := &state.waiting[i]
			if len(l.entries) > 0 && (best == nil || l.virtualTime < best.virtualTime) {
				best = l
			}
		}
		if best != nil {
			return best.entries[len(best.entries)-1]
		}
	}
	return nil
}

// lowest returns the first call to shed, or nil: of the lowest importance that
// has waiting calls, the lowest-ranked call of the caller furthest above its
// share.
func (q *queue) lowest() *entry {
	for i := range numImportances {
		if q.cost[i] == 0 {
			continue
		}
		var worst *waitList
		var worstTime float64
		for _, state := range q.callers {
			l := &state.waiting[i]
			virtualTime := l.virtualTime + l.cost.Seconds()/state.share
			if len(l.entries) > 0 && (worst == nil || virtualTime > worstTime) {
				worst = l
				worstTime = virtualTime
			}
		}
		if worst != nil {
			return worst.entries[0]
		}
	}
	return nil
}

// chargeStart charges the expected slot time of a starting call to its caller.
func (q *queue) chargeStart(state *callerState, importance call.Importance, expected time.Duration) {
	q.minVirtualTime[importance] = max(q.minVirtualTime[importance], state.waiting[importance].virtualTime)
	q.charge(state, importance, expected)
}

// charge charges slot time to a caller. A negative time corrects an earlier
// charge.
func (q *queue) charge(state *callerState, importance call.Importance, used time.Duration) {
	state.waiting[importance].virtualTime += used.Seconds() / state.share
}

// costAhead estimates the slot time of the waiting calls that would run before
// e.
func (q *queue) costAhead(e *entry) time.Duration {
	i := int(e.req.Rank.Importance())
	var sum time.Duration
	for higher := i + 1; higher < numImportances; higher++ {
		sum += q.cost[higher]
	}
	l := &e.caller.waiting[i]
	if q.cost[i] == 0 {
		return sum
	}
	ownCost := time.Duration(0)
	if n := len(l.entries); n > 0 {
		ownCost = l.cost * time.Duration(l.position(e)) / time.Duration(n)
	}
	// The other callers of the same importance run interleaved with this one,
	// in proportion to their shares.
	for _, state := range q.callers {
		other := &state.waiting[i]
		if state == e.caller || len(other.entries) == 0 {
			continue
		}
		interleaved := time.Duration(float64(ownCost+e.cost) * state.share / e.caller.share)
		sum += min(other.cost, interleaved)
	}
	return sum + ownCost
}

// expiryHeap is a heap of waiting calls ordered by the latest time at which
// they are worth starting.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
