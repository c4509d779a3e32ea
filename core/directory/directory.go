// Package directory provides the view of the upstreams that register themselves
// in the platform's store.
package directory

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// State is the state that an upstream registers.
type State uint8

// States of an upstream.
const (
	Ready State = iota
	Draining
)

// Upstream is one entry of the store. It is sent to other nodes as JSON, under
// the field names unless a tag gives another.
type Upstream struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string // availability zone
	Version  string // version of its software
	Slots    int
	State    State
	Sequence uint64
	// ColdRemaining is the remaining time for which the upstream is slow after
	// its start.
	ColdRemaining time.Duration
	// StartedAt is the start time of the upstream. An entry with the same id and
	// another start time is another incarnation.
	StartedAt time.Time `json:"Born"`
}

// Snapshot is one immutable view of all upstreams.
type Snapshot struct {
	// Position is that of the store at the time of the view.
	Position
	*entries
}

// entries are the upstreams of a view, with what is derived from them at the first
// use.
type entries struct {
	byID      map[string]*Upstream
	byService map[string][]*Upstream

	fingerprintOnce sync.Once
	fingerprint     uint64
	readersOnce     sync.Once
	readersByZone   map[string][]*Upstream
}

// NewSnapshot indexes the entries. Of several entries with one address, the one
// that started last is used: an address may be reused after its owner has
// ended.
func NewSnapshot(at Position, upstreams []Upstream) *Snapshot {
	s := &Snapshot{Position: at, entries: &entries{byID: map[string]*Upstream{}, byService: map[string][]*Upstream{}}}
	newest := map[netip.AddrPort]*Upstream{}
	for i := range upstreams {
		e := &upstreams[i]
		if other := newest[e.Address]; other == nil || e.StartedAt.After(other.StartedAt) {
			newest[e.Address] = e
		}
	}
	for i := range upstreams {
		e := &upstreams[i]
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

// Service returns the upstreams of a service, including draining ones, in order
// of their addresses.
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

// ServiceShares returns the shares of the services in the upstreams: of all of them
// first, and then of those in each availability zone.
func (s *Snapshot) ServiceShares() []map[string]float64 {
	all := map[string]float64{}
	byZone := map[string]map[string]float64{}
	inZone := map[string]float64{}
	for _, u := range s.byID {
		if byZone[u.Zone] == nil {
			byZone[u.Zone] = map[string]float64{}
		}
		all[u.Service]++
		byZone[u.Zone][u.Service]++
		inZone[u.Zone]++
	}
	if len(s.byID) == 0 {
		return nil
	}
	divide(all, float64(len(s.byID)))
	out := []map[string]float64{all}
	for zone, counts := range byZone {
		divide(counts, inZone[zone])
		out = append(out, counts)
	}
	return out
}

func divide(counts map[string]float64, total float64) {
	for name := range counts {
		counts[name] /= total
	}
}

// Merge returns the view after a new read. While the store is unavailable,
// entries of running upstreams expire: if keep is set, entries that are missing
// from the read stay in the view.
func Merge(old, read *Snapshot, keep bool) *Snapshot {
	if old == nil || !keep {
		return read
	}
	merged := make([]Upstream, 0, old.Len())
	for _, u := range read.byID {
		merged = append(merged, *u)
	}
	for id, u := range old.byID {
		if read.byID[id] == nil {
			merged = append(merged, *u)
		}
	}
	return NewSnapshot(read.Position, merged)
}

// LocalUpstream is the state of the local upstream according to the store.
type LocalUpstream struct {
	ID        string
	StartedAt time.Time
	Slots     int
	Draining  bool // the upstream is draining, or its entry no longer exists
	// PreviousIDs holds the ids of the upstreams that had its address before.
	PreviousIDs map[string]bool
}

// OlderThan reports whether an incarnation that another node knows, or that has
// answered, is a later one than this state tells of.
func (l *LocalUpstream) OlderThan(startedAt time.Time) bool {
	return !l.StartedAt.IsZero() && startedAt.After(l.StartedAt)
}

// Left reports whether an incarnation takes no new requests: it was replaced, it
// drains, or its entry no longer exists.
func (l *LocalUpstream) Left(id string, startedAt time.Time) bool {
	if l.OlderThan(startedAt) {
		return false
	}
	return l.PreviousIDs[id] || l.Draining && l.ID == id
}
