package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/balance"
	"toucangw.example/core/calltree"
	"toucangw.example/core/quarantine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

// Headers and paths of requests between nodes. These headers are removed from
// the requests of clients.
const (
	forwardHeader = "Toucangw-Forward"
	replyHeader   = "Toucangw-Reply"
	// outcomePath queries the outcome of a request by its idempotency key.
	outcomePath = "/toucangw/outcome"
	// viewPath returns the configuration and the upstreams that a node knows.
	viewPath = "/toucangw/view"
	// maxViewSize bounds the response to viewPath. It has room for the largest
	// value of the store in base64 and the entries of about ten thousand
	// upstreams.
	maxViewSize = 8 << 20
)

// forward is an attempt of a request at an upstream.
type forward struct {
	meta forwardMeta

	method, target, host string
	header               http.Header
	body                 []byte
	stream               io.Reader
	length               int64 // of body and stream together; -1 if unknown
	requestID            string
	deadline             time.Time
	fingerprinted        *quarantine.Fingerprint // set by fingerprint
	probe                bool                    // runs although equal requests are quarantined
}

// instance returns the incarnation that is to run the request.
func (f *forward) instance() advisory.Instance {
	return advisory.Instance{ID: f.meta.Upstream, StartedAt: f.meta.StartedAt}
}

// forwardMeta is the JSON value of forwardHeader.
type forwardMeta struct {
	Service   string `json:"s"`           // service of the upstream
	Upstream  string `json:"u"`           // ID of the upstream that is to run the request
	StartedAt int64  `json:"i,omitempty"` // its start as the sender knows it, Unix milliseconds; zero if unknown
	Origin    string `json:"o,omitempty"` // service of the sending host
	Route     string `json:"n,omitempty"` // route of the request
	RootRoute string `json:"r,omitempty"` // route at the root of its call tree
	Priority  int    `json:"p"`           // priority of the root route
	Call      bool   `json:"c,omitempty"` // set for a call that has a parent
	// AdmissionProbability is that of the root route.
	AdmissionProbability float64 `json:"f,omitempty"`
	Retry                bool    `json:"t,omitempty"` // a retry, or a call made by one
	LeftMS               int64   `json:"l"`           // time left, milliseconds
	WaitMS               int64   `json:"w,omitempty"` // longest time in the queue, or for which a view may be awaited, milliseconds
	// Elsewhere is set if the sender tries another upstream after a rejection.
	Elsewhere bool   `json:"z,omitempty"`
	Key       string `json:"k,omitempty"` // idempotency key; set for an at-most-once request
	Version   uint64 `json:"v,omitempty"` // version of the sender's active configuration
	// RateLimit is the rate limit that the upstream has announced to the sender,
	// requests per second; nil for none. A node that has just started does not
	// know it yet.
	RateLimit *float64 `json:"b,omitempty"`
	// Sender is the address of the sending node's peer listener.
	Sender string `json:"h,omitempty"`
	// Era, Revision and Fingerprint are set in a request for a view: those of the
	// sender's list of upstreams.
	Era         uint64 `json:"y,omitempty"`
	Revision    uint64 `json:"m,omitempty"`
	Fingerprint uint64 `json:"g,omitempty"`
	// AgeMS is set in a query of an outcome: the time since the request was sent,
	// milliseconds. Only nodes that do not report UnseenUptimeMS read it.
	AgeMS int64 `json:"a,omitempty"`
}

// reply is the result of an attempt, as reported by the node in front of the
// upstream.
type reply struct {
	meta replyMeta
	// answer is the answer of the upstream; nil if there is none.
	answer *http1.ServerResponse
	// finish, if set, is called once the answer has been delivered completely or
	// its delivery has failed.
	finish func(complete bool)
	// lost is the error with which the answer of the upstream broke off.
	lost error
}

// forwarded returns the response to be written for one that was received. Body is its
// body, or the first part if it is not complete.
func forwarded(response *http1.ClientResponse, body []byte, complete bool) *http1.ServerResponse {
	out := &http1.ServerResponse{Status: response.Status, Header: response.Header, Body: body, Length: response.Length}
	switch {
	case !complete:
		out.Stream = response.Stream()
	case !response.Bodyless():
		out.Length = int64(len(body))
	}
	return out
}

// replyMeta is the JSON value of replyHeader.
type replyMeta struct {
	// Verdict is set for an attempt without an answer.
	Verdict string         `json:"v,omitempty"`
	Reason  verdict.Reason `json:"r,omitempty"`
	Detail  string         `json:"d,omitempty"`
	RetryMS int64          `json:"a,omitempty"` // advised retry time, milliseconds
	// ReachedUpstream is set if the upstream may have received the request.
	ReachedUpstream bool `json:"n,omitempty"`
	// Crashes is set if the upstream's process ended while the request was running: the
	// number of incarnations that have crashed under equal requests since the last
	// answer to one; zero if the request is not suspected.
	Crashes int `json:"o,omitempty"`
	// ServiceUS is the time at the upstream, microseconds.
	ServiceUS int64 `json:"s,omitempty"`
	WaitedUS  int64 `json:"w,omitempty"` // time in the queue, microseconds
	Running   int   `json:"x,omitempty"`
	Queued    int   `json:"q,omitempty"`
	Limit     int   `json:"l,omitempty"`
	// Capacity is set if a rate limit leaves less than Limit.
	Capacity float64 `json:"y,omitempty"`
	Version  uint64  `json:"c,omitempty"` // version of the replying node's active configuration
	// UnseenUptimeMS is set in the outcome of a request whose key was not seen
	// before it was queried: the time since the replying process started,
	// milliseconds. Whether the request may have run in an earlier process is for
	// its sender to decide, which knows when it sent it.
	UnseenUptimeMS int64 `json:"p,omitempty"`
	// Callers tells who sends the requests of the route.
	Callers calltree.Callers `json:"e,omitempty"`
	// Probabilities holds the admission probabilities of routes that the
	// replying node advertises, those received from other services included.
	Probabilities []probabilityMeta `json:"h,omitempty"`
	// ProbabilitiesOmitted is set if the probabilities were left out because
	// they were sent to the same node less than advertiseInterval ago.
	ProbabilitiesOmitted bool `json:"t,omitempty"`
}

// probabilityMeta is the wire form of an admissionprob.Received.
type probabilityMeta struct {
	Service     string  `json:"s"`
	Route       string  `json:"r"`
	Probability float64 `json:"v"`
	AgeMS       int64   `json:"a,omitempty"`
}

func (m *replyMeta) report() *balance.Report {
	if m.Limit == 0 {
		return nil
	}
	report := &balance.Report{Running: m.Running, Queued: m.Queued, Capacity: float64(m.Limit)}
	if m.Capacity > 0 {
		report.Capacity, report.Limited = m.Capacity, true
	}
	return report
}

func (m *replyMeta) verdict() verdict.Verdict {
	v, err := verdict.Parse(m.Verdict)
	if err != nil {
		// With an unknown verdict, the request may have run.
		return verdict.MayHaveRun
	}
	return v
}

// rejected returns the reply of an attempt that ended with a refusal.
func rejected(r *verdict.Refusal) *reply {
	return &reply{meta: replyMeta{
		Verdict: r.Verdict.String(), Reason: r.Reason, Detail: r.Detail, RetryMS: r.RetryAfter.Milliseconds(),
	}}
}

// failed returns the reply of an attempt that ended without an answer.
func failed(v verdict.Verdict, reason verdict.Reason, detail string) *reply {
	return rejected(&verdict.Refusal{Verdict: v, Reason: reason, Detail: detail})
}

// answerOverhead estimates the bytes of an answer in addition to its body.
const answerOverhead = 1 << 10

// size returns the bytes that the answer of a reply takes while it is kept; zero if
// there is none.
func (r *reply) size() int {
	if r.answer == nil {
		return 0
	}
	return answerOverhead + cap(r.answer.Body)
}

// refusal returns the refusal of an attempt without an answer.
func (r *reply) refusal() *verdict.Refusal {
	return &verdict.Refusal{
		Verdict: r.meta.verdict(), Reason: r.meta.Reason, Detail: r.meta.Detail,
		RetryAfter: time.Duration(r.meta.RetryMS) * time.Millisecond,
	}
}

func encode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		// The types of this package always marshal.
		panic(fmt.Sprintf("marshal %T: %v", v, err))
	}
	return string(data)
}

// keySource generates idempotency keys that no other process generates.
type keySource struct {
	prefix string
	next   *atomic.Uint64
}

func newKeySource(host string) keySource {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return keySource{prefix: host + "." + hex.EncodeToString(b[:]) + ".", next: new(atomic.Uint64)}
}

func (k keySource) newKey() string { return k.prefix + strconv.FormatUint(k.next.Add(1), 36) }
