package gossip

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// historyBytes and historySteps bound the steps kept per set. At 18,000
	// changes a day, 512 steps cover about 40 minutes.
	historyBytes = 512 << 10
	historySteps = 512
	// longChain is the size from which a chain of deltas is compared with the
	// whole values, which costs time for compression once per value.
	longChain = 32 << 10
	// messageBytes bounds the values in one message, below the 4 MiB that a
	// message may have. The receiver asks again for what is missing.
	messageBytes = 3 << 20
	// maxValues bounds the values of a set.
	maxValues = 4096
)

// lane is what a node holds of one set.
type lane struct {
	prefix string
	force  *Snapshot // in force
	held   *Snapshot // newest verified set; may be unjudged or rejected
	// own is set if held was read from the platform by this node and has to be
	// valid with every overlay.
	own      bool
	judging  *Snapshot
	rejected uint64 // newest revision that this node found not valid
	told     rejection
	discards int // updates and answers that were torn or corrupt

	staged  map[string]Value // verified values of an incomplete update
	arrived *Update          // the update that made held, reused as history
	steps   []step
	bytes   int
	packed  map[string]Delta // whole values, kept once compressed
}

// rejection tells that a set is not valid, as this node or a peer found.
type rejection struct {
	revision uint64
	reason   string
}

// maxReason bounds the text that is passed on.
const maxReason = 2048

// tell keeps the newest rejection. Only readers judge what the platform
// publishes; other nodes show their verdict to operators.
func (l *lane) tell(r rejection) {
	if r.revision <= l.told.revision || r.reason == "" {
		return
	}
	if len(r.reason) > maxReason {
		r.reason = r.reason[:maxReason] + "..."
	}
	r.reason = strings.ToValidUTF8(r.reason, "")
	l.told = r
}

// shown returns the rejection of a set newer than the one in force.
func (l *lane) shown() rejection {
	if l.told.revision <= l.force.Revision {
		return rejection{}
	}
	return l.told
}

// step is one accepted change.
type step struct {
	update Update
	size   int
}

func newLane(prefix string) *lane {
	empty := NewSnapshot(prefix, 0, nil)
	return &lane{prefix: prefix, force: empty, held: empty, packed: map[string]Delta{}}
}

func (l *lane) version() SnapshotVersion {
	return SnapshotVersion{
		Prefix: l.prefix, Active: l.force.Revision, Latest: l.held.Revision, Rejected: l.shown().revision,
	}
}

// detailed lists all values held, including those of an incomplete update.
func (l *lane) detailed() SnapshotVersion {
	v := l.version()
	values := maps.Clone(l.held.values)
	if values == nil {
		values = map[string]Value{}
	}
	maps.Copy(values, l.staged)
	v.Versions = NewSnapshot(l.prefix, 0, values).Versions()
	return v
}

// take applies an update from another node. The set that results is held, not
// yet in force.
func (l *lane) take(u Update) error {
	if u.To <= l.held.Revision {
		return ErrStale
	}
	values, err := l.start(u)
	if err != nil {
		return err
	}
	for _, d := range u.Deltas {
		if err := l.applyTo(values, d); err != nil {
			return err
		}
	}
	if u.From == 0 {
		l.staged = maps.Clone(values)
		if !keepListed(values, u.Versions) {
			return fmt.Errorf("%s at revision %d: %w", l.prefix, u.To, ErrPartial)
		}
	}
	for _, name := range u.Removed {
		delete(values, name)
	}
	set := NewSnapshot(l.prefix, u.To, values)
	if set.Digest != u.Digest {
		return fmt.Errorf("%s at revision %d: %w", l.prefix, u.To, ErrInconsistent)
	}
	l.hold(set, false)
	l.arrived = &u
	return nil
}

// start returns a copy of the values that an update starts from.
func (l *lane) start(u Update) (map[string]Value, error) {
	if len(u.Versions) > maxValues || len(u.Deltas) > maxValues {
		return nil, fmt.Errorf("%s has over %d values: %w", l.prefix, maxValues, ErrCorrupt)
	}
	values := map[string]Value{}
	switch u.From {
	case 0:
		maps.Copy(values, l.held.values)
		maps.Copy(values, l.staged)
	case l.held.Revision:
		maps.Copy(values, l.held.values)
	case l.force.Revision:
		maps.Copy(values, l.force.values)
	default:
		return nil, fmt.Errorf("%s from revision %d: %w", l.prefix, u.From, ErrMissingBase)
	}
	return values, nil
}

func (l *lane) applyTo(values map[string]Value, d Delta) error {
	from := Value{}
	if d.From != 0 {
		from = values[d.Name]
		if from.Revision != d.From {
			return fmt.Errorf("%s from revision %d: %w", d.Name, d.From, ErrMissingBase)
		}
	}
	v, err := d.apply(from)
	if err != nil {
		return err
	}
	values[d.Name] = v
	return nil
}

// keepListed drops values that are not listed and reports whether all listed
// ones are there at their revision.
func keepListed(values map[string]Value, listed []Version) bool {
	keep := make(map[string]bool, len(listed))
	complete := true
	for _, v := range listed {
		keep[v.Name] = true
		complete = complete && values[v.Name].Revision == v.Revision
	}
	maps.DeleteFunc(values, func(name string, _ Value) bool { return !keep[name] })
	return complete
}

func (l *lane) hold(set *Snapshot, own bool) {
	l.held = set
	l.own = own
	l.staged = nil
	l.arrived = nil
}

// accept takes a judged set into force and keeps the change as history.
func (l *lane) accept(set *Snapshot) {
	before := l.force
	l.force = set
	maps.DeleteFunc(l.packed, func(name string, d Delta) bool { return set.values[name].Revision != d.To })
	if before.Revision == 0 {
		return
	}
	u := l.arrived
	if u == nil || u.From != before.Revision || u.To != set.Revision {
		made := change(before, set)
		u = &made
	}
	l.remember(*u)
}

func (l *lane) remember(u Update) {
	s := step{update: u, size: updateSize(u)}
	l.steps = append(l.steps, s)
	l.bytes += s.size
	for len(l.steps) > historySteps || l.bytes > historyBytes && len(l.steps) > 1 {
		l.bytes -= l.steps[0].size
		l.steps[0] = step{}
		l.steps = l.steps[1:]
	}
}

func updateSize(u Update) int {
	size := 64
	for _, d := range u.Deltas {
		size += d.size()
	}
	return size
}

// change makes the update from one set to a later one.
func change(from, to *Snapshot) Update {
	u := Update{Prefix: to.Prefix, From: from.Revision, To: to.Revision, Digest: to.Digest}
	for _, name := range to.names {
		after := to.values[name]
		before, ok := from.values[name]
		switch {
		case !ok:
			u.Deltas = append(u.Deltas, whole(after))
		case before.Revision != after.Revision:
			u.Deltas = append(u.Deltas, diff(before, after))
		}
	}
	for _, name := range from.names {
		if _, ok := to.values[name]; !ok {
			u.Removed = append(u.Removed, name)
		}
	}
	return u
}

// offer returns the update that brings another node to the set in force, or
// nil if it needs none or has to list its values first.
func (l *lane) offer(theirs SnapshotVersion) *Update {
	if l.force.Revision <= max(theirs.Latest, theirs.Active) {
		return nil
	}
	if theirs.Versions != nil || theirs.Latest == 0 {
		return l.complete(theirs.Versions)
	}
	if u := l.chain(theirs.Latest); u != nil {
		return u
	}
	if theirs.Active == 0 {
		return nil
	}
	return l.chain(theirs.Active)
}

// last returns the newest change, nil if there is none.
func (l *lane) last() *Update {
	if len(l.steps) == 0 {
		return nil
	}
	u := l.steps[len(l.steps)-1].update
	return &u
}

// complete returns all values that differ from the listed ones, as far as one
// message holds them.
func (l *lane) complete(listed []Version) *Update {
	has := make(map[string]uint64, len(listed))
	for _, v := range listed {
		has[v.Name] = v.Revision
	}
	u := &Update{Prefix: l.prefix, To: l.force.Revision, Digest: l.force.Digest, Versions: l.force.Versions()}
	size := 0
	for _, name := range l.force.names {
		if has[name] == l.force.values[name].Revision {
			continue
		}
		d := l.pack(name)
		size += d.size()
		if size > messageBytes && len(u.Deltas) > 0 {
			break
		}
		u.Deltas = append(u.Deltas, d)
	}
	return u
}

func (l *lane) pack(name string) Delta {
	d, ok := l.packed[name]
	if !ok {
		d = whole(l.force.values[name])
		l.packed[name] = d
	}
	return d
}

// chain joins the steps from a revision to the one in force; nil if the history
// does not reach back that far.
func (l *lane) chain(from uint64) *Update {
	first := slices.IndexFunc(l.steps, func(s step) bool { return s.update.From == from })
	if first < 0 {
		return nil
	}
	u := &Update{Prefix: l.prefix, From: from, To: l.force.Revision, Digest: l.force.Digest}
	size := 0
	removed := map[string]bool{}
	for _, s := range l.steps[first:] {
		size += s.size
		u.Deltas = append(u.Deltas, s.update.Deltas...)
		for _, name := range s.update.Removed {
			removed[name] = true
		}
	}
	for _, d := range u.Deltas {
		if _, ok := l.force.values[d.Name]; !ok {
			removed[d.Name] = true
		}
	}
	u.Deltas = slices.DeleteFunc(u.Deltas, func(d Delta) bool {
		_, ok := l.force.values[d.Name]
		return !ok
	})
	maps.DeleteFunc(removed, func(name string, _ bool) bool {
		_, ok := l.force.values[name]
		return ok
	})
	for name := range removed {
		u.Removed = append(u.Removed, name)
	}
	slices.Sort(u.Removed)
	if size > longChain {
		l.shorten(u, size)
	}
	return u
}

// shorten replaces a chain of deltas by whole values if those are smaller.
func (l *lane) shorten(u *Update, size int) {
	var values []Delta
	seen := map[string]bool{}
	total := 0
	for _, d := range u.Deltas {
		if seen[d.Name] {
			continue
		}
		seen[d.Name] = true
		w := l.pack(d.Name)
		values = append(values, w)
		total += w.size()
	}
	if total < size {
		u.Deltas = values
	}
}
