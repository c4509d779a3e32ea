package driver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
)

// tasks is the part of actions that is carried out outside the mutex.
type tasks struct {
	immediate []func()
	blocking  []func() // sends, runs and key requests: they return when these have ended
}

func (t *tasks) add(more tasks) {
	t.immediate = append(t.immediate, more.immediate...)
	t.blocking = append(t.blocking, more.blocking...)
}

// perform carries out tasks without waiting for the blocking ones.
func (d *Driver) perform(t tasks) {
	for _, task := range t.blocking {
		d.workers.run(task)
	}
	for _, task := range t.immediate {
		task()
	}
}

// prepare does the bookkeeping of actions under the mutex, in the order in which
// the engine returned them, and returns the tasks that remain. It creates the
// contexts, so that a later cancel always finds its attempt or run.
func (d *Driver) prepare(now time.Time, actions []engine.Action) tasks {
	var t tasks
	for _, action := range actions {
		switch a := action.(type) {
		case engine.SendCall:
			t.blocking = append(t.blocking, d.prepareSend(now, a))
		case engine.RunUpstream:
			t.blocking = append(t.blocking, d.prepareRun(now, a))
		case engine.RequestKey:
			t.blocking = append(t.blocking, func() { d.requestKey(a) })
		default:
			if task := d.prepareImmediate(now, action); task != nil {
				t.immediate = append(t.immediate, task)
			}
		}
	}
	return t
}

// prepareImmediate does the bookkeeping of an action that does not block. It
// returns nil if nothing remains to be done.
func (d *Driver) prepareImmediate(now time.Time, action engine.Action) func() {
	switch a := action.(type) {
	case engine.AnswerCaller:
		return d.prepareAnswerCaller(now, a)
	case engine.AnswerPeer:
		return d.prepareAnswer(a.ID, a)
	case engine.AnswerKey:
		return d.prepareAnswer(a.ID, a)
	case engine.AnswerKeyState:
		return d.prepareAnswer(a.ID, a)
	case engine.CancelAttempt:
		return d.prepareCancelAttempt(a)
	case engine.CancelRun:
		if e := d.entries[a.ID]; e != nil && e.cancelRun != nil {
			return e.cancelRun
		}
		return nil
	case engine.PeerLeaving:
		return func() { d.cfg.PeerLeaving(a.Host, a.Incarnation) }
	case engine.SelfLeaving:
		return d.cfg.SelfLeaving
	case engine.Record:
		if e := d.entries[a.ID]; e != nil {
			e.importance = a.Rank.Importance()
			e.caller = a.Caller
			e.kind = a.CallKind
			e.host = a.Host
		}
		return func() { d.cfg.Observer.Record(a) }
	}
	return nil
}

func (d *Driver) prepareSend(now time.Time, a engine.SendCall) func() {
	e := d.entries[a.ID]
	if e == nil {
		failed := engine.PeerFailed{ID: a.ID, Attempt: a.Attempt, Detail: "the sender went away"}
		return func() { d.Step(failed) }
	}
	deadline := now.Add(a.Call.Remaining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	e.attempts = append(e.attempts, attempt{number: a.Attempt, cancel: cancel})
	payload := e.run.Payload
	return func() { d.send(ctx, cancel, deadline, a, payload) }
}

// send carries out one attempt. It checks the deadline again directly before
// sending, since the process may have been paused in the meantime.
func (d *Driver) send(ctx context.Context, cancel context.CancelFunc, deadline time.Time, a engine.SendCall, p Payload) {
	defer cancel()
	remaining := deadline.Sub(d.cfg.Now())
	if remaining <= 0 || ctx.Err() != nil {
		d.attemptEnded(engine.PeerFailed{ID: a.ID, Attempt: a.Attempt, Timeout: remaining <= 0, Detail: "deadline passed before sending"})
		return
	}
	a.Call.Remaining = remaining
	reply, failed := d.deliver(ctx, a, p)
	if failed != nil {
		failed.ID = a.ID
		failed.Attempt = a.Attempt
		failed.Timeout = failed.Timeout || !d.cfg.Now().Before(deadline)
		d.attemptEnded(*failed)
		return
	}
	d.attemptEnded(engine.PeerReplied{ID: a.ID, Attempt: a.Attempt, Reply: *reply})
}

// deliver makes the attempt at this node or at another one.
func (d *Driver) deliver(ctx context.Context, a engine.SendCall, p Payload) (*engine.Reply, *engine.PeerFailed) {
	if a.Host.ID != d.cfg.Self {
		return d.cfg.Peers.Call(ctx, a.Host, a.Fresh, a.Call, p)
	}
	reply := d.PeerCall(ctx, d.cfg.Self, a.Call, p)
	if reply == nil {
		return nil, &engine.PeerFailed{Sent: true, Detail: "attempt ended"}
	}
	return reply, nil
}

func (d *Driver) attemptEnded(event engine.Event) {
	id, number := attemptOf(event)
	d.mu.Lock()
	if e := d.entries[id]; e != nil {
		e.attempts = slices.DeleteFunc(e.attempts, func(a attempt) bool { return a.number == number })
		d.removeIfFinished(id, e)
	}
	t := d.stepLocked(event)
	d.mu.Unlock()
	d.perform(t)
}

func attemptOf(event engine.Event) (call.ID, int) {
	switch ev := event.(type) {
	case engine.PeerReplied:
		return ev.ID, ev.Attempt
	case engine.PeerFailed:
		return ev.ID, ev.Attempt
	}
	return 0, 0
}

func (d *Driver) prepareCancelAttempt(a engine.CancelAttempt) func() {
	e := d.entries[a.ID]
	if e == nil {
		return nil
	}
	for _, at := range e.attempts {
		if at.number == a.Attempt {
			return at.cancel
		}
	}
	return nil
}

func (d *Driver) prepareRun(now time.Time, a engine.RunUpstream) func() {
	e := d.entries[a.ID]
	if e == nil {
		failed := engine.UpstreamFailed{
			ID: a.ID, Verdict: verdict.NotRun, Reason: verdict.Cancelled, Detail: "the sender went away",
		}
		return func() { d.Step(failed) }
	}
	run := e.run
	run.Token = a.Token
	run.Deadline = now.Add(a.Timeout)
	ctx, cancel := context.WithDeadline(context.Background(), run.Deadline)
	e.running = true
	e.cancelRun = cancel
	return func() { d.runUpstream(ctx, cancel, a.ID, run) }
}

func (d *Driver) runUpstream(ctx context.Context, cancel context.CancelFunc, id call.ID, run Run) {
	defer cancel()
	var event engine.Event
	switch {
	case !d.cfg.Now().Before(run.Deadline):
		event = engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.DeadlineUnmet, Detail: "deadline passed before the run"}
	case ctx.Err() != nil:
		event = engine.UpstreamFailed{Verdict: verdict.NotRun, Reason: verdict.Cancelled, Detail: "withdrawn before the run"}
	default:
		event = d.cfg.Upstream.Run(ctx, run)
	}
	switch ev := event.(type) {
	case engine.UpstreamReplied:
		ev.ID = id
		event = ev
	case engine.UpstreamFailed:
		ev.ID = id
		event = ev
	}
	d.mu.Lock()
	e := d.entries[id]
	if e != nil {
		e.running = false
		e.cancelRun = nil
	}
	t := d.stepLocked(event)
	if e != nil {
		d.removeIfFinished(id, e)
	}
	d.mu.Unlock()
	d.perform(t)
}

func (d *Driver) prepareAnswerCaller(now time.Time, a engine.AnswerCaller) func() {
	e := d.entries[a.ID]
	if e == nil || e.answered {
		return nil
	}
	info := Answered{
		RequestID:  e.run.RequestID,
		Service:    e.service,
		Caller:     cmp.Or(e.caller, e.run.Caller),
		Kind:       e.kind,
		Host:       e.host,
		Importance: e.importance,
		Refusal:    a.Refusal,
		Latency:    now.Sub(e.started),
	}
	reply := d.prepareAnswer(a.ID, a)
	return func() {
		reply()
		d.cfg.Observer.Answered(info)
	}
}

func (d *Driver) prepareAnswer(id call.ID, action engine.Action) func() {
	e := d.entries[id]
	if e == nil || e.answered {
		return nil
	}
	e.answered = true
	d.removeIfFinished(id, e)
	return func() { e.result <- action }
}
