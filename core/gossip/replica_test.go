package gossip

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangw.example/core/member"
)

func value(name string, revision uint64, body []byte) Value {
	return Value{Name: name, Revision: revision, Sum: sha256.Sum256(body), Body: body}
}

func snapshotOf(revision uint64, values ...Value) *Snapshot {
	byName := map[string]Value{}
	for _, v := range values {
		byName[v.Name] = v
	}
	return NewSnapshot(ConfigPrefix, revision, byName)
}

// Guards against deltas that do not reproduce the new value exactly when
// applied to the old one, and against a damaged delta that yields a value.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 30)
		unit := rapid.SampledFrom([]int{1, 700}).Draw(t, "unit")
		from := value("v", 1, bytes.Repeat(body.Draw(t, "from"), unit))
		to := value("v", 2, bytes.Repeat(body.Draw(t, "to"), unit))
		d := diff(from, to)
		got, err := d.apply(from)
		require.NoError(t, err)
		require.Equal(t, to.Sum, got.Sum)
		full, err := newFullDelta(to).apply(Value{})
		require.NoError(t, err)
		require.Equal(t, to.Sum, full.Sum)

		damaged := d
		damaged.Prefix += rapid.IntRange(-3, 3).Draw(t, "prefix")
		damaged.Suffix += rapid.IntRange(-3, 3).Draw(t, "suffix")
		damaged.Body = append([]byte("c"), damaged.Body...)
		_, err = damaged.apply(from)
		require.ErrorIs(t, err, ErrCorrupt)
	})
}

// Guards against a small message that decompresses to a huge value.
func TestDeltaAboveSizeLimitIsRejected(t *testing.T) {
	d := Delta{Name: "v", To: 1, Compressed: true, Body: compress(make([]byte, MaxValueBytes+1))}
	_, err := d.apply(Value{})
	require.ErrorIs(t, err, ErrCorrupt)
}

// Guards the ways to catch up: from any known revision by a chain of deltas,
// from an unknown one by complete values, in several messages if necessary.
func TestCatchUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	source := newReplica(ConfigPrefix)
	noise := func() []byte {
		out := make([]byte, 1<<20)
		for i := range out {
			out[i] = byte(random.IntN(256))
		}
		return out
	}
	values := []Value{}
	for i := range 5 {
		values = append(values, value(fmt.Sprintf("%sv%d", ConfigPrefix, i), 1, noise()))
	}
	source.activate(snapshotOf(1, values...))
	outdated := newReplica(ConfigPrefix)
	outdated.activate(source.active)
	outdated.latest = outdated.active
	for r := uint64(2); r < 10; r++ {
		body := bytes.Replace(values[0].Body, values[0].Body[500:501], []byte("xy"), 1)
		values[0] = value(values[0].Name, r, body)
		source.activate(snapshotOf(r, values...))
	}
	u := source.updateFor(outdated.version())
	require.Equal(t, uint64(1), u.From)
	require.NoError(t, outdated.applyUpdate(*u))
	require.Equal(t, source.active.Digest, outdated.latest.Digest)
	require.Nil(t, source.updateFor(outdated.version()))

	empty := newReplica(ConfigPrefix)
	messages := 0
	for empty.latest.Revision == 0 {
		messages++
		require.Less(t, messages, 5)
		if err := empty.applyUpdate(*source.updateFor(empty.detailedVersion())); err != nil {
			require.ErrorIs(t, err, ErrPartial)
		}
	}
	require.Equal(t, source.active.Digest, empty.latest.Digest)
	require.Equal(t, 3, messages, "two values of a megabyte fit in a message of 3 MiB")

	unrelated := newReplica(ConfigPrefix)
	unrelated.latest = snapshotOf(5, values[1])
	require.Nil(t, source.updateFor(SnapshotVersion{Prefix: ConfigPrefix, Latest: 500}), "newer than the active one")
	require.ErrorIs(t, unrelated.applyUpdate(Update{Prefix: ConfigPrefix, From: 3, To: 9}), ErrMissingBase)
	require.ErrorIs(t, unrelated.applyUpdate(Update{Prefix: ConfigPrefix, From: 5, To: 4}), ErrStale)
	inconsistent := *source.updateFor(SnapshotVersion{Prefix: ConfigPrefix})
	inconsistent.Versions = inconsistent.Versions[:2]
	inconsistent.Deltas = inconsistent.Deltas[:2]
	require.ErrorIs(t, newReplica(ConfigPrefix).applyUpdate(inconsistent), ErrInconsistent)
}

// Guards the bounds on the size of the history.
func TestHistoryIsBounded(t *testing.T) {
	rep := newReplica(ConfigPrefix)
	for r := uint64(1); r < 2000; r++ {
		rep.activate(snapshotOf(r, value(BaseName, r, []byte(strings.Repeat("x", int(r)*20)))))
	}
	require.LessOrEqual(t, len(rep.history), historySteps)
	require.LessOrEqual(t, rep.historySize, historyBytes)
	require.NotNil(t, rep.deltaChain(1998))
	require.Nil(t, rep.deltaChain(1))
}

// Guards a chain in which values are added, changed and removed.
func TestChainWithRemovedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newReplica(ConfigPrefix)
		var seen []*Snapshot
		for r := uint64(1); r < 12; r++ {
			values := map[string]Value{}
			if r > 1 {
				for n, v := range source.active.values {
					values[n] = v
				}
			}
			name := ConfigPrefix + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if _, ok := values[name]; ok && rapid.Bool().Draw(t, "remove") {
				delete(values, name)
			} else {
				values[name] = value(name, r, []byte(rapid.StringN(0, 40, 60).Draw(t, "body")))
			}
			snapshot := NewSnapshot(ConfigPrefix, r, values)
			source.activate(snapshot)
			seen = append(seen, snapshot)
		}
		for _, old := range seen {
			rep := newReplica(ConfigPrefix)
			rep.active, rep.latest = old, old
			if u := source.updateFor(rep.version()); u != nil {
				require.NoError(t, rep.applyUpdate(*u))
				require.Equal(t, source.active.Digest, rep.latest.Digest)
			}
		}
	})
}

// Guards the precedence and bounds of host states: a new incarnation and
// leaving take precedence, old states expire everywhere instead of being passed
// on forever, and memory is bounded.
func TestHostStates(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	states := newHostStates()
	require.True(t, states.observe(now, HostState{Host: "h", Incarnation: 1}))
	require.True(t, states.observe(now, HostState{Host: "h", Incarnation: 1, Leaving: true}))
	require.False(t, states.observe(now, HostState{Host: "h", Incarnation: 1}))
	require.True(t, states.observe(now, HostState{Host: "h", Incarnation: 2}))
	require.False(t, states.observe(now, HostState{Host: "h", Incarnation: 1, Leaving: true}))
	require.False(t, states.observe(now, HostState{Host: "old", Age: hostStateTTL}))
	later := now.Add(hostStateTTL / 2)
	require.Equal(t, hostStateTTL/2, states.newest(later, 1)[0].Age)
	states.expire(now.Add(hostStateTTL))
	require.Zero(t, states.digest)
	for i := range maxHostStates + 10 {
		host := member.HostID(fmt.Sprintf("h%d", i))
		states.observe(now.Add(time.Duration(i)*time.Millisecond), HostState{Host: host, Incarnation: 1})
	}
	require.Len(t, states.byHost, maxHostStates)
	require.NotContains(t, states.byHost, member.HostID("h0"), "the oldest state is removed first")
}
