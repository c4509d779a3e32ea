package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
)

const (
	// callTimeout bounds a read. It also detects stalled connections.
	callTimeout = 1200 * time.Millisecond
	// configWatchTime is the duration of one watch of the configuration.
	configWatchTime = 20 * time.Second
	// configPoll is the interval of stale reads made in addition to the watch.
	// They find a new version also if the connection of the watch is stalled
	// or broken.
	configPoll = time.Second
	// localWatchTime is the duration of one watch of the local upstream's entry.
	localWatchTime = 28 * time.Second
	// listPoll is the interval at which all entries are read.
	listPoll = 900 * time.Millisecond
	// initialPoll is the interval of reads until the first one returns data.
	// One in linearizableEvery of them is linearizable, the others are stale
	// reads, which are cheaper: all nodes may start before the store holds any
	// data.
	initialPoll       = 100 * time.Millisecond
	linearizableEvery = 10
	// staleFallback is the time after the start in which only linearizable reads
	// are used until one succeeds.
	staleFallback = 2 * time.Second
	// maxInitialPoll bounds the interval of reads of a store without data.
	maxInitialPoll = 400 * time.Millisecond
	// firstBackoff and maxBackoff bound the delay after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// reregisterTime is how long after an outage of the store the entries that
	// expired during the outage may still be registered again.
	reregisterTime = 2500 * time.Millisecond
	// outageThreshold is the time without a successful read after which entries
	// may have expired.
	outageThreshold = 2 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Source  Source
	Sink    Sink
	Service string         // service of the local upstream
	Address netip.AddrPort // of the local upstream
	Logger  *slog.Logger
	// Count is called after each call to the store, with its name and result.
	Count func(call string, err error)
	// Zone is the availability zone of this node. Follow asks another node for its
	// view, which it returns once it is newer than what is known, or after wait. If
	// Follow is nil, each node reads the store itself.
	Zone   string
	Follow func(ctx context.Context, reader *directory.Upstream, known Known, wait time.Duration) (View, error)
	// OnPanic is called with the value and the stack of a panic in a loop of the
	// Watcher, which then starts again.
	OnPanic func(value any, stack []byte)
	// FromPeer fetches the configuration document and the upstreams known to
	// another node.
	FromPeer func(ctx context.Context, peer string) ([]byte, *directory.Snapshot, error)
}

// newerVersion is the version of the configuration that another node has
// reported.
type newerVersion struct {
	version uint64
	peer    string
}

// Watcher reads the store and passes what it reads to a Sink.
type Watcher struct {
	cfg Config

	localMu sync.Mutex // held by updateLocal, and locked before mu

	mu   sync.Mutex
	list *directory.Snapshot
	// unmerged is the newest read of list as it was received, also if it was older
	// than what is known of some upstreams.
	unmerged *directory.Snapshot
	local    directory.LocalUpstream
	// localPosition is that of the store at the last change of local.
	localPosition directory.Position
	leavingByList bool // a read of all entries has shown that local leaves
	previousIDs   map[string]bool
	lastRead      time.Time // time of the read of the store from which the list is
	followedAt    time.Time // time at which a reader last returned a current view
	recovered     time.Time // end of the last outage of the store
	reachable     bool
	version       uint64
	latest        directory.Position // the latest one of a read of the store
	history       *directory.History
	ignoredAt     time.Time // when an older read of the list was last logged

	localWatch *localWatch
	newer      chan newerVersion
}

// New returns a Watcher. Run starts it.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, previousIDs: map[string]bool{}, history: directory.NewHistory(), localWatch: newLocalWatch(), newer: make(chan newerVersion, 1)}
}

// Run reads the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	tasks := []func(context.Context){w.watchConfig, w.pollConfig, w.fetchNewer, w.pollList, w.watchLocal}
	for range followers {
		tasks = append(tasks, w.follow)
	}
	for _, loop := range tasks {
		loops.Go(func() {
			for ctx.Err() == nil && w.runRecovered(ctx, loop) {
				pause(ctx, maxBackoff)
			}
		})
	}
	loops.Wait()
}

// runRecovered runs a loop and reports whether it ended with a panic, for instance
// because of an entry that the decoder does not expect.
func (w *Watcher) runRecovered(ctx context.Context, loop func(context.Context)) (panicked bool) {
	defer func() {
		if v := recover(); v != nil {
			w.cfg.OnPanic(v, debug.Stack())
			panicked = true
		}
	}()
	loop(ctx)
	return false
}

// call runs one call to the store with a time limit and counts it. One that ends
// with ctx does not count as failed.
func (w *Watcher) call(ctx context.Context, name string, limit time.Duration, run func(context.Context) error) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := run(limited)
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrHistoryGone) || ctx.Err() != nil {
		// Cancelled by this node: nothing is known about the store.
		w.cfg.Count(name, nil)
		return err
	}
	w.cfg.Count(name, err)
	w.setReachable(err)
	return err
}

// setReachable logs when the store becomes unreachable or reachable again.
func (w *Watcher) setReachable(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.reachable {
			w.cfg.Logger.Warn("store lost", "error", err.Error())
		}
		w.reachable = false
		return
	}
	if !w.reachable {
		w.cfg.Logger.Info("store reached")
	}
	w.reachable = true
}

// pause waits for d with a jitter of ±25 %. It reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) * (0.75 + 0.5*rand.Float64())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backoff is the delay after a failed call. next doubles it, from firstBackoff up
// to maxBackoff.
type backoff time.Duration

func (b *backoff) next() time.Duration {
	*b = min(max(2**b, backoff(firstBackoff)), backoff(maxBackoff))
	return time.Duration(*b)
}

func (b *backoff) reset() { *b = 0 }

// growingPause is the delay between reads of a store that holds nothing yet. It
// grows from initialPoll to maxInitialPoll, so that a store that is filled late is
// not read too often.
type growingPause time.Duration

func newGrowingPause() growingPause { return growingPause(initialPoll) }

func (p *growingPause) next() time.Duration {
	d := time.Duration(*p)
	*p = growingPause(min(d*5/4, maxInitialPoll))
	return d
}

// activate activates a configuration if it is newer than the active one.
func (w *Watcher) activate(c *routetable.Config, from string) {
	w.mu.Lock()
	newer := c.Version > w.version
	if newer {
		w.cfg.Logger.Info("configuration adopted", "version", c.Version, "before", w.version, "source", from,
			"routes", len(c.Routes()))
		w.version = c.Version
	}
	w.mu.Unlock()
	if newer {
		w.cfg.Sink.SetRoutes(c)
	}
}

// watchConfig reads the configuration and then watches for newer versions. After
// an error it starts again with a read, so that the newest version is not missed.
func (w *Watcher) watchConfig(ctx context.Context) {
	var after directory.Position
	var wait backoff
	first := true
	for ctx.Err() == nil {
		if w.following() {
			w.awaitReading(ctx)
			after = directory.Position{} // versions may have been published meanwhile
			continue
		}
		err := w.readConfig(ctx, &after)
		switch {
		case err == nil:
			wait.reset()
			if first {
				w.awaitFollowing(ctx)
			}
			first = false
		case errors.Is(err, ErrNotFound):
			after = directory.Position{}
			w.awaitConfig(ctx)
		default:
			after = directory.Position{}
			pause(ctx, wait.next())
		}
	}
}

// awaitConfig makes stale reads until one returns a configuration or the next
// linearizable read is due.
func (w *Watcher) awaitConfig(ctx context.Context) {
	idle := newGrowingPause()
	for range linearizableEvery - 1 {
		if !pause(ctx, idle.next()) {
			return
		}
		err := w.call(ctx, "config-stale", callTimeout, func(ctx context.Context) error {
			c, _, err := w.cfg.Source.Config(ctx, true)
			if err == nil {
				w.activate(c, "config-stale")
			}
			return err
		})
		if !errors.Is(err, ErrNotFound) {
			return
		}
	}
	pause(ctx, initialPoll)
}

// readConfig reads the configuration if the last revision is unknown, and
// watches for the next version otherwise.
func (w *Watcher) readConfig(ctx context.Context, after *directory.Position) error {
	if after.Revision == 0 {
		return w.call(ctx, "config", callTimeout, func(ctx context.Context) error {
			c, at, err := w.cfg.Source.Config(ctx, false)
			if err == nil {
				w.activate(c, "read")
				*after = at
			}
			return err
		})
	}
	return w.call(ctx, "config-watch", configWatchTime+callTimeout, func(ctx context.Context) error {
		c, at, err := w.cfg.Source.WatchConfig(ctx, after.Revision, configWatchTime)
		if err != nil {
			return err
		}
		if c == nil && !after.Restored(at) {
			// Keep the revision, so that versions published while the watch
			// received no events are not skipped.
			return nil
		}
		*after = nextWatch(*after, at)
		if c == nil {
			return nil
		}
		w.activate(c, "watch")
		return nil
	})
}

// nextWatch returns the position from which a watch continues after a response. It
// is zero, so that a read comes first, if the store was restored in between: the
// revisions since the copy are given out again.
func nextWatch(after, at directory.Position) directory.Position {
	if after.Restored(at) {
		return directory.Position{}
	}
	return after.Later(at)
}

// pollConfig reads the configuration in addition to the watch: mostly with
// stale reads, and occasionally with a linearizable one. All nodes together
// make about clusterReadsPerSecond linearizable reads per second, independent of
// their number; the other nodes learn of a newer version from requests and
// replies between nodes.
func (w *Watcher) pollConfig(ctx context.Context) {
	lastLinearizable := time.Now()
	for pause(ctx, configPoll) {
		if w.following() {
			continue
		}
		stale := time.Since(lastLinearizable) < w.linearizableInterval()
		name := "config-stale"
		if !stale {
			lastLinearizable, name = time.Now(), "config"
		}
		// call counts and logs failures; the next poll tries again.
		_ = w.call(ctx, name, callTimeout, func(ctx context.Context) error {
			c, _, err := w.cfg.Source.Config(ctx, stale)
			if err == nil {
				w.activate(c, name)
			}
			return err
		})
	}
}

// clusterReadsPerSecond is the number of linearizable reads of the configuration
// per second that all nodes together make in addition to their watches.
const clusterReadsPerSecond = 1

// linearizableInterval returns the interval between this node's linearizable
// reads.
func (w *Watcher) linearizableInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list == nil {
		return configPoll
	}
	return time.Duration(w.list.ReaderCount()) * time.Second / clusterReadsPerSecond
}

// NotifyNewer reports the version of the configuration that another node has.
// The Watcher fetches it if it is newer than the active one. NotifyNewer never
// blocks: a report is dropped while an earlier one is pending.
func (w *Watcher) NotifyNewer(version uint64, peer string) {
	select {
	case w.newer <- newerVersion{version: version, peer: peer}:
	default:
	}
}

// fetchNewer fetches newer versions from the nodes that have them, and from
// the store if that fails.
func (w *Watcher) fetchNewer(ctx context.Context) {
	for {
		var v newerVersion
		select {
		case <-ctx.Done():
			return
		case v = <-w.newer:
		}
		if w.behind(v.version) && !w.fetchFromPeer(ctx, v.peer) {
			_ = w.call(ctx, "config", callTimeout, func(ctx context.Context) error {
				c, _, err := w.cfg.Source.Config(ctx, false)
				if err == nil {
					w.activate(c, "read")
				}
				return err
			})
		}
	}
}

// behind reports whether a version is newer than the active one.
func (w *Watcher) behind(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return version > w.version
}

// fetchFromPeer activates the configuration of another node. If this node has no
// list of upstreams, because the store has been unreachable since it started, it
// also takes over the list of the other node. It reports whether it succeeded.
func (w *Watcher) fetchFromPeer(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	document, hosts, err := w.cfg.FromPeer(ctx, peer)
	if err == nil {
		var c *routetable.Config
		if c, err = w.cfg.Source.Decode(document); err == nil {
			w.activate(c, "node "+peer)
			if w.listUnknown() {
				w.updateList(hosts, "node "+peer, time.Now())
			}
			return true
		}
	}
	w.cfg.Logger.Warn("configuration not fetched from a node", "peer", peer, "error", err.Error())
	return false
}
