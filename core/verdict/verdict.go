// Package verdict defines the type with which every refusal and error states
// whether the failed request may have run at the upstream.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request ran at the upstream.
type Verdict uint8

// MayHaveRun is the zero value, so that an unset verdict never claims that a
// request did not run.
const (
	MayHaveRun Verdict = iota
	NotRun
	Run
)

// String returns the wire form, as used in the Toucangw-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Run:
		return "run"
	default:
		return "may-have-run"
	}
}

// Parse parses the wire form. Unknown text yields MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "run":
		return Run, nil
	case "may-have-run":
		return MayHaveRun, nil
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q", s)
}

// Reason identifies the rule behind a refusal. The set of reasons is fixed, so
// that a reason can serve as a metric label.
type Reason string

// Reasons for refusals.
const (
	QueueFull        Reason = "queue-full"       // queued behind, or preempted by, more important requests
	DeadlineUnmet    Reason = "deadline-unmet"   // could not finish in time, rejected before it ran
	DeadlinePassed   Reason = "deadline-passed"  // deadline passed after the request was sent
	Pressure         Reason = "pressure"         // shed on admission thresholds observed in upstream replies
	NoUpstream       Reason = "no-upstream"      // no eligible host for the service
	Leaving          Reason = "leaving"          // this host accepts no new requests
	Starting         Reason = "starting"         // no active configuration yet
	ConnectionLost   Reason = "connection-lost"  // no response, and no proof whether the request ran
	IncompleteAnswer Reason = "answer-not-whole" // the upstream's response was truncated, too large, of unknown length or unsigned
	UpstreamShed     Reason = "upstream-shed"    // the upstream itself shed the request
	UpstreamFailed   Reason = "upstream-failed"  // the upstream could not be reached
	UpstreamCrashed  Reason = "upstream-crashed" // the upstream's process ended while the request was running
	Quarantined      Reason = "quarantined"      // equal requests crashed the upstreams that ran them
	RetryBound       Reason = "retry-bound"      // the retry credit of the request is spent
	Cancelled        Reason = "cancelled"        // the client disconnected
	Paused           Reason = "paused"           // rejected after a pause of this process
	KeyRequired      Reason = "key-required"     // at-most-once request without an idempotency key
	KeyFenced        Reason = "key-fenced"       // the key is barred from ever running
	KeyUnknown       Reason = "key-unknown"      // issued by an earlier incarnation, expired or not authentic
	KeyMismatch      Reason = "key-mismatch"     // the key belongs to another request
	KeyTableFull     Reason = "key-table-full"   // no memory for another key
	OwnerUnreachable Reason = "owner-unreachable"
	UnknownCaller    Reason = "unknown-caller"
	UnknownKind      Reason = "unknown-kind"
	BadRequest       Reason = "bad-request"
	NotMember        Reason = "not-a-member" // the sending host is not in the member list
	WrongService     Reason = "wrong-service"
	DepthExceeded    Reason = "depth-exceeded"
)

// Reasons returns all reasons of this version.
func Reasons() []Reason {
	return []Reason{
		QueueFull, DeadlineUnmet, DeadlinePassed, Pressure, NoUpstream, Leaving, Starting, ConnectionLost, IncompleteAnswer,
		UpstreamShed, UpstreamFailed, UpstreamCrashed, Quarantined, RetryBound, Cancelled, Paused, KeyRequired, KeyFenced, KeyUnknown, KeyMismatch,
		KeyTableFull, OwnerUnreachable, UnknownCaller, UnknownKind, BadRequest, NotMember, WrongService, DepthExceeded,
	}
}

// Refusal is the error that a caller gets in place of a response.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is the recommended delay before a retry. It is set only where
	// waiting is expected to help; zero means no recommendation.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Verdict)
	}
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// Refuse returns a refusal with verdict NotRun.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: detail}
}

// Of returns the verdict that an error carries, or MayHaveRun if it carries
// none.
func Of(err error) Verdict {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Verdict
	}
	return MayHaveRun
}
