package node

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/node/confsync"
	"toucangw.example/peer"
)

var errNoGossip = errors.New("this node has a fixed configuration")

// Static is a Source with a fixed configuration and host list, for
// measurements and tests without a platform. It is safe for concurrent use.
type Static struct {
	cfg SourceConfig

	mu    sync.Mutex
	hosts map[member.HostID]member.Host
}

// NewStatic returns a source without configuration and hosts.
func NewStatic(cfg SourceConfig) *Static {
	return &Static{cfg: cfg, hosts: make(map[member.HostID]member.Host)}
}

// Set activates a configuration and a host list.
func (s *Static) Set(p *policy.Policy, hosts []member.Host) {
	s.mu.Lock()
	clear(s.hosts)
	for _, h := range hosts {
		s.hosts[h.ID] = h
	}
	s.mu.Unlock()
	s.publish()
	s.cfg.OnPolicy(p)
}

// publish passes the hosts to the node, by service.
func (s *Static) publish() {
	byService := make(map[string][]member.Host)
	s.mu.Lock()
	for _, h := range s.hosts {
		byService[h.Service] = append(byService[h.Service], h)
	}
	s.mu.Unlock()
	s.cfg.OnHosts(byService)
}

// Run implements Source.
func (s *Static) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// HandleExchange implements Source.
func (s *Static) HandleExchange(context.Context, *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	return nil, errNoGossip
}

// HandlePush implements Source.
func (s *Static) HandlePush(context.Context, *peer.PushRequest) (*peer.PushReply, error) {
	return nil, errNoGossip
}

// Allowed implements Source.
func (s *Static) Allowed(host string, ip netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hosts[member.HostID(host)]
	if !known {
		return false
	}
	listed, err := netip.ParseAddrPort(h.Addr)
	return err == nil && listed.Addr() == ip
}

// PeerLeaving implements Source.
func (s *Static) PeerLeaving(host member.HostID, incarnation uint64) {
	s.mu.Lock()
	h, known := s.hosts[host]
	if !known || h.Status == member.Leaving {
		s.mu.Unlock()
		return
	}
	h.Status = member.Leaving
	h.Incarnation = incarnation
	s.hosts[host] = h
	s.mu.Unlock()
	s.publish()
}

// PeerAlive implements Source.
func (s *Static) PeerAlive(member.HostID, uint64) {}

// SelfLeaving implements Source.
func (s *Static) SelfLeaving() {}

// Status implements Source.
func (s *Static) Status() confsync.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return confsync.Status{Hosts: len(s.hosts)}
}
