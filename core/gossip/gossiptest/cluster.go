// Package gossiptest runs many gossip states in one process, with a fake clock,
// network and platform. All random choices are seeded, so that a run can be
// reproduced exactly.
package gossiptest

import (
	"container/heap"
	"math/rand/v2"
	"strings"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

const (
	localLatency  = 200 * time.Microsecond
	remoteLatency = 1500 * time.Microsecond
	clientLatency = 2 * time.Millisecond // to the platform
	peerTimeout   = time.Second
)

// Cluster is a set of nodes with their network and platform.
type Cluster struct {
	Now      time.Time
	Platform *Platform
	Nodes    []*Node
	// Validate returns why a snapshot is invalid, or an empty string. A result
	// is delivered after ValidationTime.
	Validate       func(snapshot *gossip.Snapshot, all bool) string
	ValidationTime time.Duration
	// Partitioned reports that two nodes cannot reach each other; nil for a
	// network without partitions. PlatformPartitioned does so for a node and
	// the platform.
	Partitioned         func(a, b *Node) bool
	PlatformPartitioned func(n *Node) bool
	// Size returns the size of a message in bytes; nil if sizes are not
	// counted.
	Size func(message any) int
	// OnActivate is called when a node activates a snapshot.
	OnActivate func(n *Node, snapshot *gossip.Snapshot)

	byID   map[member.HostID]*Node
	random *rand.Rand
	queue  schedule
	order  uint64
	lists  map[string]member.List // parsed lists by name and hash
}

// Node is one node of a Cluster.
type Node struct {
	ID       member.HostID
	Zone     string
	State    *gossip.State
	View     member.View
	Up       bool
	Sent     int // bytes
	Received int
	Messages int // requests and replies sent
	Reads    int // reads of the platform

	cluster     *Cluster
	incarnation uint64 // also incremented by Kill; events of an earlier incarnation are dropped
	resumeAt    time.Time
	seeds       []member.HostID
	hosts       *gossip.Snapshot
	version     uint64
}

type timer struct {
	at    time.Time
	order uint64
	run   func()
}

type schedule []timer

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if !s[i].at.Equal(s[j].at) {
		return s[i].at.Before(s[j].at)
	}
	return s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(timer)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// NewCluster returns a cluster without nodes. By default a snapshot is invalid
// if its base contains "invalid" or, when validated with all overlays, an
// overlay does.
func NewCluster(seed uint64) *Cluster {
	return &Cluster{
		Now:            time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC),
		Platform:       NewPlatform(),
		Validate:       validateByText,
		ValidationTime: 20 * time.Millisecond,
		byID:           map[member.HostID]*Node{},
		random:         rand.New(rand.NewPCG(seed, 1)),
		lists:          map[string]member.List{},
	}
}

func validateByText(snapshot *gossip.Snapshot, all bool) string {
	if strings.Contains(string(snapshot.Base()), "invalid") {
		return "base is invalid"
	}
	if !all {
		return ""
	}
	for _, body := range snapshot.Overlays() {
		if strings.Contains(string(body), "invalid") {
			return "overlay contradicts base"
		}
	}
	return ""
}

// After runs a function after d.
func (c *Cluster) After(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, timer{at: c.Now.Add(d), order: c.order, run: run})
}

// Run advances the clock by d and runs what is due.
func (c *Cluster) Run(d time.Duration) {
	end := c.Now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(timer)
		c.Now = next.at
		next.run()
	}
	c.Now = end
}

// RunUntil advances the clock until done reports true, at most by limit, and
// returns the time that passed.
func (c *Cluster) RunUntil(limit time.Duration, done func() bool) time.Duration {
	start := c.Now
	const step = 10 * time.Millisecond
	for c.Now.Sub(start) < limit && !done() {
		c.Run(step)
	}
	return c.Now.Sub(start)
}

// Add adds a node that is not running. The first nodes added serve as seeds.
func (c *Cluster) Add(id member.HostID, zone string) *Node {
	n := &Node{ID: id, Zone: zone, cluster: c}
	c.Nodes = append(c.Nodes, n)
	c.byID[id] = n
	return n
}

// Node returns a node by id.
func (c *Cluster) Node(id member.HostID) *Node { return c.byID[id] }

// Start starts a process of the node, with the given seeds.
func (n *Node) Start(seeds ...member.HostID) {
	n.incarnation++
	n.Up = true
	n.resumeAt = time.Time{}
	n.seeds = seeds
	n.hosts = nil
	n.version = 0
	n.View = member.New()
	random := rand.New(rand.NewPCG(n.cluster.random.Uint64(), 2))
	cfg := gossip.Config{
		Self: n.ID, Incarnation: n.incarnation, Zone: n.Zone, Random: random.IntN,
	}
	for _, id := range seeds {
		if id == n.ID {
			cfg.IsSeed = true
		} else {
			cfg.Seeds = append(cfg.Seeds, id)
		}
	}
	n.State = gossip.New(n.cluster.Now, cfg)
	phase := time.Duration(random.IntN(int(gossip.TickPeriod)))
	n.later(phase, n.tick)
}

// Kill ends the process of the node.
func (n *Node) Kill() {
	n.incarnation++
	n.Up = false
}

// Incarnation identifies the current process of the node.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Pause pauses the process. Messages that arrive during the pause are handled
// after it.
func (n *Node) Pause(d time.Duration) { n.resumeAt = n.cluster.Now.Add(d) }

// Announce makes the node announce a host state.
func (n *Node) Announce(state gossip.HostState) {
	n.perform(n.State.Step(n.cluster.Now, gossip.HostStateReceived{State: state}))
}

// later runs a function in the process of the node, after a pause if there is
// one.
func (n *Node) later(d time.Duration, run func()) {
	incarnation := n.incarnation
	n.cluster.After(d, func() {
		if n.incarnation != incarnation {
			return
		}
		if wait := n.resumeAt.Sub(n.cluster.Now); wait > 0 {
			n.later(wait, run)
			return
		}
		run()
	})
}

func (n *Node) tick() {
	n.later(gossip.TickPeriod, n.tick)
	n.View.Tick(n.cluster.Now)
	n.nodesChanged()
	n.step(gossip.Tick{})
}

func (n *Node) step(event gossip.Event) { n.perform(n.State.Step(n.cluster.Now, event)) }
