// Package idempotency makes sure that a once-only request runs at most once for its
// key.
package idempotency

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// State is the state of a key at its owner.
type State uint8

// Key states.
const (
	Unseen  State = iota // issued, not submitted, may still be submitted
	Queued               // submitted, waiting for a slot
	Running              // handed to the upstream
	Done                 // the whole answer is stored
	Fenced               // never ran and never will
	Lost                 // may have run: the run broke off or the key is unknown
)

// String returns the wire form.
func (s State) String() string {
	return [...]string{"unseen", "queued", "running", "done", "fenced", "lost"}[s]
}

// Step is what the owner does with a submission.
type Step uint8

// Steps after Submit.
const (
	Refuse Step = iota // answer with Submission.Refusal
	Start              // first submission: offer it to admission
	Join               // the same key is queued or running: wait for its end
	Replay             // done before: answer with Submission.Answer
)

// Submission is the owner's decision about one submission.
type Submission struct {
	Step    Step
	Refusal *verdict.Refusal
	Answer  *call.Answer
}

// Ledger holds the keys that one node process has issued. Implementations are
// not safe for concurrent use. Keys of another process are never run.
type Ledger interface {
	// Issue makes a key for a service and a caller, or refuses with NotRun.
	Issue(now time.Time, service, caller string) (key string, refusal *verdict.Refusal)
	// Submit decides on a request with a key.
	Submit(now time.Time, key string, req *call.Request) Submission
	// Begin marks the run. It reports false if the key has been fenced since,
	// in which case the request must not run.
	Begin(now time.Time, key string) bool
	// Finish stores the whole answer.
	Finish(now time.Time, key string, answer *call.Answer)
	// Break records a run whose outcome is unknown.
	Break(now time.Time, key string)
	// Reject records that the run was proven not to have happened, and fences
	// the key.
	Reject(now time.Time, key string)
	// Fence makes sure that a key never runs, if it has not begun, and returns
	// the state after. Fenced means that "not run" holds for good.
	Fence(now time.Time, key string) State
	// Query returns the state and, when done, the answer.
	Query(now time.Time, key, caller string) (State, *call.Answer)
	// Tick drops keys past their lifetime. Their submission is refused.
	Tick(now time.Time)
	// Len returns the number of keys held and the bytes of stored answers.
	Len() (keys int, bytes int64)
}

// Owner is the process that a key binds its request to. ParseOwner reads it
// from a key without checking its authenticity, which only the owner can.
type Owner struct {
	Host        member.HostID
	Incarnation uint64
}
