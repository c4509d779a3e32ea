package gossip

import (
	"errors"
	"time"

	"toucangw.example/core/member"
)

// detailedInterval is the minimum time between two requests with detailed
// versions, so that several updates that do not apply cause only one.
const detailedInterval = 500 * time.Millisecond

func (s *State) versions() []SnapshotVersion {
	return []SnapshotVersion{s.config.version(), s.hosts.version()}
}

func (s *State) exchangeRequest(now time.Time) *ExchangeRequest {
	return &ExchangeRequest{From: s.cfg.Self, Snapshots: s.versions(), HostStateDigest: s.hostStates.digest, Heartbeat: s.ownHeartbeat(now)}
}

// exchange starts the periodic exchange.
func (s *State) exchange(now time.Time) []Action {
	if len(s.nodes) == 0 {
		return s.exchangeWithSeed(now)
	}
	id, ok := s.peers.pick()
	if !ok {
		return nil
	}
	return []Action{SendExchange{To: id, Request: s.exchangeRequest(now)}}
}

// exchangePeriod is doubled for readers and standby readers, which also
// exchange with each other. Otherwise readers would send and receive 50% more
// bytes than other nodes.
func (s *State) exchangePeriod() time.Duration {
	switch {
	case len(s.nodes) == 0:
		return seedPeriod
	case s.config.active.Revision == 0:
		return bootstrapPeriod
	case s.rank < ReadersPerZone+standbyReaders && len(s.peers.local.candidates) > localPeers:
		return 2 * ExchangePeriod
	}
	return ExchangePeriod
}

func (s *State) exchangeWithSeed(now time.Time) []Action {
	if len(s.cfg.Seeds) == 0 {
		return nil
	}
	id := s.cfg.Seeds[s.cfg.Random(len(s.cfg.Seeds))]
	return []Action{SendExchange{To: id, Request: s.exchangeRequest(now)}}
}

// readerToPoll returns the reader that a standby reader polls now for a
// heartbeat, in rotation.
func (s *State) readerToPoll(now time.Time) (member.HostID, bool) {
	standby := s.rank >= ReadersPerZone && s.rank < ReadersPerZone+standbyReaders
	if !standby || len(s.readers) == 0 || now.Before(s.nextHeartbeat) {
		return "", false
	}
	s.nextHeartbeat = now.Add(heartbeatPeriod)
	s.rotation++
	return s.readers[s.rotation%len(s.readers)], true
}

func (s *State) ownHeartbeat(now time.Time) ReaderHeartbeat {
	if s.isReader() {
		return ReaderHeartbeat{Zone: s.cfg.Zone, Reader: s.cfg.Self}
	}
	return ReaderHeartbeat{Zone: s.cfg.Zone, Reader: s.heartbeatFrom, Age: min(MaxHeartbeatAge, now.Sub(s.heartbeatAt))}
}

func (s *State) observeHeartbeat(now time.Time, heartbeat ReaderHeartbeat) {
	if heartbeat.Zone != s.cfg.Zone || heartbeat.Reader == s.cfg.Self || heartbeat.Reader == "" || heartbeat.Age < 0 {
		return
	}
	if at := now.Add(-heartbeat.Age); at.After(s.heartbeatAt) {
		s.heartbeatAt = at
		s.heartbeatFrom = heartbeat.Reader
	}
}

// HandleExchange answers the exchange request of another node.
func (s *State) HandleExchange(now time.Time, req *ExchangeRequest) (*ExchangeReply, []Action) {
	s.observeHeartbeat(now, req.Heartbeat)
	reply := &ExchangeReply{Snapshots: s.versions(), HostStateDigest: s.hostStates.digest, Heartbeat: s.ownHeartbeat(now)}
	for _, v := range req.Snapshots {
		rep := s.replica(v.Prefix)
		if rep == nil {
			continue
		}
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.recordReport(now, req.From, v.Active)
		}
		if u := rep.updateFor(v); u != nil {
			reply.Updates = append(reply.Updates, *u)
		}
		if rejected := rep.currentRejection(); rejected.revision > max(v.Rejected, v.Active) {
			setReason(reply.Snapshots, v.Prefix, rejected.reason)
		}
	}
	if req.HostStateDigest != s.hostStates.digest {
		reply.HostStates = s.hostStates.newest(now, hostStatesPerMessage)
	}
	return reply, nil
}

// setReason adds the reason of a rejection.
func setReason(versions []SnapshotVersion, prefix, reason string) {
	for i := range versions {
		if versions[i].Prefix == prefix {
			versions[i].Reason = reason
		}
	}
}

func (s *State) onExchangeReply(now time.Time, e ExchangeReplied) []Action {
	s.observeHeartbeat(now, e.Reply.Heartbeat)
	out := s.observeHostStates(now, e.Reply.HostStates)
	out = append(out, s.applyUpdates(e.Reply.Updates)...)
	s.onPeerReply(now, e.From, e.Reply.Snapshots)
	for _, v := range e.Reply.Snapshots {
		if rep := s.replica(v.Prefix); rep != nil {
			rep.recordRejection(rejection{v.Rejected, v.Reason})
		}
	}
	out = append(out, s.requestDetailed(now, e)...)
	updates := s.updatesFor(e.Reply.Snapshots)
	var states []HostState
	if e.Reply.HostStateDigest != s.hostStates.digest {
		states = s.hostStates.newest(now, hostStatesPerMessage)
	}
	if len(updates) > 0 || len(states) > 0 {
		out = append(out, SendPush{To: e.From, FollowUp: true, Request: s.pushRequest(now, updates, states)})
	}
	return append(out, s.finishBootstrap(now)...)
}

// applyUpdates applies updates and requests validation of the results.
func (s *State) applyUpdates(updates []Update) []Action {
	var out []Action
	for _, u := range updates {
		rep := s.replica(u.Prefix)
		if rep == nil {
			continue
		}
		err := rep.applyUpdate(u)
		switch {
		case err == nil:
			out = append(out, s.requestValidation(rep)...)
		case errors.Is(err, ErrCorrupt), errors.Is(err, ErrInconsistent):
			rep.discarded++
		}
	}
	return out
}

// requestDetailed asks for all values that differ if the other node has a newer
// active snapshot and its update was missing or did not apply.
func (s *State) requestDetailed(now time.Time, e ExchangeReplied) []Action {
	req := s.exchangeRequest(now)
	ask := false
	for _, theirs := range e.Reply.Snapshots {
		rep := s.replica(theirs.Prefix)
		if rep == nil || theirs.Active <= rep.latest.Revision {
			continue
		}
		if now.Sub(s.detailedAt[rep.prefix]) < detailedInterval {
			continue
		}
		s.detailedAt[rep.prefix] = now
		ask = true
		for j := range req.Snapshots {
			if req.Snapshots[j].Prefix == rep.prefix {
				req.Snapshots[j] = rep.detailedVersion()
			}
		}
	}
	if !ask {
		return nil
	}
	return []Action{SendExchange{To: e.From, Request: req}}
}

// updatesFor returns the updates that another node lacks.
func (s *State) updatesFor(theirs []SnapshotVersion) []Update {
	var out []Update
	for _, v := range theirs {
		rep := s.replica(v.Prefix)
		if rep == nil {
			continue
		}
		if u := rep.updateFor(v); u != nil {
			out = append(out, *u)
		}
	}
	return out
}

func (s *State) pushRequest(now time.Time, updates []Update, states []HostState) *PushRequest {
	return &PushRequest{From: s.cfg.Self, Updates: updates, HostStates: states, Heartbeat: s.ownHeartbeat(now)}
}

// pushUpdate sends a change that has just become active to a few gossip peers.
func (s *State) pushUpdate(now time.Time, u Update) []Action {
	var out []Action
	for _, id := range s.peers.pickSome(localPushes, remotePushes) {
		if u.Prefix == ConfigPrefix && s.reports[id].Active >= u.To {
			continue // the peer has pushed or reported that revision itself
		}
		out = append(out, SendPush{To: id, Request: s.pushRequest(now, []Update{u}, nil)})
	}
	return out
}

func (s *State) pushHostStates(now time.Time) []Action {
	if len(s.unsentHostStates) == 0 {
		return nil
	}
	states := s.unsentHostStates
	if len(states) > hostStatesPerMessage {
		states = states[:hostStatesPerMessage] // exchanges carry the others
	}
	s.unsentHostStates = nil
	var out []Action
	for _, id := range s.peers.pickSome(localPushes, remotePushes) {
		out = append(out, SendPush{To: id, Request: s.pushRequest(now, nil, states)})
	}
	return out
}

// HandlePush handles the push of another node.
func (s *State) HandlePush(now time.Time, req *PushRequest) (*PushReply, []Action) {
	s.observeHeartbeat(now, req.Heartbeat)
	out := s.observeHostStates(now, req.HostStates)
	out = append(out, s.applyUpdates(req.Updates)...)
	for _, u := range req.Updates {
		if u.Prefix == ConfigPrefix {
			s.recordReport(now, req.From, u.To)
		}
	}
	return &PushReply{Snapshots: s.versions()}, out
}

// onPushReply sends the updates from the receiver's version if the pushed delta
// did not apply there.
func (s *State) onPushReply(now time.Time, e PushReplied) []Action {
	for _, v := range e.Reply.Snapshots {
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.recordReport(now, e.From, v.Active)
		}
	}
	if e.FollowUp {
		return nil
	}
	updates := s.updatesFor(e.Reply.Snapshots)
	if len(updates) == 0 {
		return nil
	}
	return []Action{SendPush{To: e.From, FollowUp: true, Request: s.pushRequest(now, updates, nil)}}
}
