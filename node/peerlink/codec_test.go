package peerlink

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/route"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/peer"
)

var self = Self{Host: "ledger-1", Incarnation: 7}

func sampleCall() (engine.PeerCall, driver.Payload) {
	c := engine.PeerCall{
		RequestID: "r-1", Caller: "scheldt", Kind: "sign-off", Service: "release", Method: "POST",
		Path: "/sign-offs/1", Rank: 4_000_000, Remaining: 1500 * time.Millisecond, Credit: 2, Depth: 1,
		Cost: 10 * time.Millisecond, Key: "k", Digest: 1 << 63, Incarnation: 9,
	}
	return c, driver.Payload{ContentType: "application/json", Body: []byte("{}")}
}

func sampleReply() *engine.Reply {
	return &engine.Reply{
		RequestID: "r-1", Incarnation: 9, ReturnedCredit: 1, Threshold: 17, Leaving: true, NextKey: "n",
		Load:   route.Report{Running: 3, Queued: 2, Limit: 5},
		Answer: &call.Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")},
	}
}

// Guards against a field of a call that is lost in encoding or decoding.
func TestCallRoundTrip(t *testing.T) {
	c, p := sampleCall()
	decoded, payload, err := decodeCall(encodeCall(self, &c, p))
	require.NoError(t, err)
	require.Equal(t, c, decoded)
	require.Equal(t, p, payload)
}

// Guards against a field of a reply that is lost in encoding or decoding.
func TestReplyRoundTrip(t *testing.T) {
	r := sampleReply()
	decoded, err := decodeReply("r-1", encodeReply(r))
	require.NoError(t, err)
	require.Equal(t, r, decoded)

	r.Answer = nil
	r.Refusal = &verdict.Refusal{Verdict: verdict.NotRun, Reason: verdict.QueueFull, Detail: "d", RetryAfter: time.Second}
	decoded, err = decodeReply("r-1", encodeReply(r))
	require.NoError(t, err)
	require.Equal(t, r, decoded)
}

// Guards invariant I3: a reply to another request, a corrupt answer, or a reply
// that has both or neither of answer and refusal never reaches a caller.
func TestBadReplies(t *testing.T) {
	for name, corrupt := range map[string]func(*peer.CallReply){
		"another request":    func(m *peer.CallReply) { m.RequestId = "r-2" },
		"corrupt body":       func(m *peer.CallReply) { m.Answer.Body = []byte("dane") },
		"truncated body":     func(m *peer.CallReply) { m.Answer.Body = m.Answer.Body[:2] },
		"answer and refusal": func(m *peer.CallReply) { m.Refusal = &peer.Refusal{} },
		"neither":            func(m *peer.CallReply) { m.Answer = nil },
		"invalid status":     func(m *peer.CallReply) { m.Answer.Status = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			m := encodeReply(sampleReply())
			corrupt(m)
			_, err := decodeReply("r-1", m)
			require.Error(t, err)
		})
	}
}

// Guards against crashes on messages of faulty peers: any bytes give an error
// or an event within the limits.
func FuzzPeerCodec(f *testing.F) {
	c, p := sampleCall()
	callBytes, err := proto.Marshal(encodeCall(self, &c, p))
	require.NoError(f, err)
	replyBytes, err := proto.Marshal(encodeReply(sampleReply()))
	require.NoError(f, err)
	f.Add(callBytes)
	f.Add(replyBytes)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request peer.CallRequest
		if proto.Unmarshal(data, &request) == nil {
			fuzzCall(t, &request)
		}
		var reply peer.CallReply
		if proto.Unmarshal(data, &reply) == nil {
			fuzzReply(t, &reply)
		}
	})
}

func fuzzCall(t *testing.T, m *peer.CallRequest) {
	decoded, payload, err := decodeCall(m)
	if err != nil {
		return
	}
	require.GreaterOrEqual(t, decoded.Credit, 0)
	require.LessOrEqual(t, decoded.Credit, maxCredit)
	require.LessOrEqual(t, decoded.Depth, maxDepth)
	again, _, err := decodeCall(encodeCall(self, &decoded, payload))
	require.NoError(t, err)
	require.Equal(t, decoded, again)
}

func fuzzReply(t *testing.T, m *peer.CallReply) {
	decoded, err := decodeReply(m.GetRequestId(), m)
	if err != nil {
		return
	}
	require.NotEqual(t, decoded.Answer == nil, decoded.Refusal == nil)
	require.LessOrEqual(t, decoded.ReturnedCredit, maxCredit)
}
