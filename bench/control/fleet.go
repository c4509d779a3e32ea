package control

import (
	"math"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/gossip/gossiptest"
)

const (
	fleetZones   = 3
	idleTime     = time.Minute
	fleetChanges = 20
	// fleetServices keeps the bases of 800 nodes in one process small. The size
	// of a delta does not depend on it.
	fleetServices = 30
	startLimit    = 30 * time.Second
)

// FleetSizes are the numbers of nodes that Rows measures.
var FleetSizes = []int{50, 100, 200, 400, 800}

// Fleets measures spread states with a fake network and clock: a start of all
// nodes at once, a minute at rest, and changes at the target rate. Bytes are
// those sent and received by a node, with overhead added to each message.
func Fleets(seed uint64, sizes []int, overhead float64) []Row {
	m := func(scenario, metric, unit string) *series {
		return &series{scenario: scenario, variant: "fake network, 3 zones", metric: metric, unit: unit, per: "nodes"}
	}
	idleBytes := m("at rest", "bytes per second and node", "bytes/s")
	idleMessages := m("at rest", "messages per second and node", "1/s")
	idleReads := m("at rest", "platform reads per second", "1/s")
	startTime := m("start of all nodes", "time to in force everywhere", "s")
	startReads := m("start of all nodes", "platform reads", "")
	restart := m("restart of one node", "mean time to in force", "s")
	bytes := m("18,000 changes a day", "bytes per second and node", "bytes/s")
	most := m("18,000 changes a day", "bytes per second at the busiest node", "bytes/s")
	change := m("18,000 changes a day", "bytes per change and node", "bytes")
	messages := m("18,000 changes a day", "messages per change and node", "")
	reads := m("18,000 changes a day", "platform reads per change", "")
	body := m("18,000 changes a day", "bytes of values per change that the platform sends to all readers", "bytes")
	mean := m("18,000 changes a day", "mean time to in force everywhere", "s")
	worst := m("18,000 changes a day", "worst time to in force everywhere", "s")
	perLog := m("18,000 changes a day", "mean time to in force everywhere, against log2 of nodes", "s")
	perLog.per = "doublings"
	perLog.scale = 1
	mostLog := m("18,000 changes a day", "bytes per second at the busiest node, against log2 of nodes", "bytes/s")
	mostLog.per = "doublings"
	mostLog.scale = 1
	for _, nodes := range sizes {
		n := float64(nodes)
		f := gossiptest.NewCluster(seed)
		f.Size = func(message any) int { return messageBytes(message) + int(overhead) }
		f.Deploy(nodes, fleetZones, string(baseFile(fleetServices, 0)))
		first := uint64(2*fleetZones + 1)
		startTime.add(n, f.Converge(first, startLimit).Seconds())
		startReads.add(n, float64(f.Platform.Reads))
		f.Run(10 * time.Second)

		rest := observe(f, func() { f.Run(idleTime) })
		idleBytes.add(n, rest.bytes/rest.seconds/n)
		idleMessages.add(n, rest.messages/rest.seconds/n)
		idleReads.add(n, rest.reads/rest.seconds)

		var sum, longest time.Duration
		busy := observe(f, func() {
			for i := range fleetChanges {
				revision := f.Platform.Put(gossip.BaseName, string(baseFile(fleetServices, i+1)))
				took := f.Converge(revision, startLimit)
				sum += took
				longest = max(longest, took)
				f.Run(time.Duration(secondsPerChange*float64(time.Second)) - took)
			}
		})
		bytes.add(n, busy.bytes/busy.seconds/n)
		most.add(n, busy.most/busy.seconds)
		mostLog.add(math.Log2(n), busy.most/busy.seconds)
		change.add(n, (busy.bytes/busy.seconds-rest.bytes/rest.seconds)*secondsPerChange/n)
		messages.add(n, (busy.messages/busy.seconds-rest.messages/rest.seconds)*secondsPerChange/n)
		reads.add(n, busy.reads/fleetChanges)
		body.add(n, busy.values/fleetChanges)
		mean.add(n, sum.Seconds()/fleetChanges)
		worst.add(n, longest.Seconds())
		perLog.add(math.Log2(n), sum.Seconds()/fleetChanges)
		restart.add(n, restarts(f))
	}
	return flatten(idleBytes, idleMessages, idleReads, startTime, startReads, restart, bytes, most, change, messages, reads, body, mean, worst, perLog, mostLog)
}

// restarts returns the mean time until a restarted node has the configuration
// in force.
func restarts(f *gossiptest.Cluster) float64 {
	const runs = 20
	var sum time.Duration
	for i := range runs {
		n := f.Nodes[len(f.Nodes)-1-i]
		want := n.State.Status().Active
		n.Kill()
		n.Start(f.Seeds()...)
		sum += f.Converge(want, startLimit)
	}
	return sum.Seconds() / runs
}

// observed is what happened in a stretch of time, over all nodes.
type observed struct {
	seconds, bytes, most, messages, reads, values float64
}

func observe(f *gossiptest.Cluster, run func()) observed {
	start := f.Now
	reads, values := f.Platform.Reads, f.Platform.Bytes
	for _, n := range f.Nodes {
		n.Sent, n.Received, n.Messages = 0, 0, 0
	}
	run()
	o := observed{
		seconds: f.Now.Sub(start).Seconds(),
		reads:   float64(f.Platform.Reads - reads),
		values:  float64(f.Platform.Bytes - values),
	}
	for _, n := range f.Nodes {
		o.bytes += float64(n.Sent + n.Received)
		o.most = max(o.most, float64(n.Sent+n.Received))
		o.messages += float64(n.Messages)
	}
	return o
}
