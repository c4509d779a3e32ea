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
// fixed for the life of the process: a key whose entry has been dropped must
// never come within its lifetime again.
type Config struct {
	Host        member.HostID
	Incarnation uint64
	Start       time.Time // ages are measured from here
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

// fenceGroups is the number of groups into which keys fall by sequence number
// when they are fenced without an entry of their own.
const fenceGroups = 256

type entry struct {
	sequence uint64
	issued   time.Duration
	state    State
	digest   uint64
	answer   *call.Answer // nil if not kept
}

// unfinished reports whether the key may still begin or end a run.
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
	cfg     Config
	signer  *signer
	elapsed time.Duration // since start; never goes back
	last    uint64        // sequence number of the key issued last
	entries map[uint64]*entry
	order   expiryOrder
	bytes   int64
	// noRoom is set when an answer did not fit, until memory is freed.
	noRoom bool
	// fenced holds per group the highest sequence number that is fenced when
	// it has no entry. It makes "not run" permanent without memory.
	fenced [fenceGroups]uint64
}

// New returns the Ledger of a process.
func New(cfg Config) (Ledger, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("once: %w", err)
	}
	return &ledger{cfg: cfg, signer: newSigner(cfg.Secret), entries: map[uint64]*entry{}}, nil
}

// advance keeps the greatest time seen. If time went back, a key whose entry
// has been dropped would look unseen and could run again.
func (l *ledger) advance(now time.Time) {
	l.elapsed = max(l.elapsed, now.Sub(l.cfg.Start))
}

func (l *ledger) expired(issued time.Duration) bool {
	return l.elapsed-issued >= l.cfg.Lifetime
}

func (l *ledger) full() bool { return len(l.entries) >= l.cfg.MaxKeys || l.noRoom }

// Issue implements Ledger. The key takes no memory until it is submitted.
func (l *ledger) Issue(now time.Time, service, caller string) (string, *verdict.Refusal) {
	l.advance(now)
	if l.full() {
		return "", l.tableFull()
	}
	l.last++
	t := token{
		host:        l.cfg.Host,
		incarnation: l.cfg.Incarnation,
		issued:      l.elapsed,
		sequence:    l.last,
		nonce:       l.cfg.Nonce(),
		service:     l.signer.tag(forService, service),
		caller:      l.signer.tag(forCaller, caller),
	}
	return l.signer.seal(t), nil
}

// tableFull refuses with the time until the oldest entry ends its lifetime.
func (l *ledger) tableFull() *verdict.Refusal {
	r := verdict.Refuse(verdict.KeyTableFull, "no memory for another key")
	if len(l.order) > 0 {
		r.RetryAfter = max(l.order[0].issued+l.cfg.Lifetime-l.elapsed, 0)
	}
	return r
}

// find returns the state of an authentic key and its entry, if it has one. A
// finished key past its lifetime is Lost whether or not its entry is still
// held.
func (l *ledger) find(t token) (State, *entry) {
	e := l.entries[t.sequence]
	switch {
	case e != nil && e.unfinished():
		return e.state, e
	case l.expired(t.issued):
		return Lost, e
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
// that repeats an action under a changed body must not take it for not run.
func (l *ledger) Submit(now time.Time, key string, req *call.Request) Submission {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return refuse(verdict.MayHaveRun, verdict.KeyUnknown, "the key was not issued by this process")
	}
	if t.caller != l.signer.tag(forCaller, req.Caller) {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was issued to another caller")
	}
	if t.service != l.signer.tag(forService, req.Service) {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was issued for another service")
	}
	state, e := l.find(t)
	if state == Unseen {
		return l.first(t, req)
	}
	return repeat(state, e, req.Digest)
}

func (l *ledger) first(t token, req *call.Request) Submission {
	if l.full() {
		l.fenceGroup(t)
		return Submission{Step: Refuse, Refusal: l.tableFull()}
	}
	l.add(t, Queued, req.Digest)
	return Submission{Step: Start}
}

func repeat(state State, e *entry, digest uint64) Submission {
	if state == Fenced {
		return refuse(verdict.NotRun, verdict.KeyFenced, "the key was refused before and never runs")
	}
	if e == nil || state == Lost && e.state != Lost {
		return refuse(verdict.MayHaveRun, verdict.KeyUnknown, "the key is past its lifetime")
	}
	if e.digest != digest {
		return refuse(verdict.MayHaveRun, verdict.KeyMismatch, "the key was used with another request")
	}
	switch state {
	case Queued, Running:
		return Submission{Step: Join}
	case Done:
		return replay(e)
	default:
		return refuse(verdict.MayHaveRun, verdict.ConnectionLost, "the run of this key broke off")
	}
}

func replay(e *entry) Submission {
	if e.answer == nil {
		return refuse(verdict.Run, verdict.Truncated, "the request ran; its answer was too large to keep")
	}
	return Submission{Step: Replay, Answer: e.answer}
}

func refuse(v verdict.Verdict, reason verdict.Reason, detail string) Submission {
	return Submission{Step: Refuse, Refusal: &verdict.Refusal{Verdict: v, Reason: reason, Detail: detail}}
}

func (l *ledger) add(t token, state State, digest uint64) {
	e := &entry{sequence: t.sequence, issued: t.issued, state: state, digest: digest}
	l.entries[t.sequence] = e
	heap.Push(&l.order, e)
}

// fenceGroup fences an unseen key without an entry. It also fences the unseen
// keys of the same group that were issued earlier; their callers are told so
// and get a fresh key.
func (l *ledger) fenceGroup(t token) {
	group := t.sequence % fenceGroups
	l.fenced[group] = max(l.fenced[group], t.sequence)
}

// Begin implements Ledger.
func (l *ledger) Begin(now time.Time, key string) bool {
	e := l.entry(now, key)
	if e == nil || e.state != Queued {
		return false
	}
	e.state = Running
	return true
}

// Finish implements Ledger. An answer that comes after Break is stored too.
func (l *ledger) Finish(now time.Time, key string, answer *call.Answer) {
	e := l.entry(now, key)
	if e == nil || e.state != Running && e.state != Lost {
		return
	}
	e.state = Done
	size := answerSize(answer)
	if l.bytes+size > l.cfg.MaxAnswerBytes {
		// An answer above the whole limit says nothing about other answers.
		l.noRoom = l.noRoom || size <= l.cfg.MaxAnswerBytes
		return
	}
	l.bytes += size
	e.answer = answer
}

// Break implements Ledger.
func (l *ledger) Break(now time.Time, key string) {
	if e := l.entry(now, key); e != nil && e.unfinished() {
		e.state = Lost
	}
}

// Reject implements Ledger. It has no effect once the outcome was recorded as
// unknown or done.
func (l *ledger) Reject(now time.Time, key string) {
	if e := l.entry(now, key); e != nil && e.unfinished() {
		e.state = Fenced
	}
}

func (l *ledger) entry(now time.Time, key string) *entry {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return nil
	}
	return l.entries[t.sequence]
}

// Fence implements Ledger. It does not know the caller: answer a caller's
// cancellation only after Query has returned Unseen or Queued for that caller.
func (l *ledger) Fence(now time.Time, key string) State {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok {
		return Lost
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

// Query implements Ledger. Another caller's key is Lost, as is one of another
// process.
func (l *ledger) Query(now time.Time, key, caller string) (State, *call.Answer) {
	l.advance(now)
	t, ok := l.signer.open(key)
	if !ok || t.caller != l.signer.tag(forCaller, caller) {
		return Lost, nil
	}
	state, e := l.find(t)
	if state != Done {
		return state, nil
	}
	return Done, e.answer
}

// Tick implements Ledger. A key that is still queued or running keeps its
// entry past its lifetime.
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
		l.noRoom = false
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
