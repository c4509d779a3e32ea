package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/quarantine"
	"toucangw.example/node/http1"
)

const (
	// quarantinePath takes the changes of another node's quarantine table.
	quarantinePath = "/toucangw/quarantine"
	// shareTimeout bounds one message, shareInterval is the time between two rounds of
	// messages, and shareDelay that between a change and the round which sends it, so
	// that the suspects of one crash go together.
	shareTimeout  = 700 * time.Millisecond
	shareInterval = 500 * time.Millisecond
	shareDelay    = 10 * time.Millisecond
	// keepAliveRounds is the number of rounds from one with keep-alives to the next.
	keepAliveRounds = 2
	// maxShareSize bounds the bytes of a message.
	maxShareSize = 1 << 20
	// maxSending bounds the messages that are sent at once.
	maxSending = 64
)

// quarantineSharing sends the changes of a node's quarantine table to other nodes as
// long as the table has entries. It is safe for concurrent use.
type quarantineSharing struct {
	gateway *Gateway
	decide  *quarantine.Sharing
	process string // identifies this process in responses
	changed chan struct{}
	slots   chan struct{} // of the messages on their way

	mu      sync.Mutex
	running bool
	closed  bool
}

func newQuarantineSharing(g *Gateway) *quarantineSharing {
	return &quarantineSharing{
		gateway: g, process: strconv.FormatUint(rand.Uint64(), 36), changed: make(chan struct{}, 1), slots: make(chan struct{}, maxSending),
	}
}

// wake makes the changes of the table be sent soon.
func (s *quarantineSharing) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running && !s.closed {
		s.running = true
		go s.run()
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *quarantineSharing) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// run sends changes until the table is empty.
func (s *quarantineSharing) run() {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for round := 0; ; {
		keepAlive := false
		select {
		case <-s.changed:
			time.Sleep(shareDelay)
		case <-tick.C:
			s.gateway.quarantine.Sweep(time.Now())
			round++
			keepAlive = round%keepAliveRounds == 0
		}
		if s.stopIfIdle() {
			return
		}
		for _, m := range s.decide.Next(time.Now(), s.gateway.sharingPeers(), keepAlive) {
			go s.send(m)
		}
	}
}

// stopIfIdle reports whether there is nothing to send any more.
func (s *quarantineSharing) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.gateway.quarantine.Empty() {
		s.running = false
		return true
	}
	return false
}

// sharingPeers returns the other nodes.
func (g *Gateway) sharingPeers() []quarantine.Peer {
	hosts := g.hosts.Load()
	if hosts == nil {
		return nil
	}
	var out []quarantine.Peer
	for _, u := range hosts.All() {
		if address := g.peerAddress(u); address != g.selfAddress {
			out = append(out, quarantine.Peer{Address: address, SameService: u.Service == g.cfg.Service})
		}
	}
	return out
}

func (s *quarantineSharing) send(m *quarantine.Message) {
	s.slots <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	reply, err := s.exchange(ctx, m)
	cancel()
	<-s.slots
	if err != nil {
		s.gateway.cfg.Logger.Debug("quarantine not shared", "peer", m.Peer, "records", len(m.Records), "error", err.Error())
		s.decide.Failed(m)
		return
	}
	if s.decide.Delivered(m, reply) {
		s.wake()
	}
}

// shareMessage is the wire form of a quarantine.Message.
type shareMessage struct {
	Records    []recordMessage `json:"records,omitempty"`
	PublicOnly bool            `json:"public,omitempty"`
	Digest     uint64          `json:"digest"`
}

// exchange sends a message and returns the reply.
func (s *quarantineSharing) exchange(ctx context.Context, m *quarantine.Message) (reply quarantine.Reply, err error) {
	body := []byte(encode(&shareMessage{toMessage(time.Now(), m.Records), m.Scope.PublicOnly, m.Digest}))
	s.gateway.cfg.Metrics.quarantineMessages.Inc()
	s.gateway.cfg.Metrics.quarantineBytes.Add(float64(len(body)))
	response, err := s.gateway.peerPool.Do(ctx, m.Peer, &http1.Request{
		Method: http.MethodPost, Target: quarantinePath, Host: m.Peer, Body: body, Length: int64(len(body)),
		Extra: []http1.Field{{Name: forwardHeader, Value: encode(&forwardMeta{Sender: s.gateway.selfAddress})}},
	})
	if err != nil {
		return reply, err
	}
	text, complete, err := response.ReadBody(maxAnswerHead)
	if err != nil {
		return reply, err
	}
	if !complete || response.Status != http.StatusOK {
		response.Close()
		return reply, fmt.Errorf("status %d", response.Status)
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return reply, fmt.Errorf("reply of a node: %w", err)
	}
	return reply, nil
}

// receiveQuarantine merges the changes of another node's table.
func (g *Gateway) receiveQuarantine(x *http1.Exchange, meta *forwardMeta) {
	body, complete, err := x.ReadBody(maxShareSize)
	if err != nil {
		x.Abort()
		return
	}
	var message shareMessage
	if !complete || json.Unmarshal(body, &message) != nil {
		x.CloseAfter()
		_ = x.Respond(http1.NewServerResponse(http.StatusBadRequest, nil, nil))
		return
	}
	now := time.Now()
	for _, m := range message.Records[:min(len(message.Records), quarantine.MaxRecords)] {
		answer, _ := g.answered.Get(m.Fingerprint)
		record, turned := g.quarantine.Merge(now, m.record(now), answer.At)
		switch {
		case turned && record.Quarantined():
			g.logQuarantine(record, "node "+meta.Sender)
		case turned:
			g.cfg.Logger.Info("request cleared", "fingerprint", record.Fingerprint.Short(), "by", record.ClearedBy, "source", "node "+meta.Sender)
		}
	}
	reply := quarantine.Reply{
		Process: g.sharing.process, Same: g.quarantine.Digest(quarantine.Scope{PublicOnly: message.PublicOnly}) == message.Digest,
	}
	_ = x.Respond(http1.NewServerResponse(http.StatusOK, nil, []byte(encode(&reply))))
}

// recordMessage is the wire form of a quarantine.Record. Times are sent as ages, since
// the clocks of hosts differ.
type recordMessage struct {
	Fingerprint quarantine.Fingerprint `json:"f"`
	Service     string                 `json:"s,omitempty"`
	Route       string                 `json:"n,omitempty"`
	Caller      string                 `json:"c,omitempty"`
	RequestID   string                 `json:"r,omitempty"`
	Crashes     []crashMessage         `json:"x,omitempty"`
	ClearedBy   string                 `json:"b,omitempty"`
}

// crashMessage is the wire form of a quarantine.Crash.
type crashMessage struct {
	Upstream       string `json:"u"`
	StartedAt      int64  `json:"i,omitempty"`
	Version        string `json:"v,omitempty"`
	Node           string `json:"h,omitempty"`
	AgeMS          int64  `json:"a"`
	AnsweredBefore bool   `json:"e,omitempty"`
	Cleared        bool   `json:"c,omitempty"`
}

func toMessage(now time.Time, records []quarantine.Record) []recordMessage {
	out := make([]recordMessage, 0, len(records))
	for _, r := range records {
		m := recordMessage{
			Fingerprint: r.Fingerprint, Service: r.Subject.Service, Route: r.Subject.Route, Caller: r.Subject.Caller,
			RequestID: r.Subject.RequestID, ClearedBy: r.ClearedBy,
		}
		for _, c := range r.Crashes {
			m.Crashes = append(m.Crashes, crashMessage{
				Upstream: c.Upstream.ID, StartedAt: c.Upstream.StartedAt, Version: c.Version, Node: c.Node, AgeMS: now.Sub(c.At).Milliseconds(),
				AnsweredBefore: c.AnsweredBefore, Cleared: c.Cleared,
			})
		}
		out = append(out, m)
	}
	return out
}

func (m *recordMessage) record(now time.Time) quarantine.Record {
	r := quarantine.Record{
		Fingerprint: m.Fingerprint, ClearedBy: m.ClearedBy,
		Subject: quarantine.Subject{Service: m.Service, Route: m.Route, Caller: m.Caller, RequestID: m.RequestID},
	}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Upstream: advisory.Instance{ID: c.Upstream, StartedAt: c.StartedAt}, Version: c.Version, Node: c.Node,
			At: now.Add(-time.Duration(max(c.AgeMS, 0)) * time.Millisecond), AnsweredBefore: c.AnsweredBefore, Cleared: c.Cleared,
		})
	}
	return r
}
