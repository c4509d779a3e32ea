package driver

import (
	"context"
	"errors"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

// ErrClientDisconnected means that the client disconnected before its call ended.
var ErrClientDisconnected = errors.New("the sender went away")

// KeyState is the state of an idempotency key at its owner.
type KeyState struct {
	State  idempotency.State
	Answer *call.Answer // set when the state is Done
}

// Call processes a request of a caller or of the local upstream and assigns its
// ID. It returns nil if ctx ends first.
func (d *Driver) Call(ctx context.Context, arrived engine.CallArrived, p Payload) *engine.AnswerCaller {
	d.countCall()
	defer d.inFlight.Add(-1)
	arrived.ID = d.newID()
	e := &entry{
		service: arrived.Service,
		started: d.cfg.Now(),
		result:  make(chan any, 1),
		run: Run{
			Method:    arrived.Method,
			Path:      arrived.Path,
			RequestID: arrived.RequestID,
			Caller:    arrived.Caller,
			Key:       arrived.Key,
			Payload:   p,
		},
	}
	answer, ok := d.handle(ctx, arrived.ID, e, arrived).(engine.AnswerCaller)
	if !ok {
		return nil
	}
	return &answer
}

// PeerCall processes a call from another node, or from this one. It returns nil
// if ctx ends first.
func (d *Driver) PeerCall(ctx context.Context, from member.HostID, c engine.PeerCall, p Payload) *engine.Reply {
	d.countCall()
	defer d.inFlight.Add(-1)
	id := d.newID()
	now := d.cfg.Now()
	e := &entry{
		peerCall: true,
		service:  c.Service,
		started:  now,
		expires:  now.Add(c.Remaining),
		result:   make(chan any, 1),
		run: Run{
			Method:     c.Method,
			Path:       c.Path,
			RequestID:  c.RequestID,
			Caller:     c.Caller,
			Key:        c.Key,
			Idempotent: c.Idempotent,
			Payload:    p,
		},
	}
	answer, ok := d.handle(ctx, id, e, engine.PeerCallArrived{ID: id, From: from, Call: c}).(engine.AnswerPeer)
	if !ok {
		return nil
	}
	return &answer.Reply
}

// IssueKey issues an idempotency key owned by this node.
func (d *Driver) IssueKey(ctx context.Context, service, caller string) (string, *verdict.Refusal) {
	id := d.newID()
	e := &entry{result: make(chan any, 1), started: d.cfg.Now()}
	answer, ok := d.handle(ctx, id, e, engine.KeyRequested{ID: id, Service: service, Caller: caller}).(engine.AnswerKey)
	if !ok {
		return "", verdict.Refuse(verdict.Cancelled, ErrClientDisconnected.Error())
	}
	return answer.Key, answer.Refusal
}

// LocalKey returns the state of a key that this node owns. With fence, the key is
// fenced if it is unseen or queued.
func (d *Driver) LocalKey(ctx context.Context, key, caller string, fence bool) (KeyState, error) {
	id := d.newID()
	e := &entry{result: make(chan any, 1), started: d.cfg.Now()}
	answer, ok := d.handle(ctx, id, e, engine.KeyQueried{ID: id, Key: key, Caller: caller, Fence: fence}).(engine.AnswerKeyState)
	if !ok {
		return KeyState{}, ErrClientDisconnected
	}
	return KeyState{State: answer.State, Answer: answer.Answer}, nil
}

// Key returns the state of a key at its owner, which the key itself names (see
// idempotency.ParseOwner). For fence see LocalKey.
func (d *Driver) Key(ctx context.Context, owner member.HostID, key, caller string, fence bool) (KeyState, error) {
	if owner == d.cfg.Self {
		return d.LocalKey(ctx, key, caller, fence)
	}
	d.mu.Lock()
	host, known := d.hosts[owner]
	d.mu.Unlock()
	if !known {
		return KeyState{}, errors.New("the owner of the key is not on the host list")
	}
	return d.cfg.Peers.QueryKey(ctx, host, key, caller, fence)
}

// requestKey requests a key for the engine, from this node or from another one,
// and reports the result as KeyIssued.
func (d *Driver) requestKey(a engine.RequestKey) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	issued := engine.KeyIssued{ID: a.ID}
	if a.Host.ID == d.cfg.Self {
		issued.Key, issued.Refusal = d.IssueKey(ctx, a.Service, a.Caller)
	} else {
		issued.Key, issued.Refusal = d.cfg.Peers.IssueKey(ctx, a.Host, a.Service, a.Caller)
	}
	d.Step(issued)
}

// Tick reports the passing of time to the engine and calls Sweep.
func (d *Driver) Tick() {
	d.Step(engine.Tick{})
	d.Sweep(d.cfg.Now())
}
