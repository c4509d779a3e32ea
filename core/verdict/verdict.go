// Package verdict defines the outcome type that every refusal and error
// carries: whether the request that failed may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a request ran at the upstream.
type Verdict uint8

// MayHaveRun is the zero value, so that an unset verdict never claims that a
// request was not run.
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

// Parse reads the wire form. Unknown text yields MayHaveRun and an error.
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

// Reason is a short constant that names the rule behind a refusal. The set is
// closed, so that it can serve as a metric label.
type Reason string

// Reasons for refusals.
const (
	QueueFull      Reason = "queue-full"       // displaced by or behind more important work
	DeadlineUnmet  Reason = "deadline-unmet"   // could not finish in time, dropped before it ran
	DeadlinePassed Reason = "deadline-passed"  // deadline passed after it was sent
	Pressure       Reason = "pressure"         // refused early on levels heard from upstreams
	NoUpstream     Reason = "no-upstream"      // no usable host for the service
	Leaving        Reason = "leaving"          // this host takes no new work
	Starting       Reason = "starting"         // no configuration in force yet
	ConnectionLost Reason = "connection-lost"  // no answer and no proof either way
	NotWhole       Reason = "answer-not-whole" // the upstream's answer was cut
	UpstreamShed   Reason = "upstream-shed"    // the upstream itself refused for load
	UpstreamFailed Reason = "upstream-failed"  // the upstream could not be reached
	RetryBound     Reason = "retry-bound"      // the retry credit of the request is spent
	Cancelled      Reason = "cancelled"        // the caller went away
	Paused         Reason = "paused"           // dropped after this process woke up late
	KeyRequired    Reason = "key-required"     // a once-only kind without a key
	KeyFenced      Reason = "key-fenced"       // the key was refused before and never runs
	KeyUnknown     Reason = "key-unknown"      // issued by an earlier incarnation, expired or not authentic
	KeyMismatch    Reason = "key-mismatch"     // the key belongs to another request
	KeyTableFull   Reason = "key-table-full"   // no memory for another key
	OwnerGone      Reason = "owner-unreachable"
	UnknownCaller  Reason = "unknown-caller"
	UnknownKind    Reason = "unknown-kind"
	BadRequest     Reason = "bad-request"
	NotMember      Reason = "not-a-member" // the sending host is not on the list
	WrongService   Reason = "wrong-service"
	DepthExceeded  Reason = "depth-exceeded"
)

// Reasons returns all reasons of this version.
func Reasons() []Reason {
	return []Reason{
		QueueFull, DeadlineUnmet, DeadlinePassed, Pressure, NoUpstream, Leaving, Starting, ConnectionLost, NotWhole,
		UpstreamShed, UpstreamFailed, RetryBound, Cancelled, Paused, KeyRequired, KeyFenced, KeyUnknown, KeyMismatch,
		KeyTableFull, OwnerGone, UnknownCaller, UnknownKind, BadRequest, NotMember, WrongService, DepthExceeded,
	}
}

// Refusal is the error that reaches a caller in place of an answer.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	Detail  string
	// RetryAfter is set only where waiting is expected to help; zero means no
	// advice.
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

// Of returns the verdict of an error. An error that carries none yields
// MayHaveRun.
func Of(err error) Verdict {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Verdict
	}
	return MayHaveRun
}
