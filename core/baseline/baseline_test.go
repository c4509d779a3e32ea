package baseline_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/admit"
	"toucangw.example/core/baseline"
	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/core/verdict"
)

// Guards against a FIFO baseline that deviates from first-in first-out order,
// from its queue bound or from its deadline check, so that comparisons would be
// wrong.
func TestFIFOOrderBoundAndDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	f := baseline.FIFO(baseline.Options{MaxQueue: 3, CheckDeadline: true})(&policy.Service{Slots: 1}, nil)
	offer := func(id call.ID, after time.Duration) []admit.Decision {
		return f.Offer(now, &call.Request{ID: id, Deadline: now.Add(after)})
	}
	assert.Equal(t, []admit.Decision{{ID: 1, Run: true}}, offer(1, time.Second))
	assert.Empty(t, offer(2, time.Second))
	assert.Empty(t, offer(3, time.Millisecond))
	assert.Empty(t, offer(4, time.Second))
	assert.Equal(t, []admit.Decision{{ID: 5, Reason: verdict.QueueFull}}, offer(5, time.Second))
	f.Cancel(now, 2)
	now = now.Add(2 * time.Millisecond)
	assert.Equal(t, []admit.Decision{
		{ID: 3, Reason: verdict.DeadlineUnmet},
		{ID: 4, Run: true},
	}, f.Done(now, 1, admit.Outcome{}))
	offer(6, time.Second)
	assert.Len(t, f.RejectQueued(now, verdict.Paused), 1)
	assert.Zero(t, f.Load(now).Queued)
}
