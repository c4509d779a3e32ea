package discovery

import (
	"context"
	"time"

	"toucangw.example/core/directory"
)

// pollList keeps the list of all upstreams up to date.
func (w *Watcher) pollList(ctx context.Context) {
	schedule := newListSchedule(time.Now())
	stale := false
	for ctx.Err() == nil {
		w.awaitReading(ctx)
		readAt := time.Now()
		var read *directory.Snapshot
		err := w.call(ctx, "upstreams", callTimeout, func(ctx context.Context) error {
			var err error
			read, err = w.cfg.Source.Upstreams(ctx, stale)
			return err
		})
		if err != nil {
			read = nil
		}
		if read != nil && read.Len() > 0 {
			w.updateList(read, "store", readAt)
		}
		var wait time.Duration
		stale, wait = schedule.next(time.Now(), read)
		pause(ctx, wait)
	}
}

// updateList merges a read of the store into the list of upstreams.
func (w *Watcher) updateList(read *directory.Snapshot, source string, readAt time.Time) {
	now := time.Now()
	w.mu.Lock()
	if !w.lastRead.IsZero() && now.Sub(w.lastRead) > outageThreshold {
		w.recovered = now
	}
	if readAt.After(w.lastRead) {
		w.lastRead = readAt
	}
	w.notePosition(now, read.Position, source)
	if w.list != nil && read.Before(w.list.Position) {
		w.logIgnored(now, read, source)
		w.mu.Unlock()
		return // a stale read returned an older state
	}
	current := w.history.Reconcile(now, read)
	keep := !w.recovered.IsZero() && now.Sub(w.recovered) < reregisterTime
	w.logChanges(w.list, current, source)
	w.list = directory.Merge(w.list, current, keep)
	w.unmerged = read
	list := w.list
	local := w.findLocal(list)
	id := w.local.ID
	change, restarted := w.localChange(current)
	w.mu.Unlock()
	w.cfg.Sink.SetHosts(list)
	if change != nil {
		w.updateLocal(id, *change, true)
	}
	if restarted {
		w.localWatch.follow(id) // the watch has not told of it
	}
	if local != nil {
		w.updateLocal(local.ID, Change{Upstream: local, Position: current.Position}, true)
		w.localWatch.follow(local.ID)
	}
}

// notePosition notices at a read that the store was restored from an older copy. What
// was written since the copy is written again, as after an outage. w.mu must be
// held.
func (w *Watcher) notePosition(now time.Time, at directory.Position, source string) {
	if w.latest.Restored(at) {
		w.cfg.Logger.Warn("store restored", "era", at.Era, "era_before", w.latest.Era,
			"revision", at.Revision, "revision_before", w.latest.Revision, "source", source)
		w.recovered = now
		w.history.OnRestore(now)
	}
	w.latest = w.latest.Later(at)
}

// logIgnored logs, at most once a second, that a read is older than the list. w.mu
// must be held.
func (w *Watcher) logIgnored(now time.Time, read *directory.Snapshot, source string) {
	if now.Sub(w.ignoredAt) < time.Second {
		return
	}
	w.ignoredAt = now
	w.cfg.Logger.Info("older list of upstreams ignored", "revision", read.Revision, "era", read.Era,
		"revision_known", w.list.Revision, "era_known", w.list.Era, "source", source)
}

// logChanges logs each upstream that was added, was removed or changed its
// state.
func (w *Watcher) logChanges(old, read *directory.Snapshot, source string) {
	if old == nil {
		w.cfg.Logger.Info("upstreams read", "upstreams", read.Len(), "revision", read.Revision, "source", source)
		return
	}
	for _, u := range read.All() {
		before := old.Get(u.ID)
		if before == nil {
			w.cfg.Logger.Info("upstream found", "upstream", u.ID, "service", u.Service, "address", u.Address.String(), "revision", read.Revision)
		} else if before.State != u.State {
			w.cfg.Logger.Info("upstream state changed", "upstream", u.ID, "draining", u.State == directory.Draining, "revision", read.Revision)
		}
	}
	for _, u := range old.All() {
		if read.Get(u.ID) == nil {
			w.cfg.Logger.Info("upstream missing", "upstream", u.ID, "service", u.Service, "revision", read.Revision)
		}
	}
}

// listUnknown reports whether no upstreams have been read yet.
func (w *Watcher) listUnknown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list == nil
}
