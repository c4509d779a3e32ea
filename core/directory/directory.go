// Package directory keeps the view of the upstreams that register themselves
// in the platform's store.
package directory

import (
	"net/netip"
	"slices"
	"time"
)

// State is what an upstream says of itself.
type State uint8

// States of an upstream.
const (
	Ready State = iota
	Draining
)

// Upstream is one entry of the store.
type Upstream struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string // availability zone
	Version  string // version of its software
	Slots    int
	State    State
	Sequence uint64
	// ColdRemaining is how much longer it stays slow after its start.
	ColdRemaining time.Duration
	// Born is the time of its start. An entry with the same id and another
	// start is another incarnation.
	Born time.Time
}

// Snapshot is one immutable view of all upstreams.
type Snapshot struct {
	// Revision is the revision of the store at which the view was read.
	Revision  uint64
	byID      map[string]*Upstream
	byService map[string][]*Upstream
}

// NewSnapshot indexes the entries. Of two entries with one address, the one
// that was born last holds: an address is used again after its owner ended.
func NewSnapshot(revision uint64, entries []Upstream) *Snapshot {
	s := &Snapshot{Revision: revision, byID: map[string]*Upstream{}, byService: map[string][]*Upstream{}}
	newest := map[netip.AddrPort]*Upstream{}
	for i := range entries {
		e := &entries[i]
		if other := newest[e.Address]; other == nil || e.Born.After(other.Born) {
			newest[e.Address] = e
		}
	}
	for i := range entries {
		e := &entries[i]
		s.byID[e.ID] = e
		if newest[e.Address] == e {
			s.byService[e.Service] = append(s.byService[e.Service], e)
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return a.Address.Compare(b.Address) })
	}
	return s
}

// Get returns the upstream with an id, or nil.
func (s *Snapshot) Get(id string) *Upstream { return s.byID[id] }

// Service returns the upstreams of a service in order of their addresses,
// those that are draining included.
func (s *Snapshot) Service(service string) []*Upstream { return s.byService[service] }

// At returns the upstream of a service at an address, or nil.
func (s *Snapshot) At(service string, address netip.AddrPort) *Upstream {
	for _, u := range s.byService[service] {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// Len returns the number of entries.
func (s *Snapshot) Len() int { return len(s.byID) }

// All returns the entries in no particular order.
func (s *Snapshot) All() []*Upstream {
	out := make([]*Upstream, 0, len(s.byID))
	for _, u := range s.byID {
		out = append(out, u)
	}
	return out
}

// Merge returns the view after a new read. While the store is away entries
// of living upstreams lapse: with keep, entries that are missing from the read
// stay in the view.
func Merge(old, read *Snapshot, keep bool) *Snapshot {
	if old == nil || !keep {
		return read
	}
	entries := make([]Upstream, 0, old.Len())
	for _, u := range read.byID {
		entries = append(entries, *u)
	}
	for id, u := range old.byID {
		if read.byID[id] == nil {
			entries = append(entries, *u)
		}
	}
	return NewSnapshot(read.Revision, entries)
}

// Own is what the store says of the upstream that a node guards.
type Own struct {
	ID      string
	Slots   int
	Leaving bool // it drains, or its entry is gone
	// Past holds the ids of the upstreams that had its address before.
	Past map[string]bool
}
