package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Guards against losing the last lines of a process: Close writes all of them,
// in order.
func TestCloseFlushes(t *testing.T) {
	var out buffer
	logs, err := NewLogs(&out, "text", "info")
	require.NoError(t, err)
	observer := NewObserver(logs.Decisions, NewMetrics())
	for i := range 1000 {
		observer.Record(engine.Record{Kind: engine.DecisionRoute, RequestID: fmt.Sprint("r", i)})
	}
	observer.Close()
	logs.Logger.Info("stopped")
	logs.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 1001)
	require.Contains(t, lines[999], "request_id=r999 ")
	require.Contains(t, lines[1000], "stopped")
	require.Zero(t, logs.Dropped())
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against calls that wait for a log destination that blocks: lines are
// dropped and counted instead.
func TestSlowDestination(t *testing.T) {
	b := blockedWriter{release: make(chan struct{})}
	w := NewWriter(b)
	line := bytes.Repeat([]byte("x"), 64<<10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * bufferLimit / len(line) {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the destination")
	}
	require.Positive(t, w.Dropped())
	close(b.release)
	w.Close()
}

// Guards against a log level that does not change while the process runs.
func TestLevel(t *testing.T) {
	var out buffer
	logs, err := NewLogs(&out, "json", "warn")
	require.NoError(t, err)
	logs.Logger.Info("early")
	require.Error(t, logs.SetLevel("loud"))
	require.NoError(t, logs.SetLevel("info"))
	logs.Logger.Info("late")
	logs.Close()
	require.NotContains(t, out.String(), "early")
	require.Contains(t, out.String(), `"msg":"late"`)
	_, err = NewLogs(io.Discard, "xml", "info")
	require.Error(t, err)
}

// Guards against a list of recent refusals that grows without bound or is in the
// wrong order: the newest come first, and the refusals of one request can be
// selected.
func TestRecentRefusals(t *testing.T) {
	logs, err := NewLogs(io.Discard, "text", "info")
	require.NoError(t, err)
	defer logs.Close()
	o := NewObserver(logs.Decisions, NewMetrics())
	defer o.Close()
	for i := range 2*recentRefusals + 3 {
		o.Answered(driver.Answered{RequestID: fmt.Sprint("r", i), Refusal: verdict.Refuse(verdict.QueueFull, "")})
	}
	recent := o.Recent("")
	require.Len(t, recent, recentRefusals)
	for i, r := range recent {
		require.Equal(t, fmt.Sprint("r", 2*recentRefusals+2-i), r.RequestID)
	}
	require.Len(t, o.Recent(recent[7].RequestID), 1)
	require.Empty(t, o.Recent("r0"))
}

// Guards against an unbounded number of time series: unknown reasons from faulty
// peers do not add any.
func TestBoundedLabels(t *testing.T) {
	m := NewMetrics()
	for i := range 100 {
		m.Answered(0, &verdict.Refusal{Reason: verdict.Reason(fmt.Sprint("made-up-", i))}, time.Millisecond)
	}
	families, err := m.registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "toucangw_requests_total" {
			require.Len(t, family.GetMetric(), 1)
		}
	}
}
