// Package discovery keeps a node's configuration and its view of the upstreams
// up to date from a store that can only be read.
//
// The configuration and the entry of the local upstream are watched, since they
// change rarely: the node is the only way to that upstream, so that one that
// leaves gets no new work once its own node knows. The list of all upstreams is
// polled with cheap stale reads; a watch of it would wake every node of the
// fleet for each upstream that comes or goes.
package discovery

import (
	"context"
	"errors"
	"time"

	"toucangw.example/core/directory"
	"toucangw.example/core/routetable"
)

// ErrHistoryGone is returned by a watch whose start is no longer available.
var ErrHistoryGone = errors.New("history is no longer available")

// ErrNotFound is returned if the store holds no such item.
var ErrNotFound = errors.New("not found")

// Source reads the store. Implementations are safe for concurrent use.
type Source interface {
	// Config reads the newest configuration and its revision. A stale read is
	// cheaper and may be seconds old.
	Config(ctx context.Context, stale bool) (*routetable.Config, uint64, error)
	// WatchConfig waits for a configuration after a revision. The
	// configuration is nil if there is none within wait.
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routetable.Config, uint64, error)
	// Decode reads a configuration document that another node handed on.
	Decode(document []byte) (*routetable.Config, error)
	// Upstreams reads all entries.
	Upstreams(ctx context.Context, stale bool) (*directory.Snapshot, error)
	// Upstream reads one entry and the revision of the store; ErrNotFound if
	// there is none.
	Upstream(ctx context.Context, id string) (*directory.Upstream, uint64, error)
	// WatchUpstream waits for a change of one entry after a revision.
	WatchUpstream(ctx context.Context, id string, after uint64, wait time.Duration) (Change, error)
}

// Change is what a watch of one entry saw.
type Change struct {
	// Upstream is the newest form of the entry; nil without one.
	Upstream *directory.Upstream
	// Removed is set if the entry was removed last.
	Removed bool
	// Revision to continue from.
	Revision uint64
}

// Sink takes what is read.
type Sink interface {
	SetRoutes(*routetable.Config)
	SetHosts(*directory.Snapshot)
	// SetLocalUpstream takes the state of the local upstream.
	SetLocalUpstream(directory.Own)
}
