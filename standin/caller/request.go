package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucangw.example/standin/upstream"
)

const (
	maxResponse = 4 << 20
	// responseGrace is how long the client waits for the response after the
	// deadline.
	responseGrace = 500 * time.Millisecond
	// maxRetryWait is the longest advised retry delay that the client follows.
	maxRetryWait = 200 * time.Millisecond
)

// request is one request of a caller. It is sent in one or more attempts.
type request struct {
	kind   Kind
	node   string
	caller string
	id     string
	path   string
}

func (l *Load) newRequest(n int) request {
	kind := l.pick()
	id := fmt.Sprintf("%s-%d", l.cfg.Prefix, n)
	return request{
		kind:   kind,
		node:   l.cfg.Nodes[l.random.IntN(len(l.cfg.Nodes))],
		caller: l.cfg.Callers[l.random.IntN(len(l.cfg.Callers))],
		id:     id,
		path:   kind.Prefix + "/" + id,
	}
}

// outcome is the outcome of one attempt.
type outcome struct {
	status    int
	verdict   string
	reason    string
	key       string // new idempotency key for an at-most-once request
	wait      time.Duration
	err       error // no complete response
	truncated bool
	// unreachable is set when no connection could be established, so that
	// nothing was sent.
	unreachable bool
	mismatched  bool
	sample      string
}

func (o outcome) answered() bool {
	return o.err == nil && o.status == http.StatusOK && !o.mismatched && !o.truncated
}

// needsOtherNode reports that the node is unreachable or leaving, so that the retry
// goes to another node.
func (o outcome) needsOtherNode() bool { return o.unreachable || o.reason == "leaving" }

// do sends one request until it is answered, or no retries or time are left.
func (l *Load) do(ctx context.Context, q request) {
	started := time.Now()
	deadline := started.Add(q.kind.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	key, attempts, allNotRun := "", 0, true
	var o outcome
	for retries := 0; retries <= l.cfg.Retries; {
		attempts++
		o = l.send(ctx, q, key, attempts, deadline)
		allNotRun = allNotRun && o.verdict == "not-run"
		if o.status == http.StatusPreconditionRequired && key == "" && o.key != "" {
			key = o.key // the first attempt only obtained a key; it is no retry
			continue
		}
		if o.answered() || !l.waitForRetry(ctx, &key, o, deadline) {
			break
		}
		if o.needsOtherNode() {
			q.node = l.cfg.Nodes[rand.IntN(len(l.cfg.Nodes))]
		}
		retries++
	}
	l.record(q, o, attempts, allNotRun, time.Since(started))
}

// waitForRetry waits before a retry and reports whether it can be sent. An
// at-most-once request is retried with the same key, unless the verdict was not-run:
// then with the new key of the refusal, or without a key to get one of another
// host.
func (l *Load) waitForRetry(ctx context.Context, key *string, o outcome, deadline time.Time) bool {
	if o.verdict == "not-run" {
		*key = o.key
	}
	wait := o.wait
	if wait == 0 || wait > maxRetryWait {
		wait = time.Duration(10+rand.IntN(20)) * time.Millisecond
	}
	return sleepUntil(ctx, time.Now().Add(wait)) && time.Now().Before(deadline)
}

func (l *Load) send(ctx context.Context, q request, key string, attempt int, deadline time.Time) outcome {
	url := q.node + "/" + q.kind.Service + q.path
	req, err := http.NewRequestWithContext(ctx, q.kind.Method, url, http.NoBody)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set("Toucangw-Caller", q.caller)
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("Toucangw-Attempt", strconv.Itoa(attempt))
	req.Header.Set("Toucangw-Timeout-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
		// A non-empty body that cannot be rewound prevents net/http from
		// resending the request automatically.
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	o := outcome{
		status:  resp.StatusCode,
		verdict: resp.Header.Get("Toucangw-Verdict"),
		reason:  resp.Header.Get("Toucangw-Reason"),
		key:     resp.Header.Get("Idempotency-Key"),
	}
	if ms, convErr := strconv.Atoi(resp.Header.Get("Toucangw-Retry-After-Ms")); convErr == nil {
		o.wait = time.Duration(ms) * time.Millisecond
	}
	if err != nil {
		o.err = err
		o.truncated = true
		return o
	}
	if o.status == http.StatusOK {
		o.check(q, resp, body)
	} else {
		o.sample = fmt.Sprintf("%s %s: %d %.300s", q.kind.Name, q.id, o.status, body)
	}
	return o
}

func failed(err error) outcome {
	o := outcome{err: err}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		o.unreachable = true
		o.verdict = "not-run"
	}
	return o
}

// check sets mismatched or truncated if a response does not belong to the request
// or is incomplete.
func (o *outcome) check(q request, resp *http.Response, body []byte) {
	var a upstream.Response
	if err := json.Unmarshal(body, &a); err != nil {
		o.truncated = true
		o.sample = fmt.Sprintf("%s: %v", q.id, err)
		return
	}
	matches := a.RequestID == q.id && a.Path == q.path && a.Method == q.kind.Method &&
		a.Service == q.kind.Service && resp.Header.Get("X-Request-Id") == q.id
	if !matches {
		o.mismatched = true
		o.sample = fmt.Sprintf("%s got the answer of %s %s", q.id, a.RequestID, a.Path)
	}
}

func (l *Load) record(q request, o outcome, attempts int, allNotRun bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.result.Kinds[q.kind.Name]
	k.Sent++
	k.Attempts += attempts
	switch {
	case o.mismatched:
		k.Mismatched++
	case o.truncated:
		k.Truncated++
	case o.unreachable:
		k.NotRun++
	case o.err != nil && errors.Is(o.err, context.DeadlineExceeded):
		k.Late++
	case o.err != nil:
		k.Broken++
		o.sample = fmt.Sprintf("%s: %v", q.id, o.err)
	case o.answered():
		l.recordAnswered(k, q, took)
	case o.verdict == "not-run":
		k.NotRun++
	case o.verdict == "may-have-run":
		k.MayHaveRun++
	default:
		k.Failed++
	}
	if !o.answered() {
		k.ByReason[o.reason]++
		if o.sample != "" && k.samples < maxSamples {
			k.samples++
			l.result.Samples = append(l.result.Samples, strings.TrimSpace(o.sample))
		}
	}
	if allNotRun {
		l.result.NotRunIDs = append(l.result.NotRunIDs, q.id)
	}
}

func (l *Load) recordAnswered(k *KindResult, q request, took time.Duration) {
	if took > q.kind.Deadline {
		k.Late++
		return
	}
	k.Answered++
	_ = k.latency.RecordValue(int64(took / time.Microsecond))
	if q.kind.OnceOnly {
		l.result.Actions = append(l.result.Actions, q.kind.Method+" "+q.path)
	}
}
