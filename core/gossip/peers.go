package gossip

import (
	"slices"
	"time"

	"toucangw.example/core/member"
)

// gossipPeers selects the few nodes that a node exchanges with. Keeping them
// for a while bounds the number of connections and lets peers send deltas
// instead of complete values.
type gossipPeers struct {
	random  func(n int) int
	local   peerSample
	remote  peerSample
	renewAt time.Time
}

// peerSample is a random sample of the candidates.
type peerSample struct {
	candidates []member.HostID
	peers      []member.HostID
	size       int
}

func newGossipPeers(random func(n int) int) *gossipPeers {
	return &gossipPeers{random: random, local: peerSample{size: localPeers}, remote: peerSample{size: remotePeers}}
}

func (p *gossipPeers) setNodes(nodes []Node, zone string, self member.HostID) {
	p.local.candidates = p.local.candidates[:0]
	p.remote.candidates = p.remote.candidates[:0]
	for _, n := range nodes {
		switch {
		case n.ID == self:
		case n.Zone == zone:
			p.local.candidates = append(p.local.candidates, n.ID)
		default:
			p.remote.candidates = append(p.remote.candidates, n.ID)
		}
	}
	p.local.dropUnknown()
	p.remote.dropUnknown()
	p.fill()
}

// dropUnknown removes peers that are no longer candidates.
func (s *peerSample) dropUnknown() {
	s.peers = slices.DeleteFunc(s.peers, func(id member.HostID) bool { return !slices.Contains(s.candidates, id) })
}

func (p *gossipPeers) fill() {
	p.local.fill(p.random)
	p.remote.fill(p.random)
}

func (s *peerSample) fill(random func(n int) int) {
	want := min(s.size, len(s.candidates))
	for len(s.peers) < want {
		id := s.candidates[random(len(s.candidates))]
		if !slices.Contains(s.peers, id) {
			s.peers = append(s.peers, id)
		}
	}
}

// replace replaces a peer by another candidate.
func (s *peerSample) replace(id member.HostID, random func(n int) int) {
	i := slices.Index(s.peers, id)
	if i < 0 || len(s.candidates) <= s.size {
		return
	}
	for {
		next := s.candidates[random(len(s.candidates))]
		if !slices.Contains(s.peers, next) {
			s.peers[i] = next
			return
		}
	}
}

func (p *gossipPeers) onFailure(id member.HostID) {
	p.local.replace(id, p.random)
	p.remote.replace(id, p.random)
}

// tick replaces one peer of each sample every peerLifetime.
func (p *gossipPeers) tick(now time.Time) {
	if now.Before(p.renewAt) {
		return
	}
	first := p.renewAt.IsZero()
	p.renewAt = now.Add(peerLifetime)
	if first {
		return
	}
	for _, s := range []*peerSample{&p.local, &p.remote} {
		if len(s.peers) > 0 {
			s.replace(s.peers[p.random(len(s.peers))], p.random)
		}
	}
}

// pick returns a peer for an exchange, in another zone one time in four.
func (p *gossipPeers) pick() (member.HostID, bool) {
	s := &p.local
	if len(s.peers) == 0 || len(p.remote.peers) > 0 && p.random(4) == 0 {
		s = &p.remote
	}
	if len(s.peers) == 0 {
		return "", false
	}
	return s.peers[p.random(len(s.peers))], true
}

// pickSome returns peers in this node's zone and in other zones.
func (p *gossipPeers) pickSome(local, remote int) []member.HostID {
	out := p.local.pickSome(local, p.random)
	return append(out, p.remote.pickSome(remote, p.random)...)
}

func (s *peerSample) pickSome(n int, random func(n int) int) []member.HostID {
	pool := slices.Clone(s.peers)
	for len(pool) > n {
		i := random(len(pool))
		pool = slices.Delete(pool, i, i+1)
	}
	return pool
}
