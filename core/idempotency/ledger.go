package idempotency

import (
	"container/heap"
	"errors"
	"fmt"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// SecretLen is the length in bytes of the secret that authenticates keys.
const SecretLen = 32

// Config describes the process that owns the keys of a Ledger. The lifetime is
// constant for the life of the process: a key whose entry has been dropped must
// never be within its lifetime again.
type Config struct {
	Host        member.HostID
	Incarnation uint64
	Start       time.Time // reference for the time of issue of keys
	Secret      []byte    // SecretLen random bytes, new at each process start
	Nonce       func() uint64
	Lifetime    time.Duration
	MaxKeys     int
	// MaxAnswerBytes bounds the memory of all stored answers together.
	MaxAnswerBytes int64
}

func (c Config) check() error {
	if c.Host == "" || len(c.Host) > MaxHostLen {
		return fmt.Errorf("host id must have 1 to %d bytes, has %d", MaxHostLen, len(c.Host))
	}
	if len(c.Secret) != SecretLen {
		return fmt.Errorf("secret must have %d bytes, has %d", SecretLen, len(c.Secret))
	}
	if c.Nonce == nil {
		return errors.New("no nonce source")
	}
	if c.Lifetime <= 0 || c.MaxKeys <= 0 || c.MaxAnswerBytes < 0 {
		return fmt.Errorf("lifetime %v and key limit %d must be positive, byte limit %d not negative",
			c.Lifetime, c.MaxKeys, c.MaxAnswerBytes)
	}
	return nil
}

// fenceGroups is the number of groups, by sequence number, of keys that are
// fenced without an entry of their own.
const fenceGroups = 256

type entry struct {
	sequence uint64
	issued   time.Duration // since Config.Start
	state    State
	digest   uint64
	answer   *call.Answer // nil if none is stored
}

// unfinished reports whether the key may still start or end a run.
func (e *entry) unfinished() bool { return e.state == Queued || e.state == Running }

func (e *entry) size() int64 { return answerSize(e.answer) }

func answerSize(a *call.Answer) int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body) + len(a.ContentType))
}

// ledger holds an entry for each submitted or fenced key. A key without an
// entry that is authentic and within its lifetime is unseen, unless its group
// has been fenced.
type ledger struct {
	cfg          Config
	signer       *signer
	elapsed      time.Duration // time since cfg.Start; never decreases
	lastSequence uint64        // sequence number of the key issued last
	entries      map[uint64]*entry
	order        expiryOrder
	bytes        int64
	// answersFull is set when an answer did not fit, until memory is freed.
	answersFull bool
	// fenced holds, per group, the sequence number up to which keys without an
	// entry are fenced. It makes "not run" permanent in constant memory.
	fenced [fenceGroups]uint64
}

// New returns the Ledger of a process.
func New(cfg Config) (Ledger, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("idempotency: %w", err)
	}
	return &ledger{cfg: cfg, signer: newSigner(cfg.Secret), entries: map[uint64]*entry{}}, nil
}

// advance keeps the latest time seen. If time could go back, a key whose entry
// has been dropped would look unseen and could run again.
func (l *ledger) advance(now time.Time) {
	l.elapsed = max(l.elapsed, now.Sub(l.cfg.Start))
}

func (l *ledger) expired(issued time.Duration) bool {
	return l.elapsed-issued >= l.cfg.Lifetime
}

func (l *ledger) full() bool { return len(l.entries) >= l.cfg.MaxKeys || l.answersFull }

// Issue implements Ledger. The key takes no memory until it is submitted.
func (l *ledger) Issue(now time.Time, service, caller string) (string, *verdict.Refusal) {
	l.advance(now)
	if l.full() {
		return "", l.tableFull()
	}
	l.lastSequence++
	t := token{
		host:        l.cfg.Host,
		incarnation: l.cfg.Incarnation,
		issued:      l.elapsed,
		sequence:    l.lastSequence,
		nonce:       l.cfg.Nonce(),
		service:     l.signer.tag(purposeService, service),
		caller:      l.signer.tag(purposeCaller, caller),
	}
	return l.signer.seal(t), nil
}

// tableFull returns a refusal whose retry time is the end of the lifetime of
// the oldest entry.
func (l *ledger) tableFull() *verdict.Refusal {
	r := verdict.Refuse(verdict.KeyTableFull, "no memory for another key")
	if len(l.order) > 0 {
		r.RetryAfter = max(l.order[0].issued+l.cfg.Lifetime-l.elapsed, 0)
	}
	return r
}

// find returns the state of an authentic key and its entry, if it has one. A
// finished key past its lifetime is Indeterminate whether or not its entry is
// still kept.
func (l *ledger) find(t token) (State, *entry) {
	e := l.entries[t.sequence]
	switch {
	case e != nil && e.unfinished():
		return e.state, e
	case l.expired(t.issued):
		return Indeterminate, e
	case e != nil:
		return e.state, e
	case t.sequence <= l.fenced[t.sequence%fenceGroups]:
		return Fenced, nil
	default:
		return Unseen, nil
	}
}

// Submit implements Ledger. A key of another caller, service or request is
// refused with MayHaveRun: the key's own request may have run, and a caller
// that retries an action with a changed body must not conclude that it has not
// run.
func (l *ledger) Submit(now time.Time, key string, req *call.Request) Submission {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return refuse(verdict.MayHaveRun, verdict.KeyUnknown, "the key was not issued by this process")
	}
	if t.caller != l.signer.tag(purposeCaller, req.Caller) {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was issued to another caller")
	}
	if t.service != l.signer.tag(purposeService, req.Service) {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was issued for another service")
	}
	state, e := l.find(t)
	if state == Unseen {
		return l.submitFirst(t, req)
	}
	return submitAgain(state, e, req.Digest)
}

func (l *ledger) submitFirst(t token, req *call.Request) Submission {
	if l.full() {
		l.fenceGroup(t)
		return Submission{Action: Refuse, Refusal: l.tableFull()}
	}
	l.add(t, Queued, req.Digest)
	return Submission{Action: Execute}
}

func submitAgain(state State, e *entry, digest uint64) Submission {
	if state == Fenced {
		return refuse(verdict.NotRun, verdict.KeyFenced, "the key was refused before and never runs")
	}
	if e == nil || state == Indeterminate && e.state != Indeterminate {
		return refuse(verdict.MayHaveRun, verdict.KeyUnknown, "the key is past its lifetime")
	}
	if e.digest != digest {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was used with another request")
	}
	switch state {
	case Queued, Running:
		return Submission{Action: Wait}
	case Done:
		return replay(e)
	default:
		return refuse(verdict.MayHaveRun, verdict.ConnectionLost, "the run of this key broke off")
	}
}

func replay(e *entry) Submission {
	if e.answer == nil {
		return refuse(verdict.Run, verdict.IncompleteAnswer, "the request ran; its answer was too large to keep")
	}
	return Submission{Action: Replay, Answer: e.answer}
}

func refuse(v verdict.Verdict, reason verdict.Reason, detail string) Submission {
	return Submission{Action: Refuse, Refusal: &verdict.Refusal{Verdict: v, Reason: reason, Detail: detail}}
}

func (l *ledger) add(t token, state State, digest uint64) {
	e := &entry{sequence: t.sequence, issued: t.issued, state: state, digest: digest}
	l.entries[t.sequence] = e
	heap.Push(&l.order, e)
}

// fenceGroup fences an unseen key without an entry. It also fences the unseen
// keys of the same group that were issued earlier; their callers are refused
// with KeyFenced and get a new key.
func (l *ledger) fenceGroup(t token) {
	group := t.sequence % fenceGroups
	l.fenced[group] = max(l.fenced[group], t.sequence)
}

// MarkRunning implements Ledger.
func (l *ledger) MarkRunning(now time.Time, key string) bool {
	e := l.entryOf(now, key)
	if e == nil || e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Finish implements Ledger. An answer that arrives after MarkIndeterminate is
// stored too.
func (l *ledger) Finish(now time.Time, key string, answer *call.Answer) {
	e := l.entryOf(now, key)
	if e == nil || e.state != Running && e.state != Indeterminate {
		return
	}
	e.state = Done
	size := answerSize(answer)
	if l.bytes+size > l.cfg.MaxAnswerBytes {
		// An answer above the whole limit does not show that memory is used up.
		l.answersFull = l.answersFull || size <= l.cfg.MaxAnswerBytes
		return
	}
	l.bytes += size
	e.answer = answer
}

// MarkIndeterminate implements Ledger.
func (l *ledger) MarkIndeterminate(now time.Time, key string) {
	if e := l.entryOf(now, key); e != nil && e.unfinished() {
		e.state = Indeterminate
	}
}

// Reject implements Ledger. It has no effect once the outcome was recorded as
// indeterminate or done.
func (l *ledger) Reject(now time.Time, key string) {
	if e := l.entryOf(now, key); e != nil && e.unfinished() {
		e.state = Fenced
	}
}

func (l *ledger) entryOf(now time.Time, key string) *entry {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return nil
	}
	return l.entries[t.sequence]
}

// Fence implements Ledger. It does not check the caller: use it for the
// cancellation of a caller only after Query has returned Unseen or Queued for
// that caller.
func (l *ledger) Fence(now time.Time, key string) State {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return Indeterminate
	}
	state, e := l.find(t)
	switch {
	case state == Queued:
		e.state = Fenced
	case state == Unseen && l.full():
		l.fenceGroup(t)
	case state == Unseen:
		l.add(t, Fenced, 0)
	default:
		return state
	}
	return Fenced
}

// Query implements Ledger. A key of another caller or another process is
// Indeterminate.
func (l *ledger) Query(now time.Time, key, caller string) (State, *call.Answer) {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok || t.caller != l.signer.tag(purposeCaller, caller) {
		return Indeterminate, nil
	}
	state, e := l.find(t)
	if state != Done {
		return state, nil
	}
	return Done, e.answer
}

// Tick implements Ledger. A key that is still queued or running keeps its entry
// past its lifetime.
func (l *ledger) Tick(now time.Time) {
	l.advance(now)
	var kept []*entry
	for len(l.order) > 0 && l.expired(l.order[0].issued) {
		e := heap.Pop(&l.order).(*entry)
		if e.unfinished() {
			kept = append(kept, e)
			continue
		}
		l.drop(e)
	}
	for _, e := range kept {
		heap.Push(&l.order, e)
	}
}

func (l *ledger) drop(e *entry) {
	delete(l.entries, e.sequence)
	l.bytes -= e.size()
	if e.answer != nil {
		l.answersFull = false
	}
}

// Len implements Ledger.
func (l *ledger) Len() (int, int64) { return len(l.entries), l.bytes }

// expiryOrder is a heap of entries by time of issue.
type expiryOrder []*entry

func (o expiryOrder) Len() int           { return len(o) }
func (o expiryOrder) Less(i, j int) bool { return o[i].issued < o[j].issued }
func (o expiryOrder) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }

// Push implements heap.Interface.
func (o *expiryOrder) Push(x any) { *o = append(*o, x.(*entry)) }

// Pop implements heap.Interface.
func (o *expiryOrder) Pop() any {
	last := len(*o) - 1
	e := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return e
}
