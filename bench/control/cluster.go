package control

import (
	"math"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/gossip/gossiptest"
)

const (
	clusterZones   = 3
	idleDuration   = time.Minute
	clusterChanges = 20
	// clusterServices keeps the bases of 800 nodes in one process small. The size
	// of a delta does not depend on it.
	clusterServices = 30
	convergeTimeout = 30 * time.Second
)

// ClusterSizes are the numbers of nodes that Rows measures.
var ClusterSizes = []int{50, 100, 200, 400, 800}

// Clusters measures gossip between nodes with a fake network and clock: a start
// of all nodes at once, a minute without changes, and changes at the target rate.
// Bytes are those sent and received by a node; overhead is added to the size of
// each message.
func Clusters(seed uint64, sizes []int, overhead float64) []Row {
	newSeries := func(scenario, metric, unit string) *series {
		return &series{scenario: scenario, variant: "fake network, 3 zones", metric: metric, unit: unit, per: "nodes"}
	}
	idleBytes := newSeries("at rest", "bytes per second and node", "bytes/s")
	idleMessages := newSeries("at rest", "messages per second and node", "1/s")
	idleReads := newSeries("at rest", "platform reads per second", "1/s")
	startTime := newSeries("start of all nodes", "time to in force everywhere", "s")
	startReads := newSeries("start of all nodes", "platform reads", "")
	restart := newSeries("restart of one node", "mean time to in force", "s")
	bytes := newSeries("18,000 changes a day", "bytes per second and node", "bytes/s")
	busiest := newSeries("18,000 changes a day", "bytes per second at the busiest node", "bytes/s")
	change := newSeries("18,000 changes a day", "bytes per change and node", "bytes")
	messages := newSeries("18,000 changes a day", "messages per change and node", "")
	reads := newSeries("18,000 changes a day", "platform reads per change", "")
	valueBytes := newSeries("18,000 changes a day", "bytes of values per change that the platform sends to all readers", "bytes")
	mean := newSeries("18,000 changes a day", "mean time to in force everywhere", "s")
	worst := newSeries("18,000 changes a day", "worst time to in force everywhere", "s")
	meanByLog := newSeries("18,000 changes a day", "mean time to in force everywhere, against log2 of nodes", "s")
	meanByLog.per = "doublings"
	meanByLog.scale = 1
	busiestByLog := newSeries("18,000 changes a day", "bytes per second at the busiest node, against log2 of nodes", "bytes/s")
	busiestByLog.per = "doublings"
	busiestByLog.scale = 1
	for _, nodes := range sizes {
		n := float64(nodes)
		cluster := gossiptest.NewCluster(seed)
		cluster.Size = func(message any) int { return messageBytes(message) + int(overhead) }
		cluster.Deploy(nodes, clusterZones, string(baseFile(clusterServices, 0)))
		firstRevision := uint64(2*clusterZones + 1)
		startTime.add(n, cluster.Converge(firstRevision, convergeTimeout).Seconds())
		startReads.add(n, float64(cluster.Platform.Reads))
		cluster.Run(10 * time.Second)

		idle := measureTraffic(cluster, func() { cluster.Run(idleDuration) })
		idleBytes.add(n, idle.bytes/idle.seconds/n)
		idleMessages.add(n, idle.messages/idle.seconds/n)
		idleReads.add(n, idle.reads/idle.seconds)

		var total, longest time.Duration
		loaded := measureTraffic(cluster, func() {
			for i := range clusterChanges {
				revision := cluster.Platform.Put(gossip.BaseName, string(baseFile(clusterServices, i+1)))
				took := cluster.Converge(revision, convergeTimeout)
				total += took
				longest = max(longest, took)
				cluster.Run(time.Duration(secondsPerChange*float64(time.Second)) - took)
			}
		})
		bytes.add(n, loaded.bytes/loaded.seconds/n)
		busiest.add(n, loaded.busiest/loaded.seconds)
		busiestByLog.add(math.Log2(n), loaded.busiest/loaded.seconds)
		change.add(n, (loaded.bytes/loaded.seconds-idle.bytes/idle.seconds)*secondsPerChange/n)
		messages.add(n, (loaded.messages/loaded.seconds-idle.messages/idle.seconds)*secondsPerChange/n)
		reads.add(n, loaded.reads/clusterChanges)
		valueBytes.add(n, loaded.values/clusterChanges)
		mean.add(n, total.Seconds()/clusterChanges)
		worst.add(n, longest.Seconds())
		meanByLog.add(math.Log2(n), total.Seconds()/clusterChanges)
		restart.add(n, meanRestartTime(cluster))
	}
	return flatten(idleBytes, idleMessages, idleReads, startTime, startReads, restart, bytes, busiest, change, messages, reads, valueBytes, mean, worst, meanByLog, busiestByLog)
}

// meanRestartTime returns the mean time until a restarted node has activated the
// configuration.
func meanRestartTime(cluster *gossiptest.Cluster) float64 {
	const runs = 20
	var total time.Duration
	for i := range runs {
		n := cluster.Nodes[len(cluster.Nodes)-1-i]
		want := n.State.Status().Active
		n.Kill()
		n.Start(cluster.Seeds()...)
		total += cluster.Converge(want, convergeTimeout)
	}
	return total.Seconds() / runs
}

// traffic is the traffic of a period, summed over all nodes except for busiest,
// which is the bytes of the node with the most.
type traffic struct {
	seconds, bytes, busiest, messages, reads, values float64
}

// measureTraffic returns the traffic while run executes.
func measureTraffic(cluster *gossiptest.Cluster, run func()) traffic {
	start := cluster.Now
	reads, values := cluster.Platform.Reads, cluster.Platform.Bytes
	for _, n := range cluster.Nodes {
		n.Sent, n.Received, n.Messages = 0, 0, 0
	}
	run()
	t := traffic{
		seconds: cluster.Now.Sub(start).Seconds(),
		reads:   float64(cluster.Platform.Reads - reads),
		values:  float64(cluster.Platform.Bytes - values),
	}
	for _, n := range cluster.Nodes {
		t.bytes += float64(n.Sent + n.Received)
		t.busiest = max(t.busiest, float64(n.Sent+n.Received))
		t.messages += float64(n.Messages)
	}
	return t
}
