package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

// recentRefusals is the number of refusals kept for the operators' API.
const recentRefusals = 256

// Refusal is an entry of the operators' list of recent refusals.
type Refusal struct {
	Time         time.Time `json:"time"`
	RequestID    string    `json:"request_id"`
	Service      string    `json:"service"`
	Kind         string    `json:"kind,omitempty"`
	Host         string    `json:"host,omitempty"` // host of the last attempt; empty if none was made
	Caller       string    `json:"caller"`
	Verdict      string    `json:"verdict"`
	Reason       string    `json:"reason"`
	Detail       string    `json:"detail,omitempty"`
	RetryAfterMs int64     `json:"retry_after_ms"`
}

const (
	// maxPending is the number of decision records that may wait to be
	// formatted; further ones are dropped and counted.
	maxPending = 1 << 16
	// formatInterval is the time over which records are collected and then
	// formatted together.
	formatInterval = 20 * time.Millisecond
)

// Observer turns decisions into log lines, metrics and the list of recent
// refusals. Lines are formatted on a separate goroutine, so that logging does
// not delay calls. It is safe for concurrent use.
type Observer struct {
	Metrics *Metrics
	log     slog.Handler

	mu      sync.Mutex
	recent  []Refusal // ring buffer once it has recentRefusals entries
	next    int       // index of the oldest entry of a full ring
	pending []timedRecord
	dropped int64
	wake    chan struct{} // holds a value while records may be pending
	stop    chan struct{}
	done    chan struct{}
}

// timedRecord is a decision record with the time of the decision.
type timedRecord struct {
	at     time.Time
	record engine.Record
}

// NewObserver returns an observer that logs decisions to log. It must be closed.
func NewObserver(log *slog.Logger, m *Metrics) *Observer {
	o := &Observer{Metrics: m, log: log.Handler(), wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go o.format()
	return o
}

// Close writes the pending records and stops the observer. It may be called only
// once.
func (o *Observer) Close() {
	close(o.stop)
	<-o.done
}

// Record implements driver.Observer.
func (o *Observer) Record(r engine.Record) {
	o.Metrics.Decided(r.Kind)
	if !o.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPending {
		o.dropped++
		return
	}
	o.pending = append(o.pending, timedRecord{at: now, record: r})
	signal(o.wake)
}

// Dropped returns the number of records lost because formatting was too slow.
func (o *Observer) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// format writes pending records in batches until the observer is closed.
func (o *Observer) format() {
	defer close(o.done)
	var spare []timedRecord
	for {
		stopped := awaitBatch(o.stop, o.wake, nil, formatInterval)
		o.mu.Lock()
		batch := o.pending
		o.pending = spare[:0]
		o.mu.Unlock()
		for i := range batch {
			o.write(&batch[i])
		}
		spare = batch
		if stopped {
			return
		}
	}
}

func (o *Observer) write(t *timedRecord) {
	r := &t.record
	line := slog.NewRecord(t.at, slog.LevelInfo, string(r.Kind), 0)
	line.AddAttrs(
		slog.Uint64("call", uint64(r.ID)),
		slog.String("request_id", r.RequestID),
		slog.String("caller", r.Caller),
		slog.String("kind", r.CallKind),
		slog.String("service", r.Service),
		slog.String("importance", r.Rank.Importance().String()),
		slog.Uint64("rank", uint64(r.Rank)),
		slog.String("rule", r.Reason),
	)
	if r.Host != "" {
		line.AddAttrs(slog.String("host", string(r.Host)))
	}
	if r.Attempt > 0 {
		line.AddAttrs(slog.Int("attempt", r.Attempt), slog.Int("credit", r.Credit))
	}
	if r.Refused != "" {
		line.AddAttrs(slog.String("refused", string(r.Refused)), slog.String("verdict", r.Verdict.String()))
	}
	_ = o.log.Handle(context.Background(), line)
}

// Answered implements driver.Observer.
func (o *Observer) Answered(a driver.Answered) {
	o.Metrics.Answered(a.Importance, a.Refusal, a.Latency)
	if a.Refusal == nil {
		return
	}
	entry := newRefusal(a.RequestID, a.Service, a.Caller, a.Refusal)
	entry.Kind = a.Kind
	entry.Host = string(a.Host)
	o.addRecent(entry)
}

// Refused implements httpapi.Refusals.
func (o *Observer) Refused(requestID, service, caller string, r *verdict.Refusal) {
	o.Metrics.Rejected(r)
	o.addRecent(newRefusal(requestID, service, caller, r))
}

func newRefusal(requestID, service, caller string, r *verdict.Refusal) Refusal {
	return Refusal{
		Time:         time.Now(),
		RequestID:    requestID,
		Service:      service,
		Caller:       caller,
		Verdict:      r.Verdict.String(),
		Reason:       string(r.Reason),
		Detail:       r.Detail,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

// addRecent adds a refusal to the recent ones.
func (o *Observer) addRecent(entry Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) < recentRefusals {
		o.recent = append(o.recent, entry)
		return
	}
	o.recent[o.next] = entry
	o.next = (o.next + 1) % recentRefusals
}

// Recent returns the recent refusals, newest first; only those of one request if
// requestID is set.
func (o *Observer) Recent(requestID string) []Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Refusal, 0, len(o.recent))
	for i := range o.recent {
		entry := o.recent[(o.next+len(o.recent)-1-i)%len(o.recent)]
		if requestID == "" || entry.RequestID == requestID {
			out = append(out, entry)
		}
	}
	return out
}
