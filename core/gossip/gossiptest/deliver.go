package gossiptest

import (
	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

// perform executes actions.
func (n *Node) perform(actions []gossip.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case gossip.Read:
			n.read(a)
		case gossip.SendExchange:
			n.exchange(a)
		case gossip.SendPush:
			n.push(a)
		case gossip.Validate:
			reason := n.cluster.Validate(a.Snapshot, a.AllOverlays)
			event := gossip.Validated{Prefix: a.Snapshot.Prefix, Revision: a.Snapshot.Revision, Reason: reason}
			n.later(n.cluster.ValidationTime, func() { n.step(event) })
		case gossip.Activate:
			n.activate(a.Snapshot)
		case gossip.HostStateChanged:
			n.View.OnAnnounce(n.cluster.Now, a.State.Host, a.State.Incarnation, a.State.Leaving)
			n.nodesChanged()
		}
	}
}

func (n *Node) activate(snapshot *gossip.Snapshot) {
	if snapshot.Prefix == gossip.HostsPrefix {
		n.applyLists(snapshot)
	}
	if n.cluster.OnActivate != nil {
		n.cluster.OnActivate(n, snapshot)
	}
}

// applyLists passes the changed host lists to the view.
func (n *Node) applyLists(snapshot *gossip.Snapshot) {
	for _, name := range snapshot.Names() {
		v, _ := snapshot.Value(name)
		if n.hosts != nil {
			if old, ok := n.hosts.Value(name); ok && old.Revision == v.Revision {
				continue
			}
		}
		n.View.SetList(n.cluster.Now, n.cluster.parse(v))
	}
	n.hosts = snapshot
	n.nodesChanged()
}

func (c *Cluster) parse(v gossip.Value) member.List {
	key := v.Name + string(v.Sum[:])
	list, ok := c.lists[key]
	if !ok {
		var err error
		if list, err = member.ParseList(v.Name, v.Body); err != nil {
			panic(err)
		}
		c.lists[key] = list
	}
	return list
}

func (n *Node) nodesChanged() {
	if n.View.Version() == n.version {
		return
	}
	n.version = n.View.Version()
	hosts := n.View.Nodes()
	nodes := make([]gossip.Node, 0, len(hosts))
	for _, h := range hosts {
		nodes = append(nodes, gossip.Node{ID: h.ID, Zone: h.Zone})
	}
	n.step(gossip.NodesChanged{Nodes: nodes})
}

func (n *Node) read(r gossip.Read) {
	n.Reads++
	n.cluster.After(clientLatency, func() {
		fail := func() {
			n.later(clientLatency, func() { n.step(gossip.PlatformFailed{Prefix: r.Prefix}) })
		}
		if n.cluster.PlatformPartitioned != nil && n.cluster.PlatformPartitioned(n) {
			n.later(peerTimeout, fail)
			return
		}
		answer := func(a gossip.PlatformAnswer) {
			if n.cluster.PlatformPartitioned != nil && n.cluster.PlatformPartitioned(n) {
				n.later(peerTimeout, fail)
				return
			}
			n.later(clientLatency, func() {
				n.step(gossip.PlatformRead{Prefix: r.Prefix, After: r.After, RevisionOnly: r.RevisionOnly, Answer: a})
			})
		}
		n.cluster.Platform.read(r, n.cluster.After, answer, fail)
	})
}

func (n *Node) exchange(a gossip.SendExchange) {
	call(n, a.To, a.Request, func(to *Node) *gossip.ExchangeReply {
		reply, actions := to.State.HandleExchange(n.cluster.Now, a.Request)
		to.perform(actions)
		return reply
	}, func(reply *gossip.ExchangeReply) {
		n.step(gossip.ExchangeReplied{From: a.To, Reply: reply})
	})
}

func (n *Node) push(a gossip.SendPush) {
	call(n, a.To, a.Request, func(to *Node) *gossip.PushReply {
		reply, actions := to.State.HandlePush(n.cluster.Now, a.Request)
		to.perform(actions)
		return reply
	}, func(reply *gossip.PushReply) {
		n.step(gossip.PushReplied{From: a.To, Reply: reply, FollowUp: a.FollowUp})
	})
}

// call sends a request; without a reply the sender is notified of the failure
// after the timeout.
func call[R any](n *Node, to member.HostID, request any, handle func(*Node) R, onReply func(R)) {
	c := n.cluster
	target := c.byID[to]
	done := false
	n.count(request)
	n.later(peerTimeout, func() {
		if !done {
			done = true
			n.step(gossip.PeerFailed{Peer: to})
		}
	})
	if target == nil || !target.Up || c.partitioned(n, target) {
		return
	}
	latency := remoteLatency
	if n.Zone == target.Zone {
		latency = localLatency
	}
	target.later(latency, func() {
		target.received(request)
		if _, listed := target.View.Host(n.ID); !listed {
			return // rejected: not a member
		}
		reply := handle(target)
		target.count(reply)
		if c.partitioned(n, target) {
			return
		}
		n.later(latency, func() {
			if done {
				return
			}
			done = true
			n.received(reply)
			n.View.OnAlive(c.Now, to, target.incarnation)
			n.nodesChanged()
			onReply(reply)
		})
	})
}

func (c *Cluster) partitioned(a, b *Node) bool { return c.Partitioned != nil && c.Partitioned(a, b) }

func (n *Node) count(message any) {
	n.Messages++
	if n.cluster.Size != nil {
		n.Sent += n.cluster.Size(message)
	}
}

func (n *Node) received(message any) {
	if n.cluster.Size != nil {
		n.Received += n.cluster.Size(message)
	}
}
