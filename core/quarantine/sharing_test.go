package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// sharingNode is a node of a service of a large fleet.
type sharingNode struct {
	table   *Table
	sharing *Sharing
	listed  []Peer
}

// sharingNodes returns the nodes of one service, and the addresses of others.
func sharingNodes(service, others int) map[string]*sharingNode {
	var all []Peer
	for i := range service + others {
		all = append(all, Peer{Address: fmt.Sprint(i), SameService: i < service})
	}
	nodes := map[string]*sharingNode{}
	random := uint32(1)
	for i := range service {
		n := &sharingNode{table: NewTable(nil)}
		n.sharing = NewSharing(n.table, func(m int) int {
			random = random*1664525 + 1013904223
			return int(random>>8) % m
		})
		n.listed = append(append(n.listed, all[:i]...), all[i+1:]...)
		nodes[fmt.Sprint(i)] = n
	}
	return nodes
}

// round delivers one round of messages and returns their number and that of the records.
func round(nodes map[string]*sharingNode, now time.Time, keepAlive bool) (messages, records int) {
	for _, n := range nodes {
		if n.table.Empty() {
			continue
		}
		for _, m := range n.sharing.Next(now, n.listed, keepAlive) {
			messages++
			records += len(m.Records)
			reply := Reply{Process: m.Peer, Same: true}
			if to := nodes[m.Peer]; to != nil {
				for _, r := range m.Records {
					to.table.Merge(now, r, time.Time{})
				}
				reply.Same = to.table.Digest(m.Scope) == m.Digest
			}
			n.sharing.Delivered(m, reply)
		}
	}
	return messages, records
}

// Guards against nodes that talk about crashes while there are none, that send what others saw again and again, or that burden a
// large fleet with the suspects of one service.
func TestMessagesOfALargeFleet(t *testing.T) {
	const service = 32 // 21,000 upstreams in 650 services
	nodes := sharingNodes(service, 500)
	now := start
	messages, _ := round(nodes, now, true)
	assert.Zero(t, messages, "no suspects")
	crash := func(id string) {
		for i := range 100 {
			nodes["0"].table.OnCrash(now, printOf(i), Subject{}, crashOf(id, now))
		}
	}
	settle := func() (messages, records int) {
		for range 4 {
			m, r := round(nodes, now, false)
			messages, records = messages+m, records+r
		}
		return messages, records
	}
	records := 0
	for _, id := range []string{"a", "b"} {
		crash(id)
		messages, records = settle()
		t.Logf("crash with 100 requests in progress: %d messages, %d records", messages, records)
		assert.Equal(t, service-1, messages, "one to each node of the service")
		assert.Equal(t, 100*(service-1), records)
	}
	now = now.Add(time.Second)
	messages, records = round(nodes, now, true)
	t.Logf("each second with suspects: %d messages, %d records", messages, records)
	assert.LessOrEqual(t, messages, 2*keepAlivePeers*service)
	assert.Zero(t, records)
}
