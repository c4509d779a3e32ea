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

// recentRefusals is how many refusals are kept for operators.
const recentRefusals = 256

// Refusal is a recent refusal as operators see it.
type Refusal struct {
	Time         time.Time `json:"time"`
	RequestID    string    `json:"request_id"`
	Service      string    `json:"service"`
	Caller       string    `json:"caller"`
	Verdict      string    `json:"verdict"`
	Reason       string    `json:"reason"`
	Detail       string    `json:"detail,omitempty"`
	RetryAfterMs int64     `json:"retry_after_ms"`
}

// Observer turns decisions into log lines, metrics and the list of recent
// refusals. It is safe for concurrent use.
type Observer struct {
	Metrics *Metrics
	log     *slog.Logger

	mu     sync.Mutex
	recent []Refusal // ring
	next   int
}

// NewObserver returns an observer that logs decisions to log.
func NewObserver(log *slog.Logger, m *Metrics) *Observer {
	return &Observer{Metrics: m, log: log}
}

// Record implements driver.Observer.
func (o *Observer) Record(r engine.Record) {
	o.Metrics.Decided(r.Kind)
	attrs := make([]slog.Attr, 0, 12)
	attrs = append(attrs,
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
		attrs = append(attrs, slog.String("host", string(r.Host)))
	}
	if r.Attempt > 0 {
		attrs = append(attrs, slog.Int("attempt", r.Attempt), slog.Int("credit", r.Credit))
	}
	if r.Refused != "" {
		attrs = append(attrs, slog.String("refused", string(r.Refused)), slog.String("verdict", r.Verdict.String()))
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, string(r.Kind), attrs...)
}

// Answered implements driver.Observer.
func (o *Observer) Answered(a driver.Answered) {
	o.Metrics.Answered(a.Importance, a.Refusal, a.Latency)
	if a.Refusal != nil {
		o.Refused(a.RequestID, a.Service, a.Caller, a.Refusal)
	}
}

// Refused keeps a refusal for operators.
func (o *Observer) Refused(requestID, service, caller string, r *verdict.Refusal) {
	entry := Refusal{
		Time:         time.Now(),
		RequestID:    requestID,
		Service:      service,
		Caller:       caller,
		Verdict:      r.Verdict.String(),
		Reason:       string(r.Reason),
		Detail:       r.Detail,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.recent) < recentRefusals {
		o.recent = append(o.recent, entry)
		return
	}
	o.recent[o.next] = entry
	o.next = (o.next + 1) % recentRefusals
}

// Recent returns the recent refusals, newest first, of one request if
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
