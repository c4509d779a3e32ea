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

// seedPrefix marks the ids that stand for seeds, of which only the address is
// known.
const seedPrefix = "seed/"

// Service is safe for concurrent use.
type Service struct {
	cfg      Config
	log      *slog.Logger
	platform *platformClient
	wake     chan struct{} // holds a token if callbacks are due

	mu       sync.Mutex
	ctx      context.Context // of Run; nil before
	workers  sync.WaitGroup
	state    *gossip.State
	view     member.View
	seen     uint64 // version of the view that the state knows
	judge    judge
	due      callbacks
	reader   bool // as logged last
	lastRead platformHealth
}

// callbacks are the calls that are due.
type callbacks struct {
	policy *policy.Policy
	hosts  bool
}

type platformHealth struct {
	at  time.Time // last answer
	err error     // of the last read
}

// New returns a service that does nothing until Run.
func New(cfg Config) *Service {
	log := cfg.Logger
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	decide := gossip.Config{
		Self:        cfg.Self.ID,
		Incarnation: cfg.Incarnation,
		Zone:        cfg.Self.Zone,
		Random:      random.IntN,
	}
	for _, addr := range cfg.Seeds {
		if addr == cfg.Self.Addr {
			decide.IsSeed = true
			continue
		}
		decide.Seeds = append(decide.Seeds, member.HostID(seedPrefix+addr))
	}
	return &Service{
		cfg:      cfg,
		log:      log,
		platform: newPlatformClient(cfg.PlatformURLs),
		wake:     make(chan struct{}, 1),
		state:    gossip.New(time.Now(), decide),
		view:     member.New(),
		judge:    judge{site: cfg.Site, compile: cfg.Compiler},
	}
}

// Run works until ctx ends and then returns nil. It may be called once.
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
			s.callBack()
		}
	}
}

func (s *Service) stop() {
	s.mu.Lock()
	s.ctx = nil
	s.mu.Unlock()
	s.workers.Wait()
	s.platform.client.CloseIdleConnections()
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Tick(time.Now())
	s.viewChanged()
	s.step(gossip.Tick{})
	if reader := s.state.Status().Reader; reader != s.reader {
		s.reader = reader
		s.log.Info("platform reader role changed", "reader", reader)
	}
}

// callBack makes the calls that are due, without the lock.
func (s *Service) callBack() {
	s.mu.Lock()
	due := s.due
	s.due = callbacks{}
	var hosts map[string][]member.Host
	if due.hosts {
		hosts = s.view.Hosts()
	}
	s.mu.Unlock()
	if due.policy != nil {
		s.cfg.OnPolicy(due.policy)
	}
	if due.hosts {
		s.cfg.OnHosts(hosts)
	}
}

func (s *Service) callBackSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// step gives an event to the state and carries out the actions. The caller
// holds the lock.
func (s *Service) step(event gossip.Event) { s.do(s.state.Step(time.Now(), event)) }

func (s *Service) do(actions []gossip.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case gossip.Read:
			s.work(func(ctx context.Context) { s.readPlatform(ctx, a) })
		case gossip.SendExchange:
			s.sendExchange(a)
		case gossip.SendPush:
			s.sendPush(a)
		case gossip.Validate:
			s.work(func(context.Context) { s.judgeSet(a) })
		case gossip.Activate:
			s.adopt(a.Snapshot)
		case gossip.HostStateChanged:
			s.view.OnAnnounce(time.Now(), a.State.Host, a.State.Incarnation, a.State.Leaving)
		}
	}
}

// work starts a goroutine that ends with Run. The caller holds the lock.
func (s *Service) work(run func(context.Context)) {
	ctx := s.ctx
	if ctx == nil {
		return
	}
	s.workers.Go(func() { run(ctx) })
}

// finish gives the result of work to the state, unless Run has ended.
func (s *Service) finish(event gossip.Event) {
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
		s.finish(gossip.PlatformFailed{Prefix: r.Prefix})
		return
	case failed:
		s.log.Info("platform answers again", "prefix", r.Prefix, "revision", answer.Revision)
	}
	s.finish(gossip.PlatformRead{Prefix: r.Prefix, After: r.After, RevisionOnly: r.RevisionOnly, Answer: answer})
}

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
	s.work(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := s.cfg.Peers.Exchange(ctx, host, m)
		if err != nil {
			s.finish(gossip.PeerFailed{Peer: a.To})
			return
		}
		reply, err := peer.ToExchangeReply(answer)
		if err != nil {
			s.log.Warn("exchange reply discarded", "host", a.To, "error", err)
			s.finish(gossip.PeerFailed{Peer: a.To})
			return
		}
		s.PeerAlive(a.To, answer.GetIncarnation())
		s.finish(gossip.ExchangeReplied{From: a.To, Reply: reply})
	})
}

func (s *Service) sendPush(a gossip.SendPush) {
	host, ok := s.host(a.To)
	if !ok {
		return
	}
	m := peer.FromPushRequest(a.Request, s.cfg.Incarnation)
	s.work(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		answer, err := s.cfg.Peers.Push(ctx, host, m)
		if err != nil {
			s.finish(gossip.PeerFailed{Peer: a.To})
			return
		}
		s.PeerAlive(a.To, answer.GetIncarnation())
		s.finish(gossip.PushReplied{From: a.To, Reply: peer.ToPushReply(answer), FollowUp: a.FollowUp})
	})
}

// judgeSet runs without the lock: compiling takes a while.
func (s *Service) judgeSet(a gossip.Validate) {
	event := gossip.Validated{Prefix: a.Snapshot.Prefix, Revision: a.Snapshot.Revision}
	err := s.judge.check(a.Snapshot, a.AllOverlays)
	if err != nil {
		event.Reason = err.Error()
		s.log.Error("values rejected", "prefix", a.Snapshot.Prefix, "revision", a.Snapshot.Revision, "error", err)
	}
	s.finish(event)
}

func (s *Service) adopt(set *gossip.Snapshot) {
	if set.Prefix == gossip.ConfigPrefix {
		s.log.Info("configuration accepted", "revision", set.Revision)
		s.due.policy = s.judge.adoptConfig(set)
		s.callBackSoon()
		return
	}
	s.log.Info("host lists in force", "revision", set.Revision)
	for _, list := range s.judge.adoptLists(set) {
		s.view.SetList(time.Now(), list)
	}
	if zones := s.view.Quarantined(); len(zones) > 0 {
		s.log.Warn("host lists held back: they drop most hosts, of which some answer", "zones", zones)
	}
	s.viewChanged()
}

// viewChanged hands a changed host view to the state and the runtime.
func (s *Service) viewChanged() {
	if s.view.Version() == s.seen {
		return
	}
	s.seen = s.view.Version()
	hosts := s.view.Nodes() // takes about a millisecond for 21,000 hosts
	nodes := make([]gossip.Node, 0, len(hosts))
	for _, h := range hosts {
		nodes = append(nodes, gossip.Node{ID: h.ID, Zone: h.Zone})
	}
	s.due.hosts = true
	s.callBackSoon()
	s.step(gossip.NodesChanged{Nodes: nodes})
}
