package gossip

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// historyBytes and historySteps bound the history kept per replica. At
	// 18,000 changes a day, 512 steps cover about 40 minutes.
	historyBytes = 512 << 10
	historySteps = 512
	// longChain is the size from which a chain of deltas is compared with
	// complete values; compressing these takes time, once per value.
	longChain = 32 << 10
	// messageBytes bounds the values in one message, below the limit of 4 MiB
	// for a message. The receiver asks again for the rest.
	messageBytes = 3 << 20
	// maxValues bounds the number of values in a snapshot.
	maxValues = 4096
)

// replica is this node's copy of the snapshot under one prefix.
type replica struct {
	prefix string
	active *Snapshot
	latest *Snapshot // newest snapshot whose digest was verified; may be unvalidated, rejected or active
	// fromPlatform is set if this node read latest from the platform; it then
	// has to be valid with every overlay.
	fromPlatform  bool
	validating    *Snapshot
	rejected      uint64 // newest revision that this node found invalid
	lastRejection rejection
	discarded     int // number of inconsistent or corrupt updates and answers

	staged       map[string]Value // verified values of an incomplete update
	latestUpdate *Update          // update that produced latest; reused in the history
	history      []historyStep
	historySize  int
	fullDeltas   map[string]Delta // deltas with complete values of the active snapshot, by name
}

// rejection records that this node or a peer found a snapshot invalid.
type rejection struct {
	revision uint64
	reason   string
}

// maxReason bounds the length of a reason that is kept and passed on.
const maxReason = 2048

// recordRejection keeps the newest rejection. Only readers validate what the
// platform publishes; other nodes show the result to operators.
func (rep *replica) recordRejection(r rejection) {
	if r.revision <= rep.lastRejection.revision || r.reason == "" {
		return
	}
	if len(r.reason) > maxReason {
		r.reason = r.reason[:maxReason] + "..."
	}
	r.reason = strings.ToValidUTF8(r.reason, "")
	rep.lastRejection = r
}

// currentRejection returns the last rejection if it is newer than the active
// snapshot.
func (rep *replica) currentRejection() rejection {
	if rep.lastRejection.revision <= rep.active.Revision {
		return rejection{}
	}
	return rep.lastRejection
}

// historyStep is one activated change.
type historyStep struct {
	update Update
	size   int
}

func newReplica(prefix string) *replica {
	empty := NewSnapshot(prefix, 0, nil)
	return &replica{prefix: prefix, active: empty, latest: empty, fullDeltas: map[string]Delta{}}
}

func (rep *replica) version() SnapshotVersion {
	return SnapshotVersion{
		Prefix: rep.prefix, Active: rep.active.Revision, Latest: rep.latest.Revision, Rejected: rep.currentRejection().revision,
	}
}

// detailedVersion also lists all values that this node has, including those of
// an incomplete update.
func (rep *replica) detailedVersion() SnapshotVersion {
	v := rep.version()
	values := maps.Clone(rep.latest.values)
	if values == nil {
		values = map[string]Value{}
	}
	maps.Copy(values, rep.staged)
	v.Versions = NewSnapshot(rep.prefix, 0, values).Versions()
	return v
}

// applyUpdate applies an update from another node. The resulting snapshot
// becomes the latest one, but is not active yet.
func (rep *replica) applyUpdate(u Update) error {
	if u.To <= rep.latest.Revision {
		return ErrStale
	}
	values, err := rep.baseValues(u)
	if err != nil {
		return err
	}
	for _, d := range u.Deltas {
		if err := rep.applyDelta(values, d); err != nil {
			return err
		}
	}
	if u.From == 0 {
		rep.staged = maps.Clone(values)
		if !retainListed(values, u.Versions) {
			return fmt.Errorf("%s at revision %d: %w", rep.prefix, u.To, ErrPartial)
		}
	}
	for _, name := range u.Removed {
		delete(values, name)
	}
	snapshot := NewSnapshot(rep.prefix, u.To, values)
	if snapshot.Digest != u.Digest {
		return fmt.Errorf("%s at revision %d: %w", rep.prefix, u.To, ErrInconsistent)
	}
	rep.setLatest(snapshot, false)
	rep.latestUpdate = &u
	return nil
}

// baseValues returns a copy of the values that an update applies to.
func (rep *replica) baseValues(u Update) (map[string]Value, error) {
	if len(u.Versions) > maxValues || len(u.Deltas) > maxValues {
		return nil, fmt.Errorf("%s has over %d values: %w", rep.prefix, maxValues, ErrCorrupt)
	}
	values := map[string]Value{}
	switch u.From {
	case 0:
		maps.Copy(values, rep.latest.values)
		maps.Copy(values, rep.staged)
	case rep.latest.Revision:
		maps.Copy(values, rep.latest.values)
	case rep.active.Revision:
		maps.Copy(values, rep.active.values)
	default:
		return nil, fmt.Errorf("%s from revision %d: %w", rep.prefix, u.From, ErrMissingBase)
	}
	return values, nil
}

func (rep *replica) applyDelta(values map[string]Value, d Delta) error {
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

// retainListed drops values that are not listed and reports whether all listed
// ones are present at their revision.
func retainListed(values map[string]Value, listed []Version) bool {
	keep := make(map[string]bool, len(listed))
	complete := true
	for _, v := range listed {
		keep[v.Name] = true
		complete = complete && values[v.Name].Revision == v.Revision
	}
	maps.DeleteFunc(values, func(name string, _ Value) bool { return !keep[name] })
	return complete
}

func (rep *replica) setLatest(snapshot *Snapshot, fromPlatform bool) {
	rep.latest = snapshot
	rep.fromPlatform = fromPlatform
	rep.staged = nil
	rep.latestUpdate = nil
}

// activate makes a validated snapshot active and adds the change to the
// history.
func (rep *replica) activate(snapshot *Snapshot) {
	before := rep.active
	rep.active = snapshot
	maps.DeleteFunc(rep.fullDeltas, func(name string, d Delta) bool { return snapshot.values[name].Revision != d.To })
	if before.Revision == 0 {
		return
	}
	u := rep.latestUpdate
	if u == nil || u.From != before.Revision || u.To != snapshot.Revision {
		computed := updateBetween(before, snapshot)
		u = &computed
	}
	rep.appendHistory(*u)
}

func (rep *replica) appendHistory(u Update) {
	s := historyStep{update: u, size: updateSize(u)}
	rep.history = append(rep.history, s)
	rep.historySize += s.size
	for len(rep.history) > historySteps || rep.historySize > historyBytes && len(rep.history) > 1 {
		rep.historySize -= rep.history[0].size
		rep.history[0] = historyStep{}
		rep.history = rep.history[1:]
	}
}

func updateSize(u Update) int {
	size := 64
	for _, d := range u.Deltas {
		size += d.size()
	}
	return size
}

// updateBetween returns the update from one snapshot to a later one.
func updateBetween(from, to *Snapshot) Update {
	u := Update{Prefix: to.Prefix, From: from.Revision, To: to.Revision, Digest: to.Digest}
	for _, name := range to.names {
		after := to.values[name]
		before, ok := from.values[name]
		switch {
		case !ok:
			u.Deltas = append(u.Deltas, newFullDelta(after))
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

// updateFor returns the update that brings another node to the active snapshot.
// It returns nil if that node needs none or must first list its values.
func (rep *replica) updateFor(theirs SnapshotVersion) *Update {
	if rep.active.Revision <= max(theirs.Latest, theirs.Active) {
		return nil
	}
	if theirs.Versions != nil || theirs.Latest == 0 {
		return rep.fullUpdate(theirs.Versions)
	}
	if u := rep.deltaChain(theirs.Latest); u != nil {
		return u
	}
	if theirs.Active == 0 {
		return nil
	}
	return rep.deltaChain(theirs.Active)
}

// newestChange returns the newest change in the history, nil if there is none.
func (rep *replica) newestChange() *Update {
	if len(rep.history) == 0 {
		return nil
	}
	u := rep.history[len(rep.history)-1].update
	return &u
}

// fullUpdate returns the values that differ from the listed ones, at most as
// many as fit into one message.
func (rep *replica) fullUpdate(listed []Version) *Update {
	has := make(map[string]uint64, len(listed))
	for _, v := range listed {
		has[v.Name] = v.Revision
	}
	u := &Update{Prefix: rep.prefix, To: rep.active.Revision, Digest: rep.active.Digest, Versions: rep.active.Versions()}
	size := 0
	for _, name := range rep.active.names {
		if has[name] == rep.active.values[name].Revision {
			continue
		}
		d := rep.fullDelta(name)
		size += d.size()
		if size > messageBytes && len(u.Deltas) > 0 {
			break
		}
		u.Deltas = append(u.Deltas, d)
	}
	return u
}

func (rep *replica) fullDelta(name string) Delta {
	d, ok := rep.fullDeltas[name]
	if !ok {
		d = newFullDelta(rep.active.values[name])
		rep.fullDeltas[name] = d
	}
	return d
}

// deltaChain joins the steps from a revision to the active one; nil if the
// history does not reach back that far.
func (rep *replica) deltaChain(from uint64) *Update {
	first := slices.IndexFunc(rep.history, func(s historyStep) bool { return s.update.From == from })
	if first < 0 {
		return nil
	}
	u := &Update{Prefix: rep.prefix, From: from, To: rep.active.Revision, Digest: rep.active.Digest}
	size := 0
	removed := map[string]bool{}
	for _, s := range rep.history[first:] {
		size += s.size
		u.Deltas = append(u.Deltas, s.update.Deltas...)
		for _, name := range s.update.Removed {
			removed[name] = true
		}
	}
	for _, d := range u.Deltas {
		if _, ok := rep.active.values[d.Name]; !ok {
			removed[d.Name] = true
		}
	}
	u.Deltas = slices.DeleteFunc(u.Deltas, func(d Delta) bool {
		_, ok := rep.active.values[d.Name]
		return !ok
	})
	maps.DeleteFunc(removed, func(name string, _ bool) bool {
		_, ok := rep.active.values[name]
		return ok
	})
	for name := range removed {
		u.Removed = append(u.Removed, name)
	}
	slices.Sort(u.Removed)
	if size > longChain {
		rep.shortenChain(u, size)
	}
	return u
}

// shortenChain replaces a chain of deltas by complete values if those are
// smaller.
func (rep *replica) shortenChain(u *Update, size int) {
	var values []Delta
	seen := map[string]bool{}
	total := 0
	for _, d := range u.Deltas {
		if seen[d.Name] {
			continue
		}
		seen[d.Name] = true
		full := rep.fullDelta(d.Name)
		values = append(values, full)
		total += full.size()
	}
	if total < size {
		u.Deltas = values
	}
}
