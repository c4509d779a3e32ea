package node

import (
	"context"
	"errors"
	"io"
	"net/netip"

	"toucangw.example/core/admit"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/pressure"
	"toucangw.example/core/retry"
	"toucangw.example/core/route"
	"toucangw.example/node/confsync"
	"toucangw.example/node/peerlink"
	"toucangw.example/peer"
	"toucangw.example/settings"
)

// ErrDrainIncomplete means that the node stopped before its calls in flight had
// ended.
var ErrDrainIncomplete = errors.New("stopped before all calls in flight had ended")

// Policies are the implementations of the decision packages in core that a node
// uses.
type Policies struct {
	Admit    admit.Builder
	Route    route.Builder
	Budget   retry.Builder
	Pressure pressure.Builder
	// Keys creates the table of idempotency keys. If the table has a method
	// SetLimits, the node calls it with the limits of each configuration.
	Keys func(host member.HostID, incarnation uint64) idempotency.Ledger
}

// Options configures a node.
type Options struct {
	Settings    *settings.Node
	Incarnation uint64 // identifies this process of the host; a later process has a larger one
	Policies    Policies
	Output      io.Writer // log
	// Source creates the source of configuration and hosts. If nil, the node uses
	// the platform named in the settings.
	Source func(SourceConfig) Source
}

// SourceConfig configures a Source.
type SourceConfig struct {
	Settings    *settings.Node
	Incarnation uint64
	Links       *peerlink.Links
	OnPolicy    func(*policy.Policy)
	OnHosts     func(map[string][]member.Host)
}

// Source keeps the configuration and the host view up to date. confsync.Service
// implements it. Implementations are safe for concurrent use.
type Source interface {
	Run(ctx context.Context) error
	HandleExchange(ctx context.Context, m *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	HandlePush(ctx context.Context, m *peer.PushRequest) (*peer.PushReply, error)
	Allowed(host string, ip netip.Addr) bool
	PeerLeaving(host member.HostID, incarnation uint64)
	PeerAlive(host member.HostID, incarnation uint64)
	SelfLeaving()
	Status() confsync.Status
}
