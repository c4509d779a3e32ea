// Package route chooses the upstream host for a call.
package route

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
)

// Choice is a routing decision.
type Choice struct {
	Host   member.Host
	Reason string // short constant for the decision log: "two-choices", "spill", ...
}

// Outcome is the result of an attempt at a host.
type Outcome struct {
	Latency time.Duration
	// Failed is set when no answer came (connection error, stalled connection,
	// deadline).
	Failed bool
	// Refused is set when the host shed the call, which is not a failure.
	Refused bool
	// Cancelled is set when the client no longer waited for the reply, which says
	// nothing about the host.
	Cancelled bool
	// Report is the load that the host reported with its reply; nil if none.
	Report *Report
}

// Report is the load of a host, as reported on its replies.
type Report struct {
	Running int
	Queued  int
	Limit   int
}

// Router chooses among the hosts of all services that a node calls.
// Implementations are not safe for concurrent use and never block.
type Router interface {
	// SetHosts replaces the eligible hosts of a service. Leaving hosts are not
	// eligible.
	SetHosts(now time.Time, service string, hosts []member.Host)
	// SetPolicy activates a new configuration.
	SetPolicy(now time.Time, p *policy.Policy)
	// Pick chooses a host that is not in exclude. It reports false if no host
	// is eligible.
	Pick(now time.Time, req *call.Request, exclude []member.HostID) (Choice, bool)
	// OnSent records that an attempt was sent.
	OnSent(now time.Time, host member.HostID)
	// OnDone records the end of an attempt.
	OnDone(now time.Time, host member.HostID, out Outcome)
	// Reset drops everything that was learned from reports and outcomes, as is
	// needed after a process pause.
	Reset(now time.Time)
}

// Locality is the location of the node that chooses.
type Locality struct {
	Host   member.HostID
	Zone   string
	Region string
}

// Builder makes a Router. The random function returns a number in [0, n).
type Builder func(self Locality, random func(n int) int) Router
