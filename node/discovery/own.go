package discovery

import (
	"context"
	"errors"
	"time"

	"toucangw.example/core/directory"
)

// findOwn returns the entry of the local upstream if it is another one than
// before.
func (f *Watcher) findOwn(list *directory.Snapshot) *directory.Upstream {
	u := list.At(f.cfg.Service, f.cfg.Address)
	if u == nil || u.ID == f.own.ID {
		return nil
	}
	return u
}

// watchOwn follows the entry of the local upstream.
func (f *Watcher) watchOwn(ctx context.Context) {
	var id string
	var after uint64
	var wait backoff
	for ctx.Err() == nil {
		id, after = f.current(ctx, id, after)
		if id == "" {
			continue
		}
		change, err := f.ownOnce(ctx, id, after)
		switch {
		case err == nil:
			wait.reset()
			after = change.Revision
			f.takeOwn(id, change)
		case errors.Is(err, ErrHistoryGone):
			after = 0
		case errors.Is(err, ErrNotFound):
			after = 0
			f.takeOwn(id, Change{Removed: true})
			pause(ctx, startPoll)
		default:
			after = 0
			pause(ctx, wait.next())
		}
	}
}

// current returns the id to watch: that of a newer upstream if one was found.
// Without any it waits.
func (f *Watcher) current(ctx context.Context, id string, after uint64) (string, uint64) {
	if id != "" {
		select {
		case next := <-f.found:
			return next, 0
		default:
			return id, after
		}
	}
	select {
	case next := <-f.found:
		return next, 0
	case <-ctx.Done():
		return "", 0
	}
}

func (f *Watcher) ownOnce(ctx context.Context, id string, after uint64) (Change, error) {
	var change Change
	if after == 0 {
		err := f.call(ctx, "upstream", callTimeout, func(ctx context.Context) error {
			u, at, err := f.cfg.Source.Upstream(ctx, id)
			change = Change{Upstream: u, Revision: at}
			return err
		})
		return change, err
	}
	err := f.call(ctx, "upstream-watch", ownWait+callTimeout, func(ctx context.Context) error {
		var err error
		change, err = f.cfg.Source.WatchUpstream(ctx, id, after, ownWait)
		return err
	})
	if err == nil && change.Upstream == nil && !change.Removed {
		// The revision is kept: a watch that was deaf for a while must not
		// skip what it missed.
		change.Revision = after
	}
	return change, err
}

// takeOwn passes on the state of the local upstream.
func (f *Watcher) takeOwn(id string, change Change) {
	if change.Upstream == nil && !change.Removed {
		return
	}
	f.mu.Lock()
	if change.Removed && time.Since(f.regained) < returnTime {
		f.mu.Unlock()
		return // it lapsed while the store was away, and may be back
	}
	before := f.own
	if before.ID != "" && before.ID != id {
		f.past[before.ID] = true
	}
	own := directory.Own{ID: id, Slots: before.Slots, Leaving: change.Removed}
	if u := change.Upstream; u != nil {
		own.Slots, own.Leaving = u.Slots, u.State == directory.Draining
	}
	changed := before.ID != own.ID || before.Leaving != own.Leaving || before.Slots != own.Slots
	delete(f.past, id) // an upstream may start again under its id
	own.Past = make(map[string]bool, len(f.past))
	for p := range f.past {
		own.Past[p] = true
	}
	f.own = own
	f.mu.Unlock()
	if changed {
		f.cfg.Logger.Info("local upstream", "upstream", id, "leaving", own.Leaving, "gone", change.Removed, "slots", own.Slots,
			"revision", change.Revision)
		f.cfg.Sink.SetLocalUpstream(own)
	}
}
