// Package admit implements the admission controller of an upstream: it decides
// which calls run on the upstream, which wait in its queue and which are
// rejected.
package admit

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// Decision concerns one call: it runs now or is rejected. A call for which no
// decision has been returned yet is waiting.
type Decision struct {
	ID         call.ID
	Run        bool
	Reason     verdict.Reason // set for a rejected call, whose verdict is always NotRun
	RetryAfter time.Duration
}

// Outcome describes how a call ended that had been run.
type Outcome struct {
	Latency time.Duration
	// Waited is the part of Latency spent waiting for sub-calls. It is
	// subtracted because it does not depend on the upstream itself.
	Waited time.Duration
	// Shed is set when the upstream itself rejected the call because of load.
	Shed bool
	// Failed is set when the upstream did not answer (connection lost, deadline
	// passed).
	Failed bool
	// Cancelled is set when the call was cancelled; its latency is not a
	// measure of the speed of the upstream.
	Cancelled bool
}

// Load is a snapshot for load reports, metrics and the status that operators
// read.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Slots   int
	// Wait is the time that a call of the lowest admitted rank would wait now.
	Wait time.Duration
}

// Controller admits calls to one upstream. Implementations are not safe for
// concurrent use and never block. Any method that returns decisions may return
// decisions about other calls than the one it was called for.
type Controller interface {
	// Offer submits a call. Its own decision is among the result unless the
	// call waits.
	Offer(now time.Time, req *call.Request) []Decision
	// Done reports that a running call has ended, and frees its slot.
	Done(now time.Time, id call.ID, out Outcome) []Decision
	// Cancel removes a waiting call. It does nothing for a running one.
	Cancel(now time.Time, id call.ID) []Decision
	// Tick rejects waiting calls that can no longer meet their deadline.
	Tick(now time.Time) []Decision
	// RejectQueued rejects all waiting calls with a reason, for example after a
	// pause of the process.
	RejectQueued(now time.Time, reason verdict.Reason) []Decision
	// Threshold returns the admission threshold of a caller: the lowest rank
	// that is admitted now.
	Threshold(now time.Time, caller string) call.Rank
	// Load returns the present load.
	Load(now time.Time) Load
	// SetPolicy applies new slots, shares and bounds. Running calls are not
	// affected.
	SetPolicy(now time.Time, service *policy.Service, callers map[string]*policy.Caller)
}

// Builder makes a Controller for one service.
type Builder func(service *policy.Service, callers map[string]*policy.Caller) Controller
