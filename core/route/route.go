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

// Outcome tells how an attempt at a host ended.
type Outcome struct {
	Latency time.Duration
	// Failed is set when no answer came (connection, silence, deadline).
	Failed bool
	// Refused is set when the host refused for load, which is no fault.
	Refused bool
	// Cancelled is set when the reply was no longer wanted, which says nothing
	// about the host.
	Cancelled bool
	// Report is the load that the host reported with its reply; nil if none.
	Report *Report
}

// Report is the load of a host as it reports it on replies.
type Report struct {
	Running int
	Queued  int
	Limit   int
}

// Router chooses among the hosts of all services that a node calls.
// Implementations are not safe for concurrent use and never block.
type Router interface {
	// SetHosts replaces the usable hosts of a service (leaving hosts left out).
	SetHosts(now time.Time, service string, hosts []member.Host)
	// SetPolicy takes a new configuration into force.
	SetPolicy(now time.Time, p *policy.Policy)
	// Pick chooses a host, none of exclude. It reports false if none is usable.
	Pick(now time.Time, req *call.Request, exclude []member.HostID) (Choice, bool)
	// Sent reports that an attempt was sent.
	Sent(now time.Time, host member.HostID)
	// Done reports the end of an attempt.
	Done(now time.Time, host member.HostID, out Outcome)
	// Forget drops everything learned from reports that age, as after a pause.
	Forget(now time.Time)
}

// Locality says where the choosing node stands.
type Locality struct {
	Host   member.HostID
	Zone   string
	Region string
}

// Builder makes a Router. The random function returns a number in [0, n).
type Builder func(self Locality, random func(n int) int) Router
