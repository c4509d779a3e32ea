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
	// hostStateTTL is how long a host state is passed on. The published list
	// lags by minutes; the host view keeps its host states for longer.
	hostStateTTL = time.Hour
	// maxHostStates bounds the host states kept; an ordinary hour has about 50.
	maxHostStates = 4096
	// hostStatesPerMessage bounds the host states in one message.
	hostStatesPerMessage = 256
)

// HostState is what a host announces about itself. It takes precedence over the
// published list for the same incarnation.
type HostState struct {
	Host        member.HostID
	Incarnation uint64
	Leaving     bool
	Age         time.Duration // since the announcement
}

type storedHostState struct {
	state       HostState
	announcedAt time.Time
}

// hostStates keeps the newest state of each host.
type hostStates struct {
	byHost map[member.HostID]storedHostState
	digest uint64 // over all host states, independent of order
}

func newHostStates() *hostStates { return &hostStates{byHost: map[member.HostID]storedHostState{}} }

// observe records a host state and reports whether it is new: of a newer
// incarnation, or that the known incarnation is leaving.
func (h *hostStates) observe(now time.Time, state HostState) bool {
	if state.Age < 0 || state.Age >= hostStateTTL {
		return false
	}
	old, ok := h.byHost[state.Host]
	if ok && !isNewer(old.state, state) {
		return false
	}
	if ok {
		h.remove(state.Host)
	}
	if len(h.byHost) >= maxHostStates {
		h.remove(h.newest(now, maxHostStates)[maxHostStates-1].Host)
	}
	h.byHost[state.Host] = storedHostState{state: state, announcedAt: now.Add(-state.Age)}
	h.digest ^= hashHostState(state)
	return true
}

func isNewer(old, state HostState) bool {
	if state.Incarnation != old.Incarnation {
		return state.Incarnation > old.Incarnation
	}
	return state.Leaving && !old.Leaving
}

func (h *hostStates) remove(host member.HostID) {
	h.digest ^= hashHostState(h.byHost[host].state)
	delete(h.byHost, host)
}

// expire removes host states that are no longer passed on.
func (h *hostStates) expire(now time.Time) {
	for host, stored := range h.byHost {
		if now.Sub(stored.announcedAt) >= hostStateTTL {
			h.remove(host)
		}
	}
}

// newest returns up to n host states, the newest first.
func (h *hostStates) newest(now time.Time, n int) []HostState {
	out := make([]HostState, 0, len(h.byHost))
	for _, stored := range h.byHost {
		state := stored.state
		state.Age = now.Sub(stored.announcedAt)
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b HostState) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Host, b.Host))
	})
	return out[:min(n, len(out))]
}

func hashHostState(h HostState) uint64 {
	buf := binary.BigEndian.AppendUint64([]byte(h.Host), h.Incarnation)
	if h.Leaving {
		buf = append(buf, 1)
	}
	return xxhash.Sum64(buf)
}
