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

// Event is an input of the engine. The runtime assigns call ids; ids of caller
// calls and of peer calls are taken from one sequence.
type Event interface{ isEvent() }

// CallArrived reports a request from a caller, or from the local upstream when
// Egress is set. Its body stays in the runtime until the call ends.
type CallArrived struct {
	ID        call.ID
	Egress    bool
	Service   string
	Method    string
	Path      string
	Caller    string // ignored for egress calls with a known token
	RequestID string
	Retry     bool   // the caller says that it has sent the request before
	Key       string // Idempotency-Key
	Token     string // Toucangw-Context, on egress calls
	Digest    uint64 // of method, path and body
	Timeout   time.Duration
}

// PeerCallArrived reports a call from another node. The runtime has checked
// that the sender is on the list.
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

// PeerFailed reports an attempt that got no reply. The runtime sends it at the
// latest when the deadline of the attempt passes.
type PeerFailed struct {
	ID      call.ID
	Attempt int
	Sent    bool // false only if no byte of the call left this host
	Timeout bool // the deadline of the attempt passed
	Detail  string
}

// UpstreamReplied reports the end of a run with a whole answer, or with a
// refusal by the upstream itself when Shed is set.
type UpstreamReplied struct {
	ID     call.ID
	Answer *call.Answer
	Shed   bool // the upstream refused for load
	// MayHaveRun is set with Shed if the upstream did not say that it left the
	// request alone.
	MayHaveRun bool
	Draining   bool // the upstream said that it is going away
	// RetryAfter is the upstream's own advice with a refusal; zero for none.
	RetryAfter time.Duration
}

// UpstreamFailed reports a run without a whole answer.
type UpstreamFailed struct {
	ID      call.ID
	Verdict verdict.Verdict // NotRun only if no byte reached the upstream
	Reason  verdict.Reason
	Detail  string
}

// Cancelled reports that the caller or peer that sent a call went away.
type Cancelled struct{ ID call.ID }

// KeyIssued answers RequestKey. An empty key carries a refusal.
type KeyIssued struct {
	ID      call.ID
	Key     string
	Refusal *verdict.Refusal
}

// KeyRequested reports a peer's request for a key of this node.
type KeyRequested struct {
	ID      call.ID
	Service string
	Caller  string
}

// KeyQueried reports a question about a key of this node, from a peer or from a
// local caller.
type KeyQueried struct {
	ID     call.ID
	Key    string
	Caller string
	Fence  bool
}

// Tick lets time pass. The runtime sends it every TickInterval.
type Tick struct{}

// PolicyChanged puts a new configuration into force.
type PolicyChanged struct{ Policy *policy.Policy }

// HostsChanged replaces the hosts that the node may call, by service.
type HostsChanged struct{ Hosts map[string][]member.Host }

// HealthProbed reports the health endpoint of the guarded upstream.
type HealthProbed struct {
	Healthy  bool
	Draining bool
}

// DrainStarted starts a planned stop: no new work, calls in flight go on.
type DrainStarted struct{}

// ProcessResumed reports that the process was paused; see package pause.
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

// PeerCall is a call as it travels from node to node, without its body.
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
	Incarnation uint64 // expected of the receiver; zero for any
}

// Reply is the reply to a PeerCall: an answer or a refusal.
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

// Action is an output of the engine, to be carried out by the runtime in
// order.
type Action interface{ isAction() }

// SendCall sends an attempt to a host. The runtime answers with PeerReplied or
// PeerFailed, at the latest when Call.Remaining has passed.
type SendCall struct {
	ID      call.ID
	Attempt int
	Host    member.Host
	Call    PeerCall
	// Fresh asks for a new connection, since the present one may be silent.
	Fresh bool
}

// RequestKey asks a host for a key. The runtime answers with KeyIssued within
// Timeout.
type RequestKey struct {
	ID      call.ID
	Host    member.Host
	Service string
	Caller  string
	Timeout time.Duration
}

// RunUpstream runs a call on the guarded upstream. The runtime passes Token as
// Toucangw-Context and answers with UpstreamReplied or UpstreamFailed, at the
// latest when Timeout has passed.
type RunUpstream struct {
	ID      call.ID
	Token   string
	Timeout time.Duration
}

// AnswerCaller ends a caller's or the local upstream's call. Exactly one of
// Answer and Refusal is set. Key is a fresh key for a once-only request.
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

// CancelAttempt withdraws an attempt; its reply is no longer wanted.
type CancelAttempt struct {
	ID      call.ID
	Attempt int
}

// CancelRun withdraws a run from the upstream.
type CancelRun struct{ ID call.ID }

// PeerLeaving passes on that a host said of itself that it is leaving.
type PeerLeaving struct {
	Host        member.HostID
	Incarnation uint64
}

// SelfLeaving tells the runtime to announce that this host is leaving, because
// its upstream drains.
type SelfLeaving struct{}

// DecisionKind is the kind of a decision record.
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

// Record is a line of the decision log.
type Record struct {
	Kind      DecisionKind
	ID        call.ID
	RequestID string
	Caller    string
	CallKind  string
	Service   string
	Rank      call.Rank
	Host      member.HostID  // chosen host, for routes and retries
	Reason    string         // rule behind the decision
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
