// Package peer holds the messages between nodes, and their conversion to and
// from the types that core decides on.
package peer

import (
	"crypto/sha256"
	"fmt"
	"math"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
)

// FromExchangeRequest converts the decision type to the message.
func FromExchangeRequest(r *gossip.ExchangeRequest, incarnation uint64) *ExchangeRequest {
	return &ExchangeRequest{
		Sender: &Sender{Host: string(r.From), Incarnation: incarnation},
		Sets:   fromSets(r.Snapshots),
		Facts:  r.HostStateDigest,
		Sign:   fromSign(r.Heartbeat),
	}
}

// ToExchangeRequest converts the message to the decision type.
func ToExchangeRequest(m *ExchangeRequest) *gossip.ExchangeRequest {
	return &gossip.ExchangeRequest{
		From:            member.HostID(m.GetSender().GetHost()),
		Snapshots:       toSets(m.GetSets()),
		HostStateDigest: m.GetFacts(),
		Heartbeat:       toSign(m.GetSign()),
	}
}

// FromExchangeReply converts the decision type to the message.
func FromExchangeReply(r *gossip.ExchangeReply, incarnation uint64) *ExchangeReply {
	return &ExchangeReply{
		Sets:        fromSets(r.Snapshots),
		Updates:     fromUpdates(r.Updates),
		FactsDigest: r.HostStateDigest,
		Facts:       fromFacts(r.HostStates),
		Sign:        fromSign(r.Heartbeat),
		Incarnation: incarnation,
	}
}

// ToExchangeReply converts the message to the decision type.
func ToExchangeReply(m *ExchangeReply) (*gossip.ExchangeReply, error) {
	updates, err := toUpdates(m.GetUpdates())
	if err != nil {
		return nil, err
	}
	return &gossip.ExchangeReply{
		Snapshots:       toSets(m.GetSets()),
		Updates:         updates,
		HostStateDigest: m.GetFactsDigest(),
		HostStates:      toFacts(m.GetFacts()),
		Heartbeat:       toSign(m.GetSign()),
	}, nil
}

// FromPushRequest converts the decision type to the message.
func FromPushRequest(r *gossip.PushRequest, incarnation uint64) *PushRequest {
	return &PushRequest{
		Sender:  &Sender{Host: string(r.From), Incarnation: incarnation},
		Updates: fromUpdates(r.Updates),
		Facts:   fromFacts(r.HostStates),
		Sign:    fromSign(r.Heartbeat),
	}
}

// ToPushRequest converts the message to the decision type.
func ToPushRequest(m *PushRequest) (*gossip.PushRequest, error) {
	updates, err := toUpdates(m.GetUpdates())
	if err != nil {
		return nil, err
	}
	return &gossip.PushRequest{
		From:       member.HostID(m.GetSender().GetHost()),
		Updates:    updates,
		HostStates: toFacts(m.GetFacts()),
		Heartbeat:  toSign(m.GetSign()),
	}, nil
}

// FromPushReply converts the decision type to the message.
func FromPushReply(r *gossip.PushReply, incarnation uint64) *PushReply {
	return &PushReply{Sets: fromSets(r.Snapshots), Incarnation: incarnation}
}

// ToPushReply converts the message to the decision type.
func ToPushReply(m *PushReply) *gossip.PushReply {
	return &gossip.PushReply{Snapshots: toSets(m.GetSets())}
}

func fromSets(sets []gossip.SnapshotVersion) []*SetVersion {
	out := make([]*SetVersion, 0, len(sets))
	for _, s := range sets {
		out = append(out, &SetVersion{
			Prefix: s.Prefix, InForce: s.Active, Held: s.Latest, Versions: fromVersions(s.Versions),
			Rejected: s.Rejected, Reason: s.Reason,
		})
	}
	return out
}

func toSets(sets []*SetVersion) []gossip.SnapshotVersion {
	out := make([]gossip.SnapshotVersion, 0, len(sets))
	for _, s := range sets {
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

// toVersions returns nil for an empty list: a list asks for whole values.
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

func fromFacts(facts []gossip.HostState) []*HostFact {
	out := make([]*HostFact, 0, len(facts))
	for _, f := range facts {
		out = append(out, &HostFact{
			Host: string(f.Host), Incarnation: f.Incarnation, Leaving: f.Leaving, AgeMs: millis(f.Age),
		})
	}
	return out
}

func toFacts(facts []*HostFact) []gossip.HostState {
	var out []gossip.HostState
	for _, f := range facts {
		out = append(out, gossip.HostState{
			Host: member.HostID(f.GetHost()), Incarnation: f.GetIncarnation(), Leaving: f.GetLeaving(),
			Age: time.Duration(f.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

func fromSign(s gossip.ReaderHeartbeat) *ReaderSign {
	return &ReaderSign{Zone: s.Zone, Reader: string(s.Reader), AgeMs: millis(s.Age)}
}

func toSign(s *ReaderSign) gossip.ReaderHeartbeat {
	return gossip.ReaderHeartbeat{
		Zone: s.GetZone(), Reader: member.HostID(s.GetReader()),
		Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
	}
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
