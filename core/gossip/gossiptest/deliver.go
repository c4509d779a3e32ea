package gossiptest

import (
	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

// do carries out actions.
func (n *Node) do(actions []gossip.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case gossip.Read:
			n.read(a)
		case gossip.SendExchange:
			n.exchange(a)
		case gossip.SendPush:
			n.push(a)
		case gossip.Judge:
			reason := n.fleet.Judge(a.Set, a.All)
			event := gossip.Judged{Prefix: a.Set.Prefix, Revision: a.Set.Revision, Reason: reason}
			n.later(n.fleet.JudgeTime, func() { n.step(event) })
		case gossip.Adopt:
			n.adopt(a.Set)
		case gossip.LearnFact:
			n.View.OnAnnounce(n.fleet.Now, a.Fact.Host, a.Fact.Incarnation, a.Fact.Leaving)
			n.nodesChanged()
		}
	}
}

func (n *Node) adopt(set *gossip.Set) {
	if set.Prefix == gossip.HostsPrefix {
		n.takeLists(set)
	}
	if n.fleet.OnAdopt != nil {
		n.fleet.OnAdopt(n, set)
	}
}

// takeLists gives the lists that changed to the view.
func (n *Node) takeLists(set *gossip.Set) {
	for _, name := range set.Names() {
		v, _ := set.Value(name)
		if n.hosts != nil {
			if old, ok := n.hosts.Value(name); ok && old.Revision == v.Revision {
				continue
			}
		}
		n.View.SetList(n.fleet.Now, n.fleet.parse(v))
	}
	n.hosts = set
	n.nodesChanged()
}

func (f *Fleet) parse(v gossip.Value) member.List {
	key := v.Name + string(v.Sum[:])
	list, ok := f.lists[key]
	if !ok {
		var err error
		if list, err = member.ParseList(v.Name, v.Body); err != nil {
			panic(err)
		}
		f.lists[key] = list
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
	n.fleet.After(clientLatency, func() {
		fail := func() {
			n.later(clientLatency, func() { n.step(gossip.PlatformFailed{Prefix: r.Prefix}) })
		}
		if n.fleet.PlatformCut != nil && n.fleet.PlatformCut(n) {
			n.later(peerTimeout, fail)
			return
		}
		answer := func(a gossip.Answer) {
			if n.fleet.PlatformCut != nil && n.fleet.PlatformCut(n) {
				n.later(peerTimeout, fail)
				return
			}
			n.later(clientLatency, func() { n.step(gossip.PlatformRead{Prefix: r.Prefix, After: r.After, Notice: r.Notice, Answer: a}) })
		}
		n.fleet.Platform.read(r, n.fleet.After, answer, fail)
	})
}

func (n *Node) exchange(a gossip.SendExchange) {
	call(n, a.To, a.Request, func(to *Node) *gossip.ExchangeReply {
		reply, actions := to.State.HandleExchange(n.fleet.Now, a.Request)
		to.do(actions)
		return reply
	}, func(reply *gossip.ExchangeReply) {
		n.step(gossip.ExchangeReplied{From: a.To, Reply: reply})
	})
}

func (n *Node) push(a gossip.SendPush) {
	call(n, a.To, a.Request, func(to *Node) *gossip.PushReply {
		reply, actions := to.State.HandlePush(n.fleet.Now, a.Request)
		to.do(actions)
		return reply
	}, func(reply *gossip.PushReply) {
		n.step(gossip.PushReplied{From: a.To, Reply: reply, Second: a.Second})
	})
}

// call sends a request; without a reply the sender learns of a failure after
// the timeout.
func call[R any](n *Node, to member.HostID, request any, handle func(*Node) R, answered func(R)) {
	f := n.fleet
	target := f.byID[to]
	done := false
	n.count(request)
	n.later(peerTimeout, func() {
		if !done {
			done = true
			n.step(gossip.PeerFailed{Peer: to})
		}
	})
	if target == nil || !target.Up || f.cut(n, target) {
		return
	}
	latency := remoteLatency
	if n.Zone == target.Zone {
		latency = localLatency
	}
	target.later(latency, func() {
		target.received(request)
		if _, listed := target.View.Host(n.ID); !listed {
			return // refused: not a member
		}
		reply := handle(target)
		target.count(reply)
		if f.cut(n, target) {
			return
		}
		n.later(latency, func() {
			if done {
				return
			}
			done = true
			n.received(reply)
			n.View.OnAlive(f.Now, to, target.born)
			n.nodesChanged()
			answered(reply)
		})
	})
}

func (f *Fleet) cut(a, b *Node) bool { return f.Cut != nil && f.Cut(a, b) }

func (n *Node) count(message any) {
	n.Messages++
	if n.fleet.Size != nil {
		n.Sent += n.fleet.Size(message)
	}
}

func (n *Node) received(message any) {
	if n.fleet.Size != nil {
		n.Received += n.fleet.Size(message)
	}
}
