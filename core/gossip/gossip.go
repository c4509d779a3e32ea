// Package gossip distributes published values to all nodes: it decides which
// nodes read the platform, which snapshot is active, and which messages nodes
// exchange. It is a pure state machine that turns events into actions; it does
// no I/O, reads no clock and starts no goroutine.
//
// Values are grouped by prefix into snapshots. A snapshot has one store
// revision, and a node replaces it only by a complete snapshot with a higher
// revision.
package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// Prefixes of the two snapshots and names of the values in them.
const (
	ConfigPrefix  = "config/"
	HostsPrefix   = "hosts/"
	BaseName      = ConfigPrefix + "base"
	OverlayPrefix = ConfigPrefix + "overlay/"
)

// Prefixes lists the prefixes whose snapshots every node replicates.
var Prefixes = []string{ConfigPrefix, HostsPrefix}

const (
	// ReadersPerZone is the number of nodes in an availability zone that read
	// the platform. With three, reading continues when two of them fail at the
	// same moment.
	ReadersPerZone = 3
	// standbyReaders is the number of nodes next in order that poll the readers
	// directly and take over first.
	standbyReaders = 3
	// standbyTimeout is the age of the newest reader heartbeat at which standby
	// readers take over. Each polls one reader every heartbeatPeriod in
	// rotation, so with two of three readers dead the heartbeat of the third is
	// at most three periods old.
	standbyTimeout = 3500 * time.Millisecond
	// fallbackTimeout is the age at which nodes behind the standby readers take
	// over. Heartbeats reach them by gossip, which takes up to about 8 s in a
	// zone of 1,600 nodes.
	fallbackTimeout = 12 * time.Second
	// fallbackStep is the additional timeout of each further group of three
	// nodes behind the standby readers.
	fallbackStep = 3 * time.Second
	// takeoverJitter is the range of the random delay that keeps the nodes of
	// one group from taking over at once.
	takeoverJitter = time.Second
	// minActingTime is the minimum time for which a node that took over keeps
	// reading.
	minActingTime = 30 * time.Second

	// firstFetchers is the number of readers that fetch a changed value at
	// once; the others wait to receive it from a peer, for fetchDelay plus one
	// fetchStep for each reader before them. If all 39 readers fetched a base
	// of 400 KB at 18,000 changes a day, each would use over 80 KB/s.
	firstFetchers = 2
	fetchDelay    = time.Second
	fetchStep     = 50 * time.Millisecond

	// ExchangePeriod is the mean time between two exchanges that a node
	// initiates. At one second the busiest of 800 nodes needed 2.96 KB/s.
	ExchangePeriod = 1500 * time.Millisecond
	// bootstrapPeriod applies while no configuration is active, and seedPeriod
	// while only the seeds are known, which all starting nodes ask.
	bootstrapPeriod = 500 * time.Millisecond
	seedPeriod      = time.Second
	// heartbeatPeriod is the time between two exchanges of a standby reader
	// with readers.
	heartbeatPeriod = time.Second
	// watchWait is how long the platform may delay its answer to a read until
	// there is a change.
	watchWait = 10 * time.Second

	localPeers   = 6
	remotePeers  = 3
	localPushes  = 3
	remotePushes = 1
	// peerLifetime is the time after which one gossip peer is replaced at
	// random, so that an unfavourable graph of peers does not persist.
	peerLifetime = time.Minute

	// bootstrapTimeout is how long a starting node waits for replies of peers
	// before it validates a configuration.
	bootstrapTimeout = 2 * time.Second
	// bootstrapPeers is the number of peers with a configuration whose replies
	// end the wait early.
	bootstrapPeers = 3
	// startupReadJitter is the range of the random delay before a starting node
	// that got no values from its seeds reads the platform itself.
	startupReadJitter = 4 * time.Second

	minBackOff = 500 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// Config describes a node.
type Config struct {
	Self        member.HostID
	Incarnation uint64
	Zone        string
	// Seeds identify the peers to ask before a host list is known. They are
	// returned unchanged in actions.
	Seeds []member.HostID
	// IsSeed is set on a node that others use as a seed; it reads the platform
	// at start without waiting for other seeds.
	IsSeed bool
	// Random returns a number in [0, n) from a seeded source.
	Random func(n int) int
}

// Node is a node that takes part in gossip.
type Node struct {
	ID   member.HostID
	Zone string
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Tick reports that time has passed. It is due every TickPeriod.
type Tick struct{}

// TickPeriod is the time between Tick events.
const TickPeriod = 100 * time.Millisecond

// NodesChanged replaces the nodes that may be readers and gossip peers (without
// leaving hosts). The slice must not change afterwards.
type NodesChanged struct{ Nodes []Node }

// PlatformRead reports the answer to a Read.
type PlatformRead struct {
	Prefix       string
	After        uint64 // as in Read
	RevisionOnly bool   // as in Read
	Answer       PlatformAnswer
}

// PlatformFailed reports that a Read got no usable answer.
type PlatformFailed struct{ Prefix string }

// ExchangeReplied reports the reply to SendExchange.
type ExchangeReplied struct {
	From  member.HostID
	Reply *ExchangeReply
}

// PushReplied reports the reply to SendPush.
type PushReplied struct {
	From     member.HostID
	Reply    *PushReply
	FollowUp bool
}

// PeerFailed reports that SendExchange or SendPush got no reply.
type PeerFailed struct{ Peer member.HostID }

// Validated reports the result of Validate. Reason is empty if the snapshot is
// valid.
type Validated struct {
	Prefix   string
	Revision uint64
	Reason   string
}

// HostStateReceived reports a host state announced by another host or by this
// node.
type HostStateReceived struct{ State HostState }

func (Tick) isEvent()              {}
func (NodesChanged) isEvent()      {}
func (PlatformRead) isEvent()      {}
func (PlatformFailed) isEvent()    {}
func (ExchangeReplied) isEvent()   {}
func (PushReplied) isEvent()       {}
func (PeerFailed) isEvent()        {}
func (Validated) isEvent()         {}
func (HostStateReceived) isEvent() {}

// Action is an output of State.
type Action interface{ isAction() }

// Read asks the platform for the values under a prefix that changed after a
// revision. The platform may wait up to Wait for a change.
type Read struct {
	Prefix       string
	After        uint64
	Wait         time.Duration
	RevisionOnly bool // return the revision without values
}

// SendExchange sends an exchange request to a node.
type SendExchange struct {
	To      member.HostID
	Request *ExchangeRequest
}

// SendPush sends snapshot updates or host states to a node.
type SendPush struct {
	To       member.HostID
	Request  *PushRequest
	FollowUp bool // copied to PushReplied; the reply is not answered with another push
}

// Validate asks whether a snapshot is valid. With AllOverlays set (this node
// read it from the platform) it must be valid with every overlay; otherwise
// another node has validated that, and the overlay of this node's site
// suffices. The result is Validated.
type Validate struct {
	Snapshot    *Snapshot
	AllOverlays bool
}

// Activate reports that a snapshot is now active.
type Activate struct{ Snapshot *Snapshot }

// HostStateChanged reports a new state of a host.
type HostStateChanged struct{ State HostState }

func (Read) isAction()             {}
func (SendExchange) isAction()     {}
func (SendPush) isAction()         {}
func (Validate) isAction()         {}
func (Activate) isAction()         {}
func (HostStateChanged) isAction() {}
