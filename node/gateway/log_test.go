package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an unbounded log volume when there are many decisions: the log
// stays within its budget, refusals take precedence over successes, and the
// number of omitted lines is logged.
func TestDecisionLogStaysWithinBudget(t *testing.T) {
	var out bytes.Buffer
	omitted := 0
	l := newDecisionLog(slog.New(slog.NewJSONHandler(&out, nil)).With("node", "sidecar-1"), func() { omitted++ })
	attrs := func(i int) []any {
		return []any{"request", fmt.Sprintf("%016x.%016x", i, i), "took_us", 123456, "route", "r-abcdef", "score", 0.125}
	}
	now := time.Now()
	l.now = func() time.Time { return now }
	written := 0
	for i := range 5000 {
		l.write(successBudget, "answered", attrs(i))
		l.write(logBudget, "refused", attrs(i))
		written += 2
	}
	assert.LessOrEqual(t, out.Len(), logBudget)
	assert.Greater(t, out.Len(), logBudget/2, "the estimated line size is close to the real one")
	answered, refused := bytes.Count(out.Bytes(), []byte(`"answered"`)), bytes.Count(out.Bytes(), []byte(`"refused"`))
	assert.Equal(t, written, answered+refused+omitted)
	assert.Greater(t, refused, 5*answered)
	assert.Positive(t, answered)
	out.Reset()
	assert.True(t, l.allow(now.Add(time.Second), logBudget, 1))
	assert.Contains(t, out.String(), fmt.Sprintf(`"lines":%d`, omitted))
}
