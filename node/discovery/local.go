package discovery

import (
	"context"
	"errors"
	"time"

	"toucangw.example/core/directory"
)

// findLocal returns the entry at the address of the local upstream, or nil if
// there is none or its ID is already known. w.mu must be held.
func (w *Watcher) findLocal(list *directory.Snapshot) *directory.Upstream {
	u := list.At(w.cfg.Service, w.cfg.Address)
	if u == nil || u.ID == w.local.ID {
		return nil
	}
	return u
}

// watchLocal watches the entry of the local upstream.
func (w *Watcher) watchLocal(ctx context.Context) {
	var id string
	var after directory.Position
	var wait backoff
	for ctx.Err() == nil {
		id, after = w.localID(ctx, id, after)
		if id == "" {
			continue
		}
		change, err := w.readLocal(ctx, id, after)
		switch {
		case err == nil:
			wait.reset()
			after = nextWatch(after, change.Position)
			w.updateLocal(id, change, false)
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

// localID returns the ID to watch and the revision to watch from: those of a
// new local upstream if one was found, and the given ones otherwise. If there is
// no ID yet, it waits for one.
func (w *Watcher) localID(ctx context.Context, id string, after directory.Position) (string, directory.Position) {
	if id != "" {
		select {
		case next := <-w.newLocalID:
			return next, directory.Position{}
		default:
			return id, after
		}
	}
	select {
	case next := <-w.newLocalID:
		return next, directory.Position{}
	case <-ctx.Done():
		return "", directory.Position{}
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
// what such a read has shown is taken back by a later one. w.mu must be held.
func (w *Watcher) localChange(read *directory.Snapshot) (id string, change *Change) {
	id = w.local.ID
	if id == "" || !w.localPosition.Before(read.Position) {
		return "", nil
	}
	u := read.Get(id)
	leaving := u == nil || u.State == directory.Draining
	if leaving == w.local.Draining || !leaving && !w.leavingByList {
		return "", nil
	}
	return id, &Change{Upstream: u, Removed: u == nil, Position: read.Position}
}

// updateLocal passes the state of the local upstream to the Sink. ByList is set if
// a read of all entries has shown the change.
func (w *Watcher) updateLocal(id string, change Change, byList bool) {
	if change.Upstream == nil && !change.Removed {
		return
	}
	now := time.Now()
	w.mu.Lock()
	w.notePosition(now, change.Position, "entry of the local upstream")
	if change.Removed && now.Sub(w.recovered) < reregisterTime {
		w.mu.Unlock()
		return // it expired during an outage of the store and may be registered again
	}
	if u := change.Upstream; u != nil && !byList && !w.history.Observe(now, u, change.Position) {
		w.mu.Unlock()
		return // it is from the copy from which the store was restored
	}
	before := w.local
	if before.ID != "" && before.ID != id {
		w.previousIDs[before.ID] = true
	}
	local := directory.LocalUpstream{ID: id, Slots: before.Slots, Draining: change.Removed}
	if before.ID == id {
		local.StartedAt = before.StartedAt
	}
	if u := change.Upstream; u != nil {
		local.StartedAt, local.Slots, local.Draining = u.StartedAt, u.Slots, u.State == directory.Draining
	}
	changed := before.ID != local.ID || !before.StartedAt.Equal(local.StartedAt) ||
		before.Draining != local.Draining || before.Slots != local.Slots
	delete(w.previousIDs, id) // an upstream may restart with the same ID
	local.PreviousIDs = make(map[string]bool, len(w.previousIDs))
	for p := range w.previousIDs {
		local.PreviousIDs[p] = true
	}
	w.local = local
	w.localPosition = w.localPosition.Later(change.Position)
	w.leavingByList = byList && local.Draining
	w.mu.Unlock()
	if changed {
		w.cfg.Logger.Info("local upstream", "upstream", id, "leaving", local.Draining, "gone", change.Removed, "slots", local.Slots,
			"revision", change.Revision)
		w.cfg.Sink.SetLocalUpstream(local)
	}
}
