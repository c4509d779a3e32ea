package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func entry(id, service, addr string, startedAt int64) Upstream {
	return Upstream{ID: id, Service: service, Address: netip.MustParseAddrPort(addr), Slots: 10, StartedAt: time.UnixMilli(startedAt)}
}

// Guards against requests for a service that go to an address which a later
// upstream of another service has taken over.
func TestNewestUpstreamOwnsAddress(t *testing.T) {
	s := NewSnapshot(Position{Revision: 1}, []Upstream{
		entry("old", "a", "10.0.0.1:80", 100),
		entry("new", "b", "10.0.0.1:80", 200),
		entry("other", "a", "10.0.0.2:80", 100),
	})
	assert.Len(t, s.Service("a"), 1)
	assert.Equal(t, "other", s.Service("a")[0].ID)
	assert.Equal(t, "new", s.At("b", netip.MustParseAddrPort("10.0.0.1:80")).ID)
	assert.Nil(t, s.At("a", netip.MustParseAddrPort("10.0.0.1:80")))
}

// Guards against losing upstreams whose entries expired while the store was
// unavailable, and against keeping them indefinitely.
func TestMergeKeepsMissingEntries(t *testing.T) {
	old := NewSnapshot(Position{Revision: 1}, []Upstream{entry("x", "a", "10.0.0.1:80", 1), entry("y", "a", "10.0.0.2:80", 1)})
	read := NewSnapshot(Position{Revision: 2}, []Upstream{entry("x", "a", "10.0.0.1:80", 1)})
	assert.Equal(t, 2, Merge(old, read, true).Len())
	assert.Equal(t, 1, Merge(old, read, false).Len())
	assert.Equal(t, 1, Merge(nil, read, true).Len())
}
