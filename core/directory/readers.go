package directory

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"
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
	var ready []*Upstream
	for _, u := range s.byID {
		if u.Zone == zone && u.State == Ready {
			ready = append(ready, u)
		}
	}
	if len(ready) <= minReaderZone {
		return nil
	}
	slices.SortFunc(ready, func(a, b *Upstream) int {
		if x, y := addressHash(a.Address), addressHash(b.Address); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return ready[:readersPerZone+len(ready)/followersPerReader]
}

// ReaderCount returns the number of nodes that read the store, over all zones.
func (s *Snapshot) ReaderCount() int {
	zones := map[string]int{}
	for _, u := range s.byID {
		zones[u.Zone]++
	}
	count := 0
	for zone, hosts := range zones {
		readers := len(s.Readers(zone))
		if readers == 0 {
			readers = hosts
		}
		count += readers
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
		entries := s.All()
		slices.SortFunc(entries, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
		h := fnv.New64a()
		for _, u := range entries {
			_, _ = fmt.Fprintln(h, u.ID, u.Service, u.Address, u.Zone, u.Version, u.Slots, u.State, u.ColdRemaining > 0, u.StartedAt.UnixMilli())
		}
		s.fingerprint = h.Sum64()
	})
	return s.fingerprint
}

// AtRevision returns the same entries at another revision.
func (s *Snapshot) AtRevision(revision uint64) *Snapshot {
	out := &Snapshot{Revision: revision, byID: s.byID, byService: s.byService}
	out.fingerprintOnce.Do(func() { out.fingerprint = s.Fingerprint() })
	return out
}
