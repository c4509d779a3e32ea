package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// SnapshotVersion tells which set a node holds.
type SnapshotVersion struct {
	Prefix string
	Active uint64 // store revision in force
	Latest uint64 // newest store revision held, in force or not
	// Versions lists the values held. It is only set in a request that asks for
	// all values that differ.
	Versions []Version
	// Rejected is the newest store revision known to be not valid, above
	// InForce; 0 for none. Reason is set in replies to nodes that do not know.
	Rejected uint64
	Reason   string
}

// Version names one revision of a value.
type Version struct {
	Name     string
	Revision uint64
}

// Update turns the set at one store revision into a later one.
type Update struct {
	Prefix string
	From   uint64 // 0: the update applies to whatever the receiver listed
	To     uint64
	Digest Digest // of the resulting set
	Deltas []Delta
	// Versions lists all values of the resulting set if From is 0, so that the
	// receiver drops others; Removed lists the dropped ones otherwise.
	Versions []Version
	Removed  []string
}

// ReaderHeartbeat is the newest sign of a reader in the sender's availability zone.
type ReaderHeartbeat struct {
	Zone   string
	Reader member.HostID // empty if none was seen
	Age    time.Duration // at most NoSign
}

// MaxHeartbeatAge is the highest age of a sign that is sent.
const MaxHeartbeatAge = time.Hour

// ExchangeRequest compares what two nodes hold.
type ExchangeRequest struct {
	From            member.HostID
	Snapshots       []SnapshotVersion
	HostStateDigest uint64 // digest of the facts held
	Heartbeat       ReaderHeartbeat
}

// ExchangeReply carries what the asking node lacks.
type ExchangeReply struct {
	Snapshots       []SnapshotVersion // what the answering node holds
	Updates         []Update
	HostStateDigest uint64      // of the facts held
	HostStates      []HostState // set if the digests differ
	Heartbeat       ReaderHeartbeat
}

// PushRequest hands over what has just changed.
type PushRequest struct {
	From       member.HostID
	Updates    []Update
	HostStates []HostState
	Heartbeat  ReaderHeartbeat
}

// PushReply tells what the receiver holds now.
type PushReply struct {
	Snapshots []SnapshotVersion
}

// PlatformAnswer is what the platform holds under a prefix.
type PlatformAnswer struct {
	Revision uint64 // store revision of the newest change under the prefix
	Digest   Digest // of all values under the prefix
	Values   []Value
	Deleted  []string
}
