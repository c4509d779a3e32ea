package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// listed returns a list of the hosts h<from> to h<to-1> of one service.
func listed(from, to int) List {
	list := List{Zone: "a"}
	for i := from; i < to; i++ {
		list.Hosts = append(list.Hosts, Host{
			ID: HostID(fmt.Sprintf("h%d", i)), Addr: fmt.Sprintf("10.0.0.%d:7000", i+1), Zone: "a", Service: "ledger",
		})
	}
	return list
}

func eligibleCount(v View) int { return len(v.Hosts()["ledger"]) }

// Guards against a late list that restores a host which announced that it is
// leaving, also after a list without it, and against excluding the next process
// of the host.
func TestLeavingIsSticky(t *testing.T) {
	v := New()
	v.SetList(at(0), listed(0, 4))
	v.OnAlive(at(1), "h1", 10)
	v.OnAnnounce(at(2), "h1", 10, true)
	require.Equal(t, 3, eligibleCount(v))
	v.SetList(at(3), listed(0, 4))
	require.Equal(t, 3, eligibleCount(v), "a late list restored it")
	v.OnAlive(at(4), "h1", 10)
	require.Equal(t, 3, eligibleCount(v), "an answer of the leaving process restored it")
	v.OnAnnounce(at(4), "h1", 9, false)
	require.Equal(t, 3, eligibleCount(v), "an announcement of an older process restored it")
	require.True(t, v.Allowed("h1", netip.MustParseAddr("10.0.0.2")), "it may still finish its work")

	shorter := listed(0, 4)
	shorter.Hosts = append(shorter.Hosts[:1], shorter.Hosts[2:]...)
	v.SetList(at(60), shorter)
	v.SetList(at(61), listed(0, 4))
	require.Equal(t, 3, eligibleCount(v), "a list without it and a late one restored it")

	v.OnAnnounce(at(70), "h1", 11, false)
	require.Equal(t, 4, eligibleCount(v))
	h, _ := v.Host("h1")
	require.Equal(t, uint64(11), h.Incarnation)
}

// Guards against losing an announcement that arrives before the list with the
// host.
func TestAnnouncementBeforeList(t *testing.T) {
	v := New()
	v.OnAnnounce(at(0), "h1", 5, true)
	v.SetList(at(1), listed(0, 4))
	require.Equal(t, 3, eligibleCount(v))
}

// Guards against a list that still shows the previous process of a replaced
// host as leaving.
func TestListLeavingEndsWithNewProcess(t *testing.T) {
	v := New()
	v.SetList(at(0), listed(0, 2))
	v.OnAlive(at(1), "h0", 10)
	late := listed(0, 2)
	late.Hosts[0].Status = Leaving
	v.SetList(at(2), late)
	require.Equal(t, 1, eligibleCount(v))
	v.OnAlive(at(3), "h0", 11)
	require.Equal(t, 2, eligibleCount(v))
	v.SetList(at(4), late)
	require.Equal(t, 2, eligibleCount(v))
}

// Guards against using a host that was replaced under another id at the same
// address.
func TestReplacedHostAtSameAddress(t *testing.T) {
	v := New()
	list := listed(0, 2)
	list.Hosts[1].Addr = list.Hosts[0].Addr
	v.SetList(at(0), list)
	v.OnAlive(at(1), "h0", 10)
	v.OnAlive(at(2), "h1", 20)
	require.Equal(t, []Host{{
		ID: "h1", Addr: "10.0.0.1:7000", Zone: "a", Service: "ledger", Incarnation: 20,
	}}, v.Hosts()["ledger"])
}

// Guards against applying an empty or halved list while missing hosts answer,
// and against rejecting it after they have stopped answering.
func TestShortListIsQuarantinedWhileMissingHostsAnswer(t *testing.T) {
	for _, listedCount := range []int{0, 4} {
		v := New()
		v.SetList(at(0), listed(0, 10))
		for i := range 10 {
			v.OnAlive(at(1), HostID(fmt.Sprintf("h%d", i)), 1)
		}
		v.SetList(at(2), listed(0, listedCount))
		require.Equal(t, 10, eligibleCount(v))
		require.Equal(t, []string{"a"}, v.Quarantined())
		for s := 3; s < 60; s++ {
			v.OnAlive(at(s), "h9", 1)
			v.Tick(at(s))
		}
		require.Equal(t, 10, eligibleCount(v), "one of the missing hosts still answers")
		for s := 60; s < 95; s++ {
			v.Tick(at(s))
		}
		require.Equal(t, listedCount, eligibleCount(v))
		require.Empty(t, v.Quarantined())
	}
}

// Guards against keeping hosts that a short list lacks and that do not answer.
func TestShortListAppliesWithoutTraffic(t *testing.T) {
	v := New()
	v.SetList(at(0), listed(0, 10))
	v.SetList(at(60), listed(0, 2))
	require.Equal(t, 2, eligibleCount(v))
}

// Guards against dropping a host that is missing from a list while it still
// answers, and against keeping a missing host that does not answer.
func TestMissingHostStaysWhileItAnswers(t *testing.T) {
	v := New()
	v.SetList(at(0), listed(0, 10))
	v.OnAlive(at(50), "h0", 1)
	v.SetList(at(51), listed(2, 10))
	require.Equal(t, 9, eligibleCount(v))
	require.True(t, v.Allowed("h0", netip.MustParseAddr("10.0.0.1")))
	require.False(t, v.Allowed("h1", netip.MustParseAddr("10.0.0.2")))
	v.Tick(at(82))
	require.Equal(t, 8, eligibleCount(v))
	require.False(t, v.Allowed("h0", netip.MustParseAddr("10.0.0.1")))
}

// Guards against losing a host that moves to another zone.
func TestHostMovesToAnotherZone(t *testing.T) {
	v := New()
	v.SetList(at(0), listed(0, 4))
	moved := List{Zone: "b", Hosts: []Host{{ID: "h3", Addr: "10.1.0.1:7000", Zone: "b", Service: "ledger"}}}
	v.SetList(at(1), moved)
	v.SetList(at(2), listed(0, 3))
	v.Tick(at(9))
	h, ok := v.Host("h3")
	require.True(t, ok)
	require.Equal(t, "b", h.Zone)
	require.Equal(t, 4, eligibleCount(v))
}

// Guards against accepting a malformed list, and against losing a field of a
// valid one.
func TestParseList(t *testing.T) {
	good := `{"zone":"a","region":"r","hosts":[{"id":"h1","addr":"10.0.0.1:7000","service":"ledger","status":"leaving"}]}`
	list, err := ParseList("hosts/a", []byte(good))
	require.NoError(t, err)
	require.Equal(t, Host{
		ID: "h1", Addr: "10.0.0.1:7000", Region: "r", Zone: "a", Service: "ledger", Status: Leaving,
	}, list.Hosts[0])
	bad := map[string]string{
		`{`:                         "unexpected end",
		`{"zone":"b","hosts":[]}`:   `zone is "b"`,
		`{"zone":"a","hosts":[{}]}`: "id is empty",
		`{"zone":"a","hosts":[{"id":"x","addr":"name:1"}]}`:                                  "not IP:port",
		`{"zone":"a","hosts":[{"id":"x","addr":"1.2.3.4:1","status":"?"}]}`:                  "unknown status",
		`{"zone":"a","hosts":[{"id":"x","addr":"1.2.3.4:1"},{"id":"x","addr":"1.2.3.4:1"}]}`: "listed twice",
	}
	for body, want := range bad {
		_, err := ParseList("hosts/a", []byte(body))
		require.ErrorContains(t, err, want, body)
	}
}

// Guards against patched results that differ from rebuilt ones.
func TestPatchMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New().(*view)
		v.SetList(at(0), listed(0, 100))
		for s := range 30 {
			i := rapid.IntRange(0, 99).Draw(t, "host")
			id := HostID(fmt.Sprintf("h%d", i))
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				v.OnAnnounce(at(s), id, incarnation, true)
			case 1:
				v.OnAlive(at(s), id, incarnation)
			case 2:
				list := listed(0, 100)
				list.Hosts[i].Service = "batchlog"
				list.Hosts[i].Addr = "10.0.0.1:7000"
				v.SetList(at(s), list)
			case 3:
				v.SetList(at(s), listed(i/2, 100))
			}
			nodes, hosts := v.Nodes(), v.Hosts()
			v.rebuild()
			require.Equal(t, v.cache.nodes, nodes)
			require.Equal(t, v.cache.hosts, hosts)
		}
	})
}
