// Package peerlink carries calls between nodes over gRPC: one server per node
// and one client connection per peer. gRPC only transports; retries, routing
// and name resolution are decisions of the engine.
package peerlink

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/peer"
)

// MaxMessage is the largest message between nodes in bytes.
const MaxMessage = 4 << 20

// Limits of single fields of messages from peers.
const (
	maxName   = 1 << 10
	maxPath   = 16 << 10
	maxKey    = 4 << 10
	maxDepth  = 1 << 10
	maxCredit = 1 << 10
	maxCount  = 1 << 20
)

// Self identifies this node to its peers.
type Self struct {
	Host        member.HostID
	Incarnation uint64
}

func (s Self) sender() *peer.Sender {
	return &peer.Sender{Host: string(s.Host), Incarnation: s.Incarnation}
}

func encodeCall(self Self, c *engine.PeerCall, p driver.Payload) *peer.CallRequest {
	return &peer.CallRequest{
		Sender:      self.sender(),
		RequestId:   c.RequestID,
		Caller:      c.Caller,
		Kind:        c.Kind,
		Service:     c.Service,
		Method:      c.Method,
		Path:        c.Path,
		Rank:        uint32(c.Rank),
		RemainingMs: clamp(c.Remaining.Milliseconds()),
		Credit:      clamp(int64(c.Credit)),
		Depth:       clamp(int64(c.Depth)),
		CostUs:      clamp(c.Cost.Microseconds()),
		Idempotent:  c.Idempotent,
		Key:         c.Key,
		Digest:      c.Digest,
		Incarnation: c.Incarnation,
		ContentType: p.ContentType,
		Body:        p.Body,
	}
}

func clamp(n int64) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }

func duration(n uint32, unit time.Duration) time.Duration { return time.Duration(n) * unit }

// decodeCall validates and converts a call from a peer.
func decodeCall(m *peer.CallRequest) (engine.PeerCall, driver.Payload, error) {
	if err := checkCall(m); err != nil {
		return engine.PeerCall{}, driver.Payload{}, err
	}
	c := engine.PeerCall{
		RequestID:   m.GetRequestId(),
		Caller:      m.GetCaller(),
		Kind:        m.GetKind(),
		Service:     m.GetService(),
		Method:      m.GetMethod(),
		Path:        m.GetPath(),
		Rank:        call.Rank(m.GetRank()),
		Remaining:   duration(m.GetRemainingMs(), time.Millisecond),
		Credit:      int(m.GetCredit()),
		Depth:       int(m.GetDepth()),
		Cost:        duration(m.GetCostUs(), time.Microsecond),
		Idempotent:  m.GetIdempotent(),
		Key:         m.GetKey(),
		Digest:      m.GetDigest(),
		Incarnation: m.GetIncarnation(),
	}
	return c, driver.Payload{ContentType: m.GetContentType(), Body: m.GetBody()}, nil
}

func checkCall(m *peer.CallRequest) error {
	fields := []struct {
		name, value string
		limit       int
	}{
		{"request_id", m.GetRequestId(), maxName},
		{"caller", m.GetCaller(), maxName},
		{"kind", m.GetKind(), maxName},
		{"service", m.GetService(), maxName},
		{"method", m.GetMethod(), maxName},
		{"path", m.GetPath(), maxPath},
		{"key", m.GetKey(), maxKey},
		{"content_type", m.GetContentType(), maxName},
	}
	for _, f := range fields {
		if len(f.value) > f.limit {
			return fmt.Errorf("%s has %d bytes, above the limit of %d", f.name, len(f.value), f.limit)
		}
	}
	switch {
	case m.GetRequestId() == "":
		return errors.New("request_id is empty")
	case m.GetService() == "":
		return errors.New("service is empty")
	case m.GetMethod() == "":
		return errors.New("method is empty")
	case len(m.GetPath()) == 0 || m.GetPath()[0] != '/':
		return errors.New("path does not start with a slash")
	case m.GetDepth() > maxDepth:
		return fmt.Errorf("depth %d is above the limit of %d", m.GetDepth(), maxDepth)
	case m.GetCredit() > maxCredit:
		return fmt.Errorf("credit %d is above the limit of %d", m.GetCredit(), maxCredit)
	}
	return nil
}

func encodeReply(r *engine.Reply) *peer.CallReply {
	m := &peer.CallReply{
		RequestId:   r.RequestID,
		Incarnation: r.Incarnation,
		Unspent:     clamp(int64(r.ReturnedCredit)),
		Level:       uint32(r.Threshold),
		Load: &peer.LoadReport{
			Running: clamp(int64(r.Load.Running)),
			Queued:  clamp(int64(r.Load.Queued)),
			Limit:   clamp(int64(r.Load.Limit)),
		},
		Leaving: r.Leaving,
		NextKey: r.NextKey,
	}
	if r.Answer != nil {
		m.Answer = encodeAnswer(r.Answer)
	} else {
		m.Refusal = encodeRefusal(r.Refusal)
	}
	return m
}

// decodeReply validates and converts a reply, which must carry the ID of the
// request and exactly one of answer and refusal.
func decodeReply(requestID string, m *peer.CallReply) (*engine.Reply, error) {
	if m.GetRequestId() != requestID {
		return nil, fmt.Errorf("reply belongs to request %q", m.GetRequestId())
	}
	if (m.GetAnswer() == nil) == (m.GetRefusal() == nil) {
		return nil, errors.New("reply has not exactly one of answer and refusal")
	}
	load := m.GetLoad()
	r := &engine.Reply{
		RequestID:      requestID,
		Incarnation:    m.GetIncarnation(),
		Refusal:        decodeRefusal(m.GetRefusal()),
		ReturnedCredit: int(min(m.GetUnspent(), maxCredit)),
		Threshold:      call.Rank(m.GetLevel()),
		Load: route.Report{
			Running: int(min(load.GetRunning(), maxCount)),
			Queued:  int(min(load.GetQueued(), maxCount)),
			Limit:   int(min(load.GetLimit(), maxCount)),
		},
		Leaving: m.GetLeaving(),
		NextKey: m.GetNextKey(),
	}
	if m.GetAnswer() == nil {
		return r, nil
	}
	answer, err := decodeAnswer(m.GetAnswer())
	if err != nil {
		return nil, err
	}
	r.Answer = answer
	return r, nil
}

func encodeAnswer(a *call.Answer) *peer.Answer {
	return &peer.Answer{
		Status:      clamp(int64(a.Status)),
		ContentType: a.ContentType,
		Body:        a.Body,
		BodyHash:    xxhash.Sum64(a.Body),
	}
}

func decodeAnswer(m *peer.Answer) (*call.Answer, error) {
	if xxhash.Sum64(m.GetBody()) != m.GetBodyHash() {
		return nil, errors.New("checksum of the answer does not match its body")
	}
	if m.GetStatus() < 100 || m.GetStatus() > 999 {
		return nil, fmt.Errorf("answer has status %d", m.GetStatus())
	}
	return &call.Answer{
		Status:      int(m.GetStatus()),
		ContentType: m.GetContentType(),
		Body:        m.GetBody(),
	}, nil
}

// toWire and fromWire convert verdicts. A verdict unknown to this version counts
// as MayHaveRun.
var toWire = map[verdict.Verdict]peer.Verdict{
	verdict.MayHaveRun: peer.Verdict_VERDICT_MAY_HAVE_RUN,
	verdict.NotRun:     peer.Verdict_VERDICT_NOT_RUN,
	verdict.Run:        peer.Verdict_VERDICT_RUN,
}

func fromWire(v peer.Verdict) verdict.Verdict {
	switch v {
	case peer.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case peer.Verdict_VERDICT_RUN:
		return verdict.Run
	default:
		return verdict.MayHaveRun
	}
}

func encodeRefusal(r *verdict.Refusal) *peer.Refusal {
	if r == nil {
		return nil
	}
	return &peer.Refusal{
		Verdict:      toWire[r.Verdict],
		Reason:       string(r.Reason),
		Detail:       r.Detail,
		RetryAfterMs: clamp(r.RetryAfter.Milliseconds()),
	}
}

func decodeRefusal(m *peer.Refusal) *verdict.Refusal {
	if m == nil {
		return nil
	}
	return &verdict.Refusal{
		Verdict:    fromWire(m.GetVerdict()),
		Reason:     verdict.Reason(m.GetReason()),
		Detail:     m.GetDetail(),
		RetryAfter: duration(m.GetRetryAfterMs(), time.Millisecond),
	}
}

// parseState converts the name of a key state.
func parseState(text string) (idempotency.State, error) {
	for s := idempotency.Unseen; s <= idempotency.Indeterminate; s++ {
		if s.String() == text {
			return s, nil
		}
	}
	return idempotency.Indeterminate, fmt.Errorf("unknown key state %q", text)
}
