package gossip

import (
	"time"

	"toucangw.example/core/member"
	"toucangw.example/core/pause"
)

// State decides for one node. It is not safe for concurrent use; callers
// serialise all methods.
type State struct {
	cfg      Config
	config   *lane
	hosts    *lane
	facts    *facts
	partners *partners
	pause    pause.Detector

	nodes   []Node
	readers []member.HostID // first three of the own zone
	others  []member.HostID // readers of all zones
	rank    int             // of this node in its zone
	leaving bool

	sign        time.Time // newest sign of another reader in the own zone
	signOf      member.HostID
	acting      bool // reading although not among the first three
	actingUntil time.Time
	takeoverAt  time.Time // random time at which this node takes over; zero if no sign is old
	reads       map[string]*reading

	start        startState
	nextExchange time.Time
	rotation     int         // of the readers that a deputy asks
	nextSign     time.Time   // when a deputy asks the next reader
	freshFacts   []HostState // to push at the next tick
	factSweep    time.Time   // next removal of expired facts
	detailedAt   map[string]time.Time
	reports      map[member.HostID]Report
}

// Report is the version that a peer reported last.
type Report struct {
	Active uint64
	At     time.Time
}

// maxReports bounds the reports kept.
const maxReports = 256

// New returns the state of a node that holds nothing. Its time starts at now.
func New(now time.Time, cfg Config) *State {
	s := &State{
		cfg:        cfg,
		config:     newLane(ConfigPrefix),
		hosts:      newLane(HostsPrefix),
		facts:      newFacts(),
		partners:   newPartners(cfg.Random),
		sign:       now,
		reads:      map[string]*reading{},
		detailedAt: map[string]time.Time{},
		reports:    map[member.HostID]Report{},
	}
	for _, prefix := range Prefixes {
		s.reads[prefix] = &reading{}
	}
	s.begin(now)
	return s
}

func (s *State) lane(prefix string) *lane {
	switch prefix {
	case ConfigPrefix:
		return s.config
	case HostsPrefix:
		return s.hosts
	}
	return nil
}

func (s *State) lanes() []*lane { return []*lane{s.config, s.hosts} }

// Step handles one event and returns the actions to carry out, in order.
func (s *State) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return s.tick(now)
	case NodesChanged:
		return s.setNodes(now, e.Nodes)
	case PlatformRead:
		return s.platformRead(now, e)
	case PlatformFailed:
		s.platformFailed(now, e.Prefix)
	case ExchangeReplied:
		return s.exchangeReplied(now, e)
	case PushReplied:
		return s.pushReplied(now, e)
	case PeerFailed:
		s.partners.failed(e.Peer)
		delete(s.reports, e.Peer)
	case Validated:
		return s.judged(now, e)
	case HostStateReceived:
		return s.learn(now, []HostState{e.State})
	}
	return nil
}

func (s *State) tick(now time.Time) []Action {
	if s.pause.Tick(now) > 0 {
		s.woke(now)
	}
	var out []Action
	s.partners.tick(now)
	out = append(out, s.settle(now)...)
	s.updateRole(now)
	out = append(out, s.readMore(now)...)
	out = append(out, s.pushFacts(now)...)
	if !now.Before(s.nextExchange) {
		out = append(out, s.exchange(now)...)
		period := s.exchangePeriod()
		s.nextExchange = now.Add(period*4/5 + s.upTo(period*2/5))
	}
	if reader, ok := s.readerToAsk(now); ok {
		out = append(out, SendExchange{To: reader, Request: s.request(now)})
	}
	if !now.Before(s.factSweep) {
		s.facts.expire(now)
		s.factSweep = now.Add(10 * time.Second)
	}
	return out
}

// woke drops what a pause made worthless: signs of readers look old although
// only this node stood still. The exchange runs at once.
func (s *State) woke(now time.Time) {
	s.sign = now
	s.takeoverAt = time.Time{}
	s.nextExchange = now
}

func (s *State) setNodes(now time.Time, nodes []Node) []Action {
	s.nodes = nodes
	s.readers = Readers(nodes, s.cfg.Zone, ReadersPerZone)
	s.others = allReaders(nodes)
	s.rank = rank(nodes, s.cfg.Zone, s.cfg.Self)
	s.partners.setNodes(nodes, s.cfg.Zone, s.cfg.Self)
	return s.askForStart(now)
}

// judge asks for a verdict on the newest set that has none.
func (s *State) judge(l *lane) []Action {
	if l.judging != nil || l.held.Revision <= l.force.Revision || l.held.Revision == l.rejected {
		return nil
	}
	if l == s.config && !s.start.settled {
		return nil
	}
	l.judging = l.held
	return []Action{Validate{Snapshot: l.held, AllOverlays: l.own}}
}

func (s *State) judged(now time.Time, e Validated) []Action {
	l := s.lane(e.Prefix)
	if l == nil || l.judging == nil || l.judging.Revision != e.Revision {
		return nil
	}
	set := l.judging
	l.judging = nil
	if e.Reason != "" {
		l.rejected = e.Revision
		l.tell(rejection{e.Revision, e.Reason})
		return s.judge(l)
	}
	before := l.force.Revision
	l.accept(set)
	out := []Action{Activate{Snapshot: set}}
	if u := l.last(); u != nil && before != 0 && u.To == set.Revision {
		out = append(out, s.pushUpdate(now, *u)...)
	}
	return append(out, s.judge(l)...)
}

func (s *State) learn(now time.Time, facts []HostState) []Action {
	var out []Action
	for _, fact := range facts {
		if fact.Host == s.cfg.Self && fact.Incarnation == s.cfg.Incarnation && fact.Leaving {
			s.leaving = true
			s.acting = false
		}
		if s.facts.learn(now, fact) {
			out = append(out, HostStateChanged{State: fact})
			s.freshFacts = append(s.freshFacts, fact)
		}
	}
	return out
}

// Status is what an operator sees of a State.
type Status struct {
	Active              uint64
	Hosts               uint64 // store revision of the host lists in force
	Rejected            uint64 // newest set that was not valid; 0 if none since InForce
	Reason              string // why it was not valid
	RejectedHosts       uint64 // newest host lists that were not valid
	RejectedHostsReason string
	Discarded           int // torn or corrupt answers and updates
	Reader              bool
	Rank                int
	Bootstrapped        bool
	Reports             map[member.HostID]Report
	HostStates          int
	HistorySteps        int
}

// Status returns a snapshot of the state. Reports must not be changed.
func (s *State) Status() Status {
	st := Status{
		Active:       s.config.force.Revision,
		Hosts:        s.hosts.force.Revision,
		Discarded:    s.config.discards + s.hosts.discards,
		Reader:       s.reading(),
		Rank:         s.rank,
		Bootstrapped: s.start.settled,
		Reports:      s.reports,
		HostStates:   len(s.facts.byHost),
		HistorySteps: len(s.config.steps) + len(s.hosts.steps),
	}
	config, hosts := s.config.shown(), s.hosts.shown()
	st.Rejected, st.Reason = config.revision, config.reason
	st.RejectedHosts, st.RejectedHostsReason = hosts.revision, hosts.reason
	return st
}
