package directory

import "time"

const (
	// copyTime is how long after a restore of the store its entries may be those of
	// the older copy. Entries of upstreams that do not renew them expire within it.
	copyTime = 10 * time.Second
	// goneTime is how long an upstream that has left is remembered. It exceeds the
	// age of a copy from which the store is restored.
	goneTime = time.Minute
)

// History remembers the newest known entry of each upstream, so that a store that
// was restored from an older copy does not bring back upstreams that have left or
// that drain. It is not safe for concurrent use.
type History struct {
	known      map[string]*knownEntry // by ID
	restoredAt time.Time
	// era and fingerprint are those of the last read that was recorded.
	era, fingerprint uint64
}

type knownEntry struct {
	upstream Upstream
	at       Position
	gone     bool
	seenAt   time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{known: map[string]*knownEntry{}} }

// OnRestore records that the store was restored.
func (h *History) OnRestore(now time.Time) { h.restoredAt = now }

// Reconcile records a read and returns it without what is older than known. A read
// without changes costs nothing.
func (h *History) Reconcile(now time.Time, read *Snapshot) *Snapshot {
	unchanged := h.era == read.Era && h.fingerprint == read.Fingerprint()
	if unchanged && now.Sub(h.restoredAt) >= copyTime {
		return read
	}
	h.era, h.fingerprint = read.Era, read.Fingerprint()
	current := make([]Upstream, 0, read.Len())
	changed := false
	for _, u := range read.byID {
		if !h.Observe(now, u, read.Position) {
			changed = true
			k := h.known[u.ID]
			if k.gone {
				continue
			}
			u = &k.upstream
		}
		current = append(current, *u)
	}
	h.forget(now, read)
	if !changed {
		return read
	}
	return NewSnapshot(read.Position, current)
}

// Observe reports whether an entry read at a position is the newest one known of its
// upstream, and records it if so.
func (h *History) Observe(now time.Time, u *Upstream, at Position) bool {
	k := h.known[u.ID]
	if k == nil {
		k = &knownEntry{}
		h.known[u.ID] = k
	} else if h.fromCopy(now, at, k) && !k.olderThan(u) {
		k.seenAt = now
		return false
	}
	*k = knownEntry{upstream: *u, at: at, seenAt: now}
	return true
}

// fromCopy reports whether an entry read at a position may be one of the copy from
// which the store was restored after the known entry was read.
func (h *History) fromCopy(now time.Time, at Position, k *knownEntry) bool {
	return now.Sub(h.restoredAt) < copyTime && k.at.Restored(at)
}

// olderThan reports whether the known entry was written before another one.
func (k *knownEntry) olderThan(u *Upstream) bool {
	if !k.upstream.StartedAt.Equal(u.StartedAt) {
		return k.upstream.StartedAt.Before(u.StartedAt)
	}
	return k.upstream.Sequence < u.Sequence
}

// forget marks the upstreams that a read no longer has as gone, and drops those that
// have been missing for goneTime. An entry that a restore has lost is not gone: it
// is written again.
func (h *History) forget(now time.Time, read *Snapshot) {
	for id, k := range h.known {
		if read.byID[id] != nil {
			continue
		}
		if !k.at.Restored(read.Position) {
			k.gone = true
		}
		if now.Sub(k.seenAt) > goneTime {
			delete(h.known, id)
		}
	}
}
