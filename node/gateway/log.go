package gateway

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"toucangw.example/core/verdict"
)

const (
	// logBudget bounds the decision lines in bytes a second; failures may use
	// all of it, successes a tenth.
	logBudget     = 128 << 10
	successBudget = logBudget / 10
	// sampleEvery is the share of successes that are logged.
	sampleEvery = 64
	// lineOverhead and attrOverhead estimate the bytes of a line beside its
	// attributes' keys and texts.
	lineOverhead = 130
	attrOverhead = 16
)

// decisionLog writes a line for each decision on a request, within a budget
// per second. It never blocks on the output.
type decisionLog struct {
	logger *slog.Logger
	// omitted is told of each line that the budget leaves out.
	omitted func()
	now     func() time.Time

	mu      sync.Mutex
	second  int64
	bytes   int
	dropped int
	count   int
}

func newDecisionLog(logger *slog.Logger, omitted func()) *decisionLog {
	return &decisionLog{logger: logger, omitted: omitted, now: time.Now}
}

// write logs a line if the budget has room for it.
func (l *decisionLog) write(budget int, msg string, attrs []any) {
	if l.allow(l.now(), budget, lineSize(msg, attrs)) {
		l.logger.Info(msg, attrs...)
		return
	}
	l.omitted()
}

// allow takes a line out of the budget.
func (l *decisionLog) allow(now time.Time, budget, size int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		if l.dropped > 0 {
			l.logger.Warn("decisions not logged", "lines", l.dropped, "second", l.second)
		}
		l.second, l.bytes, l.dropped = second, 0, 0
	}
	if l.bytes+size > budget {
		l.dropped++
		return false
	}
	l.bytes += size
	return true
}

// lineSize estimates the bytes of a line.
func lineSize(msg string, attrs []any) int {
	size := lineOverhead + len(msg)
	for i, a := range attrs {
		text, ok := a.(string)
		size += len(text)
		if i%2 == 0 || !ok {
			size += attrOverhead / 2
		}
	}
	return size
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
	attrs := append(q.attrs(), "status", r.answer.Status,
		"service_us", r.meta.ServiceUS, "waited_us", r.meta.WaitedUS,
		"upstream_running", r.meta.Running, "upstream_queued", r.meta.Queued)
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	l.write(budget, "answered", attrs)
}

// refused logs an answer in place of an upstream.
func (l *decisionLog) refused(q *request, status int, r *verdict.Refusal, err error) {
	attrs := append(q.attrs(), "status", status, "verdict", r.Verdict.String(), "reason", string(r.Reason),
		"detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds())
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	l.write(logBudget, "refused", attrs)
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
