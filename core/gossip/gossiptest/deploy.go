package gossiptest

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

// seedsPerCluster is the number of nodes that others know from their settings.
const seedsPerCluster = 3

// ListBody returns the JSON of a host list with the given ids.
func ListBody(zone string, ids []member.HostID) string {
	type host struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	out := struct {
		Zone   string `json:"zone"`
		Region string `json:"region"`
		Hosts  []host `json:"hosts"`
	}{Zone: zone, Region: "region-1", Hosts: []host{}}
	for i, id := range ids {
		out.Hosts = append(out.Hosts, host{
			ID:      string(id),
			Addr:    fmt.Sprintf("10.%d.%d.%d:7000", zone[len(zone)-1], i/250, i%250+1),
			Service: fmt.Sprintf("service-%03d", i%650),
			Status:  "live",
		})
	}
	body, err := json.MarshalIndent(out, "", " ")
	if err != nil {
		panic(err)
	}
	return string(body)
}

// Deploy adds nodes in zones a, b, ..., publishes their lists, a base and one
// overlay per zone, and starts all nodes.
func (c *Cluster) Deploy(nodes, zones int, base string) {
	byZone := map[string][]member.HostID{}
	for i := range nodes {
		zone := ZoneName(i % zones)
		id := member.HostID(fmt.Sprintf("host-%05d", i))
		c.Add(id, zone)
		byZone[zone] = append(byZone[zone], id)
	}
	for i := range zones {
		zone := ZoneName(i)
		c.Platform.Put(gossip.HostsPrefix+zone, ListBody(zone, byZone[zone]))
		c.Platform.Put(gossip.OverlayPrefix+zone, "# "+zone+"\n")
	}
	c.Platform.Put(gossip.BaseName, base)
	for _, n := range c.Nodes {
		n.Start(c.Seeds()...)
	}
}

// ZoneName returns the name of a zone of Deploy.
func ZoneName(i int) string { return "zone-" + string(rune('a'+i)) }

// Seeds returns the ids of the seeds.
func (c *Cluster) Seeds() []member.HostID {
	var out []member.HostID
	for _, n := range c.Nodes[:min(seedsPerCluster, len(c.Nodes))] {
		out = append(out, n.ID)
	}
	return out
}

// UpNodes returns the running nodes.
func (c *Cluster) UpNodes() []*Node {
	return slices.DeleteFunc(slices.Clone(c.Nodes), func(n *Node) bool { return !n.Up })
}

// Converged reports whether exactly this revision is active on all running
// nodes.
func (c *Cluster) Converged(revision uint64) bool {
	for _, n := range c.Nodes {
		if n.Up && n.State.Status().Active != revision {
			return false
		}
	}
	return true
}

// Converge advances the clock until a revision is active on all running nodes,
// and returns the time that passed, at most limit.
func (c *Cluster) Converge(revision uint64, limit time.Duration) time.Duration {
	return c.RunUntil(limit, func() bool { return c.Converged(revision) })
}

// Readers returns the running nodes that read the platform.
func (c *Cluster) Readers() []*Node {
	return slices.DeleteFunc(c.UpNodes(), func(n *Node) bool { return !n.State.Status().Reader })
}
