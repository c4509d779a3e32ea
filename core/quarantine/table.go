package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashLimit is the number of incarnations after whose crashes requests are
	// quarantined, as the users' pages have it (pages-news.md, BUDGET). One or two
	// crashes may hit a bystander.
	crashLimit = 3
	// maxCrashes bounds the crashes in one record.
	maxCrashes = 16
	// maxProbes bounds the probes for quarantined requests until they are cleared, so
	// that they crash no more upstreams than the users' pages allow.
	maxProbes = 2
	// earlyProbeDelay is the time from the last crash to the first probe of requests that
	// earlier incarnations have answered: they may be bystanders of upstreams that crash
	// at their start.
	earlyProbeDelay = 2 * time.Second
	// probeDelay is the time from the last crash to a probe at another version of the
	// software; probeInterval that to a probe at a version that has crashed.
	probeDelay    = 10 * time.Second
	probeInterval = 10 * time.Minute
	// probeTime is how long a probe keeps others from starting.
	probeTime = 30 * time.Second
	// maxSuspects and maxPublic bound the entries that were never quarantined, and
	// those that were.
	maxSuspects = 2048
	maxPublic   = 512
	// suspectRetention and publicRetention are how long an entry is kept after its last
	// crash, clearance or refusal. Clearances of suspects only have to outlive the
	// records on their way between nodes.
	suspectRetention = 10 * time.Minute
	clearedRetention = time.Minute
	publicRetention  = 24 * time.Hour
	sweepInterval    = time.Second
)

// Table holds the suspects and the quarantined requests that one node knows. It is
// safe for concurrent use.
type Table struct {
	size        atomic.Int64 // entries
	quarantined atomic.Int64

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	publics  int // public entries
	seq      uint64
	sweptAt  time.Time
	onChange func()
}

// NewTable returns an empty table. OnChange is called after each change that other
// nodes have to learn of. It must not block.
func NewTable(onChange func()) *Table {
	return &Table{entries: map[Fingerprint]*entry{}, onChange: onChange}
}

// Empty reports whether the table has no entries, as on most days.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Counts returns the numbers of suspects and of quarantined fingerprints.
func (t *Table) Counts() (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		switch {
		case e.Quarantined():
			quarantined++
		case e.Counted() > 0:
			suspects++
		}
	}
	return suspects, quarantined
}

// OnCrash records that a request was running at an incarnation when it crashed. It
// returns the record after it, and whether the request is quarantined by this crash.
func (t *Table) OnCrash(now time.Time, f Fingerprint, subject Subject, c Crash) (record Record, quarantines bool) {
	t.mu.Lock()
	t.sweep(now)
	e := t.entry(now, f, subject)
	before := e.Quarantined()
	changed := e.add(c)
	if changed {
		t.touch(now, e)
	}
	record, quarantines = e.copy(), e.Quarantined() && !before
	t.mu.Unlock()
	t.notify(changed)
	return record, quarantines
}

// OnAnswer records that an upstream has answered a request. It reports whether that
// clears the request of suspicion or lifts its quarantine.
func (t *Table) OnAnswer(now time.Time, f Fingerprint, upstream string) bool {
	if t.Empty() {
		return false
	}
	return t.clear(now, f, "answered by "+upstream)
}

// Lift ends the quarantine of the requests whose fingerprint begins with the given
// digits, on behalf of an operator. It reports whether there is exactly one.
func (t *Table) Lift(now time.Time, prefix string) (Fingerprint, bool) {
	t.mu.Lock()
	var found []Fingerprint
	for f, e := range t.entries {
		if e.Counted() > 0 && strings.HasPrefix(f.String(), prefix) {
			found = append(found, f)
		}
	}
	t.mu.Unlock()
	if len(found) != 1 {
		return Fingerprint{}, false
	}
	return found[0], t.clear(now, found[0], "operator")
}

func (t *Table) clear(now time.Time, f Fingerprint, by string) bool {
	t.mu.Lock()
	e := t.entries[f]
	changed := e != nil && e.clear(now, by)
	if changed {
		t.touch(now, e)
	}
	t.mu.Unlock()
	t.notify(changed)
	return changed
}

// Get returns the record of a fingerprint, and whether there is one.
func (t *Table) Get(f Fingerprint) (Record, bool) {
	if t.Empty() {
		return Record{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return Record{}, false
	}
	return e.copy(), true
}

// Quarantined returns the record of a quarantined fingerprint, and whether it is one.
func (t *Table) Quarantined(now time.Time, f Fingerprint) (Record, bool) {
	if t.quarantined.Load() == 0 {
		return Record{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !e.Quarantined() {
		return Record{}, false
	}
	e.touchedAt = now
	return e.copy(), true
}

// AnyQuarantined reports whether a fingerprint is quarantined.
func (t *Table) AnyQuarantined() bool { return t.quarantined.Load() > 0 }

// ProbeDue reports whether one request with a quarantined fingerprint may be sent to an
// upstream with a version of its software.
func (t *Table) ProbeDue(now time.Time, f Fingerprint, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	return e != nil && e.probeDue(now, version)
}

// BeginProbe is ProbeDue, and counts the probe if it is due.
func (t *Table) BeginProbe(now time.Time, f Fingerprint, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !e.probeDue(now, version) {
		return false
	}
	e.probes = max(e.probes, e.Counted()-crashLimit) + 1
	e.probingUntil = now.Add(probeTime)
	return true
}

// Merge adds a record of another node. AnsweredAt is the time of the last answer to an
// equal request by the upstream of this node; zero if there was none. It clears the
// crashes before it. Merge returns the record after it, and whether the request is
// quarantined or freed by it.
func (t *Table) Merge(now time.Time, r Record, answeredAt time.Time) (record Record, turned bool) {
	t.mu.Lock()
	t.sweep(now)
	e := t.entry(now, r.Fingerprint, r.Subject)
	before, changed := e.Quarantined(), false
	for _, c := range r.Crashes {
		if e.add(c) {
			changed = true
			e.ClearedBy = cmp.Or(clip(r.ClearedBy), e.ClearedBy)
		}
	}
	cleared := e.clear(answeredAt, "answered")
	switch {
	case cleared || changed && (e.public || e.Quarantined()):
		t.touch(now, e)
	case changed:
		// The node that saw it tells the others. Those that are restarted get it from
		// this one, too.
		t.seq = max(t.seq, 1)
		e.seq, e.learned = t.seq, true
		t.update(now, e)
	case e.seq == 0:
		t.remove(e)
	}
	record, turned = e.copy(), e.Quarantined() != before
	t.mu.Unlock()
	t.notify(cleared || changed)
	return record, turned
}

// Scope selects records of a Table.
type Scope struct {
	// PublicOnly leaves out what nodes of other services need not know: the requests
	// that were never quarantined.
	PublicOnly bool
	// NotLearned leaves out the suspects of which other nodes have told.
	NotLearned bool
}

func (s Scope) contains(e *entry) bool {
	return e.public || !s.PublicOnly && (!s.NotLearned || !e.learned)
}

// Changes returns up to limit records that changed after a number, in the order of
// their changes, and the number of the last change that they cover.
func (t *Table) Changes(after uint64, scope Scope, limit int) (records []Record, upTo uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after >= t.seq {
		return nil, after
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.seq > after && scope.contains(e) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	upTo = t.seq
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].seq
	}
	for _, e := range changed {
		records = append(records, e.copy())
	}
	return records, upTo
}

// Digest returns a number by which two nodes find out whether their tables have the same
// records.
func (t *Table) Digest(scope Scope) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	for _, e := range t.entries {
		if scope.contains(e) {
			sum ^= e.digest()
		}
	}
	return sum
}

// List returns the suspects and the quarantined fingerprints, quarantined and most
// recent ones first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*entry
	for _, e := range t.entries {
		if e.Counted() > 0 {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.Counted(), a.Counted()), b.LastCrash().Compare(a.LastCrash()))
	})
	out := make([]Record, 0, len(list))
	for _, e := range list {
		out = append(out, e.copy())
	}
	return out
}

// entry returns the entry of a fingerprint, which it adds if there is none. t.mu must
// be held.
func (t *Table) entry(now time.Time, f Fingerprint, subject Subject) *entry {
	e := t.entries[f]
	if e == nil {
		e = &entry{touchedAt: now}
		e.Fingerprint = f
		e.Subject = Subject{clip(subject.Service), clip(subject.Route), clip(subject.Caller), clip(subject.RequestID)}
		t.entries[f] = e
	}
	return e
}

// touch records a change of an entry that other nodes have to learn of. t.mu must be
// held.
func (t *Table) touch(now time.Time, e *entry) {
	t.seq++
	e.seq, e.learned = t.seq, false
	t.update(now, e)
}

// update keeps the numbers and the bounds of the table after a change of an entry. t.mu
// must be held.
func (t *Table) update(now time.Time, e *entry) {
	e.touchedAt = now
	e.public = e.public || e.Quarantined()
	t.count(e, e.Quarantined(), e.public)
	t.bound()
}

// count updates the numbers of entries for one that is now quarantined or public.
// t.mu must be held.
func (t *Table) count(e *entry, quarantined, public bool) {
	if quarantined != e.countedQuarantined {
		t.quarantined.Add(sign(quarantined))
	}
	if public != e.countedPublic {
		t.publics += int(sign(public))
	}
	e.countedQuarantined, e.countedPublic = quarantined, public
	t.size.Store(int64(len(t.entries)))
}

func sign(positive bool) int64 {
	if positive {
		return 1
	}
	return -1
}

// remove drops an entry. t.mu must be held.
func (t *Table) remove(e *entry) {
	delete(t.entries, e.Fingerprint)
	t.count(e, false, false)
}

// bound evicts entries beyond the bounds. Entries that were quarantined are not evicted
// for suspects, whose number clients determine. t.mu must be held.
func (t *Table) bound() {
	if t.publics > maxPublic {
		t.evict(true)
	}
	if len(t.entries)-t.publics > maxSuspects {
		t.evict(false)
	}
}

// evict removes the entry with the fewest crashes, of these the one that was touched
// first. t.mu must be held.
func (t *Table) evict(public bool) {
	var worst *entry
	for _, e := range t.entries {
		if e.public != public {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(e.Counted(), worst.Counted()), e.touchedAt.Compare(worst.touchedAt)) < 0 {
			worst = e
		}
	}
	if worst != nil {
		t.remove(worst)
	}
}

// sweep drops entries after their retention, at most once per sweepInterval. t.mu must
// be held.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for _, e := range t.entries {
		if now.Sub(e.touchedAt) > e.retention() {
			t.remove(e)
		}
	}
}

// Sweep drops entries after their retention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

func (e *entry) retention() time.Duration {
	switch {
	case e.public:
		return publicRetention
	case e.Counted() == 0:
		return clearedRetention
	}
	return suspectRetention
}

func (e *entry) copy() Record {
	r := e.Record
	r.Crashes = slices.Clone(e.Crashes)
	return r
}

func (t *Table) notify(changed bool) {
	if changed && t.onChange != nil {
		t.onChange()
	}
}
