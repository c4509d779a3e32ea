package discovery

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"toucangw.example/core/directory"
)

// localHintInterval bounds how often an answer makes the Watcher read the entry of
// the local upstream.
const localHintInterval = 500 * time.Millisecond

// findLocal returns the entry at the address of the local upstream, or nil if
// there is none, if its ID is already known, or if it is older than what is known of
// the local upstream, as stale reads may be. w.mu must be held.
func (w *Watcher) findLocal(list *directory.Snapshot) *directory.Upstream {
	u := list.At(w.cfg.Service, w.cfg.Address)
	if u == nil || u.ID == w.local.ID || list.Before(w.localPosition) {
		return nil
	}
	if !w.local.Draining && u.StartedAt.Before(w.local.StartedAt) {
		return nil
	}
	return u
}

// localWatch tells watchLocal which entry to watch. It is safe for concurrent use.
type localWatch struct {
	mu       sync.Mutex
	next     string             // ID to watch from now on; empty for no change
	reading  string             // ID whose entry is being read, not watched
	cancel   context.CancelFunc // ends the read or watch in progress
	hintedAt time.Time
	changed  chan struct{} // receives a value when next is set
}

func newLocalWatch() *localWatch { return &localWatch{changed: make(chan struct{}, 1)} }

// follow makes watchLocal read the entry with an ID at once and watch it.
func (l *localWatch) follow(id string) {
	l.mu.Lock()
	l.next = id
	if l.cancel != nil {
		l.cancel()
	}
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// hint is follow, unless the entry is being read already or the last hint was less
// than localHintInterval ago.
func (l *localWatch) hint(now time.Time, id string) {
	l.mu.Lock()
	known := l.reading == id || l.next == id || now.Sub(l.hintedAt) < localHintInterval
	if !known {
		l.hintedAt = now
	}
	l.mu.Unlock()
	if !known {
		l.follow(id)
	}
}

// begin returns the ID to watch and the position to watch from: those of the next
// one if there is one, and the given ones otherwise. Follow calls cancel until the
// next begin.
func (l *localWatch) begin(id string, after directory.Position, cancel context.CancelFunc) (string, directory.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != "" {
		id, after = l.next, directory.Position{}
	}
	l.next, l.reading, l.cancel = "", "", cancel
	if after.Revision == 0 {
		l.reading = id
	}
	return id, after
}

// NotifyLocal reports that the local upstream has answered under an ID which is not
// the one known, or as a later incarnation of it. The Watcher reads its entry. It
// never blocks.
func (w *Watcher) NotifyLocal(id string) { w.localWatch.hint(time.Now(), id) }

// watchLocal watches the entry of the local upstream. It turns to another ID as soon
// as the list or an answer shows that an upstream has taken the address over.
func (w *Watcher) watchLocal(ctx context.Context) {
	var id string
	var after directory.Position
	var wait backoff
	for ctx.Err() == nil {
		readCtx, cancel := context.WithCancel(ctx)
		id, after = w.localWatch.begin(id, after, cancel)
		if id == "" {
			cancel()
			w.awaitLocalID(ctx)
			continue
		}
		change, err := w.readLocal(readCtx, id, after)
		replaced := readCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			wait.reset()
			after = nextWatch(after, change.Position)
			w.updateLocal(id, change, false)
		case replaced:
			after = directory.Position{}
		case errors.Is(err, ErrHistoryGone):
			after = directory.Position{}
		case errors.Is(err, ErrNotFound):
			after = directory.Position{}
			w.updateLocal(id, Change{Removed: true, Position: change.Position}, false)
			pause(ctx, initialPoll)
		default:
			after = directory.Position{}
			pause(ctx, wait.next())
		}
	}
}

// awaitLocalID waits until there is an entry to watch.
func (w *Watcher) awaitLocalID(ctx context.Context) {
	select {
	case <-w.localWatch.changed:
	case <-ctx.Done():
	}
}

// readLocal reads the entry if the last revision is unknown, and watches for its
// next change otherwise.
func (w *Watcher) readLocal(ctx context.Context, id string, after directory.Position) (Change, error) {
	var change Change
	if after.Revision == 0 {
		err := w.call(ctx, "upstream", callTimeout, func(ctx context.Context) error {
			u, at, err := w.cfg.Source.Upstream(ctx, id)
			change = Change{Upstream: u, Position: at}
			return err
		})
		return change, err
	}
	err := w.call(ctx, "upstream-watch", localWatchTime+callTimeout, func(ctx context.Context) error {
		var err error
		change, err = w.cfg.Source.WatchUpstream(ctx, id, after.Revision, localWatchTime)
		return err
	})
	return change, err
}

// localChange returns the change of the local upstream's entry that a read of all
// entries shows and the watch has not, because it heard nothing for a while. Only
// what such a read has shown is taken back by a later one, unless the upstream has
// started again under its ID. w.mu must be held.
func (w *Watcher) localChange(read *directory.Snapshot) (change *Change, restarted bool) {
	if w.local.ID == "" || !w.localPosition.Before(read.Position) {
		return nil, false
	}
	u := read.Get(w.local.ID)
	leaving := u == nil || u.State == directory.Draining
	restarted = u != nil && w.local.OlderThan(u.StartedAt)
	if !restarted && (leaving == w.local.Draining || !leaving && !w.leavingByList) {
		return nil, false
	}
	return &Change{Upstream: u, Removed: u == nil, Position: read.Position}, restarted
}

// updateLocal passes the state of the local upstream to the Sink, in the order of its
// changes. ByList is set if a read of all entries has shown the change.
func (w *Watcher) updateLocal(id string, change Change, byList bool) {
	if change.Upstream == nil && !change.Removed {
		return
	}
	w.localMu.Lock()
	defer w.localMu.Unlock()
	local, changed := w.applyLocal(id, change, byList)
	if !changed {
		return
	}
	w.cfg.Logger.Info("local upstream", "upstream", id, "leaving", local.Draining, "gone", change.Removed, "slots", local.Slots,
		"revision", change.Revision, "by_list", byList)
	w.cfg.Sink.SetLocalUpstream(local)
}

// applyLocal returns the state of the local upstream after a change, and whether it
// differs from the one before.
func (w *Watcher) applyLocal(id string, change Change, byList bool) (local directory.LocalUpstream, changed bool) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if byList && w.localKnown(id, change.Position) {
		return w.local, false
	}
	w.notePosition(now, change.Position, "entry of the local upstream")
	if change.Removed && now.Sub(w.recovered) < reregisterTime {
		return w.local, false // it expired during an outage of the store and may be registered again
	}
	if u := change.Upstream; u != nil && !byList && !w.history.Observe(now, u, change.Position) {
		return w.local, false // it is from the copy from which the store was restored
	}
	before := w.local
	if before.ID != "" && before.ID != id {
		w.previousIDs[before.ID] = true
	}
	delete(w.previousIDs, id) // an upstream may restart with the same ID
	local = nextLocal(before, id, change)
	local.PreviousIDs = maps.Clone(w.previousIDs)
	w.local = local
	w.localPosition = w.localPosition.Later(change.Position)
	w.leavingByList = byList && local.Draining
	return local, !sameLocal(before, local)
}

// localKnown reports whether the watch has told of the local upstream at a position or
// later. w.mu must be held.
func (w *Watcher) localKnown(id string, at directory.Position) bool {
	return at.Before(w.localPosition) || w.local.ID == id && !w.localPosition.Before(at)
}

// nextLocal returns the state after a change of the entry with an ID, without
// PreviousIDs.
func nextLocal(before directory.LocalUpstream, id string, change Change) directory.LocalUpstream {
	if u := change.Upstream; u != nil {
		return directory.LocalUpstream{ID: id, StartedAt: u.StartedAt, Slots: u.Slots, Draining: u.State == directory.Draining}
	}
	local := directory.LocalUpstream{ID: id, Slots: before.Slots, Draining: change.Removed}
	if before.ID == id {
		local.StartedAt = before.StartedAt
	}
	return local
}

// sameLocal reports whether two states differ in PreviousIDs only.
func sameLocal(a, b directory.LocalUpstream) bool {
	return a.ID == b.ID && a.StartedAt.Equal(b.StartedAt) && a.Draining == b.Draining && a.Slots == b.Slots
}
