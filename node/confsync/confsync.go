// Package confsync keeps the configuration and the host view of a node up to
// date. It executes the actions of core/gossip: it reads and watches the
// platform, exchanges values with other nodes and compiles snapshots.
package confsync

import (
	"context"
	"log/slog"

	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/peer"
)

// Peers sends messages to other nodes. Implementations are safe for concurrent
// use.
type Peers interface {
	Exchange(ctx context.Context, host member.Host, req *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	Push(ctx context.Context, host member.Host, req *peer.PushRequest) (*peer.PushReply, error)
}

// Compiler compiles a configuration. The result contains at least the policy of
// the node's site: under the name of the site if overlays has an entry for it,
// otherwise under the empty name. An error means that the configuration is not
// valid. A Compiler is not called concurrently.
type Compiler func(revision uint64, base []byte, overlays map[string][]byte) (map[string]*policy.Policy, error)

// Config describes a node to the service.
type Config struct {
	Self          member.Host
	Incarnation   uint64
	Site          string
	PlatformAddrs []string // IP:port, tried in turn
	Seeds         []string // peer addresses (IP:port) to contact at start, before a host list is known
	Peers         Peers
	Compiler      Compiler
	// OnPolicy is called when a configuration becomes active, OnHosts when the
	// eligible hosts per service change. Neither is called concurrently; they
	// must not call the service.
	OnPolicy func(*policy.Policy)
	OnHosts  func(map[string][]member.Host)
	Logger   *slog.Logger
	Seed     uint64 // of the random number generator
}
