package gossip

import (
	"time"

	"toucangw.example/core/member"
	"toucangw.example/core/pause"
)

// State is the gossip state machine of one node. It is not safe for concurrent
// use.
type State struct {
	cfg        Config
	config     *replica
	hosts      *replica
	hostStates *hostStates
	peers      *gossipPeers
	pause      pause.Detector

	nodes      []Node
	readers    []member.HostID // of this node's zone
	allReaders []member.HostID // of all zones
	rank       int             // position of this node in the rendezvous order of its zone
	leaving    bool

	heartbeatAt   time.Time // time of the newest heartbeat of another reader in this node's zone
	heartbeatFrom member.HostID
	acting        bool // reading although not among the first ReadersPerZone
	actingUntil   time.Time
	takeoverAt    time.Time // randomised time of takeover; zero while heartbeats are recent
	reads         map[string]*readState

	bootstrap        bootstrapState
	nextExchange     time.Time
	rotation         int         // index of the reader that a standby reader polls
	nextHeartbeat    time.Time   // when a standby reader polls the next reader
	unsentHostStates []HostState // not pushed yet; sent at the next tick
	nextSweep        time.Time   // next removal of expired host states
	detailedAt       map[string]time.Time
	reports          map[member.HostID]Report
}

// Report is the configuration revision that a peer last reported as active.
type Report struct {
	Active uint64
	At     time.Time
}

// maxReports bounds the number of peers whose reports are kept.
const maxReports = 256

// New returns the state of a node that has no snapshots. Its time starts at
// now.
func New(now time.Time, cfg Config) *State {
	s := &State{
		cfg:         cfg,
		config:      newReplica(ConfigPrefix),
		hosts:       newReplica(HostsPrefix),
		hostStates:  newHostStates(),
		peers:       newGossipPeers(cfg.Random),
		heartbeatAt: now,
		reads:       map[string]*readState{},
		detailedAt:  map[string]time.Time{},
		reports:     map[member.HostID]Report{},
	}
	for _, prefix := range Prefixes {
		s.reads[prefix] = &readState{}
	}
	s.startBootstrap(now)
	return s
}

func (s *State) replica(prefix string) *replica {
	switch prefix {
	case ConfigPrefix:
		return s.config
	case HostsPrefix:
		return s.hosts
	}
	return nil
}

func (s *State) replicas() []*replica { return []*replica{s.config, s.hosts} }

// Step handles one event and returns the actions to carry out, in order.
func (s *State) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return s.tick(now)
	case NodesChanged:
		return s.setNodes(now, e.Nodes)
	case PlatformRead:
		return s.onPlatformRead(now, e)
	case PlatformFailed:
		s.onPlatformFailure(now, e.Prefix)
	case ExchangeReplied:
		return s.onExchangeReply(now, e)
	case PushReplied:
		return s.onPushReply(now, e)
	case PeerFailed:
		s.peers.onFailure(e.Peer)
		delete(s.reports, e.Peer)
	case Validated:
		return s.onValidated(now, e)
	case HostStateReceived:
		return s.observeHostStates(now, []HostState{e.State})
	}
	return nil
}

func (s *State) tick(now time.Time) []Action {
	if s.pause.Tick(now) > 0 {
		s.onResume(now)
	}
	var out []Action
	s.peers.tick(now)
	out = append(out, s.finishBootstrap(now)...)
	s.updateRole(now)
	out = append(out, s.issueReads(now)...)
	out = append(out, s.pushHostStates(now)...)
	if !now.Before(s.nextExchange) {
		out = append(out, s.exchange(now)...)
		period := s.exchangePeriod()
		s.nextExchange = now.Add(period*4/5 + s.randomUpTo(period*2/5))
	}
	if reader, ok := s.readerToPoll(now); ok {
		out = append(out, SendExchange{To: reader, Request: s.exchangeRequest(now)})
	}
	if !now.Before(s.nextSweep) {
		s.hostStates.expire(now)
		s.nextSweep = now.Add(10 * time.Second)
	}
	return out
}

// onResume handles a process pause: the newest heartbeat only looks old because
// this node was paused, so its age is reset. An exchange starts at once.
func (s *State) onResume(now time.Time) {
	s.heartbeatAt = now
	s.takeoverAt = time.Time{}
	s.nextExchange = now
}

func (s *State) setNodes(now time.Time, nodes []Node) []Action {
	s.nodes = nodes
	s.readers = Readers(nodes, s.cfg.Zone, ReadersPerZone)
	s.allReaders = allReaders(nodes)
	s.rank = rank(nodes, s.cfg.Zone, s.cfg.Self)
	s.peers.setNodes(nodes, s.cfg.Zone, s.cfg.Self)
	return s.askPeers(now)
}

// requestValidation requests validation of the latest snapshot unless it is
// active, rejected or being validated.
func (s *State) requestValidation(rep *replica) []Action {
	if rep.validating != nil || rep.latest.Revision <= rep.active.Revision || rep.latest.Revision == rep.rejected {
		return nil
	}
	if rep == s.config && !s.bootstrap.done {
		return nil
	}
	rep.validating = rep.latest
	return []Action{Validate{Snapshot: rep.latest, AllOverlays: rep.fromPlatform}}
}

func (s *State) onValidated(now time.Time, e Validated) []Action {
	rep := s.replica(e.Prefix)
	if rep == nil || rep.validating == nil || rep.validating.Revision != e.Revision {
		return nil
	}
	snapshot := rep.validating
	rep.validating = nil
	if e.Reason != "" {
		rep.rejected = e.Revision
		rep.recordRejection(rejection{e.Revision, e.Reason})
		return s.requestValidation(rep)
	}
	before := rep.active.Revision
	rep.activate(snapshot)
	out := []Action{Activate{Snapshot: snapshot}}
	if u := rep.newestChange(); u != nil && before != 0 && u.To == snapshot.Revision {
		out = append(out, s.pushUpdate(now, *u)...)
	}
	return append(out, s.requestValidation(rep)...)
}

func (s *State) observeHostStates(now time.Time, states []HostState) []Action {
	var out []Action
	for _, state := range states {
		if state.Host == s.cfg.Self && state.Incarnation == s.cfg.Incarnation && state.Leaving {
			s.leaving = true
			s.acting = false
		}
		if s.hostStates.observe(now, state) {
			out = append(out, HostStateChanged{State: state})
			s.unsentHostStates = append(s.unsentHostStates, state)
		}
	}
	return out
}

// Status is the part of a State shown to operators.
type Status struct {
	Active              uint64
	Hosts               uint64 // store revision of the active host lists
	Rejected            uint64 // newest revision rejected as invalid; 0 if none since Active
	Reason              string // why it was rejected
	RejectedHosts       uint64 // newest host list revision rejected as invalid
	RejectedHostsReason string
	Discarded           int // inconsistent or corrupt answers and updates
	Reader              bool
	Rank                int
	Bootstrapped        bool
	Reports             map[member.HostID]Report
	HostStates          int
	HistorySteps        int
}

// Status returns the current status. Reports must not be changed.
func (s *State) Status() Status {
	st := Status{
		Active:       s.config.active.Revision,
		Hosts:        s.hosts.active.Revision,
		Discarded:    s.config.discarded + s.hosts.discarded,
		Reader:       s.isReader(),
		Rank:         s.rank,
		Bootstrapped: s.bootstrap.done,
		Reports:      s.reports,
		HostStates:   len(s.hostStates.byHost),
		HistorySteps: len(s.config.history) + len(s.hosts.history),
	}
	config, hosts := s.config.currentRejection(), s.hosts.currentRejection()
	st.Rejected, st.Reason = config.revision, config.reason
	st.RejectedHosts, st.RejectedHostsReason = hosts.revision, hosts.reason
	return st
}
