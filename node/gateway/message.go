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

	"toucangw.example/core/balance"
	"toucangw.example/core/verdict"
	"toucangw.example/node/http1"
)

// Headers between nodes. Requests of clients cannot set them.
const (
	forwardHeader = "Toucangw-Forward"
	replyHeader   = "Toucangw-Reply"
	// outcomePath asks for the outcome of a request by its key.
	outcomePath = "/toucangw/outcome"
	// viewPath asks for the configuration and the upstreams that a node knows.
	viewPath = "/toucangw/view"
	// maxView holds the largest value of the store in base64, and the entries
	// of some ten thousand upstreams.
	maxView = 8 << 20
)

// forward is one attempt at one upstream.
type forward struct {
	meta forwardMeta

	method, target, host string
	header               http.Header
	body                 []byte
	stream               io.Reader
	length               int64 // of body and stream; -1 if unknown
	requestID            string
	deadline             time.Time
}

// forwardMeta travels in forwardHeader.
type forwardMeta struct {
	Service  string `json:"s"`           // service of the upstream
	Upstream string `json:"u"`           // id of the upstream that is to run it
	Origin   string `json:"o,omitempty"` // service of the host where it began
	Own      string `json:"n,omitempty"` // its route
	Route    string `json:"r,omitempty"` // route at the root of its call tree
	Priority int    `json:"p"`           // priority of that route
	Call     bool   `json:"c,omitempty"` // made by a running request
	// Started is the probability with which requests of that route are started.
	Started float64 `json:"f,omitempty"`
	Repeat  bool    `json:"t,omitempty"` // not the first run, or below one
	LeftMS  int64   `json:"l"`           // time left, milliseconds
	WaitMS  int64   `json:"w,omitempty"` // longest time in the queue, milliseconds
	Key     string  `json:"k,omitempty"` // set if it may run at most once
	Version uint64  `json:"v,omitempty"` // configuration in force at the sender
	// Sender is the peer listener of the sending node.
	Sender string `json:"h,omitempty"`
	// AgeMS is set in a question for an outcome: the time since the request
	// was sent, milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// reply is the end of an attempt as the guarding node tells it.
type reply struct {
	meta replyMeta
	// answer of the upstream; nil if there is none.
	answer *http1.ServerResponse
	// finish is called when the answer has been delivered or given up.
	finish func(whole bool)
}

// replyMeta travels in replyHeader.
type replyMeta struct {
	// Verdict of an attempt without an answer.
	Verdict string         `json:"v,omitempty"`
	Reason  verdict.Reason `json:"r,omitempty"`
	Detail  string         `json:"d,omitempty"`
	RetryMS int64          `json:"a,omitempty"` // when to come back, milliseconds
	// Arrived is set if the upstream received the request.
	Arrived bool `json:"n,omitempty"`
	// ServiceUS is the time at the upstream, microseconds.
	ServiceUS int64  `json:"s,omitempty"`
	WaitedUS  int64  `json:"w,omitempty"` // time in the queue, microseconds
	Running   int    `json:"x,omitempty"`
	Queued    int    `json:"q,omitempty"`
	Limit     int    `json:"l,omitempty"`
	Version   uint64 `json:"c,omitempty"` // configuration in force at the guard
	// Called is set if only the sender's service calls the route.
	Called bool `json:"o,omitempty"`
	// Shares of routes to start, as services on the way state them.
	Shares []shareMeta `json:"h,omitempty"`
	// Told is set if the shares were left out, as the node has been told them.
	Told bool `json:"t,omitempty"`
}

// shareMeta is an admissionprob.Received on the wire.
type shareMeta struct {
	Service string  `json:"s"`
	Route   string  `json:"r"`
	Value   float64 `json:"v"`
	AgeMS   int64   `json:"a,omitempty"`
}

func (m *replyMeta) report() *balance.Report {
	if m.Limit == 0 {
		return nil
	}
	return &balance.Report{Running: m.Running, Queued: m.Queued, Limit: m.Limit}
}

func (m *replyMeta) verdict() verdict.Verdict {
	v, err := verdict.Parse(m.Verdict)
	if err != nil {
		// An unknown verdict promises nothing.
		return verdict.MayHaveRun
	}
	return v
}

func refused(r *verdict.Refusal) *reply {
	return &reply{meta: replyMeta{
		Verdict: r.Verdict.String(), Reason: r.Reason, Detail: r.Detail, RetryMS: r.RetryAfter.Milliseconds(),
	}}
}

func failed(v verdict.Verdict, reason verdict.Reason, detail string) *reply {
	return refused(&verdict.Refusal{Verdict: v, Reason: reason, Detail: detail})
}

// refusal returns the error of an attempt without an answer.
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

// keySource makes keys that no other process uses.
type keySource struct {
	prefix string
	next   *atomic.Uint64
}

func newKeySource(host string) keySource {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return keySource{prefix: host + "." + hex.EncodeToString(b[:]) + ".", next: new(atomic.Uint64)}
}

func (k keySource) make() string { return k.prefix + strconv.FormatUint(k.next.Add(1), 36) }
