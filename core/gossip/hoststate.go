package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangw.example/core/member"
)

const (
	// factLife is how long a fact is passed on. The published list lags by
	// minutes; the host view keeps what it learned beyond that.
	factLife = time.Hour
	// maxFacts bounds the facts held; an ordinary hour has about 50.
	maxFacts = 4096
	// factsPerMessage bounds the facts in one message.
	factsPerMessage = 256
)

// HostState is what a host says of itself. It outweighs the published list for the
// same incarnation.
type HostState struct {
	Host        member.HostID
	Incarnation uint64
	Leaving     bool
	Age         time.Duration // since the host said it
}

type heldFact struct {
	fact HostState
	said time.Time
}

// facts keeps the newest fact of each host.
type facts struct {
	byHost map[member.HostID]heldFact
	digest uint64 // over all held facts, independent of order
}

func newFacts() *facts { return &facts{byHost: map[member.HostID]heldFact{}} }

// learn takes a fact and reports whether it says something new: a newer
// incarnation, or that a known incarnation is leaving.
func (f *facts) learn(now time.Time, fact HostState) bool {
	if fact.Age < 0 || fact.Age >= factLife {
		return false
	}
	old, ok := f.byHost[fact.Host]
	if ok && !newer(old.fact, fact) {
		return false
	}
	if ok {
		f.drop(fact.Host)
	}
	if len(f.byHost) >= maxFacts {
		f.drop(f.newest(now, maxFacts)[maxFacts-1].Host)
	}
	f.byHost[fact.Host] = heldFact{fact: fact, said: now.Add(-fact.Age)}
	f.digest ^= hashFact(fact)
	return true
}

func newer(old, fact HostState) bool {
	if fact.Incarnation != old.Incarnation {
		return fact.Incarnation > old.Incarnation
	}
	return fact.Leaving && !old.Leaving
}

func (f *facts) drop(host member.HostID) {
	f.digest ^= hashFact(f.byHost[host].fact)
	delete(f.byHost, host)
}

// expire drops facts that are no longer passed on.
func (f *facts) expire(now time.Time) {
	for host, held := range f.byHost {
		if now.Sub(held.said) >= factLife {
			f.drop(host)
		}
	}
}

// newest returns up to n facts, the newest first.
func (f *facts) newest(now time.Time, n int) []HostState {
	out := make([]HostState, 0, len(f.byHost))
	for _, held := range f.byHost {
		fact := held.fact
		fact.Age = now.Sub(held.said)
		out = append(out, fact)
	}
	slices.SortFunc(out, func(a, b HostState) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Host, b.Host))
	})
	return out[:min(n, len(out))]
}

func hashFact(f HostState) uint64 {
	buf := binary.BigEndian.AppendUint64([]byte(f.Host), f.Incarnation)
	if f.Leaving {
		buf = append(buf, 1)
	}
	return xxhash.Sum64(buf)
}
