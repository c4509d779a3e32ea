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

func setOf(revision uint64, values ...Value) *Snapshot {
	byName := map[string]Value{}
	for _, v := range values {
		byName[v.Name] = v
	}
	return NewSnapshot(ConfigPrefix, revision, byName)
}

// Guards deltas: applied to the old value they give exactly the new one, and a
// damaged delta never gives a value.
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
		whole, err := whole(to).apply(Value{})
		require.NoError(t, err)
		require.Equal(t, to.Sum, whole.Sum)

		bad := d
		bad.Prefix += rapid.IntRange(-3, 3).Draw(t, "prefix")
		bad.Suffix += rapid.IntRange(-3, 3).Draw(t, "suffix")
		bad.Body = append([]byte("c"), bad.Body...)
		_, err = bad.apply(from)
		require.ErrorIs(t, err, ErrCorrupt)
	})
}

// Guards against a small message that unpacks to a huge value.
func TestHugeDeltaIsRefused(t *testing.T) {
	d := Delta{Name: "v", To: 1, Compressed: true, Body: compress(make([]byte, MaxValueBytes+1))}
	_, err := d.apply(Value{})
	require.ErrorIs(t, err, ErrCorrupt)
}

// Guards the ways to catch up: from any known revision by a chain of deltas,
// from an unknown one by whole values, in several messages if need be.
func TestCatchUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	source := newLane(ConfigPrefix)
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
	source.accept(setOf(1, values...))
	late := newLane(ConfigPrefix)
	late.accept(source.force)
	late.held = late.force
	for r := uint64(2); r < 10; r++ {
		body := bytes.Replace(values[0].Body, values[0].Body[500:501], []byte("xy"), 1)
		values[0] = value(values[0].Name, r, body)
		source.accept(setOf(r, values...))
	}
	u := source.offer(late.version())
	require.Equal(t, uint64(1), u.From)
	require.NoError(t, late.take(*u))
	require.Equal(t, source.force.Digest, late.held.Digest)
	require.Nil(t, source.offer(late.version()))

	empty := newLane(ConfigPrefix)
	messages := 0
	for empty.held.Revision == 0 {
		messages++
		require.Less(t, messages, 5)
		if err := empty.take(*source.offer(empty.detailed())); err != nil {
			require.ErrorIs(t, err, ErrPartial)
		}
	}
	require.Equal(t, source.force.Digest, empty.held.Digest)
	require.Equal(t, 3, messages, "two values of a megabyte fit in a message of 3 MiB")

	other := newLane(ConfigPrefix)
	other.held = setOf(5, values[1])
	require.Nil(t, source.offer(SnapshotVersion{Prefix: ConfigPrefix, Latest: 500}), "newer than the one in force")
	require.ErrorIs(t, other.take(Update{Prefix: ConfigPrefix, From: 3, To: 9}), ErrMissingBase)
	require.ErrorIs(t, other.take(Update{Prefix: ConfigPrefix, From: 5, To: 4}), ErrStale)
	torn := *source.offer(SnapshotVersion{Prefix: ConfigPrefix})
	torn.Versions = torn.Versions[:2]
	torn.Deltas = torn.Deltas[:2]
	require.ErrorIs(t, newLane(ConfigPrefix).take(torn), ErrInconsistent)
}

// Guards the memory of the history.
func TestHistoryIsBounded(t *testing.T) {
	l := newLane(ConfigPrefix)
	for r := uint64(1); r < 2000; r++ {
		l.accept(setOf(r, value(BaseName, r, []byte(strings.Repeat("x", int(r)*20)))))
	}
	require.LessOrEqual(t, len(l.steps), historySteps)
	require.LessOrEqual(t, l.bytes, historyBytes)
	require.NotNil(t, l.chain(1998))
	require.Nil(t, l.chain(1))
}

// Guards values added, changed and removed in one chain.
func TestChainWithRemovedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newLane(ConfigPrefix)
		var seen []*Snapshot
		for r := uint64(1); r < 12; r++ {
			values := map[string]Value{}
			if r > 1 {
				for n, v := range source.force.values {
					values[n] = v
				}
			}
			name := ConfigPrefix + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if _, ok := values[name]; ok && rapid.Bool().Draw(t, "remove") {
				delete(values, name)
			} else {
				values[name] = value(name, r, []byte(rapid.StringN(0, 40, 60).Draw(t, "body")))
			}
			set := NewSnapshot(ConfigPrefix, r, values)
			source.accept(set)
			seen = append(seen, set)
		}
		for _, old := range seen {
			l := newLane(ConfigPrefix)
			l.force, l.held = old, old
			if u := source.offer(l.version()); u != nil {
				require.NoError(t, l.take(*u))
				require.Equal(t, source.force.Digest, l.held.Digest)
			}
		}
	})
}

// Guards facts: a new process and leaving win, old facts end everywhere instead
// of being passed round forever, and memory is bounded.
func TestFacts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := newFacts()
	require.True(t, f.learn(now, HostState{Host: "h", Incarnation: 1}))
	require.True(t, f.learn(now, HostState{Host: "h", Incarnation: 1, Leaving: true}))
	require.False(t, f.learn(now, HostState{Host: "h", Incarnation: 1}))
	require.True(t, f.learn(now, HostState{Host: "h", Incarnation: 2}))
	require.False(t, f.learn(now, HostState{Host: "h", Incarnation: 1, Leaving: true}))
	require.False(t, f.learn(now, HostState{Host: "old", Age: factLife}))
	later := now.Add(factLife / 2)
	require.Equal(t, factLife/2, f.newest(later, 1)[0].Age)
	f.expire(now.Add(factLife))
	require.Zero(t, f.digest)
	for i := range maxFacts + 10 {
		host := member.HostID(fmt.Sprintf("h%d", i))
		f.learn(now.Add(time.Duration(i)*time.Millisecond), HostState{Host: host, Incarnation: 1})
	}
	require.Len(t, f.byHost, maxFacts)
	require.NotContains(t, f.byHost, member.HostID("h0"), "the oldest fact goes first")
}
