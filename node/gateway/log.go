package gateway

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"toucangw.example/core/verdict"
)

const (
	// logBudget bounds the decision lines a second; failures may use all of
	// it, successes a tenth.
	logBudget     = 200
	successBudget = logBudget / 10
	// sampleEvery is the share of successes that are logged.
	sampleEvery = 64
)

// decisionLog writes a line for each decision on a request, within a budget
// per second. It never blocks on the output.
type decisionLog struct {
	logger *slog.Logger

	mu      sync.Mutex
	second  int64
	lines   int
	dropped int
	count   int
}

func newDecisionLog(logger *slog.Logger) *decisionLog { return &decisionLog{logger: logger} }

// allow takes a line out of the budget.
func (l *decisionLog) allow(budget int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		if l.dropped > 0 {
			l.logger.Warn("decisions not logged", "lines", l.dropped, "second", l.second)
		}
		l.second, l.lines, l.dropped = now, 0, 0
	}
	if l.lines >= budget {
		l.dropped++
		return false
	}
	l.lines++
	return true
}

func (l *decisionLog) sampled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count%sampleEvery == 0
}

// served logs an answer of an upstream: failures always, others by sample.
func (l *decisionLog) served(q *request, r *reply, err error) {
	failed := r.answer.Status >= 500 || err != nil || q.attempts > 1
	if !failed && !l.sampled() {
		return
	}
	budget := successBudget
	if failed {
		budget = logBudget
	}
	if !l.allow(budget) {
		return
	}
	attrs := append(q.attrs(), "status", r.answer.Status,
		"service_us", r.meta.ServiceUS, "waited_us", r.meta.WaitedUS,
		"upstream_running", r.meta.Running, "upstream_queued", r.meta.Queued)
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	l.logger.Info("answered", attrs...)
}

// refused logs an answer in place of an upstream.
func (l *decisionLog) refused(q *request, status int, r *verdict.Refusal, err error) {
	if !l.allow(logBudget) {
		return
	}
	attrs := append(q.attrs(), "status", status, "verdict", r.Verdict.String(), "reason", string(r.Reason),
		"detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds())
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	l.logger.Info("refused", attrs...)
}

// attrs returns the inputs of the decisions on a request.
func (q *request) attrs() []any {
	attrs := []any{"request", q.id, "took_us", time.Since(q.x.Arrived).Microseconds()}
	if q.route == nil {
		return append(attrs, "host", q.x.Request.Host, "path", q.x.Request.RequestURI)
	}
	attrs = append(attrs, "version", q.version, "route", q.route.Name, "service", q.service, "priority", q.priority,
		"attempts", q.attempts, "placed", q.placed, "upstream", q.inputs.upstream,
		"score", math.Round(1000*q.inputs.score)/1000, "among", q.inputs.among,
		"left_ms", time.Until(q.deadline).Milliseconds())
	if q.parent != nil {
		attrs = append(attrs, "parent", q.parent.ID, "parent_certain", q.certain, "root", q.root)
	}
	if q.started < 1 {
		attrs = append(attrs, "share", math.Round(1000*q.started)/1000)
	}
	return attrs
}
