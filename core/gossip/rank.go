package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucangw.example/core/member"
)

// Readers returns the nodes of an availability zone that read the platform, in
// rendezvous order, as seen by a node that knows these nodes.
func Readers(nodes []Node, zone string, n int) []member.HostID {
	type ranked struct {
		id     member.HostID
		weight uint64
	}
	var all []ranked
	for _, node := range nodes {
		if node.Zone == zone {
			all = append(all, ranked{node.ID, weight(node.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	out := make([]member.HostID, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.id)
	}
	return out
}

// allReaders returns the readers of all zones.
func allReaders(nodes []Node) []member.HostID {
	zones := map[string][]Node{}
	for _, node := range nodes {
		zones[node.Zone] = append(zones[node.Zone], node)
	}
	var out []member.HostID
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, Readers(zones[zone], zone, ReadersPerZone)...)
	}
	return out
}

// fetchOrder returns the position of a reader in the order in which readers
// fetch a change. It differs for each change, so that the load is shared.
func fetchOrder(readers []member.HostID, self member.HostID, revision uint64) int {
	own := fetchWeight(self, revision)
	preceding := 0
	for _, id := range readers {
		if id != self && fetchWeight(id, revision) > own {
			preceding++
		}
	}
	return preceding
}

func fetchWeight(id member.HostID, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), revision))
}

// rank returns how many nodes of the zone precede self in rendezvous order.
func rank(nodes []Node, zone string, self member.HostID) int {
	own := weight(self)
	preceding := 0
	for _, node := range nodes {
		if node.Zone != zone || node.ID == self {
			continue
		}
		w := weight(node.ID)
		if w > own || w == own && node.ID < self {
			preceding++
		}
	}
	return preceding
}

func weight(id member.HostID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }
