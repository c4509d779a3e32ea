package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"toucangw.example/core/directory"
)

const (
	// followWait is how long a node that is asked for a view may wait for a
	// change before it answers. The answer also tells that the view is current.
	followWait = 600 * time.Millisecond
	// followTimeout bounds one request for a view.
	followTimeout = followWait + 500*time.Millisecond
	// followers is the number of readers that a node follows at once, so that
	// one that is frozen or cut off delays no change.
	followers = 2
	// maxViewAge is the age of a read of the store from which a view counts as
	// stale.
	maxViewAge = 2 * time.Second
	// avoidTime is how long a reader is avoided after it failed or had only a
	// stale view.
	avoidTime = 2 * time.Second
	// followPause separates two requests, so that changes in quick succession are
	// received together.
	followPause = 50 * time.Millisecond
	// followPoll is the interval at which a node checks whether it follows.
	followPoll = 100 * time.Millisecond
)

// Known identifies what a node knows when it asks another one for its view.
type Known struct {
	Version            uint64 // of the configuration
	directory.Position        // of the list of upstreams
	Fingerprint        uint64 // of the list of upstreams
}

// View is what another node knows.
type View struct {
	// Document is its configuration; nil if it is not newer than the one known.
	Document []byte
	// Position is that of its list of upstreams.
	directory.Position
	// Upstreams is its list; nil if it has the entries known.
	Upstreams *directory.Snapshot
	// Age is the time since the store was read for this list.
	Age time.Duration
}

// Age returns the time since the store was last read, by this node or by the one
// from which it has its view; a long time if it never was.
func (w *Watcher) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastRead)
}

// readers returns the nodes that read the store for this node's zone, without
// this node. Own is set if this node is one of them, or if there are none because
// each node reads for itself.
func (w *Watcher) readers() (others []*directory.Upstream, own bool) {
	w.mu.Lock()
	list := w.list
	w.mu.Unlock()
	if list == nil || w.cfg.Follow == nil {
		return nil, true
	}
	all := list.Readers(w.cfg.Zone)
	for _, u := range all {
		if u.Address == w.cfg.Address {
			own = true
			continue
		}
		others = append(others, u)
	}
	return others, own || len(all) == 0
}

// following reports whether this node leaves reading the store to the readers of
// its zone: it is none of them, and the view that it has from one is current.
func (w *Watcher) following() bool {
	if _, own := w.readers(); own {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return now.Sub(w.followedAt) < 2*followWait && now.Sub(w.lastRead) < maxViewAge
}

// ReadsStore reports whether this node reads the store itself.
func (w *Watcher) ReadsStore() bool { return !w.following() }

// awaitReading waits while this node follows readers. It returns at once if it
// reads the store itself.
func (w *Watcher) awaitReading(ctx context.Context) {
	for ctx.Err() == nil && w.following() {
		pause(ctx, followPoll)
	}
}

// awaitFollowing gives a node that reads the store only until it follows readers
// the time to do so.
func (w *Watcher) awaitFollowing(ctx context.Context) {
	until := time.Now().Add(2 * followWait)
	for time.Now().Before(until) && !w.following() {
		if _, own := w.readers(); own && w.Age() < maxViewAge {
			return
		}
		if !pause(ctx, followPoll) {
			return
		}
	}
}

// follow asks one reader after the other for its view. A reader itself follows
// the others only while its own reads fail.
func (w *Watcher) follow(ctx context.Context) {
	avoid := map[string]time.Time{}
	for ctx.Err() == nil {
		others, own := w.readers()
		if own && w.Age() < maxViewAge {
			pause(ctx, followPoll)
			continue
		}
		reader := chooseReader(others, avoid, time.Now())
		if reader == nil {
			pause(ctx, followPoll)
			continue
		}
		if !w.followOnce(ctx, reader) {
			avoid[reader.ID] = time.Now().Add(avoidTime)
		}
		pause(ctx, followPause)
	}
}

// chooseReader returns a random reader that is not avoided, or nil.
func chooseReader(readers []*directory.Upstream, avoid map[string]time.Time, now time.Time) *directory.Upstream {
	var usable []*directory.Upstream
	for _, u := range readers {
		if now.After(avoid[u.ID]) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}

// followOnce asks a reader for its view, which answers at once if it knows
// something newer. It reports whether the view is current.
func (w *Watcher) followOnce(ctx context.Context, reader *directory.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	view, err := w.cfg.Follow(ctx, reader, w.known(), followWait)
	if err != nil {
		w.cfg.Logger.Debug("view not received", "reader", reader.ID, "error", err.Error())
		return false
	}
	if view.Document != nil {
		c, err := w.cfg.Source.Decode(view.Document)
		if err != nil {
			w.cfg.Logger.Warn("configuration of a reader is not valid", "reader", reader.ID, "error", err.Error())
			return false
		}
		w.activate(c, "node "+reader.ID)
	}
	if view.Age > maxViewAge {
		return false
	}
	w.adoptView(view, reader.ID)
	return true
}

// known returns what this node knows.
func (w *Watcher) known() Known {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := Known{Version: w.version}
	if w.unmerged != nil {
		k.Position, k.Fingerprint = w.unmerged.Position, w.unmerged.Fingerprint()
	}
	return k
}

// adoptView takes over the list of a current view.
func (w *Watcher) adoptView(v View, reader string) {
	w.mu.Lock()
	list := v.Upstreams
	if list == nil && w.unmerged != nil {
		list = w.unmerged.AtPosition(v.Later(w.unmerged.Position))
	}
	w.followedAt = time.Now()
	w.mu.Unlock()
	if list != nil {
		w.updateList(list, "node "+reader, time.Now().Add(-v.Age))
	}
}
