package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 10 * time.Second

// script is an engine that answers each event with fixed actions.
type script struct {
	mu     sync.Mutex
	react  func(event engine.Event) []engine.Action
	events []engine.Event
}

func (s *script) Step(_ time.Time, event engine.Event) []engine.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	return s.react(event)
}

func (s *script) Idle() bool { return true }

func (s *script) saw(match func(engine.Event) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.events {
		if match(event) {
			return true
		}
	}
	return false
}

type noObserver struct{}

func (noObserver) Record(engine.Record) {}
func (noObserver) Answered(Answered)    {}

// upstreamFunc and peerFunc stand for the network.
type upstreamFunc func(ctx context.Context, r Run) engine.Event

func (f upstreamFunc) Run(ctx context.Context, r Run) engine.Event { return f(ctx, r) }

type peerFunc func(ctx context.Context, c engine.PeerCall) (*engine.Reply, *engine.PeerFailed)

func (f peerFunc) Call(ctx context.Context, _ member.Host, _ bool, c engine.PeerCall, _ Payload) (*engine.Reply, *engine.PeerFailed) {
	return f(ctx, c)
}

func (peerFunc) IssueKey(context.Context, member.Host, string, string) (string, *verdict.Refusal) {
	return "", nil
}

func (peerFunc) QueryKey(context.Context, member.Host, string, string, bool) (KeyState, error) {
	return KeyState{}, nil
}

func newDriver(t *testing.T, e Engine, up upstreamFunc, peers peerFunc) *Driver {
	t.Helper()
	d := New(Config{
		Self: "self", Engine: e, Upstream: up, Peers: peers, Observer: noObserver{},
		Woke: func(time.Duration) {}, PeerLeaving: func(member.HostID, uint64) {}, SelfLeaving: func() {},
	})
	t.Cleanup(d.Close)
	return d
}

func (d *Driver) held() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Guards a cancel that the engine returns together with the run, or directly
// after it: the request must not reach the upstream later.
func TestCancelDirectlyAfterRun(t *testing.T) {
	s := &script{react: func(event engine.Event) []engine.Action {
		if arrived, ok := event.(engine.PeerCallArrived); ok {
			return []engine.Action{
				engine.RunUpstream{ID: arrived.ID, Timeout: time.Minute},
				engine.CancelRun{ID: arrived.ID},
				engine.AnswerPeer{ID: arrived.ID, Reply: engine.Reply{Refusal: verdict.Refuse(verdict.Cancelled, "")}},
			}
		}
		return nil
	}}
	d := newDriver(t, s, func(context.Context, Run) engine.Event {
		t.Error("a cancelled request ran")
		return engine.UpstreamFailed{}
	}, nil)
	require.NotNil(t, d.PeerCall(context.Background(), "peer", engine.PeerCall{Remaining: time.Second}, Payload{}))
	require.True(t, s.saw(func(event engine.Event) bool {
		failed, ok := event.(engine.UpstreamFailed)
		return ok && failed.Verdict == verdict.NotRun
	}))
	require.Zero(t, d.held())
}

// Guards 2.11: a deadline that passed before the run or the send, as after a
// pause, means that nothing is sent.
func TestDeadlineBeforeRunAndSend(t *testing.T) {
	s := &script{react: func(event engine.Event) []engine.Action {
		switch ev := event.(type) {
		case engine.PeerCallArrived:
			return []engine.Action{engine.RunUpstream{ID: ev.ID, Timeout: 0}}
		case engine.UpstreamFailed:
			return []engine.Action{engine.AnswerPeer{ID: ev.ID, Reply: engine.Reply{Refusal: verdict.Refuse(ev.Reason, "")}}}
		case engine.CallArrived:
			return []engine.Action{engine.SendCall{ID: ev.ID, Attempt: 1, Call: engine.PeerCall{Remaining: 0}}}
		case engine.PeerFailed:
			if ev.Sent {
				t.Error("reported as sent")
			}
			return []engine.Action{engine.AnswerCaller{ID: ev.ID, Refusal: verdict.Refuse(verdict.DeadlineUnmet, "")}}
		}
		return nil
	}}
	d := newDriver(t, s,
		func(context.Context, Run) engine.Event { t.Error("ran"); return engine.UpstreamFailed{} },
		func(context.Context, engine.PeerCall) (*engine.Reply, *engine.PeerFailed) {
			t.Error("sent")
			return nil, &engine.PeerFailed{}
		})
	reply := d.PeerCall(context.Background(), "peer", engine.PeerCall{Remaining: time.Second}, Payload{})
	require.Equal(t, verdict.DeadlineUnmet, reply.Refusal.Reason)
	require.NotNil(t, d.Call(context.Background(), engine.CallArrived{}, Payload{}))
	require.Zero(t, d.held())
}

// Guards against calls that stay behind when their caller goes away: the
// attempt is withdrawn and the body is let go.
func TestCallerGoesAway(t *testing.T) {
	var id call.ID
	s := &script{react: func(event engine.Event) []engine.Action {
		switch ev := event.(type) {
		case engine.CallArrived:
			id = ev.ID
			return []engine.Action{engine.SendCall{ID: ev.ID, Attempt: 1, Host: member.Host{ID: "peer"}, Call: engine.PeerCall{Remaining: time.Minute}}}
		case engine.Cancelled:
			return []engine.Action{
				engine.AnswerCaller{ID: ev.ID, Refusal: &verdict.Refusal{Reason: verdict.Cancelled}},
				engine.CancelAttempt{ID: ev.ID, Attempt: 1},
			}
		}
		return nil
	}}
	sending := make(chan struct{})
	d := newDriver(t, s, nil, func(ctx context.Context, _ engine.PeerCall) (*engine.Reply, *engine.PeerFailed) {
		close(sending)
		<-ctx.Done()
		return nil, &engine.PeerFailed{Sent: true}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-sending
		cancel()
	}()
	ended := make(chan struct{})
	go func() {
		d.Call(ctx, engine.CallArrived{}, Payload{})
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the call did not end")
	}
	require.Eventually(t, func() bool { return d.held() == 0 }, waitLimit, time.Millisecond)
	cancelled := 0
	for _, event := range s.events {
		if ev, ok := event.(engine.Cancelled); ok && ev.ID == id {
			cancelled++
		}
	}
	require.Equal(t, 1, cancelled)
}

// Guards 2.11: after a pause the engine hears of it before anything else.
func TestPauseComesFirst(t *testing.T) {
	s := &script{react: func(engine.Event) []engine.Action { return nil }}
	now := time.Now()
	woke := time.Duration(0)
	d := New(Config{Engine: s, Observer: noObserver{}, Now: func() time.Time { return now }, Woke: func(gap time.Duration) { woke = gap }})
	t.Cleanup(d.Close)
	d.Tick()
	now = now.Add(50 * time.Millisecond)
	d.Tick()
	require.Zero(t, woke)
	now = now.Add(3 * time.Second)
	d.Step(engine.PeerReplied{ID: 1})
	require.Equal(t, 3*time.Second, woke)
	require.Len(t, s.events, 4)
	require.IsType(t, engine.ProcessResumed{}, s.events[2])
	require.IsType(t, engine.PeerReplied{}, s.events[3])
}
