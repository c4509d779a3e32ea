package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var historyNow = time.Unix(1_700_000_000, 0)

func written(id string, sequence uint64, state State) Upstream {
	return Upstream{ID: id, Service: "s", Sequence: sequence, State: state, StartedAt: historyNow}
}

// Guards against a restored store that brings back upstreams that drain or have left.
func TestOlderEntriesOfARestoredStoreAreIgnored(t *testing.T) {
	h, now := NewHistory(), historyNow
	before := []Upstream{written("drains", 1, Ready), written("left", 1, Ready), written("stays", 1, Ready)}
	h.Reconcile(now, NewSnapshot(Position{Era: 1, Revision: 3}, before))
	h.Reconcile(now, NewSnapshot(Position{Era: 1, Revision: 9}, []Upstream{written("drains", 5, Draining), written("stays", 1, Ready)}))
	h.OnRestore(now)
	list := h.Reconcile(now, NewSnapshot(Position{Era: 2, Revision: 3}, before))
	assert.Nil(t, list.Get("left"))
	assert.Equal(t, Draining, list.Get("drains").State)
	assert.NotNil(t, list.Get("stays"))
	again := append([]Upstream{written("left", 7, Ready)}, written("drains", 6, Draining))
	list = h.Reconcile(now, NewSnapshot(Position{Era: 2, Revision: 5}, again))
	assert.NotNil(t, list.Get("left"), "it has written its entry since")
	assert.Equal(t, uint64(6), list.Get("drains").Sequence)
	assert.Nil(t, list.Get("stays"))
}

// Guards against an upstream that is excluded for good because its entry in a restored store looks old.
func TestRestoredEntriesCountInTheEnd(t *testing.T) {
	h, now := NewHistory(), historyNow
	entries := []Upstream{written("a", 1, Ready)}
	h.Reconcile(now, NewSnapshot(Position{Era: 1, Revision: 3}, entries))
	h.Reconcile(now, NewSnapshot(Position{Era: 1, Revision: 4}, nil))
	h.OnRestore(now)
	assert.Zero(t, h.Reconcile(now, NewSnapshot(Position{Era: 2, Revision: 3}, entries)).Len())
	later := now.Add(copyTime)
	assert.Equal(t, 1, h.Reconcile(later, NewSnapshot(Position{Era: 2, Revision: 3}, entries)).Len())
}

// Guards against an upstream that is excluded because a restore has lost its entry, which is written again unchanged.
func TestEntriesLostInARestoreAreNotGone(t *testing.T) {
	h, now := NewHistory(), historyNow
	entries := []Upstream{written("a", 1, Ready)}
	h.Reconcile(now, NewSnapshot(Position{Era: 1, Revision: 3}, entries))
	h.OnRestore(now)
	h.Reconcile(now, NewSnapshot(Position{Era: 2, Revision: 1}, nil))
	assert.Equal(t, 1, h.Reconcile(now, NewSnapshot(Position{Era: 2, Revision: 3}, entries)).Len())
}

// BenchmarkReconcile measures one read of a list of the target size without changes.
func BenchmarkReconcile(b *testing.B) {
	entries := make([]Upstream, 21_000)
	for i := range entries {
		entries[i] = written(fmt.Sprintf("i-%d", i), 1, Ready)
		entries[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
	}
	h, list := NewHistory(), NewSnapshot(Position{Era: 1, Revision: 1}, entries)
	b.ReportAllocs()
	for b.Loop() {
		h.Reconcile(historyNow, list)
	}
}
