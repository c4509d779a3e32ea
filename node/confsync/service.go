package confsync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/peer"
)

// peerTimeout bounds one message to another node.
const peerTimeout = time.Second

// seedPrefix marks the IDs of seeds, of which only the address is known. The
// address follows the prefix.
const seedPrefix = "seed/"

// Service keeps the configuration and the host view up to date. It is safe for
// concurrent use.
type Service struct {
	cfg      Config
	log      *slog.Logger
	platform *platformClient
	wake     chan struct{} // receives a token when callbacks are pending

	mu          sync.Mutex
	ctx         context.Context // of Run; nil before and after
	workers     sync.WaitGroup
	state       *gossip.State
	view        member.View
	viewVersion uint64 // version of the view last passed to state
	validator   validator
	pending     callbacks
	wasReader   bool // role at the last tick
	lastRead    platformRead
}

// callbacks are the pending calls of Config.OnPolicy and Config.OnHosts.
type callbacks struct {
	policy *policy.Policy // for OnPolicy; nil for no call
	hosts  bool           // whether to call OnHosts
}

// platformRead describes the last reads of the platform.
type platformRead struct {
	at  time.Time // of the last answer
	err error     // of the last read
}

// New returns a service that does nothing until Run.
func New(cfg Config) *Service {
	log := cfg.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	config := gossip.Config{
		Self:        cfg.Self.ID,
		Incarnation: cfg.Incarnation,
		Zone:        cfg.Self.Zone,
		Random:      random.IntN,
	}
	for _, addr := range cfg.Seeds {
		if addr == cfg.Self.Addr {
			config.IsSeed = true
			continue
		}
		config.Seeds = append(config.Seeds, member.HostID(seedPrefix+addr))
	}
	return &Service{
		cfg:       cfg,
		log:       log,
		platform:  newPlatformClient(cfg.PlatformAddrs),
		wake:      make(chan struct{}, 1),
		state:     gossip.New(time.Now(), config),
		view:      member.New(),
		validator: validator{site: cfg.Site, compile: cfg.Compiler},
	}
}

// Run runs the service until ctx ends and then returns nil. It may be called
// once.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.step(gossip.HostStateReceived{State: gossip.HostState{Host: s.cfg.Self.ID, Incarnation: s.cfg.Incarnation}})
	s.mu.Unlock()
	ticker := time.NewTicker(gossip.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			s.tick()
		case <-s.wake:
			s.runCallbacks()
		}
	}
}

func (s *Service) stop() {
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.workers.Wait()
	s.platform.pool.Close()
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Tick(time.Now())
	s.viewChanged()
	s.step(gossip.Tick{})
	if reader := s.state.Status().Reader; reader != s.wasReader {
		s.wasReader = reader
		s.log.Info("platform reader role changed", "reader", reader)
	}
}

// runCallbacks makes the pending calls without holding the lock.
func (s *Service) runCallbacks() {
	s.mu.Lock()
	pending := s.pending
	s.pending = callbacks{}
	var hosts map[string][]member.Host
	if pending.hosts {
		hosts = s.view.Hosts()
	}
	s.mu.Unlock()
	if pending.policy != nil {
		s.cfg.OnPolicy(pending.policy)
	}
	if pending.hosts {
		s.cfg.OnHosts(hosts)
	}
}

// scheduleCallbacks makes Run call runCallbacks.
func (s *Service) scheduleCallbacks() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// step passes an event to the state and executes the resulting actions. s.mu
// must be held.
func (s *Service) step(event gossip.Event) { s.execute(s.state.Step(time.Now(), event)) }

// execute executes actions of the state. s.mu must be held.
func (s *Service) execute(actions []gossip.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case gossip.Read:
			s.spawn(func(ctx context.Context) { s.readPlatform(ctx, a) })
		case gossip.SendExchange:
			s.sendExchange(a)
		case gossip.SendPush:
			s.sendPush(a)
		case gossip.Validate:
			s.spawn(func(context.Context) { s.validate(a) })
		case gossip.Activate:
			s.activate(a.Snapshot)
		case gossip.HostStateChanged:
			s.view.OnAnnounce(time.Now(), a.State.Host, a.State.Incarnation, a.State.Leaving)
		}
	}
}

// spawn starts a goroutine that Run waits for before it returns. s.mu must be
// held.
func (s *Service) spawn(run func(context.Context)) {
	ctx := s.ctx
	if ctx == nil {
		return
	}
	s.workers.Go(func() { run(ctx) })
}

// report passes the result of an action to the state, unless Run has ended.
func (s *Service) report(event gossip.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx != nil {
		s.step(event)
	}
}

func (s *Service) readPlatform(ctx context.Context, r gossip.Read) {
	answer, err := s.platform.read(ctx, int(s.cfg.Seed%1024), r)
	s.mu.Lock()
	failed := s.lastRead.err != nil
	s.lastRead.err = err
	if err == nil {
		s.lastRead.at = time.Now()
	}
	s.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		if !failed {
			s.log.Warn("platform cannot be read", "prefix", r.Prefix, "error", err)
		}
		s.report(gossip.PlatformFailed{Prefix: r.Prefix})
		return
	case failed:
		s.log.Info("platform answers again", "prefix", r.Prefix, "revision", answer.Revision)
	}
	s.report(gossip.PlatformRead{Prefix: r.Prefix, After: r.After, RevisionOnly: r.RevisionOnly, Answer: answer})
}

// host returns the host with an ID. For a seed, only the address is set.
func (s *Service) host(id member.HostID) (member.Host, bool) {
	if addr, ok := strings.CutPrefix(string(id), seedPrefix); ok {
		return member.Host{Addr: addr}, true
	}
	return s.view.Host(id)
}

func (s *Service) sendExchange(a gossip.SendExchange) {
	host, ok := s.host(a.To)
	if !ok {
		return
	}
	m := peer.FromExchangeRequest(a.Request, s.cfg.Incarnation)
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		resp, err := s.cfg.Peers.Exchange(ctx, host, m)
		if err != nil {
			s.report(gossip.PeerFailed{Peer: a.To})
			return
		}
		reply, err := peer.ToExchangeReply(resp)
		if err != nil {
			s.log.Warn("exchange reply discarded", "host", a.To, "error", err)
			s.report(gossip.PeerFailed{Peer: a.To})
			return
		}
		s.PeerAlive(a.To, resp.GetIncarnation())
		s.report(gossip.ExchangeReplied{From: a.To, Reply: reply})
	})
}

func (s *Service) sendPush(a gossip.SendPush) {
	host, ok := s.host(a.To)
	if !ok {
		return
	}
	m := peer.FromPushRequest(a.Request, s.cfg.Incarnation)
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		resp, err := s.cfg.Peers.Push(ctx, host, m)
		if err != nil {
			s.report(gossip.PeerFailed{Peer: a.To})
			return
		}
		s.PeerAlive(a.To, resp.GetIncarnation())
		s.report(gossip.PushReplied{From: a.To, Reply: peer.ToPushReply(resp), FollowUp: a.FollowUp})
	})
}

// validate validates a snapshot. It runs without the lock because compiling a
// configuration is slow.
func (s *Service) validate(a gossip.Validate) {
	event := gossip.Validated{Prefix: a.Snapshot.Prefix, Revision: a.Snapshot.Revision}
	err := s.validator.validate(a.Snapshot, a.AllOverlays)
	if err != nil {
		event.Reason = err.Error()
		s.log.Error("values rejected", "prefix", a.Snapshot.Prefix, "revision", a.Snapshot.Revision, "error", err)
	}
	s.report(event)
}

// activate makes a validated snapshot active. s.mu must be held.
func (s *Service) activate(snapshot *gossip.Snapshot) {
	if snapshot.Prefix == gossip.ConfigPrefix {
		s.log.Info("configuration accepted", "revision", snapshot.Revision)
		s.pending.policy = s.validator.activateConfig(snapshot)
		s.scheduleCallbacks()
		return
	}
	s.log.Info("host lists in force", "revision", snapshot.Revision)
	for _, list := range s.validator.activateLists(snapshot) {
		s.view.SetList(time.Now(), list)
	}
	if zones := s.view.Quarantined(); len(zones) > 0 {
		s.log.Warn("host lists held back: they drop most hosts, of which some answer", "zones", zones)
	}
	s.viewChanged()
}

// viewChanged passes the host view to the state and to OnHosts if it changed.
// s.mu must be held.
func (s *Service) viewChanged() {
	if s.view.Version() == s.viewVersion {
		return
	}
	s.viewVersion = s.view.Version()
	hosts := s.view.Nodes() // takes about 1 ms for 21,000 hosts
	nodes := make([]gossip.Node, 0, len(hosts))
	for _, h := range hosts {
		nodes = append(nodes, gossip.Node{ID: h.ID, Zone: h.Zone})
	}
	s.pending.hosts = true
	s.scheduleCallbacks()
	s.step(gossip.NodesChanged{Nodes: nodes})
}
