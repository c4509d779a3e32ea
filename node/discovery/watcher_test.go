package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
)

// fakeSource is a store that is empty until filled is set. Its watches never
// return a change.
type fakeSource struct {
	mu           sync.Mutex
	filled       bool
	linearizable int // number of linearizable reads
	stale        int // number of stale reads
	upstream     directory.Upstream
}

func (s *fakeSource) read(stale bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale {
		s.stale++
	} else {
		s.linearizable++
	}
	return s.filled
}

func (s *fakeSource) Config(_ context.Context, stale bool) (*routetable.Config, directory.Position, error) {
	if !s.read(stale) {
		return nil, directory.Position{}, ErrNotFound
	}
	return &routetable.Config{Version: 7}, directory.Position{Revision: 1}, nil
}

func (s *fakeSource) WatchConfig(ctx context.Context, _ uint64, _ time.Duration) (*routetable.Config, directory.Position, error) {
	<-ctx.Done()
	return nil, directory.Position{}, ctx.Err()
}

func (s *fakeSource) Decode([]byte) (*routetable.Config, error) { return nil, errors.New("no node") }

func (s *fakeSource) Upstreams(_ context.Context, stale bool) (*directory.Snapshot, error) {
	if !s.read(stale) {
		return directory.NewSnapshot(directory.Position{Revision: 1}, nil), nil
	}
	return directory.NewSnapshot(directory.Position{Revision: 2}, []directory.Upstream{s.upstream}), nil
}

func (s *fakeSource) Upstream(context.Context, string) (*directory.Upstream, directory.Position, error) {
	return nil, directory.Position{}, ErrNotFound
}

func (s *fakeSource) WatchUpstream(ctx context.Context, _ string, _ uint64, _ time.Duration) (Change, error) {
	<-ctx.Done()
	return Change{}, ctx.Err()
}

// recorder is a Sink that keeps the last values that it received.
type recorder struct {
	mu      sync.Mutex
	version uint64
	hosts   int
}

func (r *recorder) SetRoutes(c *routetable.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = c.Version
}

func (r *recorder) SetHosts(s *directory.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = s.Len()
}

func (r *recorder) SetLocalUpstream(directory.LocalUpstream) {}

func (r *recorder) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version == 7 && r.hosts == 1
}

// Guards against overloading the store when all nodes start before it holds any
// data: most of their reads must be stale ones, and new data must still be found
// within a second.
func TestStartWithEmptyStore(t *testing.T) {
	source := &fakeSource{upstream: directory.Upstream{ID: "i-1", Service: "deep", State: directory.Ready}}
	sink := &recorder{}
	w := New(Config{
		Source: source, Sink: sink, Service: "front", Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: func(string, error) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	time.Sleep(1500 * time.Millisecond)
	source.mu.Lock()
	linearizable, stale := source.linearizable, source.stale
	source.filled = true
	source.mu.Unlock()
	assert.LessOrEqual(t, linearizable, 7)
	assert.Greater(t, stale, 10)
	require.Eventually(t, sink.complete, time.Second, 10*time.Millisecond)
}

// restartSource is a store whose linearizable reads fail at first and whose stale
// reads still return an upstream that has left.
type restartSource struct {
	fakeSource
	failUntil time.Time
	left      directory.Upstream
}

func (s *restartSource) Upstreams(ctx context.Context, stale bool) (*directory.Snapshot, error) {
	if stale {
		return directory.NewSnapshot(directory.Position{Revision: 1}, []directory.Upstream{s.left}), nil
	}
	if time.Now().Before(s.failUntil) {
		return nil, errors.New("busy")
	}
	return s.fakeSource.Upstreams(ctx, false)
}

// Guards against a process that starts while the store is busy and uses a
// upstream that had left before its start, from a read that is seconds old.
func TestStartUsesNoUpstreamThatHasLeft(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	entry := func(id string) directory.Upstream {
		return directory.Upstream{ID: id, Service: "s", Address: address, Slots: 1}
	}
	source := &restartSource{
		fakeSource: fakeSource{filled: true, upstream: entry("present")},
		failUntil:  time.Now().Add(500 * time.Millisecond), left: entry("left"),
	}
	sink := &listRecorder{seen: map[string]bool{}}
	runWatcher(t, newWatcher(Config{Source: source, Sink: sink, Service: "s", Address: address}))
	assert.Eventually(t, func() bool { return sink.has("present") }, 3*time.Second, 10*time.Millisecond)
	assert.False(t, sink.has("left"))
}

// listRecorder is a Sink that records which upstreams it has ever received.
type listRecorder struct {
	recorder
	mu   sync.Mutex
	seen map[string]bool
}

func (r *listRecorder) SetHosts(s *directory.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range s.All() {
		r.seen[u.ID] = true
	}
}

func (r *listRecorder) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id]
}

// newWatcher returns a Watcher that logs and counts nothing.
func newWatcher(cfg Config) *Watcher {
	cfg.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	cfg.Count = func(string, error) {}
	return New(cfg)
}

// runWatcher runs a Watcher until the end of the test.
func runWatcher(t *testing.T, w *Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// panickingSource is a store whose first reads of the configuration and of the
// upstreams panic.
type panickingSource struct {
	fakeSource
	configs, lists atomic.Int32
}

func (s *panickingSource) Config(ctx context.Context, stale bool) (*routetable.Config, directory.Position, error) {
	if s.configs.Add(1) <= 2 {
		panic("malformed configuration")
	}
	return s.fakeSource.Config(ctx, stale)
}

func (s *panickingSource) Upstreams(ctx context.Context, stale bool) (*directory.Snapshot, error) {
	if s.lists.Add(1) == 1 {
		panic("malformed entry")
	}
	return s.fakeSource.Upstreams(ctx, stale)
}

// Guards against a value in the store that takes the whole process down, or ends
// the reads of the store for good.
func TestPanicOfTheSourceIsConfined(t *testing.T) {
	source := &panickingSource{fakeSource: fakeSource{filled: true, upstream: directory.Upstream{ID: "a", Service: "s", Slots: 1}}}
	sink := &recorder{}
	var panics atomic.Int32
	runWatcher(t, newWatcher(Config{Source: source, Sink: sink, Service: "s", OnPanic: func(any, []byte) { panics.Add(1) }}))
	assert.Eventually(t, sink.complete, 5*time.Second, 10*time.Millisecond)
	assert.GreaterOrEqual(t, panics.Load(), int32(2))
}

// crossingSource is a store whose watches of the configuration and of an entry end
// without news after it was restored from an older copy.
type crossingSource struct{ fakeSource }

func (s *crossingSource) WatchConfig(context.Context, uint64, time.Duration) (*routetable.Config, directory.Position, error) {
	return nil, directory.Position{Era: 2, Revision: 25}, nil
}

func (s *crossingSource) WatchUpstream(context.Context, string, uint64, time.Duration) (Change, error) {
	return Change{Position: directory.Position{Era: 2, Revision: 25}}, nil
}

// Guards against a watch that goes on from a revision of before a restore, which the store gives out again.
func TestWatchThatCrossesARestoreIsFollowedByARead(t *testing.T) {
	w := newWatcher(Config{Source: &crossingSource{}, Sink: &recorder{}})
	after := directory.Position{Era: 1, Revision: 40}
	require.NoError(t, w.readConfig(t.Context(), &after))
	assert.Equal(t, directory.Position{}, after)
	before := directory.Position{Era: 1, Revision: 40}
	change, err := w.readLocal(t.Context(), "i", before)
	require.NoError(t, err)
	assert.Equal(t, directory.Position{}, nextWatch(before, change.Position))
	assert.Equal(t, directory.Position{Era: 1, Revision: 41}, nextWatch(before, directory.Position{Era: 1, Revision: 41}))
	assert.Equal(t, before, nextWatch(before, directory.Position{Era: 1, Revision: 39}))
}
