package spread

import (
	"cmp"
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

// rank returns how many nodes of the zone come before self.
func rank(nodes []Node, zone string, self member.HostID) int {
	own := weight(self)
	before := 0
	for _, node := range nodes {
		if node.Zone != zone || node.ID == self {
			continue
		}
		w := weight(node.ID)
		if w > own || w == own && node.ID < self {
			before++
		}
	}
	return before
}

func weight(id member.HostID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }
