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

// emptySource is a store without items until it is filled. Its watches never
// tell anything.
type emptySource struct {
	mu       sync.Mutex
	filled   bool
	fresh    int // linearizable reads
	stale    int
	upstream directory.Upstream
}

func (s *emptySource) read(stale bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale {
		s.stale++
	} else {
		s.fresh++
	}
	return s.filled
}

func (s *emptySource) Config(_ context.Context, stale bool) (*routetable.Config, uint64, error) {
	if !s.read(stale) {
		return nil, 0, ErrNotFound
	}
	return &routetable.Config{Version: 7}, 1, nil
}

func (s *emptySource) WatchConfig(ctx context.Context, _ uint64, _ time.Duration) (*routetable.Config, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (s *emptySource) Decode([]byte) (*routetable.Config, error) { return nil, errors.New("no node") }

func (s *emptySource) Upstreams(_ context.Context, stale bool) (*directory.Snapshot, error) {
	if !s.read(stale) {
		return directory.NewSnapshot(1, nil), nil
	}
	return directory.NewSnapshot(2, []directory.Upstream{s.upstream}), nil
}

func (s *emptySource) Upstream(context.Context, string) (*directory.Upstream, uint64, error) {
	return nil, 0, ErrNotFound
}

func (s *emptySource) WatchUpstream(ctx context.Context, _ string, _ uint64, _ time.Duration) (Change, error) {
	<-ctx.Done()
	return Change{}, ctx.Err()
}

// recorder is a Sink that keeps what it was told last.
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

func (r *recorder) SetLocalUpstream(directory.Own) {}

func (r *recorder) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version == 7 && r.hosts == 1
}

// Guards the load of the store when all nodes start before it holds anything:
// few of their reads are linearizable, and what is written is still found soon.
func TestStartBeforeTheStoreHoldsAnything(t *testing.T) {
	source := &emptySource{upstream: directory.Upstream{ID: "i-1", Service: "deep", State: directory.Ready}}
	sink := &recorder{}
	f := New(Config{
		Source: source, Sink: sink, Service: "front", Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Count: func(string, error) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	time.Sleep(1500 * time.Millisecond)
	source.mu.Lock()
	fresh, stale := source.fresh, source.stale
	source.filled = true
	source.mu.Unlock()
	assert.LessOrEqual(t, fresh, 7)
	assert.Greater(t, stale, 10)
	require.Eventually(t, sink.complete, time.Second, 10*time.Millisecond)
}
