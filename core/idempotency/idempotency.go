// Package idempotency makes sure that an at-most-once request runs at most once
// for its idempotency key.
package idempotency

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// State is the state of a key at the process that issued it, its owner.
type State uint8

// Key states.
const (
	Unseen        State = iota // issued and not submitted yet
	Queued                     // submitted, waiting for a slot
	Running                    // handed to the upstream
	Done                       // the complete answer was received
	Fenced                     // never ran and never will
	Indeterminate              // may have run, since the connection broke during the run or the key is unknown
)

// String returns the wire form.
func (s State) String() string {
	return [...]string{"unseen", "queued", "running", "done", "fenced", "lost"}[s]
}

// Action is the way in which the owner handles a submission.
type Action uint8

// Actions on a submission.
const (
	Refuse  Action = iota // reply with Submission.Refusal
	Execute               // first submission: pass the request to admission
	Wait                  // the key is queued or running: wait for its answer
	Replay                // the key is done: reply with Submission.Answer
)

// Submission is the decision of the owner on one submission.
type Submission struct {
	Action  Action
	Refusal *verdict.Refusal
	Answer  *call.Answer
}

// Ledger holds the keys that one node process has issued. Implementations are
// not safe for concurrent use. A request with a key of another process is never
// run.
type Ledger interface {
	// Issue creates a key for a service and a caller, or refuses with NotRun.
	Issue(now time.Time, service, caller string) (key string, refusal *verdict.Refusal)
	// Submit decides on a request with a key.
	Submit(now time.Time, key string, req *call.Request) Submission
	// MarkRunning marks the key as running. It reports false if the key was
	// fenced after its submission, in which case the request must not run.
	MarkRunning(now time.Time, key string) bool
	// Finish stores the complete answer.
	Finish(now time.Time, key string, answer *call.Answer)
	// MarkIndeterminate records that the outcome of the run is indeterminate.
	MarkIndeterminate(now time.Time, key string)
	// Reject records that the request is proven not to have run, and fences the
	// key.
	Reject(now time.Time, key string)
	// Fence makes sure that a key never runs, unless it already runs or has
	// run, and returns the resulting state. Fenced means that "not run" is
	// final.
	Fence(now time.Time, key string) State
	// Query returns the state of a key and, when it is done, the answer.
	Query(now time.Time, key, caller string) (State, *call.Answer)
	// Tick drops keys past their lifetime. Later submissions of them are
	// refused.
	Tick(now time.Time)
	// Len returns the number of keys with an entry and the bytes of stored
	// answers.
	Len() (keys int, bytes int64)
}

// Owner is the process that issued a key and keeps its state. ParseOwner reads
// it from a key without checking the authenticity of the key, which only the
// owner can do.
type Owner struct {
	Host        member.HostID
	Incarnation uint64
}
