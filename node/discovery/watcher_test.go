package discovery

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
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

func (s *fakeSource) Config(_ context.Context, stale bool) (*routetable.Config, uint64, error) {
	if !s.read(stale) {
		return nil, 0, ErrNotFound
	}
	return &routetable.Config{Version: 7}, 1, nil
}

func (s *fakeSource) WatchConfig(ctx context.Context, _ uint64, _ time.Duration) (*routetable.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *fakeSource) Decode([]byte) (*routetable.Config, error) { return nil, errors.New("no node") }

func (s *fakeSource) Upstreams(_ context.Context, stale bool) (*directory.Snapshot, error) {
	if !s.read(stale) {
		return directory.NewSnapshot(1, nil), nil
	}
	return directory.NewSnapshot(2, []directory.Upstream{s.upstream}), nil
}

func (s *fakeSource) Upstream(context.Context, string) (*directory.Upstream, uint64, error) {
	return nil, 0, ErrNotFound
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
