package confsync

import (
	"slices"
	"strings"
	"time"

	"toucangw.example/core/member"
)

// reportAge is how long the version that a peer reported is shown.
const reportAge = time.Minute

// Status is what an operator sees of the service.
type Status struct {
	InForce      uint64    `json:"in_force"`               // store revision in force; 0 for none
	Rejected     uint64    `json:"rejected,omitempty"`     // newer revision that is not valid; 0 for none
	RejectedWhy  string    `json:"rejected_why,omitempty"` // its error
	PlatformAt   time.Time `json:"platform_at"`            // last answer of the platform; zero if never read
	PlatformErr  string    `json:"platform_err,omitempty"` // error of the last read
	HostRevision uint64    `json:"host_revision"`          // store revision of the host lists in force
	HostsWhy     string    `json:"hosts_why,omitempty"`    // error of newer host lists
	Hosts        int       `json:"hosts"`                  // hosts in the view, leaving ones left out
	HeldBack     []string  `json:"held_back,omitempty"`    // zones whose newest list is not trusted
	Discarded    int       `json:"discarded"`              // torn or corrupt answers and updates
	Reader       bool      `json:"reader"`                 // whether this node reads the platform
	Peers        []PeerRow `json:"peers,omitempty"`        // versions that peers reported in the last minute
	// Everywhere is set if all of Peers have InForce or a higher revision.
	Everywhere bool `json:"in_force_at_peers"`
}

// PeerRow is the version that a peer reported.
type PeerRow struct {
	Host    member.HostID `json:"host"`
	InForce uint64        `json:"in_force"`
	At      time.Time     `json:"at"`
}

// Status returns what an operator sees.
func (s *Service) Status() Status {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state.Status()
	out := Status{
		InForce:      st.Active,
		Rejected:     st.Rejected,
		RejectedWhy:  st.Reason,
		PlatformAt:   s.lastRead.at,
		HostRevision: st.Hosts,
		HostsWhy:     st.RejectedHostsReason,
		Hosts:        len(s.view.Nodes()),
		HeldBack:     s.view.Quarantined(),
		Discarded:    st.Discarded,
		Reader:       st.Reader,
		Everywhere:   true,
	}
	if s.lastRead.err != nil {
		out.PlatformErr = s.lastRead.err.Error()
	}
	for id, r := range st.Reports {
		// A seed is reported again under its host id once that is known.
		if now.Sub(r.At) > reportAge || strings.HasPrefix(string(id), seedPrefix) {
			continue
		}
		out.Peers = append(out.Peers, PeerRow{Host: id, InForce: r.Active, At: r.At})
		out.Everywhere = out.Everywhere && r.Active >= st.Active
	}
	slices.SortFunc(out.Peers, func(a, b PeerRow) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
