package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/concurrency"
	"toucangw.example/core/directory"
	"toucangw.example/core/verdict"
)

// replyAfterQueue returns the reply to a request that waits for a slot of the local
// upstream while something happens.
func replyAfterQueue(t *testing.T, g *Gateway, f *forward, happens func()) *reply {
	var running []*concurrency.Request
	for g.load().Running < g.load().Limit {
		req := &concurrency.Request{Deadline: time.Now().Add(time.Second)}
		require.Nil(t, g.acquire(context.Background(), req))
		running = append(running, req)
	}
	replies := make(chan *reply)
	go func() { replies <- g.admitAndRun(context.Background(), f) }()
	require.Eventually(t, func() bool { return g.load().Queued == 1 }, time.Second, time.Millisecond)
	happens()
	g.release(running[0], 0)
	return <-replies
}

// Guards against a request that is sent to its upstream although equal ones were quarantined while it waited for a slot.
func TestQueuedRequestIsHeldBackAtItsTurn(t *testing.T) {
	g := testGateway()
	r := replyAfterQueue(t, g, localForward(), func() { crashThrice(g, localForward()) })
	assert.Equal(t, verdict.Quarantined, r.meta.Reason)
	assert.Equal(t, verdict.NotRun, r.meta.verdict())
}

// Guards against a request that is sent to its upstream although that began to leave while it waited for a slot.
func TestQueuedRequestIsNotSentToALeavingUpstream(t *testing.T) {
	g := testGateway()
	g.SetLocalUpstream(directory.LocalUpstream{ID: "own", StartedAt: time.UnixMilli(1), Slots: 8})
	r := replyAfterQueue(t, g, localForward(), func() {
		g.SetLocalUpstream(directory.LocalUpstream{ID: "own", StartedAt: time.UnixMilli(1), Slots: 8, Draining: true})
	})
	assert.Equal(t, verdict.Leaving, r.meta.Reason)
	assert.Equal(t, verdict.NotRun, r.meta.verdict())
}
