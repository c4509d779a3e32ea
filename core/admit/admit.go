// Package admit decides which calls run on the guarded upstream, which wait
// and which are refused.
package admit

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// Decision concerns one call: run it now, or refuse it. A call for which no
// decision has been returned waits.
type Decision struct {
	ID         call.ID
	Run        bool
	Reason     verdict.Reason // set for a refusal, which is always NotRun
	RetryAfter time.Duration
}

// Outcome tells how a run ended.
type Outcome struct {
	Latency time.Duration
	// Waited is the part of Latency spent waiting for sub-calls, which says
	// nothing about the upstream itself.
	Waited time.Duration
	// Shed is set when the upstream itself refused for load.
	Shed bool
	// Failed is set when the upstream did not answer (connection, deadline).
	Failed bool
	// Cancelled runs say nothing about the upstream's speed.
	Cancelled bool
}

// Load is a snapshot for reports, metrics and the operators' show command.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Slots   int
	// Wait is the time that a call of the lowest admitted rank would wait now.
	Wait time.Duration
}

// Controller guards one upstream. Implementations are not safe for concurrent
// use and never block. A call may return decisions about other calls.
type Controller interface {
	// Offer offers a call. Its own decision is among the result unless it
	// waits.
	Offer(now time.Time, req *call.Request) []Decision
	// Done reports the end of a run and frees its slot.
	Done(now time.Time, id call.ID, out Outcome) []Decision
	// Cancel removes a waiting call. It does nothing for a running one.
	Cancel(now time.Time, id call.ID) []Decision
	// Tick drops waiting calls that can no longer meet their deadline.
	Tick(now time.Time) []Decision
	// RejectQueued refuses all waiting calls with a reason, as after a pause.
	RejectQueued(now time.Time, reason verdict.Reason) []Decision
	// Threshold returns the lowest rank that is admitted for a caller now.
	Threshold(now time.Time, caller string) call.Rank
	// Load returns the present load.
	Load(now time.Time) Load
	// SetPolicy takes new slots, shares and bounds into force; running calls
	// are not touched.
	SetPolicy(now time.Time, service *policy.Service, callers map[string]*policy.Caller)
}

// Builder makes an Admitter for one service.
type Builder func(service *policy.Service, callers map[string]*policy.Caller) Controller
