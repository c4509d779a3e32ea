// Package gossip decides how published values reach all nodes: which nodes
// read the platform, which snapshot is in force, and what nodes send each
// other. Events go in, actions come out; the package does no I/O, reads no
// clock and starts no goroutine.
//
// Values are grouped by prefix into sets. A set changes as a whole: it has one
// store revision, and a node only ever replaces it by a set with a higher one.
package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// Prefixes of the two sets and names of the values in them.
const (
	ConfigPrefix  = "config/"
	HostsPrefix   = "hosts/"
	BaseName      = ConfigPrefix + "base"
	OverlayPrefix = ConfigPrefix + "overlay/"
)

// Prefixes lists the sets that every node holds.
var Prefixes = []string{ConfigPrefix, HostsPrefix}

const (
	// ReadersPerZone is the number of nodes in an availability zone that read
	// the platform. Three survive the loss of two at the same moment.
	ReadersPerZone = 3
	// deputies watch the readers directly and take over first.
	deputies = 3
	// deputyDelay is the age of the newest sign of a reader at which deputies
	// take over. They ask one reader each signPeriod in rotation, so with two of
	// three readers dead the sign of the third is at most three periods old.
	deputyDelay = 3500 * time.Millisecond
	// otherDelay is the age at which nodes behind the deputies take over. Signs
	// reach them by gossip, which takes up to about 8 s in a zone of 1,600.
	otherDelay = 12 * time.Second
	// groupDelay separates the groups of three behind the deputies.
	groupDelay = 3 * time.Second
	// takeoverJitter spreads the nodes of one group.
	takeoverJitter = time.Second
	// actingTime is how long a node that took over keeps reading at least.
	actingTime = 30 * time.Second

	// firstFetchers is the number of readers that fetch a changed value at once;
	// the others wait for a peer to bring it, fetchDelay and another fetchStep
	// for each reader before them. A base of 400 KB read by all 39 readers at
	// 18,000 changes a day would cost each of them over 80 KB/s.
	firstFetchers = 2
	fetchDelay    = time.Second
	fetchStep     = 50 * time.Millisecond

	// ExchangePeriod is the mean time between two exchanges that a node begins.
	// At one second the busiest of 800 nodes needed 2.96 KB/s.
	ExchangePeriod = 1500 * time.Millisecond
	// startPeriod applies while no configuration is in force, and seedPeriod
	// while only seeds are known, which all starting nodes ask.
	startPeriod = 500 * time.Millisecond
	seedPeriod  = time.Second
	// signPeriod is the time between two exchanges of a deputy with a reader.
	signPeriod = time.Second
	// watchWait is how long a read of the platform may wait for a change.
	watchWait = 10 * time.Second

	localPartners  = 6
	remotePartners = 3
	localPushes    = 3
	remotePushes   = 1
	// partnerLife is the time after which one partner is replaced at random, so
	// that the graph of partners does not stay unlucky.
	partnerLife = time.Minute

	// settleTime is how long a starting node waits for peers before it takes a
	// platform answer into force.
	settleTime = 2 * time.Second
	// settlePeers is the number of answers that ends the wait early.
	settlePeers = 3
	// startSpread is the range of the random delay before a starting node that
	// got no values from its seeds reads the platform itself.
	startSpread = 4 * time.Second

	minBackOff = 500 * time.Millisecond
	maxBackOff = 5 * time.Second
)

// Config describes a node.
type Config struct {
	Self        member.HostID
	Incarnation uint64
	Zone        string
	// Seeds stand for the peers asked before a host list is known. They are
	// handed back in actions as they are.
	Seeds []member.HostID
	// IsSeed is set on a node that others use as a seed; it reads the platform
	// at start without waiting for other seeds.
	IsSeed bool
	// Random returns a number in [0, n) from a seeded source.
	Random func(n int) int
}

// Node is a node as the dissemination sees it.
type Node struct {
	ID   member.HostID
	Zone string
}

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Tick reports that time has passed; TickPeriod apart.
type Tick struct{}

// TickPeriod is the time between Tick events.
const TickPeriod = 100 * time.Millisecond

// NodesChanged replaces the nodes that may be readers and partners (leaving
// hosts left out). The slice must not change afterwards.
type NodesChanged struct{ Nodes []Node }

// PlatformRead reports an answer to Read.
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

// Validated reports the result of Judge. Reason is empty if the set is valid.
type Validated struct {
	Prefix   string
	Revision uint64
	Reason   string
}

// HostStateReceived reports what a host says of itself, or what this node says of
// itself.
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
// revision, waiting for a change up to Wait.
type Read struct {
	Prefix       string
	After        uint64
	Wait         time.Duration
	RevisionOnly bool // leave out the values: only the revision is wanted
}

// SendExchange sends an exchange request to a node.
type SendExchange struct {
	To      member.HostID
	Request *ExchangeRequest
}

// SendPush sends values or facts to a node.
type SendPush struct {
	To       member.HostID
	Request  *PushRequest
	FollowUp bool // copied to PushReplied
}

// Validate asks whether a set is valid. With All set (read from the platform by
// this node) it must be valid with every overlay; otherwise another node has
// judged that, and the overlay of the own site suffices. The answer is Judged.
type Validate struct {
	Snapshot    *Snapshot
	AllOverlays bool
}

// Activate reports that a set is in force.
type Activate struct{ Snapshot *Snapshot }

// HostStateChanged reports a new fact about a host.
type HostStateChanged struct{ State HostState }

func (Read) isAction()             {}
func (SendExchange) isAction()     {}
func (SendPush) isAction()         {}
func (Validate) isAction()         {}
func (Activate) isAction()         {}
func (HostStateChanged) isAction() {}
