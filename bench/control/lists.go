package control

import (
	"fmt"
	"strings"
	"time"

	"toucangw.example/core/gossip/gossiptest"
	"toucangw.example/core/member"
)

// HostSizes are the numbers of hosts that Lists and Memory measure.
var HostSizes = []int{1_000, 5_000, 10_000, 15_000, targetHosts}

// hostIDs returns the ids of the hosts by zone.
func hostIDs(hosts int) map[string][]member.HostID {
	out := map[string][]member.HostID{}
	for i := range hosts {
		zone := gossiptest.ZoneName(i % targetZones)
		out[zone] = append(out[zone], member.HostID(fmt.Sprintf("host-%05d", i)))
	}
	return out
}

// Lists measures the processor time of a change of the host list of one zone
// among 13: parsing it, updating the view, and grouping the hosts by service.
func Lists() ([]Row, error) {
	cost := &series{scenario: "host list", variant: "one host leaves, 13 zones", metric: "processor time per change", unit: "ms", per: "hosts"}
	size := &series{scenario: "host list", variant: "list of one zone", metric: "body", unit: "bytes", per: "hosts"}
	now := time.Unix(0, 0)
	for _, hosts := range HostSizes {
		view := member.New()
		bodies := map[string]string{}
		for zone, ids := range hostIDs(hosts) {
			bodies[zone] = gossiptest.ListBody(zone, ids)
			list, err := member.ParseList(member.ListPrefix+zone, []byte(bodies[zone]))
			if err != nil {
				return nil, err
			}
			view.SetList(now, list)
		}
		zone := gossiptest.ZoneName(0)
		variants := []string{bodies[zone], strings.Replace(bodies[zone], "live", "leaving", 1)}
		cost.add(float64(hosts), cpuPerRun(20, func(i int) {
			list, _ := member.ParseList(member.ListPrefix+zone, []byte(variants[(i+1)%2]))
			view.SetList(now, list)
			_ = view.Hosts()
		}))
		size.add(float64(hosts), float64(len(bodies[zone])))
	}
	return flatten(cost, size), nil
}
