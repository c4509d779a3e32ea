package gossip

import (
	"errors"
	"time"

	"toucangw.example/core/member"
)

// detailedSpacing keeps several answers that do not fit from causing several
// requests for whole values.
const detailedSpacing = 500 * time.Millisecond

func (s *State) versions() []SnapshotVersion {
	return []SnapshotVersion{s.config.version(), s.hosts.version()}
}

func (s *State) request(now time.Time) *ExchangeRequest {
	return &ExchangeRequest{From: s.cfg.Self, Snapshots: s.versions(), HostStateDigest: s.facts.digest, Heartbeat: s.ownSign(now)}
}

// exchange begins the periodic exchanges.
func (s *State) exchange(now time.Time) []Action {
	if len(s.nodes) == 0 {
		return s.exchangeWithSeed(now)
	}
	id, ok := s.partners.one()
	if !ok {
		return nil
	}
	return []Action{SendExchange{To: id, Request: s.request(now)}}
}

// exchangePeriod is twice as long for readers and deputies, which also exchange
// with each other. Without this, readers need half as many bytes again as other
// nodes.
func (s *State) exchangePeriod() time.Duration {
	switch {
	case len(s.nodes) == 0:
		return seedPeriod
	case s.config.force.Revision == 0:
		return startPeriod
	case s.rank < ReadersPerZone+deputies && len(s.partners.local.all) > localPartners:
		return 2 * ExchangePeriod
	}
	return ExchangePeriod
}

func (s *State) exchangeWithSeed(now time.Time) []Action {
	if len(s.cfg.Seeds) == 0 {
		return nil
	}
	id := s.cfg.Seeds[s.cfg.Random(len(s.cfg.Seeds))]
	return []Action{SendExchange{To: id, Request: s.request(now)}}
}

// readerToAsk returns the reader that a deputy asks now for a sign, in
// rotation.
func (s *State) readerToAsk(now time.Time) (member.HostID, bool) {
	deputy := s.rank >= ReadersPerZone && s.rank < ReadersPerZone+deputies
	if !deputy || len(s.readers) == 0 || now.Before(s.nextSign) {
		return "", false
	}
	s.nextSign = now.Add(signPeriod)
	s.rotation++
	return s.readers[s.rotation%len(s.readers)], true
}

func (s *State) ownSign(now time.Time) ReaderHeartbeat {
	if s.reading() {
		return ReaderHeartbeat{Zone: s.cfg.Zone, Reader: s.cfg.Self}
	}
	return ReaderHeartbeat{Zone: s.cfg.Zone, Reader: s.signOf, Age: min(MaxHeartbeatAge, now.Sub(s.sign))}
}

func (s *State) takeSign(now time.Time, sign ReaderHeartbeat) {
	if sign.Zone != s.cfg.Zone || sign.Reader == s.cfg.Self || sign.Reader == "" || sign.Age < 0 {
		return
	}
	if at := now.Add(-sign.Age); at.After(s.sign) {
		s.sign = at
		s.signOf = sign.Reader
	}
}

// HandleExchange answers the request of another node.
func (s *State) HandleExchange(now time.Time, req *ExchangeRequest) (*ExchangeReply, []Action) {
	s.takeSign(now, req.Heartbeat)
	reply := &ExchangeReply{Snapshots: s.versions(), HostStateDigest: s.facts.digest, Heartbeat: s.ownSign(now)}
	for _, v := range req.Snapshots {
		l := s.lane(v.Prefix)
		if l == nil {
			continue
		}
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.report(now, req.From, v.Active)
		}
		if u := l.offer(v); u != nil {
			reply.Updates = append(reply.Updates, *u)
		}
		if told := l.shown(); told.revision > max(v.Rejected, v.Active) {
			explain(reply.Snapshots, v.Prefix, told.reason)
		}
	}
	if req.HostStateDigest != s.facts.digest {
		reply.HostStates = s.facts.newest(now, factsPerMessage)
	}
	return reply, nil
}

// explain adds the reason of a rejection.
func explain(sets []SnapshotVersion, prefix, reason string) {
	for i := range sets {
		if sets[i].Prefix == prefix {
			sets[i].Reason = reason
		}
	}
}

func (s *State) exchangeReplied(now time.Time, e ExchangeReplied) []Action {
	s.takeSign(now, e.Reply.Heartbeat)
	out := s.learn(now, e.Reply.HostStates)
	out = append(out, s.takeUpdates(e.Reply.Updates)...)
	s.peerAnswered(now, e.From, e.Reply.Snapshots)
	for _, v := range e.Reply.Snapshots {
		if l := s.lane(v.Prefix); l != nil {
			l.tell(rejection{v.Rejected, v.Reason})
		}
	}
	out = append(out, s.askDetailed(now, e)...)
	push := s.behind(e.Reply.Snapshots)
	var facts []HostState
	if e.Reply.HostStateDigest != s.facts.digest {
		facts = s.facts.newest(now, factsPerMessage)
	}
	if len(push) > 0 || len(facts) > 0 {
		out = append(out, SendPush{To: e.From, FollowUp: true, Request: s.push(now, push, facts)})
	}
	return append(out, s.settle(now)...)
}

// takeUpdates applies updates and asks for judgement of what results.
func (s *State) takeUpdates(updates []Update) []Action {
	var out []Action
	for _, u := range updates {
		l := s.lane(u.Prefix)
		if l == nil {
			continue
		}
		err := l.take(u)
		switch {
		case err == nil:
			out = append(out, s.judge(l)...)
		case errors.Is(err, ErrCorrupt), errors.Is(err, ErrInconsistent):
			l.discards++
		}
	}
	return out
}

// askDetailed asks for all values that differ if the other node has a newer set
// and its update was missing or did not fit.
func (s *State) askDetailed(now time.Time, e ExchangeReplied) []Action {
	req := s.request(now)
	ask := false
	for _, theirs := range e.Reply.Snapshots {
		l := s.lane(theirs.Prefix)
		if l == nil || theirs.Active <= l.held.Revision {
			continue
		}
		if now.Sub(s.detailedAt[l.prefix]) < detailedSpacing {
			continue
		}
		s.detailedAt[l.prefix] = now
		ask = true
		for j := range req.Snapshots {
			if req.Snapshots[j].Prefix == l.prefix {
				req.Snapshots[j] = l.detailed()
			}
		}
	}
	if !ask {
		return nil
	}
	return []Action{SendExchange{To: e.From, Request: req}}
}

// behind returns what another node lacks.
func (s *State) behind(theirs []SnapshotVersion) []Update {
	var out []Update
	for _, v := range theirs {
		l := s.lane(v.Prefix)
		if l == nil {
			continue
		}
		if u := l.offer(v); u != nil {
			out = append(out, *u)
		}
	}
	return out
}

func (s *State) push(now time.Time, updates []Update, facts []HostState) *PushRequest {
	return &PushRequest{From: s.cfg.Self, Updates: updates, HostStates: facts, Heartbeat: s.ownSign(now)}
}

// pushUpdate sends a change that has just come into force to a few partners.
func (s *State) pushUpdate(now time.Time, u Update) []Action {
	var out []Action
	for _, id := range s.partners.some(localPushes, remotePushes) {
		if u.Prefix == ConfigPrefix && s.reports[id].Active >= u.To {
			continue // it has pushed or reported that revision itself
		}
		out = append(out, SendPush{To: id, Request: s.push(now, []Update{u}, nil)})
	}
	return out
}

func (s *State) pushFacts(now time.Time) []Action {
	if len(s.freshFacts) == 0 {
		return nil
	}
	fresh := s.freshFacts
	if len(fresh) > factsPerMessage {
		fresh = fresh[:factsPerMessage] // the exchange carries the others
	}
	s.freshFacts = nil
	var out []Action
	for _, id := range s.partners.some(localPushes, remotePushes) {
		out = append(out, SendPush{To: id, Request: s.push(now, nil, fresh)})
	}
	return out
}

// HandlePush takes what another node pushed.
func (s *State) HandlePush(now time.Time, req *PushRequest) (*PushReply, []Action) {
	s.takeSign(now, req.Heartbeat)
	out := s.learn(now, req.HostStates)
	out = append(out, s.takeUpdates(req.Updates)...)
	for _, u := range req.Updates {
		if u.Prefix == ConfigPrefix {
			s.report(now, req.From, u.To)
		}
	}
	return &PushReply{Snapshots: s.versions()}, out
}

// pushReplied sends the chain from the receiver's version if the pushed delta
// did not fit there.
func (s *State) pushReplied(now time.Time, e PushReplied) []Action {
	for _, v := range e.Reply.Snapshots {
		if v.Prefix == ConfigPrefix && v.Active > 0 {
			s.report(now, e.From, v.Active)
		}
	}
	if e.FollowUp {
		return nil
	}
	updates := s.behind(e.Reply.Snapshots)
	if len(updates) == 0 {
		return nil
	}
	return []Action{SendPush{To: e.From, FollowUp: true, Request: s.push(now, updates, nil)}}
}
