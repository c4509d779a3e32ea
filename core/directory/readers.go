package directory

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
)

const (
	// minReaderZone is the number of ready upstreams of an availability zone up
	// to which every node reads the store itself.
	minReaderZone = 8
	// readersPerZone is the least number of readers of a larger zone, so that
	// some remain if others are down or cut off from the store.
	readersPerZone = 3
	// followersPerReader bounds the nodes that one reader serves.
	followersPerReader = 64
)

// Readers returns the upstreams of a zone whose nodes read the store on behalf of
// the zone, the same at every node that has the same view. They are chosen by a
// hash of their addresses, without communication. It returns nil if all nodes of
// the zone read the store themselves.
func (s *Snapshot) Readers(zone string) []*Upstream {
	s.readersOnce.Do(func() { s.readersByZone = s.chooseReaders() })
	return s.readersByZone[zone]
}

// chooseReaders returns the readers of the zones that have some.
func (s *Snapshot) chooseReaders() map[string][]*Upstream {
	ready := map[string][]*Upstream{}
	hashes := make(map[*Upstream]uint64, len(s.byID))
	for _, u := range s.byID {
		if u.State == Ready {
			ready[u.Zone] = append(ready[u.Zone], u)
			hashes[u] = addressHash(u.Address)
		}
	}
	out := map[string][]*Upstream{}
	for zone, hosts := range ready {
		if len(hosts) <= minReaderZone {
			continue
		}
		slices.SortFunc(hosts, func(a, b *Upstream) int {
			if c := cmp.Compare(hashes[a], hashes[b]); c != 0 {
				return c
			}
			return a.Address.Compare(b.Address)
		})
		out[zone] = hosts[:readersPerZone+len(hosts)/followersPerReader]
	}
	return out
}

// ReaderCount returns the number of nodes that read the store, over all zones.
func (s *Snapshot) ReaderCount() int {
	hosts := map[string]int{}
	for _, u := range s.byID {
		hosts[u.Zone]++
	}
	count := 0
	for zone, n := range hosts {
		if readers := len(s.Readers(zone)); readers > 0 {
			n = readers
		}
		count += n
	}
	return count
}

func addressHash(a netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.String()))
	// The low bits of FNV depend mostly on the last bytes; mixing spreads
	// addresses that differ in their last digit only.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Fingerprint returns a hash of the entries, without what changes while an
// upstream does not. Views with the same entries have the same fingerprint,
// whatever their revisions.
func (s *Snapshot) Fingerprint() uint64 {
	s.fingerprintOnce.Do(func() {
		all := s.All()
		slices.SortFunc(all, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
		h := fnv.New64a()
		for _, u := range all {
			_, _ = fmt.Fprintln(h, u.ID, u.Service, u.Address, u.Zone, u.Version, u.Slots, u.State, u.ColdRemaining > 0, u.StartedAt.UnixMilli())
		}
		s.fingerprint = h.Sum64()
	})
	return s.fingerprint
}

// AtPosition returns the same entries at another position.
func (s *Snapshot) AtPosition(at Position) *Snapshot {
	return &Snapshot{Position: at, entries: s.entries}
}
