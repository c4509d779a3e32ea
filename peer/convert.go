// Package peer defines the protobuf messages and the gRPC service between
// nodes, and converts the messages to and from the types of package gossip.
package peer

import (
	"crypto/sha256"
	"fmt"
	"math"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

// FromExchangeRequest converts the gossip type to the protobuf message.
func FromExchangeRequest(r *gossip.ExchangeRequest, incarnation uint64) *ExchangeRequest {
	return &ExchangeRequest{
		Sender: &Sender{Host: string(r.From), Incarnation: incarnation},
		Sets:   fromSnapshots(r.Snapshots),
		Facts:  r.HostStateDigest,
		Sign:   fromHeartbeat(r.Heartbeat),
	}
}

// ToExchangeRequest converts the protobuf message to the gossip type.
func ToExchangeRequest(m *ExchangeRequest) *gossip.ExchangeRequest {
	return &gossip.ExchangeRequest{
		From:            member.HostID(m.GetSender().GetHost()),
		Snapshots:       toSnapshots(m.GetSets()),
		HostStateDigest: m.GetFacts(),
		Heartbeat:       toHeartbeat(m.GetSign()),
	}
}

// FromExchangeReply converts the gossip type to the protobuf message.
func FromExchangeReply(r *gossip.ExchangeReply, incarnation uint64) *ExchangeReply {
	return &ExchangeReply{
		Sets:        fromSnapshots(r.Snapshots),
		Updates:     fromUpdates(r.Updates),
		FactsDigest: r.HostStateDigest,
		Facts:       fromHostStates(r.HostStates),
		Sign:        fromHeartbeat(r.Heartbeat),
		Incarnation: incarnation,
	}
}

// ToExchangeReply converts the protobuf message to the gossip type.
func ToExchangeReply(m *ExchangeReply) (*gossip.ExchangeReply, error) {
	updates, err := toUpdates(m.GetUpdates())
	if err != nil {
		return nil, err
	}
	return &gossip.ExchangeReply{
		Snapshots:       toSnapshots(m.GetSets()),
		Updates:         updates,
		HostStateDigest: m.GetFactsDigest(),
		HostStates:      toHostStates(m.GetFacts()),
		Heartbeat:       toHeartbeat(m.GetSign()),
	}, nil
}

// FromPushRequest converts the gossip type to the protobuf message.
func FromPushRequest(r *gossip.PushRequest, incarnation uint64) *PushRequest {
	return &PushRequest{
		Sender:  &Sender{Host: string(r.From), Incarnation: incarnation},
		Updates: fromUpdates(r.Updates),
		Facts:   fromHostStates(r.HostStates),
		Sign:    fromHeartbeat(r.Heartbeat),
	}
}

// ToPushRequest converts the protobuf message to the gossip type.
func ToPushRequest(m *PushRequest) (*gossip.PushRequest, error) {
	updates, err := toUpdates(m.GetUpdates())
	if err != nil {
		return nil, err
	}
	return &gossip.PushRequest{
		From:       member.HostID(m.GetSender().GetHost()),
		Updates:    updates,
		HostStates: toHostStates(m.GetFacts()),
		Heartbeat:  toHeartbeat(m.GetSign()),
	}, nil
}

// FromPushReply converts the gossip type to the protobuf message.
func FromPushReply(r *gossip.PushReply, incarnation uint64) *PushReply {
	return &PushReply{Sets: fromSnapshots(r.Snapshots), Incarnation: incarnation}
}

// ToPushReply converts the protobuf message to the gossip type.
func ToPushReply(m *PushReply) *gossip.PushReply {
	return &gossip.PushReply{Snapshots: toSnapshots(m.GetSets())}
}

func fromSnapshots(snapshots []gossip.SnapshotVersion) []*SetVersion {
	out := make([]*SetVersion, 0, len(snapshots))
	for _, s := range snapshots {
		out = append(out, &SetVersion{
			Prefix: s.Prefix, InForce: s.Active, Held: s.Latest, Versions: fromVersions(s.Versions),
			Rejected: s.Rejected, Reason: s.Reason,
		})
	}
	return out
}

func toSnapshots(snapshots []*SetVersion) []gossip.SnapshotVersion {
	out := make([]gossip.SnapshotVersion, 0, len(snapshots))
	for _, s := range snapshots {
		out = append(out, gossip.SnapshotVersion{
			Prefix: s.GetPrefix(), Active: s.GetInForce(), Latest: s.GetHeld(), Versions: toVersions(s.GetVersions()),
			Rejected: s.GetRejected(), Reason: s.GetReason(),
		})
	}
	return out
}

func fromVersions(versions []gossip.Version) []*Version {
	out := make([]*Version, 0, len(versions))
	for _, v := range versions {
		out = append(out, &Version{Name: v.Name, Revision: v.Revision})
	}
	return out
}

// toVersions returns nil for an empty list: a SnapshotVersion whose list is not
// nil asks for all values that differ from the listed ones.
func toVersions(versions []*Version) []gossip.Version {
	var out []gossip.Version
	for _, v := range versions {
		out = append(out, gossip.Version{Name: v.GetName(), Revision: v.GetRevision()})
	}
	return out
}

func fromUpdates(updates []gossip.Update) []*SetUpdate {
	out := make([]*SetUpdate, 0, len(updates))
	for _, u := range updates {
		m := &SetUpdate{
			Prefix: u.Prefix, From: u.From, To: u.To, Digest: u.Digest[:],
			Versions: fromVersions(u.Versions), Removed: u.Removed,
		}
		for _, d := range u.Deltas {
			m.Deltas = append(m.Deltas, &Delta{
				Name: d.Name, FromRevision: d.From, ToRevision: d.To,
				Prefix: uint32(d.Prefix), Suffix: uint32(d.Suffix),
				Body: d.Body, Compressed: d.Compressed, Sha256: d.Sum[:],
			})
		}
		out = append(out, m)
	}
	return out
}

func toUpdates(updates []*SetUpdate) ([]gossip.Update, error) {
	var out []gossip.Update
	for _, m := range updates {
		u := gossip.Update{
			Prefix: m.GetPrefix(), From: m.GetFrom(), To: m.GetTo(),
			Versions: toVersions(m.GetVersions()), Removed: m.GetRemoved(),
		}
		if len(m.GetDigest()) != sha256.Size {
			return nil, fmt.Errorf("update of %s: digest has %d bytes", u.Prefix, len(m.GetDigest()))
		}
		copy(u.Digest[:], m.GetDigest())
		for _, d := range m.GetDeltas() {
			delta, err := toDelta(d)
			if err != nil {
				return nil, err
			}
			u.Deltas = append(u.Deltas, delta)
		}
		out = append(out, u)
	}
	return out, nil
}

func toDelta(d *Delta) (gossip.Delta, error) {
	out := gossip.Delta{
		Name: d.GetName(), From: d.GetFromRevision(), To: d.GetToRevision(),
		Prefix: int(d.GetPrefix()), Suffix: int(d.GetSuffix()),
		Body: d.GetBody(), Compressed: d.GetCompressed(),
	}
	if len(d.GetSha256()) != sha256.Size {
		return out, fmt.Errorf("delta of %s: hash has %d bytes", out.Name, len(d.GetSha256()))
	}
	copy(out.Sum[:], d.GetSha256())
	return out, nil
}

func fromHostStates(states []gossip.HostState) []*HostFact {
	out := make([]*HostFact, 0, len(states))
	for _, h := range states {
		out = append(out, &HostFact{
			Host: string(h.Host), Incarnation: h.Incarnation, Leaving: h.Leaving, AgeMs: millis(h.Age),
		})
	}
	return out
}

func toHostStates(states []*HostFact) []gossip.HostState {
	var out []gossip.HostState
	for _, h := range states {
		out = append(out, gossip.HostState{
			Host: member.HostID(h.GetHost()), Incarnation: h.GetIncarnation(), Leaving: h.GetLeaving(),
			Age: time.Duration(h.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

func fromHeartbeat(h gossip.ReaderHeartbeat) *ReaderSign {
	return &ReaderSign{Zone: h.Zone, Reader: string(h.Reader), AgeMs: millis(h.Age)}
}

func toHeartbeat(h *ReaderSign) gossip.ReaderHeartbeat {
	return gossip.ReaderHeartbeat{
		Zone: h.GetZone(), Reader: member.HostID(h.GetReader()),
		Age: time.Duration(h.GetAgeMs()) * time.Millisecond,
	}
}

// millis returns d in milliseconds, clamped to the range of a uint32.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
