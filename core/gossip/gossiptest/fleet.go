// Package gossiptest runs many spread states in one process, on a fake clock,
// with a fake network and a fake platform. Everything is seeded, so that a run
// repeats exactly.
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
	// Validate returns why a set is not valid, or nothing.
	Validate       func(set *gossip.Snapshot, all bool) string
	ValidationTime time.Duration
	// Partitioned reports that two nodes cannot reach each other; nil for a whole
	// network. PlatformCut does so for a node and the platform.
	Partitioned         func(a, b *Node) bool
	PlatformPartitioned func(n *Node) bool
	// Size returns the bytes of a message; nil for none counted.
	Size func(message any) int
	// OnActivate is called when a node takes a set into force.
	OnActivate func(n *Node, set *gossip.Snapshot)

	byID   map[member.HostID]*Node
	random *rand.Rand
	queue  schedule
	order  uint64
	lists  map[string]member.List // parsed lists by name and hash
}

// Node is one node of a Fleet.
type Node struct {
	ID       member.HostID
	Zone     string
	State    *gossip.State
	View     member.View
	Up       bool
	Sent     int // bytes
	Received int
	Messages int // requests and replies sent
	Reads    int // of the platform

	fleet   *Cluster
	born    uint64 // counts restarts; late events of an earlier process are dropped
	wakeAt  time.Time
	seeds   []member.HostID
	hosts   *gossip.Snapshot
	version uint64
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

// NewCluster returns a fleet without nodes. Values with "invalid" in the base or,
// judged with all overlays, in an overlay are not valid.
func NewCluster(seed uint64) *Cluster {
	return &Cluster{
		Now:            time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC),
		Platform:       NewPlatform(),
		Validate:       judgeByText,
		ValidationTime: 20 * time.Millisecond,
		byID:           map[member.HostID]*Node{},
		random:         rand.New(rand.NewPCG(seed, 1)),
		lists:          map[string]member.List{},
	}
}

func judgeByText(set *gossip.Snapshot, all bool) string {
	if strings.Contains(string(set.Base()), "invalid") {
		return "base is invalid"
	}
	if !all {
		return ""
	}
	for _, body := range set.Overlays() {
		if strings.Contains(string(body), "invalid") {
			return "overlay contradicts base"
		}
	}
	return ""
}

// After runs a function when time has passed.
func (f *Cluster) After(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, timer{at: f.Now.Add(d), order: f.order, run: run})
}

// Run lets time pass.
func (f *Cluster) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(timer)
		f.Now = next.at
		next.run()
	}
	f.Now = end
}

// RunUntil lets time pass until done reports true, at most for limit, and
// returns the time that passed.
func (f *Cluster) RunUntil(limit time.Duration, done func() bool) time.Duration {
	start := f.Now
	const step = 10 * time.Millisecond
	for f.Now.Sub(start) < limit && !done() {
		f.Run(step)
	}
	return f.Now.Sub(start)
}

// Add adds a node that is down. The first nodes added serve as seeds.
func (f *Cluster) Add(id member.HostID, zone string) *Node {
	n := &Node{ID: id, Zone: zone, fleet: f}
	f.Nodes = append(f.Nodes, n)
	f.byID[id] = n
	return n
}

// Node returns a node by id.
func (f *Cluster) Node(id member.HostID) *Node { return f.byID[id] }

// Start starts a process at the node, with the given seeds.
func (n *Node) Start(seeds ...member.HostID) {
	n.born++
	n.Up = true
	n.wakeAt = time.Time{}
	n.seeds = seeds
	n.hosts = nil
	n.version = 0
	n.View = member.New()
	random := rand.New(rand.NewPCG(n.fleet.random.Uint64(), 2))
	cfg := gossip.Config{
		Self: n.ID, Incarnation: n.born, Zone: n.Zone, Random: random.IntN,
	}
	for _, id := range seeds {
		if id == n.ID {
			cfg.IsSeed = true
		} else {
			cfg.Seeds = append(cfg.Seeds, id)
		}
	}
	n.State = gossip.New(n.fleet.Now, cfg)
	phase := time.Duration(random.IntN(int(gossip.TickPeriod)))
	n.later(phase, n.tick)
}

// Kill ends the process at the node.
func (n *Node) Kill() {
	n.born++
	n.Up = false
}

// Incarnation tells the processes at the node apart.
func (n *Node) Incarnation() uint64 { return n.born }

// Pause stops the process for a time. What arrives meanwhile is handled late.
func (n *Node) Pause(d time.Duration) { n.wakeAt = n.fleet.Now.Add(d) }

// Announce makes the node state a fact.
func (n *Node) Announce(fact gossip.HostState) {
	n.do(n.State.Step(n.fleet.Now, gossip.HostStateReceived{State: fact}))
}

// later runs a function in the node's process, after a pause if there is one.
func (n *Node) later(d time.Duration, run func()) {
	born := n.born
	n.fleet.After(d, func() {
		if n.born != born {
			return
		}
		if wait := n.wakeAt.Sub(n.fleet.Now); wait > 0 {
			n.later(wait, run)
			return
		}
		run()
	})
}

func (n *Node) tick() {
	n.later(gossip.TickPeriod, n.tick)
	n.View.Tick(n.fleet.Now)
	n.nodesChanged()
	n.step(gossip.Tick{})
}

func (n *Node) step(event gossip.Event) { n.do(n.State.Step(n.fleet.Now, event)) }
