package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// keepAlivePeers is the number of nodes of the same service, and of others, that get
	// a message in a round with keep-alives even if nothing has changed for them.
	keepAlivePeers = 2
	// maxDirectPeers is the number of other nodes up to which each change goes to all of
	// them. In larger fleets suspects stay within their service; nodes of other services
	// learn of quarantined requests by keep-alives, and pass them on.
	maxDirectPeers = 64
	// peerMemory is how long a node is kept after its upstream has left the list. The
	// upstream may have crashed; its node still serves clients.
	peerMemory = 5 * time.Minute
	// MaxRecords bounds the records in one Message.
	MaxRecords = 256
)

// Peer is another node.
type Peer struct {
	Address     string
	SameService bool // it is in front of an upstream of the same service
}

// Message is what one node is to be sent.
type Message struct {
	Peer    string // address
	Records []Record
	Scope   Scope // of the records that the node is to have
	// Digest is that of the sender's table. The node compares it with its own after it
	// has merged the records.
	Digest uint64

	upTo uint64 // number of the last change in the table
}

// Reply is the response to a Message.
type Reply struct {
	Process string `json:"process"` // identifies the process that has replied
	Same    bool   `json:"same"`    // it has the records of the sender
}

// Sharing decides which changes of a Table are sent to which nodes. What a node has seen
// itself, and who is quarantined, goes to all nodes of a small fleet. It is sent again
// until it is acknowledged. The reply to a message also shows whether the node was
// restarted and lacks records; therefore a few nodes get one in any case while there are
// entries. Sharing is safe for concurrent use.
type Sharing struct {
	table  *Table
	random func(n int) int // from 0 to n-1
	direct int             // maxDirectPeers

	mu    sync.Mutex
	peers map[string]*peerState
}

// peerState is what this node knows of another one's table.
type peerState struct {
	Peer
	listedAt time.Time
	process  string // that has replied last; empty before the first reply
	acked    uint64 // number of the last change that it has
	busy     bool   // a message is on its way
}

// NewSharing returns the sharing of a table.
func NewSharing(t *Table, random func(n int) int) *Sharing {
	return &Sharing{table: t, random: random, direct: maxDirectPeers, peers: map[string]*peerState{}}
}

// Next returns the messages to send now. Delivered or Failed must be called for each.
func (s *Sharing) Next(now time.Time, listed []Peer, keepAlive bool) []*Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now, listed)
	chosen := map[*peerState]bool{}
	if keepAlive {
		chosen = s.chooseKeepAlive()
	}
	direct := len(s.peers) <= s.direct
	var out []*Message
	for _, p := range s.peers {
		if p.busy || !chosen[p] && !direct && !p.SameService {
			continue
		}
		scope := Scope{PublicOnly: !direct && !p.SameService}
		// What was learned goes only to nodes that turn out to lack it.
		changes := Scope{PublicOnly: scope.PublicOnly, NotLearned: p.process == ""}
		records, upTo := s.table.Changes(p.acked, changes, MaxRecords)
		if len(records) == 0 && !chosen[p] {
			if p.process != "" {
				p.acked = upTo
			}
			continue
		}
		p.busy = true
		out = append(out, &Message{Peer: p.Address, Records: records, Scope: scope, Digest: s.table.Digest(scope), upTo: upTo})
	}
	return out
}

// Delivered records the reply to a message. It reports whether there is more to send to
// the node at once.
func (s *Sharing) Delivered(m *Message, r Reply) (more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.Peer]
	if p == nil {
		return false
	}
	started := p.process != r.Process
	p.busy, p.process = false, r.Process
	if started && !r.Same {
		p.acked = 0 // it lacks what others have told this node, or what its predecessor had
		return true
	}
	p.acked = max(p.acked, m.upTo)
	return len(m.Records) == MaxRecords
}

// Failed records that a message was not acknowledged. It is sent again.
func (s *Sharing) Failed(m *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[m.Peer]; p != nil {
		p.busy = false
	}
}

// update adds the listed nodes, and forgets those that have not been listed for
// peerMemory. s.mu must be held.
func (s *Sharing) update(now time.Time, listed []Peer) {
	for _, l := range listed {
		p := s.peers[l.Address]
		if p == nil {
			p = &peerState{Peer: l}
			s.peers[l.Address] = p
		}
		if l.SameService != p.SameService {
			p.SameService, p.acked = l.SameService, 0
		}
		p.listedAt = now
	}
	maps.DeleteFunc(s.peers, func(_ string, p *peerState) bool { return !p.busy && now.Sub(p.listedAt) > peerMemory })
}

// chooseKeepAlive returns random nodes of this service and of others. s.mu must be
// held.
func (s *Sharing) chooseKeepAlive() map[*peerState]bool {
	var same, others []*peerState
	for _, p := range s.peers {
		if p.SameService {
			same = append(same, p)
		} else {
			others = append(others, p)
		}
	}
	chosen := map[*peerState]bool{}
	for _, list := range [][]*peerState{same, others} {
		slices.SortFunc(list, func(a, b *peerState) int { return strings.Compare(a.Address, b.Address) })
		for range min(len(list), keepAlivePeers) {
			i := s.random(len(list))
			chosen[list[i]] = true
			list = slices.Delete(list, i, i+1)
		}
	}
	return chosen
}
