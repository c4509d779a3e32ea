package confsync

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
	"toucangw.example/peer"
)

// errNotRunning is returned to peers before Run and after its end.
var errNotRunning = errors.New("configuration service is not running")

// HandleExchange answers the Exchange message of another node. The sender must
// have been checked with Allowed.
func (s *Service) HandleExchange(_ context.Context, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return nil, errNotRunning
	}
	s.senderAlive(m.GetSender())
	reply, actions := s.state.HandleExchange(time.Now(), peer.ToExchangeRequest(m))
	s.execute(actions)
	return peer.FromExchangeReply(reply, s.cfg.Incarnation), nil
}

// HandlePush answers the Push message of another node. The sender must have
// been checked with Allowed.
func (s *Service) HandlePush(_ context.Context, m *peer.PushRequest) (*peer.PushReply, error) {
	req, err := peer.ToPushRequest(m)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		return nil, errNotRunning
	}
	s.senderAlive(m.GetSender())
	reply, actions := s.state.HandlePush(time.Now(), req)
	s.execute(actions)
	return peer.FromPushReply(reply, s.cfg.Incarnation), nil
}

// senderAlive records that the sender of a message is alive. s.mu must be held.
func (s *Service) senderAlive(sender *peer.Sender) {
	s.view.OnAlive(time.Now(), member.HostID(sender.GetHost()), sender.GetIncarnation())
}

// Allowed reports whether a host may act as a node: it is in the host view and
// ip is its listed address.
func (s *Service) Allowed(host string, ip netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Allowed(member.HostID(host), ip)
}

// PeerLeaving records that a host announced that it is leaving.
func (s *Service) PeerLeaving(host member.HostID, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(gossip.HostStateReceived{State: gossip.HostState{Host: host, Incarnation: incarnation, Leaving: true}})
}

// PeerAlive records that a host answered a request of this node. A resulting
// change of the view is passed to OnHosts after the next tick.
func (s *Service) PeerAlive(host member.HostID, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.OnAlive(time.Now(), host, incarnation)
}

// SelfLeaving announces that this node is leaving.
func (s *Service) SelfLeaving() { s.PeerLeaving(s.cfg.Self.ID, s.cfg.Incarnation) }
