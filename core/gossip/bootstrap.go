package gossip

import (
	"time"

	"toucangw.example/core/member"
)

// startState is the behaviour of a node that has just started: it asks seeds
// and peers first, so that a stale platform answer never comes into force
// while a peer knows better.
type startState struct {
	settled  bool
	until    time.Time // end of the wait for peers
	bootRead time.Time // when to read the platform without values from a peer
	bootEnd  time.Time // latest time for bootRead
	answered map[member.HostID]bool
	asked    bool // peers from the host list were asked
}

func (s *State) begin(now time.Time) {
	s.start = startState{until: now.Add(settleTime), answered: map[member.HostID]bool{}}
	switch {
	case len(s.cfg.Seeds) == 0:
		s.start.bootRead = now
	case s.cfg.IsSeed:
		s.start.bootRead = now.Add(s.upTo(settleTime / 4))
	default:
		s.start.bootRead = now.Add(settleTime + s.upTo(startSpread))
	}
	s.start.bootEnd = now.Add(settleTime + 2*startSpread + s.upTo(startSpread))
	s.nextExchange = now
}

func (s *State) upTo(d time.Duration) time.Duration {
	return time.Duration(s.cfg.Random(int(d)))
}

// booting reports whether this node knows no other nodes and may read the
// platform for that reason.
func (s *State) booting(now time.Time) bool {
	return s.hosts.force.Revision == 0 && !now.Before(s.start.bootRead)
}

// peerAnswered counts peers towards the end of the wait. A peer that answers
// without values is starting too; reading the platform is put off then.
func (s *State) peerAnswered(now time.Time, from member.HostID, sets []SnapshotVersion) {
	for _, v := range sets {
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.start.answered[from] = true
			s.report(now, from, v.Active)
		}
	}
	if s.hosts.force.Revision == 0 && !s.cfg.IsSeed {
		later := now.Add(settleTime / 2)
		if later.After(s.start.bootRead) && later.Before(s.start.bootEnd) {
			s.start.bootRead = later
		}
	}
}

func (s *State) report(now time.Time, from member.HostID, inForce uint64) {
	if len(s.reports) >= maxReports {
		for id, r := range s.reports {
			if now.Sub(r.At) > time.Minute {
				delete(s.reports, id)
			}
		}
	}
	if _, known := s.reports[from]; known || len(s.reports) < maxReports {
		s.reports[from] = Report{Active: inForce, At: now}
	}
}

// askForStart asks peers once the first host list is known, and waits for them
// if no seed had values.
func (s *State) askForStart(now time.Time) []Action {
	if s.start.settled || s.start.asked || len(s.nodes) == 0 {
		return nil
	}
	s.start.asked = true
	peers := s.partners.some(settlePeers-1, 1)
	if len(peers) == 0 {
		s.start.until = now
		return nil
	}
	if until := now.Add(settleTime); len(s.start.answered) == 0 && until.After(s.start.until) {
		s.start.until = until
	}
	var out []Action
	for _, id := range peers {
		out = append(out, SendExchange{To: id, Request: s.request(now)})
	}
	return out
}

func (s *State) settle(now time.Time) []Action {
	if s.start.settled {
		return nil
	}
	if len(s.start.answered) < settlePeers && now.Before(s.start.until) {
		return nil
	}
	s.start.settled = true
	return s.judge(s.config)
}
