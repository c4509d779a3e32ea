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
	maxAnswer = 4 << 20
	// grace is how long a caller waits beyond its deadline for the reply.
	grace = 500 * time.Millisecond
	// maxRetryWait bounds how long a caller follows the advice to wait.
	maxRetryWait = 200 * time.Millisecond
)

// job is one request of a caller, sent once or several times.
type job struct {
	kind   Kind
	node   string
	caller string
	id     string
	path   string
}

func (l *Load) job(n int) job {
	kind := l.pick()
	id := fmt.Sprintf("%s-%d", l.cfg.Prefix, n)
	return job{
		kind:   kind,
		node:   l.cfg.Nodes[l.random.IntN(len(l.cfg.Nodes))],
		caller: l.cfg.Callers[l.random.IntN(len(l.cfg.Callers))],
		id:     id,
		path:   kind.Prefix + "/" + id,
	}
}

// outcome is how one attempt ended.
type outcome struct {
	status  int
	verdict string
	reason  string
	key     string // fresh key for a once-only request
	wait    time.Duration
	err     error // no complete reply
	cut     bool
	// unreachable is set when no connection could be made, so that certainly
	// nothing was sent.
	unreachable bool
	mixed       bool
	sample      string
}

func (o outcome) answered() bool {
	return o.err == nil && o.status == http.StatusOK && !o.mixed && !o.cut
}

// moved reports that the node cannot be reached or is leaving, so that the
// caller turns to another one.
func (o outcome) moved() bool { return o.unreachable || o.reason == "leaving" }

// do sends one request until it is answered, or retries and time are used up.
func (l *Load) do(ctx context.Context, j job) {
	started := time.Now()
	deadline := started.Add(j.kind.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(grace))
	defer cancel()
	key, attempts, allNotRun := "", 0, true
	var o outcome
	for try := 0; try <= l.cfg.Retries; {
		attempts++
		o = l.send(ctx, j, key, attempts, deadline)
		allNotRun = allNotRun && o.verdict == "not-run"
		if o.status == http.StatusPreconditionRequired && key == "" && o.key != "" {
			key = o.key // the first request only fetched a key
			continue
		}
		if o.answered() || !l.again(ctx, &key, o, deadline) {
			break
		}
		if o.moved() {
			j.node = l.cfg.Nodes[rand.IntN(len(l.cfg.Nodes))]
		}
		try++
	}
	l.record(j, o, attempts, allNotRun, time.Since(started))
}

// again decides on a repeat and waits before it. A once-only request is
// repeated with the same key unless it was reported as not run: then with the
// fresh key of the refusal, or without one to get a key of another host.
func (l *Load) again(ctx context.Context, key *string, o outcome, deadline time.Time) bool {
	if o.verdict == "not-run" {
		*key = o.key
	}
	wait := o.wait
	if wait == 0 || wait > maxRetryWait {
		wait = time.Duration(10+rand.IntN(20)) * time.Millisecond
	}
	return sleepUntil(ctx, time.Now().Add(wait)) && time.Now().Before(deadline)
}

func (l *Load) send(ctx context.Context, j job, key string, attempt int, deadline time.Time) outcome {
	url := j.node + "/" + j.kind.Service + j.path
	req, err := http.NewRequestWithContext(ctx, j.kind.Method, url, http.NoBody)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set("Toucangw-Caller", j.caller)
	req.Header.Set("X-Request-Id", j.id)
	req.Header.Set("Toucangw-Attempt", strconv.Itoa(attempt))
	req.Header.Set("Toucangw-Timeout-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
		// A non-empty body that cannot be rewound keeps net/http from sending
		// the request again by itself.
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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
		o.cut = true
		return o
	}
	if o.status == http.StatusOK {
		o.check(j, resp, body)
	} else {
		o.sample = fmt.Sprintf("%s %s: %d %.300s", j.kind.Name, j.id, o.status, body)
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

// check makes sure that an answer belongs to the request.
func (o *outcome) check(j job, resp *http.Response, body []byte) {
	var a upstream.Response
	if err := json.Unmarshal(body, &a); err != nil {
		o.cut = true
		o.sample = fmt.Sprintf("%s: %v", j.id, err)
		return
	}
	own := a.RequestID == j.id && a.Path == j.path && a.Method == j.kind.Method &&
		a.Service == j.kind.Service && resp.Header.Get("X-Request-Id") == j.id
	if !own {
		o.mixed = true
		o.sample = fmt.Sprintf("%s got the answer of %s %s", j.id, a.RequestID, a.Path)
	}
}

func (l *Load) record(j job, o outcome, attempts int, allNotRun bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.result.Kinds[j.kind.Name]
	k.Sent++
	k.Attempts += attempts
	switch {
	case o.mixed:
		k.Mismatched++
	case o.cut:
		k.Truncated++
	case o.unreachable:
		k.NotRun++
	case o.err != nil && errors.Is(o.err, context.DeadlineExceeded):
		k.Late++
	case o.err != nil:
		k.Broken++
		o.sample = fmt.Sprintf("%s: %v", j.id, o.err)
	case o.answered():
		l.recordAnswer(k, j, took)
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
		l.result.NotRunIDs = append(l.result.NotRunIDs, j.id)
	}
}

func (l *Load) recordAnswer(k *KindResult, j job, took time.Duration) {
	if took > j.kind.Deadline {
		k.Late++
		return
	}
	k.Answered++
	_ = k.latency.RecordValue(int64(took / time.Microsecond))
	if j.kind.OnceOnly {
		l.result.Actions = append(l.result.Actions, j.kind.Method+" "+j.path)
	}
}
