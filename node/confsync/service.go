package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"time"

	"toucangw.example/core/member"
	"toucangw.example/peer"
)

const (
	configPrefix  = "config/"
	hostsPrefix   = "hosts/"
	baseName      = configPrefix + "base"
	overlayPrefix = configPrefix + "overlay/"

	watchWait  = 10 * time.Second
	retryPause = time.Second
)

// Status is what an operator sees of the service.
type Status struct {
	InForce      uint64    `json:"in_force"`                // store revision in force; 0 for none
	Rejected     uint64    `json:"rejected,omitempty"`      // newest revision that is not valid
	RejectedWhy  string    `json:"rejected_why,omitempty"`  // its error
	PlatformAt   time.Time `json:"platform_at"`             // last answer of the platform
	PlatformErr  string    `json:"platform_err,omitempty"`  // error of the last read
	HostRevision uint64    `json:"host_revision"`           // store revision of the host lists
	Hosts        int       `json:"hosts"`                   // hosts on the lists
	Reader       bool      `json:"reader"`                  // whether this node reads the platform
	Peers        []PeerRow `json:"peers,omitempty"`         // versions that peers reported last
	Everywhere   bool      `json:"in_force_at_known_peers"` // all peers heard in the last minute report InForce or higher
}

// PeerRow is the version that a peer reported.
type PeerRow struct {
	Host    member.HostID `json:"host"`
	InForce uint64        `json:"in_force"`
	At      time.Time     `json:"at"`
}

// Service is safe for concurrent use.
type Service struct {
	cfg      Config
	log      *slog.Logger
	platform *platformClient

	mu     sync.Mutex
	status Status
	listed map[member.HostID]member.Host
}

// New returns a service that does nothing until Run.
func New(cfg Config) *Service {
	log := cfg.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Service{
		cfg:      cfg,
		log:      log,
		platform: newPlatformClient(cfg.PlatformURLs),
		listed:   map[member.HostID]member.Host{},
	}
}

// Run works until ctx ends and then returns nil.
func (s *Service) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.watch(ctx, configPrefix, s.takeConfig) })
	group.Go(func() { s.watch(ctx, hostsPrefix, s.takeHosts) })
	group.Wait()
	return nil
}

func (s *Service) watch(ctx context.Context, prefix string, take func(uint64, map[string]string)) {
	values := map[string]string{}
	revision := uint64(0)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		answer, err := s.platform.read(ctx, 0, prefix, revision, wait)
		if err != nil {
			s.log.Warn("platform read failed", "prefix", prefix, "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
			continue
		}
		wait = watchWait
		if answer.Revision <= revision {
			continue
		}
		for _, v := range answer.Values {
			values[v.Name] = v.Body
		}
		for _, name := range answer.Deleted {
			delete(values, name)
		}
		revision = answer.Revision
		take(revision, values)
	}
}

func (s *Service) takeConfig(revision uint64, values map[string]string) {
	overlays := map[string][]byte{s.cfg.Site: nil}
	for name, body := range values {
		if site, ok := strings.CutPrefix(name, overlayPrefix); ok {
			overlays[site] = []byte(body)
		}
	}
	policies, err := s.cfg.Compiler(revision, []byte(values[baseName]), overlays)
	if err == nil && policies[s.cfg.Site] == nil {
		err = fmt.Errorf("no policy for site %q", s.cfg.Site)
	}
	s.mu.Lock()
	if err != nil {
		s.status.Rejected = revision
		s.status.RejectedWhy = err.Error()
	} else {
		s.status.InForce = revision
	}
	s.mu.Unlock()
	if err != nil {
		s.log.Error("configuration rejected", "revision", revision, "error", err)
		return
	}
	s.log.Info("configuration in force", "revision", revision)
	s.cfg.OnPolicy(policies[s.cfg.Site])
}

type hostList struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
	Hosts  []struct {
		ID          string `json:"id"`
		Addr        string `json:"addr"`
		Service     string `json:"service"`
		Status      string `json:"status"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"hosts"`
}

func (s *Service) takeHosts(revision uint64, values map[string]string) {
	listed := map[member.HostID]member.Host{}
	usable := map[string][]member.Host{}
	for name, body := range values {
		var list hostList
		if err := json.Unmarshal([]byte(body), &list); err != nil {
			s.log.Error("host list rejected", "name", name, "error", err)
			return
		}
		for _, h := range list.Hosts {
			host := member.Host{
				ID: member.HostID(h.ID), Addr: h.Addr, Region: list.Region, Zone: list.Zone,
				Service: h.Service, Incarnation: h.Incarnation,
			}
			if h.Status == member.Leaving.String() {
				host.Status = member.Leaving
			}
			listed[host.ID] = host
			if host.Status == member.Live {
				usable[host.Service] = append(usable[host.Service], host)
			}
		}
	}
	s.mu.Lock()
	s.listed = listed
	s.status.HostRevision = revision
	s.status.Hosts = len(listed)
	s.mu.Unlock()
	s.cfg.OnHosts(usable)
}

// HandleExchange answers the Exchange message of another node. The caller has
// checked the sender with Allowed.
func (s *Service) HandleExchange(context.Context, *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	return nil, errors.ErrUnsupported
}

// HandlePush answers the Push message of another node. The caller has checked
// the sender with Allowed.
func (s *Service) HandlePush(context.Context, *peer.PushRequest) (*peer.PushReply, error) {
	return nil, errors.ErrUnsupported
}

// Allowed reports whether a host may act as a node: it is on the list and ip is
// its listed address.
func (s *Service) Allowed(host string, ip netip.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.listed[member.HostID(host)]
	if !ok {
		return false
	}
	addr, err := netip.ParseAddrPort(listed.Addr)
	return err == nil && addr.Addr() == ip.Unmap()
}

// PeerLeaving records that a host announced that it is leaving.
func (s *Service) PeerLeaving(member.HostID, uint64) {}

// PeerAlive records that a host answered, as seen in this node's own traffic.
func (s *Service) PeerAlive(member.HostID, uint64) {}

// SelfLeaving announces that this node is leaving.
func (s *Service) SelfLeaving() {}

// Status returns what an operator sees.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}
