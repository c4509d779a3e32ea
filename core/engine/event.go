package engine

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
)

// Event is an input of the engine. The driver assigns the call IDs; calls from
// callers and calls from peers share one sequence of IDs.
type Event interface{ isEvent() }

// CallArrived reports a request from a caller, or from the local upstream if
// Egress is set. The driver keeps the body until the call ends.
type CallArrived struct {
	ID        call.ID
	Egress    bool
	Service   string
	Method    string
	Path      string
	Caller    string // ignored for egress calls with a known token
	RequestID string
	Retry     bool   // the caller marked the request as a retry
	Key       string // Idempotency-Key
	Token     string // Toucangw-Context, on egress calls
	Digest    uint64 // of method, path and body
	Timeout   time.Duration
}

// PeerCallArrived reports a call from another node. The driver has checked
// that the sender is in the member list.
type PeerCallArrived struct {
	ID   call.ID
	From member.HostID
	Call PeerCall
}

// PeerReplied reports the reply to an attempt.
type PeerReplied struct {
	ID      call.ID
	Attempt int
	Reply   Reply
}

// PeerFailed reports an attempt without a reply. The driver sends it no later
// than the deadline of the attempt.
type PeerFailed struct {
	ID      call.ID
	Attempt int
	Sent    bool // false only if no byte of the call left this host
	Timeout bool // the deadline of the attempt passed
	Detail  string
}

// UpstreamReplied reports the end of a run with a complete response, or with a
// refusal by the upstream itself if Shed is set.
type UpstreamReplied struct {
	ID     call.ID
	Answer *call.Answer
	Shed   bool // the upstream shed the request
	// MayHaveRun is set with Shed if the upstream did not state that it has not
	// executed the request.
	MayHaveRun bool
	Draining   bool // the upstream announced that it is draining
	// RetryAfter is the delay that the upstream recommended with a refusal; zero
	// if it recommended none.
	RetryAfter time.Duration
}

// UpstreamFailed reports the end of a run without a complete response.
type UpstreamFailed struct {
	ID      call.ID
	Verdict verdict.Verdict // NotRun only if no byte reached the upstream
	Reason  verdict.Reason
	Detail  string
}

// Cancelled reports that the client that sent a call (caller, local upstream or
// peer) has disconnected.
type Cancelled struct{ ID call.ID }

// KeyIssued reports the result of RequestKey. If Key is empty, Refusal may say
// why.
type KeyIssued struct {
	ID      call.ID
	Key     string
	Refusal *verdict.Refusal
}

// KeyRequested reports a peer's request for an idempotency key of this node.
type KeyRequested struct {
	ID      call.ID
	Service string
	Caller  string
}

// KeyQueried reports a query for the state of a key of this node, from a peer or
// from a caller. Fence asks to fence the key if it is unseen or queued.
type KeyQueried struct {
	ID     call.ID
	Key    string
	Caller string
	Fence  bool
}

// Tick reports the passing of time. The driver sends it every TickInterval.
type Tick struct{}

// PolicyChanged activates a new configuration.
type PolicyChanged struct{ Policy *policy.Policy }

// HostsChanged replaces the known hosts of all services.
type HostsChanged struct{ Hosts map[string][]member.Host }

// HealthProbed reports the state of the local upstream's health endpoint.
type HealthProbed struct {
	Healthy  bool
	Draining bool
}

// DrainStarted starts a planned stop: the node accepts no new work and completes
// the calls in flight.
type DrainStarted struct{}

// ProcessResumed reports that the process was paused for Gap; see package pause.
type ProcessResumed struct{ Gap time.Duration }

func (CallArrived) isEvent()     {}
func (PeerCallArrived) isEvent() {}
func (PeerReplied) isEvent()     {}
func (PeerFailed) isEvent()      {}
func (UpstreamReplied) isEvent() {}
func (UpstreamFailed) isEvent()  {}
func (Cancelled) isEvent()       {}
func (KeyIssued) isEvent()       {}
func (KeyRequested) isEvent()    {}
func (KeyQueried) isEvent()      {}
func (Tick) isEvent()            {}
func (PolicyChanged) isEvent()   {}
func (HostsChanged) isEvent()    {}
func (HealthProbed) isEvent()    {}
func (DrainStarted) isEvent()    {}
func (ProcessResumed) isEvent()  {}

// PeerCall is a call as sent from node to node, without its body.
type PeerCall struct {
	RequestID   string
	Caller      string
	Kind        string
	Service     string
	Method      string
	Path        string
	Rank        call.Rank
	Remaining   time.Duration // time left until the deadline
	Credit      int
	Depth       int
	Cost        time.Duration
	Idempotent  bool
	Key         string
	Digest      uint64
	Incarnation uint64 // incarnation that the receiver must have; zero for any
}

// Reply is the reply to a PeerCall: a response of the upstream or a refusal.
type Reply struct {
	RequestID      string
	Incarnation    uint64
	Answer         *call.Answer
	Refusal        *verdict.Refusal
	ReturnedCredit int
	Threshold      call.Rank
	Load           route.Report
	Leaving        bool
	NextKey        string
}

// Action is an output of the engine. The driver carries actions out in order.
type Action interface{ isAction() }

// SendCall sends an attempt to a host. The driver reports PeerReplied or
// PeerFailed, at the latest when Call.Remaining has passed.
type SendCall struct {
	ID      call.ID
	Attempt int
	Host    member.Host
	Call    PeerCall
	// Fresh asks for a new connection, since the present one may be stalled.
	Fresh bool
}

// RequestKey requests an idempotency key from a host. The driver reports
// KeyIssued within Timeout.
type RequestKey struct {
	ID      call.ID
	Host    member.Host
	Service string
	Caller  string
	Timeout time.Duration
}

// RunUpstream runs a call on the local upstream. The driver passes Token as
// Toucangw-Context and reports UpstreamReplied or UpstreamFailed, at the latest
// when Timeout has passed.
type RunUpstream struct {
	ID      call.ID
	Token   string
	Timeout time.Duration
}

// AnswerCaller ends a call from a caller or from the local upstream. Exactly one
// of Answer and Refusal is set. Key is an unused idempotency key with which the
// caller may send an at-most-once request.
type AnswerCaller struct {
	ID      call.ID
	Answer  *call.Answer
	Refusal *verdict.Refusal
	Key     string
}

// AnswerPeer ends a peer's call.
type AnswerPeer struct {
	ID    call.ID
	Reply Reply
}

// AnswerKey answers KeyRequested.
type AnswerKey struct {
	ID      call.ID
	Key     string
	Refusal *verdict.Refusal
}

// AnswerKeyState answers KeyQueried.
type AnswerKeyState struct {
	ID     call.ID
	State  idempotency.State
	Answer *call.Answer
}

// CancelAttempt cancels an attempt whose reply is no longer needed.
type CancelAttempt struct {
	ID      call.ID
	Attempt int
}

// CancelRun cancels a run on the local upstream.
type CancelRun struct{ ID call.ID }

// PeerLeaving reports that a host announced its departure.
type PeerLeaving struct {
	Host        member.HostID
	Incarnation uint64
}

// SelfLeaving asks the driver to announce that this host is leaving, because
// its upstream is draining.
type SelfLeaving struct{}

// DecisionKind is the kind of a decision that is logged.
type DecisionKind string

// Decision kinds.
const (
	DecisionRoute  DecisionKind = "route"
	DecisionAdmit  DecisionKind = "admit"
	DecisionQueue  DecisionKind = "queue"
	DecisionRefuse DecisionKind = "refuse"
	DecisionRetry  DecisionKind = "retry"
	DecisionCancel DecisionKind = "cancel"
)

// Record is an entry of the decision log.
type Record struct {
	Kind      DecisionKind
	ID        call.ID
	RequestID string
	Caller    string
	CallKind  string
	Service   string
	Rank      call.Rank
	Host      member.HostID  // chosen host, for routes and retries
	Reason    string         // rule that led to the decision
	Refused   verdict.Reason // set for refusals
	Verdict   verdict.Verdict
	Attempt   int
	Credit    int
}

func (SendCall) isAction()       {}
func (RequestKey) isAction()     {}
func (RunUpstream) isAction()    {}
func (AnswerCaller) isAction()   {}
func (AnswerPeer) isAction()     {}
func (AnswerKey) isAction()      {}
func (AnswerKeyState) isAction() {}
func (CancelAttempt) isAction()  {}
func (CancelRun) isAction()      {}
func (PeerLeaving) isAction()    {}
func (SelfLeaving) isAction()    {}
func (Record) isAction()         {}
