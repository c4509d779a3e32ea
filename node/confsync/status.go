package confsync

import (
	"slices"
	"strings"
	"time"

	"toucangw.example/core/member"
)

// maxReportAge is the age up to which Status includes the report of a peer.
const maxReportAge = time.Minute

// Status is the state of the service as shown to operators.
type Status struct {
	Active              uint64       `json:"in_force"`               // store revision of the active configuration; 0 for none
	Rejected            uint64       `json:"rejected,omitempty"`     // newer revision that failed validation; 0 for none
	RejectedReason      string       `json:"rejected_why,omitempty"` // why Rejected failed validation
	PlatformAt          time.Time    `json:"platform_at"`            // time of the last answer of the platform; zero if none
	PlatformErr         string       `json:"platform_err,omitempty"` // error of the last read; empty if it succeeded
	HostsRevision       uint64       `json:"host_revision"`          // store revision of the active host lists
	RejectedHostsReason string       `json:"hosts_why,omitempty"`    // why newer host lists failed validation
	Hosts               int          `json:"hosts"`                  // hosts in the view, without leaving ones
	Quarantined         []string     `json:"held_back,omitempty"`    // zones whose newest list is quarantined
	Discarded           int          `json:"discarded"`              // number of inconsistent or corrupt answers and updates
	Reader              bool         `json:"reader"`                 // whether this node reads the platform
	Peers               []PeerReport `json:"peers,omitempty"`        // reported by peers in the last minute
	// ActiveAtPeers is set if the active revision of each of Peers is Active or
	// higher.
	ActiveAtPeers bool `json:"in_force_at_peers"`
}

// PeerReport is the active configuration that a peer reported.
type PeerReport struct {
	Host   member.HostID `json:"host"`
	Active uint64        `json:"in_force"`
	At     time.Time     `json:"at"`
}

// Status returns the state of the service.
func (s *Service) Status() Status {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state.Status()
	out := Status{
		Active:              st.Active,
		Rejected:            st.Rejected,
		RejectedReason:      st.Reason,
		PlatformAt:          s.lastRead.at,
		HostsRevision:       st.Hosts,
		RejectedHostsReason: st.RejectedHostsReason,
		Hosts:               len(s.view.Nodes()),
		Quarantined:         s.view.Quarantined(),
		Discarded:           st.Discarded,
		Reader:              st.Reader,
		ActiveAtPeers:       true,
	}
	if s.lastRead.err != nil {
		out.PlatformErr = s.lastRead.err.Error()
	}
	for id, r := range st.Reports {
		// A seed also reports under its host ID once that is known.
		if now.Sub(r.At) > maxReportAge || strings.HasPrefix(string(id), seedPrefix) {
			continue
		}
		out.Peers = append(out.Peers, PeerReport{Host: id, Active: r.Active, At: r.At})
		out.ActiveAtPeers = out.ActiveAtPeers && r.Active >= st.Active
	}
	slices.SortFunc(out.Peers, func(a, b PeerReport) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
