package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// SnapshotVersion states which revisions of a snapshot a node has.
type SnapshotVersion struct {
	Prefix string
	Active uint64 // store revision of the active snapshot
	Latest uint64 // newest store revision received; may be active, rejected or pending validation
	// Versions lists the values that the node has. It is only set in a request
	// for all values that differ.
	Versions []Version
	// Rejected is the newest store revision known to be invalid, above Active;
	// 0 for none. Reason is set in replies to nodes that do not know of the
	// rejection.
	Rejected uint64
	Reason   string
}

// Version names one revision of a value.
type Version struct {
	Name     string
	Revision uint64
}

// Update turns the snapshot at one store revision into a later one.
type Update struct {
	Prefix string
	From   uint64 // 0: the update applies to the values that the receiver listed
	To     uint64
	Digest Digest // of the resulting snapshot
	Deltas []Delta
	// Versions lists all values of the resulting snapshot if From is 0, so that
	// the receiver drops others; otherwise Removed lists the values to drop.
	Versions []Version
	Removed  []string
}

// ReaderHeartbeat is the newest proof known to the sender that a reader in its
// availability zone is alive.
type ReaderHeartbeat struct {
	Zone   string
	Reader member.HostID // empty if none is known
	Age    time.Duration // since the reader sent it; at most MaxHeartbeatAge
}

// MaxHeartbeatAge is the highest heartbeat age that is sent.
const MaxHeartbeatAge = time.Hour

// ExchangeRequest starts an exchange: the sender lists what it has.
type ExchangeRequest struct {
	From            member.HostID
	Snapshots       []SnapshotVersion
	HostStateDigest uint64 // digest of the host states known
	Heartbeat       ReaderHeartbeat
}

// ExchangeReply returns what the requesting node lacks.
type ExchangeReply struct {
	Snapshots       []SnapshotVersion // versions of the answering node
	Updates         []Update
	HostStateDigest uint64      // of the host states known
	HostStates      []HostState // set if the digests differ
	Heartbeat       ReaderHeartbeat
}

// PushRequest sends changes that have just become active, or what the receiver
// was found to lack.
type PushRequest struct {
	From       member.HostID
	Updates    []Update
	HostStates []HostState
	Heartbeat  ReaderHeartbeat
}

// PushReply returns the versions of the receiver after the push.
type PushReply struct {
	Snapshots []SnapshotVersion
}

// PlatformAnswer is the answer of the platform to a Read.
type PlatformAnswer struct {
	Revision uint64 // store revision of the newest change under the prefix
	Digest   Digest // of all values under the prefix
	Values   []Value
	Deleted  []string
}
