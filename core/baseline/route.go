package baseline

import (
	"cmp"
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/route"
)

// RoundRobin is the reason given in the decision log for choices of this
// router.
const RoundRobin = "round-robin"

// roundRobin picks the hosts of a service in turn.
type roundRobin struct {
	hosts map[string][]member.Host
	next  map[string]int
}

// NewRoundRobin is a route.Builder. The router picks all hosts of a service in
// turn, regardless of zone, load and failures.
func NewRoundRobin(route.Locality, func(n int) int) route.Router {
	return &roundRobin{hosts: map[string][]member.Host{}, next: map[string]int{}}
}

func (r *roundRobin) SetHosts(_ time.Time, service string, hosts []member.Host) {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b member.Host) int { return cmp.Compare(a.ID, b.ID) })
	r.hosts[service] = sorted
}

func (r *roundRobin) Pick(_ time.Time, req *call.Request, exclude []member.HostID) (route.Choice, bool) {
	hosts := r.hosts[req.Service]
	for range hosts {
		h := hosts[r.next[req.Service]%len(hosts)]
		r.next[req.Service]++
		if !slices.Contains(exclude, h.ID) {
			return route.Choice{Host: h, Reason: RoundRobin}, true
		}
	}
	return route.Choice{}, false
}

func (*roundRobin) SetPolicy(time.Time, *policy.Policy)            {}
func (*roundRobin) OnSent(time.Time, member.HostID)                {}
func (*roundRobin) OnDone(time.Time, member.HostID, route.Outcome) {}
func (*roundRobin) Reset(time.Time)                                {}
