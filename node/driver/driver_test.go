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

// fakeEngine returns the actions that onEvent chooses for each event and records
// the events.
type fakeEngine struct {
	mu      sync.Mutex
	onEvent func(event engine.Event) []engine.Action
	events  []engine.Event
}

func (eng *fakeEngine) Step(_ time.Time, event engine.Event) []engine.Action {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.events = append(eng.events, event)
	return eng.onEvent(event)
}

func (eng *fakeEngine) Idle() bool { return true }

func (eng *fakeEngine) received(match func(engine.Event) bool) bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for _, event := range eng.events {
		if match(event) {
			return true
		}
	}
	return false
}

type noObserver struct{}

func (noObserver) Record(engine.Record) {}
func (noObserver) Answered(Answered)    {}

// upstreamFunc and peerFunc are fakes of the upstream and of the other nodes.
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
		OnResume: func(time.Duration) {}, PeerLeaving: func(member.HostID, uint64) {}, SelfLeaving: func() {},
	})
	t.Cleanup(d.Close)
	return d
}

func (d *Driver) entryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Guards against a request that reaches the upstream although the engine
// cancelled its run in the actions that started it or directly afterwards.
func TestCancelDirectlyAfterRun(t *testing.T) {
	eng := &fakeEngine{onEvent: func(event engine.Event) []engine.Action {
		if arrived, ok := event.(engine.PeerCallArrived); ok {
			return []engine.Action{
				engine.RunUpstream{ID: arrived.ID, Timeout: time.Minute},
				engine.CancelRun{ID: arrived.ID},
				engine.AnswerPeer{ID: arrived.ID, Reply: engine.Reply{Refusal: verdict.Refuse(verdict.Cancelled, "")}},
			}
		}
		return nil
	}}
	d := newDriver(t, eng, func(context.Context, Run) engine.Event {
		t.Error("a cancelled request ran")
		return engine.UpstreamFailed{}
	}, nil)
	require.NotNil(t, d.PeerCall(context.Background(), "peer", engine.PeerCall{Remaining: time.Second}, Payload{}))
	require.True(t, eng.received(func(event engine.Event) bool {
		failed, ok := event.(engine.UpstreamFailed)
		return ok && failed.Verdict == verdict.NotRun
	}))
	require.Zero(t, d.entryCount())
}

// Guards against a run or an attempt that starts after its deadline, as a pause of
// the process could cause (design section 2.11).
func TestDeadlineBeforeRunAndSend(t *testing.T) {
	eng := &fakeEngine{onEvent: func(event engine.Event) []engine.Action {
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
	d := newDriver(t, eng,
		func(context.Context, Run) engine.Event { t.Error("ran"); return engine.UpstreamFailed{} },
		func(context.Context, engine.PeerCall) (*engine.Reply, *engine.PeerFailed) {
			t.Error("sent")
			return nil, &engine.PeerFailed{}
		})
	reply := d.PeerCall(context.Background(), "peer", engine.PeerCall{Remaining: time.Second}, Payload{})
	require.Equal(t, verdict.DeadlineUnmet, reply.Refusal.Reason)
	require.NotNil(t, d.Call(context.Background(), engine.CallArrived{}, Payload{}))
	require.Zero(t, d.entryCount())
}

// Guards against calls that continue after their client has disconnected: the
// attempt is cancelled and the entry with the body is released.
func TestDisconnectCancelsAttempt(t *testing.T) {
	var id call.ID
	eng := &fakeEngine{onEvent: func(event engine.Event) []engine.Action {
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
	d := newDriver(t, eng, nil, func(ctx context.Context, _ engine.PeerCall) (*engine.Reply, *engine.PeerFailed) {
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
	require.Eventually(t, func() bool { return d.entryCount() == 0 }, waitLimit, time.Millisecond)
	cancelled := 0
	for _, event := range eng.events {
		if ev, ok := event.(engine.Cancelled); ok && ev.ID == id {
			cancelled++
		}
	}
	require.Equal(t, 1, cancelled)
}

// Guards against an event that the engine processes before the pause that preceded
// it (design section 2.11).
func TestPauseReportedBeforeEvent(t *testing.T) {
	eng := &fakeEngine{onEvent: func(engine.Event) []engine.Action { return nil }}
	now := time.Now()
	pausedFor := time.Duration(0)
	d := New(Config{Engine: eng, Observer: noObserver{}, Now: func() time.Time { return now }, OnResume: func(gap time.Duration) { pausedFor = gap }})
	t.Cleanup(d.Close)
	d.Tick()
	now = now.Add(50 * time.Millisecond)
	d.Tick()
	require.Zero(t, pausedFor)
	now = now.Add(3 * time.Second)
	d.Step(engine.PeerReplied{ID: 1})
	require.Equal(t, 3*time.Second, pausedFor)
	require.Len(t, eng.events, 4)
	require.IsType(t, engine.ProcessResumed{}, eng.events[2])
	require.IsType(t, engine.PeerReplied{}, eng.events[3])
}
