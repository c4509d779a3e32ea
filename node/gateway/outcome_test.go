package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/verdict"
)

func testGateway() *Gateway {
	return New(Config{
		Host: "h", Zone: "z", Service: "s", Upstream: netip.MustParseAddrPort("127.0.0.1:9"),
		Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Metrics: NewMetrics(),
		Headers: HeaderNames{
			RequestID: "Request-Id", Signature: "Signature", NotExecuted: "Not-Executed", RateLimit: "Rate-Limit", Leaving: "Leaving",
		},
	})
}

// Guards against a restarted node reporting a request as not run that was sent
// to its host before the restart: the earlier process may have run it.
func TestOutcomeIsUnknownAfterRestart(t *testing.T) {
	g := testGateway()
	ctx, deadline := context.Background(), time.Now().Add(time.Second)
	r := g.outcome(ctx, "sent before the start", time.Second, deadline)
	assert.Equal(t, verdict.MayHaveRun, r.meta.verdict())
	g.startedAt = g.startedAt.Add(-time.Minute)
	r = g.outcome(ctx, "sent after the start", time.Second, deadline)
	assert.Equal(t, verdict.NotRun, r.meta.verdict())
	assert.False(t, g.ledger.Begin(time.Now(), "sent after the start"), "the query fences the key")
}

// Guards against a query that does not wait for the answer of a running request.
func TestOutcomeWaitsForARunningRequest(t *testing.T) {
	g := testGateway()
	g.ledger.Begin(time.Now(), "k")
	g.ledger.MarkRunning(time.Now(), "k")
	r := g.outcome(context.Background(), "k", 0, time.Now().Add(20*time.Millisecond))
	assert.Equal(t, verdict.MayHaveRun, r.meta.verdict())
	time.AfterFunc(20*time.Millisecond, func() {
		g.ledger.Finish(time.Now(), "k", failed(verdict.Run, verdict.IncompleteAnswer, ""))
	})
	r = g.outcome(context.Background(), "k", 0, time.Now().Add(time.Second))
	assert.Equal(t, verdict.Run, r.meta.verdict())
}
