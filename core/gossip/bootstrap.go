package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// bootstrapState controls a node that has just started: it asks seeds and peers
// first, so that a stale platform answer never becomes active while a peer has
// a newer revision.
type bootstrapState struct {
	done           bool
	waitUntil      time.Time // end of the wait for peers
	platformReadAt time.Time // when to read the platform if no peer has values
	platformReadBy time.Time // upper bound of platformReadAt
	answered       map[member.HostID]bool
	peersAsked     bool // peers from the host list were asked
}

func (s *State) startBootstrap(now time.Time) {
	s.bootstrap = bootstrapState{waitUntil: now.Add(bootstrapTimeout), answered: map[member.HostID]bool{}}
	switch {
	case len(s.cfg.Seeds) == 0:
		s.bootstrap.platformReadAt = now
	case s.cfg.IsSeed:
		s.bootstrap.platformReadAt = now.Add(s.randomUpTo(bootstrapTimeout / 4))
	default:
		s.bootstrap.platformReadAt = now.Add(bootstrapTimeout + s.randomUpTo(startupReadJitter))
	}
	s.bootstrap.platformReadBy = now.Add(bootstrapTimeout + 2*startupReadJitter + s.randomUpTo(startupReadJitter))
	s.nextExchange = now
}

func (s *State) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.cfg.Random(int(d)))
}

// mayReadToBootstrap reports whether this node knows no other nodes and may
// read the platform for that reason.
func (s *State) mayReadToBootstrap(now time.Time) bool {
	return s.hosts.active.Revision == 0 && !now.Before(s.bootstrap.platformReadAt)
}

// onPeerReply counts replies of peers towards the end of the wait. A peer that
// replies without values is starting too; the read of the platform is postponed
// then.
func (s *State) onPeerReply(now time.Time, from member.HostID, versions []SnapshotVersion) {
	for _, v := range versions {
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.bootstrap.answered[from] = true
			s.recordReport(now, from, v.Active)
		}
	}
	if s.hosts.active.Revision == 0 && !s.cfg.IsSeed {
		later := now.Add(bootstrapTimeout / 2)
		if later.After(s.bootstrap.platformReadAt) && later.Before(s.bootstrap.platformReadBy) {
			s.bootstrap.platformReadAt = later
		}
	}
}

func (s *State) recordReport(now time.Time, from member.HostID, active uint64) {
	if len(s.reports) >= maxReports {
		for id, r := range s.reports {
			if now.Sub(r.At) > time.Minute {
				delete(s.reports, id)
			}
		}
	}
	if _, known := s.reports[from]; known || len(s.reports) < maxReports {
		s.reports[from] = Report{Active: active, At: now}
	}
}

// askPeers asks peers once the first host list is known, and waits for them if
// no seed had values.
func (s *State) askPeers(now time.Time) []Action {
	if s.bootstrap.done || s.bootstrap.peersAsked || len(s.nodes) == 0 {
		return nil
	}
	s.bootstrap.peersAsked = true
	peers := s.peers.pickSome(bootstrapPeers-1, 1)
	if len(peers) == 0 {
		s.bootstrap.waitUntil = now
		return nil
	}
	if until := now.Add(bootstrapTimeout); len(s.bootstrap.answered) == 0 && until.After(s.bootstrap.waitUntil) {
		s.bootstrap.waitUntil = until
	}
	var out []Action
	for _, id := range peers {
		out = append(out, SendExchange{To: id, Request: s.exchangeRequest(now)})
	}
	return out
}

func (s *State) finishBootstrap(now time.Time) []Action {
	if s.bootstrap.done {
		return nil
	}
	if len(s.bootstrap.answered) < bootstrapPeers && now.Before(s.bootstrap.waitUntil) {
		return nil
	}
	s.bootstrap.done = true
	return s.requestValidation(s.config)
}
