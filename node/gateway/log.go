package gateway

import (
	"log/slog"
	"math"
	"sync"
	"time"

	"toucangw.example/core/verdict"
)

const (
	// logBudget bounds the bytes of the decision lines per second. Failures may
	// use all of it, successes only a tenth.
	logBudget     = 128 << 10
	successBudget = logBudget / 10
	// sampleEvery is the sampling interval: one in so many successes is logged.
	sampleEvery = 64
	// lineOverhead and attrOverhead estimate the bytes of a line in addition to
	// the keys and string values of its attributes.
	lineOverhead = 130
	attrOverhead = 16
)

// decisionLog writes a line for each decision on a request, within a byte budget
// per second. It never blocks on the output.
type decisionLog struct {
	logger *slog.Logger
	// omitted is called for each line that is omitted because of the budget.
	omitted func()
	now     func() time.Time

	mu           sync.Mutex
	second       int64
	bytes        int
	omittedLines int // lines omitted in the current second
	count        int // successes, for sampling
}

func newDecisionLog(logger *slog.Logger, omitted func()) *decisionLog {
	return &decisionLog{logger: logger, omitted: omitted, now: time.Now}
}

// write logs a line if it fits into the budget.
func (l *decisionLog) write(budget int, msg string, attrs []any) {
	if l.allow(l.now(), budget, lineSize(msg, attrs)) {
		l.logger.Info(msg, attrs...)
		return
	}
	l.omitted()
}

// allow reports whether a line fits into the budget, and charges it if so.
func (l *decisionLog) allow(now time.Time, budget, size int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		if l.omittedLines > 0 {
			l.logger.Warn("decisions not logged", "lines", l.omittedLines, "second", l.second)
		}
		l.second, l.bytes, l.omittedLines = second, 0, 0
	}
	if l.bytes+size > budget {
		l.omittedLines++
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

// sampled reports whether the next success is logged.
func (l *decisionLog) sampled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count%sampleEvery == 0
}

// served logs an answer of an upstream. Failures are always logged, successes
// are sampled.
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

// rejected logs a refusal of this node.
func (l *decisionLog) rejected(q *request, status int, r *verdict.Refusal, err error) {
	attrs := append(q.attrs(), "status", status, "verdict", r.Verdict.String(), "reason", string(r.Reason),
		"detail", r.Detail, "retry_after_ms", r.RetryAfter.Milliseconds())
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	l.write(logBudget, "refused", attrs)
}

// suspect logs a request that was running at the local upstream when its process ended.
// Crashes is the number of crashes since an equal request was answered; innocent says why
// the request is not suspected.
func (l *decisionLog) suspect(s *suspect, end *processEnd, crashes int, innocent string) {
	l.write(logBudget, "running at the end of an upstream", []any{
		"request", s.subject.RequestID, "fingerprint", s.fingerprint.Short(), "route", s.subject.Route, "caller", s.subject.Caller,
		"upstream", end.instance.ID, "started_at_ms", end.instance.StartedAt, "ran_us", end.at.Sub(s.startedAt).Microseconds(),
		"crashes", crashes, "innocent", innocent,
	})
}

// outcome logs what the queries of the outcome of an at-most-once request returned
// after its connection was lost. Age is the time since the request was sent.
func (l *decisionLog) outcome(f *forward, r *reply, peer string, queries int, age time.Duration) {
	answered := 0
	if r.answer != nil {
		answered = r.answer.Status
	}
	l.write(logBudget, "outcome queried", []any{
		"request", f.requestID, "key", f.meta.Key, "upstream", f.meta.Upstream, "peer", peer, "queries", queries,
		"age_ms", age.Milliseconds(), "uptime_ms", r.meta.UnseenUptimeMS, "status", answered, "verdict", r.meta.Verdict, "reason", string(r.meta.Reason), "detail", r.meta.Detail,
	})
}

// attrs returns the log attributes with the inputs of the decisions on a
// request.
func (q *request) attrs() []any {
	attrs := []any{"request", q.id, "took_us", time.Since(q.exchange.Arrived).Microseconds()}
	if q.route == nil {
		return append(attrs, "host", q.exchange.Request.Host, "path", q.exchange.Request.RequestURI)
	}
	attrs = append(attrs, "version", q.version, "route", q.route.Name, "service", q.service, "priority", q.priority,
		"attempts", q.attempts, "placed", q.nodesTried, "upstream", q.routing.upstream,
		"score", math.Round(1000*q.routing.score)/1000, "among", q.routing.candidates,
		"left_ms", time.Until(q.deadline).Milliseconds())
	if q.parent != nil {
		attrs = append(attrs, "parent", q.parent.ID, "parent_certain", q.deadlineMatched, "root", q.rootRoute)
	}
	if q.admissionProbability < 1 {
		attrs = append(attrs, "share", math.Round(1000*q.admissionProbability)/1000)
	}
	return attrs
}
