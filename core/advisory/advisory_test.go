package advisory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a limit that outlives its announcement, one that ends with an
// answer that says nothing about it, and announcements of another incarnation.
func TestAnnouncementsBelongToOneIncarnation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := NewTable()
	old := Instance{ID: "a", StartedAt: 1}
	table.Record(now, old, Announcement{Limit: &Limit{Active: true, PerSecond: 5}, Leaving: true})
	table.Record(now, old, Announcement{})
	assert.Equal(t, State{Limit: Limit{Active: true, PerSecond: 5}, LimitAt: now, Leaving: true}, table.State(old))
	assert.Equal(t, State{}, table.State(Instance{ID: "a", StartedAt: 2}))
	table.Record(now, old, Announcement{Limit: &Limit{}})
	assert.Equal(t, State{LimitAt: now, Leaving: true}, table.State(old), "an upstream does not come back from leaving")
}

// Guards against a table that grows with each upstream that ever announced
// something.
func TestAnnouncementsOfGoneUpstreamsAreDropped(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := NewTable()
	table.Record(now, Instance{ID: "gone"}, Announcement{Leaving: true})
	table.Record(now.Add(retention+time.Second), Instance{ID: "b"}, Announcement{Leaving: true})
	assert.Len(t, table.instances, 1)
}
