package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
)

const (
	// callTimeout bounds a read; a connection that has gone silent is noticed
	// by it.
	callTimeout = 1200 * time.Millisecond
	// configWait is the length of one watch of the configuration.
	configWait = 20 * time.Second
	// configPoll is the interval of stale reads beside the watch, which a
	// silent connection or a cut watch cannot delay.
	configPoll = time.Second
	// ownWait is the length of one watch of the local upstream's entry.
	ownWait = 15 * time.Second
	// listPoll is the interval of reads of all entries.
	listPoll = 900 * time.Millisecond
	// startPoll is the interval of reads until the first has found something.
	// All but one in startFresh of them are stale reads, which are cheap: all
	// nodes may start before anything is in the store.
	startPoll  = 100 * time.Millisecond
	startFresh = 10
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// returnTime is how long after an outage of the store entries that lapsed
	// meanwhile may still come back.
	returnTime = 2500 * time.Millisecond
	// outage is the time without a successful read after which entries may
	// have lapsed.
	outage = 2 * time.Second
)

// Config of a Feed.
type Config struct {
	Source  Source
	Sink    Sink
	Service string         // service of the local upstream
	Address netip.AddrPort // of the local upstream
	Logger  *slog.Logger
	// Count is told of each call.
	Count func(call string, err error)
	// FromPeer asks another node for its configuration document and its view
	// of the upstreams.
	FromPeer func(ctx context.Context, peer string) ([]byte, *directory.Snapshot, error)
}

// hint tells that a node has a newer configuration.
type hint struct {
	version uint64
	peer    string
}

// Watcher runs the loops that read the store.
type Watcher struct {
	cfg Config

	mu       sync.Mutex
	list     *directory.Snapshot
	own      directory.Own
	past     map[string]bool
	lastRead time.Time // last successful read of the list
	regained time.Time // end of the last outage
	up       bool
	version  uint64

	found chan string // id of the local upstream, when it changes
	hints chan hint
}

// New returns a feed that Run starts.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, past: map[string]bool{}, found: make(chan string, 1), hints: make(chan hint, 1)}
}

// Run reads the store until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.watchConfig(ctx) })
	loops.Go(func() { f.pollConfig(ctx) })
	loops.Go(func() { f.followHints(ctx) })
	loops.Go(func() { f.pollList(ctx) })
	loops.Go(func() { f.watchOwn(ctx) })
	loops.Wait()
}

// call runs one call to the store with a time limit and counts it.
func (f *Watcher) call(ctx context.Context, name string, limit time.Duration, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := run(ctx)
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrHistoryGone) {
		f.cfg.Count(name, nil)
		return err
	}
	f.cfg.Count(name, err)
	f.dependency(err)
	return err
}

// dependency logs the loss and the return of the store.
func (f *Watcher) dependency(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if f.up {
			f.cfg.Logger.Warn("store lost", "error", err.Error())
		}
		f.up = false
		return
	}
	if !f.up {
		f.cfg.Logger.Info("store reached")
	}
	f.up = true
}

// pause waits for about d, or until ctx ends, which it reports.
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

type backoff time.Duration

func (b *backoff) next() time.Duration {
	*b = min(max(2**b, backoff(firstBackoff)), backoff(maxBackoff))
	return time.Duration(*b)
}

func (b *backoff) reset() { *b = 0 }

// adopt puts a configuration in force unless it is not newer.
func (f *Watcher) adopt(c *routetable.Config, from string) {
	f.mu.Lock()
	newer := c.Version > f.version
	if newer {
		f.cfg.Logger.Info("configuration adopted", "version", c.Version, "before", f.version, "source", from,
			"routes", len(c.Routes()))
		f.version = c.Version
	}
	f.mu.Unlock()
	if newer {
		f.cfg.Sink.SetRoutes(c)
	}
}

// watchConfig follows the configuration without a gap.
func (f *Watcher) watchConfig(ctx context.Context) {
	var after uint64
	var wait backoff
	for ctx.Err() == nil {
		err := f.configOnce(ctx, &after)
		switch {
		case err == nil:
			wait.reset()
		case errors.Is(err, ErrNotFound):
			after = 0
			f.awaitConfig(ctx)
		default:
			after = 0
			pause(ctx, wait.next())
		}
	}
}

// awaitConfig returns when a stale read has found a configuration, or when it
// is time for another linearizable one.
func (f *Watcher) awaitConfig(ctx context.Context) {
	for range startFresh - 1 {
		if !pause(ctx, startPoll) {
			return
		}
		err := f.call(ctx, "config-stale", callTimeout, func(ctx context.Context) error {
			c, _, err := f.cfg.Source.Config(ctx, true)
			if err == nil {
				f.adopt(c, "config-stale")
			}
			return err
		})
		if !errors.Is(err, ErrNotFound) {
			return
		}
	}
	pause(ctx, startPoll)
}

// configOnce reads the configuration if the last revision is unknown, and
// waits for the next one otherwise.
func (f *Watcher) configOnce(ctx context.Context, after *uint64) error {
	if *after == 0 {
		return f.call(ctx, "config", callTimeout, func(ctx context.Context) error {
			c, at, err := f.cfg.Source.Config(ctx, false)
			if err == nil {
				f.adopt(c, "read")
				*after = at
			}
			return err
		})
	}
	return f.call(ctx, "config-watch", configWait+callTimeout, func(ctx context.Context) error {
		c, at, err := f.cfg.Source.WatchConfig(ctx, *after, configWait)
		if err != nil {
			return err
		}
		if c == nil {
			// The revision is kept: a watch that was deaf for a while must
			// not skip what it missed.
			return nil
		}
		*after = max(*after, at)
		f.adopt(c, "watch")
		return nil
	})
}

// pollConfig reads the configuration beside the watch: often with stale reads,
// and now and then with a linearizable one. The fleet together makes about
// fleetReads of those a second, whatever its size; the other nodes hear of a
// newer version through the traffic between nodes.
func (f *Watcher) pollConfig(ctx context.Context) {
	fresh := time.Now()
	for pause(ctx, configPoll) {
		stale := time.Since(fresh) < f.freshInterval()
		name := "config-stale"
		if !stale {
			fresh, name = time.Now(), "config"
		}
		// Failures are counted and logged by call; the next poll follows.
		_ = f.call(ctx, name, callTimeout, func(ctx context.Context) error {
			c, _, err := f.cfg.Source.Config(ctx, stale)
			if err == nil {
				f.adopt(c, name)
			}
			return err
		})
	}
}

// fleetReads is the number of linearizable reads of the configuration that all
// nodes together make in a second beside their watches.
const fleetReads = 1

func (f *Watcher) freshInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.list == nil {
		return configPoll
	}
	return time.Duration(f.list.Len()) * time.Second / fleetReads
}

// NotifyNewer tells that another node has a version of the configuration. It never
// blocks.
func (f *Watcher) NotifyNewer(version uint64, peer string) {
	select {
	case f.hints <- hint{version: version, peer: peer}:
	default:
	}
}

// followHints fetches newer versions from the nodes that have them, and from
// the store if they do not answer.
func (f *Watcher) followHints(ctx context.Context) {
	for {
		var h hint
		select {
		case <-ctx.Done():
			return
		case h = <-f.hints:
		}
		if f.behind(h.version) && !f.fetch(ctx, h.peer) {
			_ = f.call(ctx, "config", callTimeout, func(ctx context.Context) error {
				c, _, err := f.cfg.Source.Config(ctx, false)
				if err == nil {
					f.adopt(c, "read")
				}
				return err
			})
		}
	}
}

func (f *Watcher) behind(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version > f.version
}

// blind reports that no upstreams are known yet.
func (f *Watcher) blind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list == nil
}

// fetch takes the configuration of another node over, and its view of the
// upstreams if this node has none: the store may be away since its start.
func (f *Watcher) fetch(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	document, hosts, err := f.cfg.FromPeer(ctx, peer)
	if err == nil {
		var c *routetable.Config
		if c, err = f.cfg.Source.Decode(document); err == nil {
			f.adopt(c, "node "+peer)
			if f.blind() {
				f.takeList(hosts, "node "+peer)
			}
			return true
		}
	}
	f.cfg.Logger.Warn("configuration not fetched from a node", "peer", peer, "error", err.Error())
	return false
}

// pollList keeps the view of all upstreams.
func (f *Watcher) pollList(ctx context.Context) {
	interval := startPoll
	stale := false
	for reads := 1; ctx.Err() == nil; reads++ {
		var read *directory.Snapshot
		err := f.call(ctx, "upstreams", callTimeout, func(ctx context.Context) error {
			var err error
			read, err = f.cfg.Source.Upstreams(ctx, stale)
			return err
		})
		if err == nil && read.Len() > 0 {
			f.takeList(read, "store")
			interval = listPoll
		}
		// The reads of a node that knows the upstreams are stale ones.
		stale = interval == listPoll || reads%startFresh != 0
		pause(ctx, interval)
	}
}

// takeList merges a read into the view.
func (f *Watcher) takeList(read *directory.Snapshot, source string) {
	now := time.Now()
	f.mu.Lock()
	if !f.lastRead.IsZero() && now.Sub(f.lastRead) > outage {
		f.regained = now
	}
	f.lastRead = now
	if f.list != nil && read.Revision < f.list.Revision {
		f.mu.Unlock()
		return // a stale read of an older state
	}
	keep := !f.regained.IsZero() && now.Sub(f.regained) < returnTime
	f.logChanges(f.list, read, source)
	f.list = directory.Merge(f.list, read, keep)
	list := f.list
	own := f.findOwn(list)
	f.mu.Unlock()
	f.cfg.Sink.SetHosts(list)
	if own != nil {
		select {
		case f.found <- own.ID:
		default:
		}
	}
}

// logChanges writes a line for each upstream that came, left or changed its
// state.
func (f *Watcher) logChanges(old, read *directory.Snapshot, source string) {
	if old == nil {
		f.cfg.Logger.Info("upstreams read", "upstreams", read.Len(), "revision", read.Revision, "source", source)
		return
	}
	for _, u := range read.All() {
		before := old.Get(u.ID)
		if before == nil {
			f.cfg.Logger.Info("upstream found", "upstream", u.ID, "service", u.Service, "address", u.Address.String(), "revision", read.Revision)
		} else if before.State != u.State {
			f.cfg.Logger.Info("upstream state changed", "upstream", u.ID, "draining", u.State == directory.Draining, "revision", read.Revision)
		}
	}
	for _, u := range old.All() {
		if read.Get(u.ID) == nil {
			f.cfg.Logger.Info("upstream missing", "upstream", u.ID, "service", u.Service, "revision", read.Revision)
		}
	}
}
