package idempotency

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/call"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
)

const (
	testLifetime = 10 * time.Minute
	testService  = "release"
	testCaller   = "antwerp"
)

var testStart = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

func testConfig() Config {
	var nonce uint64
	return Config{
		Host: "rel-1", Incarnation: 7, Start: testStart,
		Secret:   bytes.Repeat([]byte{9}, SecretLen),
		Nonce:    func() uint64 { nonce++; return nonce },
		Lifetime: testLifetime, MaxKeys: 4, MaxAnswerBytes: 100,
	}
}

func newLedger(t *testing.T, cfg Config) Ledger {
	t.Helper()
	l, err := New(cfg)
	require.NoError(t, err)
	return l
}

func issue(t *testing.T, l Ledger, now time.Time) string {
	t.Helper()
	key, refusal := l.Issue(now, testService, testCaller)
	require.Nil(t, refusal)
	return key
}

func request() *call.Request {
	return &call.Request{Service: testService, Caller: testCaller, Digest: 5}
}

func answer(size int) *call.Answer { return &call.Answer{Status: 200, Body: make([]byte, size)} }

// start submits a key and marks it as running.
func start(t *testing.T, l Ledger, now time.Time, key string) {
	t.Helper()
	require.Equal(t, Execute, l.Submit(now, key, request()).Action)
	require.True(t, l.MarkRunning(now, key))
}

func requireRefused(t *testing.T, s Submission, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	require.Equal(t, Refuse, s.Action)
	require.Equal(t, v, s.Refusal.Verdict)
	require.Equal(t, reason, s.Refusal.Reason)
}

// Guards against settings that would make keys forgeable or memory unbounded.
func TestNewRejectsBadConfig(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"no host":      func(c *Config) { c.Host = "" },
		"long host":    func(c *Config) { c.Host = member.HostID(strings.Repeat("h", MaxHostLen+1)) },
		"short secret": func(c *Config) { c.Secret = c.Secret[:31] },
		"no nonce":     func(c *Config) { c.Nonce = nil },
		"no lifetime":  func(c *Config) { c.Lifetime = 0 },
		"no keys":      func(c *Config) { c.MaxKeys = 0 },
		"bytes":        func(c *Config) { c.MaxAnswerBytes = -1 },
	} {
		cfg := testConfig()
		modify(&cfg)
		_, err := New(cfg)
		assert.Error(t, err, name)
	}
}

// Guards against a key that cannot be sent unchanged in a header or URL, or
// that is too long for a proxy.
func TestKeyTextIsShortAndSafe(t *testing.T) {
	cfg := testConfig()
	cfg.Host = member.HostID(strings.Repeat("h", MaxHostLen))
	key := issue(t, newLedger(t, cfg), testStart)
	assert.Less(t, len(key), 200)
	assert.Regexp(t, "^[A-Za-z0-9_-]+$", key)

	owner, ok := ParseOwner(key)
	assert.True(t, ok)
	assert.Equal(t, Owner{Host: cfg.Host, Incarnation: 7}, owner)
	for _, text := range []string{"", "x", "abc=", key + "A", strings.Repeat("A", 5000)} {
		_, ok := ParseOwner(text)
		assert.False(t, ok, "%.20q", text)
	}
}

// Guards against forged keys and against an alternative encoding of a key,
// which would run the same request again.
func TestChangedKeyIsNeverStarted(t *testing.T) {
	l := newLedger(t, testConfig())
	key := issue(t, l, testStart)
	start(t, l, testStart, key)
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	for i := range key {
		for _, c := range alphabet {
			if changed := key[:i] + string(c) + key[i+1:]; changed != key {
				requireRefused(t, l.Submit(testStart, changed, request()), verdict.MayHaveRun, verdict.KeyUnknown)
			}
		}
	}
	for _, changed := range []string{key + "=", key[:9] + "\n" + key[9:], key + "\r\n", " " + key} {
		requireRefused(t, l.Submit(testStart, changed, request()), verdict.MayHaveRun, verdict.KeyUnknown)
		state, _ := l.Query(testStart, changed, testCaller)
		assert.Equal(t, Indeterminate, state)
		assert.Equal(t, Indeterminate, l.Fence(testStart, changed))
	}
}

// Guards against a second run and against a wrong state on the usual path.
func TestKeyRunsOnce(t *testing.T) {
	l := newLedger(t, testConfig())
	key := issue(t, l, testStart)
	state, _ := l.Query(testStart, key, testCaller)
	assert.Equal(t, Unseen, state)

	assert.Equal(t, Execute, l.Submit(testStart, key, request()).Action)
	assert.Equal(t, Wait, l.Submit(testStart, key, request()).Action)
	state, _ = l.Query(testStart, key, testCaller)
	assert.Equal(t, Queued, state)

	assert.True(t, l.MarkRunning(testStart, key))
	assert.False(t, l.MarkRunning(testStart, key), "second run")
	assert.Equal(t, Running, l.Fence(testStart, key))
	assert.Equal(t, Wait, l.Submit(testStart, key, request()).Action)

	complete := answer(10)
	l.Finish(testStart, key, complete)
	l.MarkIndeterminate(testStart, key)
	assert.Equal(t, Submission{Action: Replay, Answer: complete}, l.Submit(testStart, key, request()))
	state, got := l.Query(testStart, key, testCaller)
	assert.Equal(t, Done, state)
	assert.Same(t, complete, got)
	assert.False(t, l.MarkRunning(testStart, key))
}

// Guards against a fenced key that runs, whether or not it was submitted.
func TestFencedKeyNeverRuns(t *testing.T) {
	l := newLedger(t, testConfig())
	queued, unseen := issue(t, l, testStart), issue(t, l, testStart)
	require.Equal(t, Execute, l.Submit(testStart, queued, request()).Action)
	for _, key := range []string{queued, unseen} {
		assert.Equal(t, Fenced, l.Fence(testStart, key))
		assert.False(t, l.MarkRunning(testStart, key))
		requireRefused(t, l.Submit(testStart, key, request()), verdict.NotRun, verdict.KeyFenced)
		l.Finish(testStart, key, answer(1))
		assert.Equal(t, Fenced, l.Fence(testStart, key))
	}
}

// Guards against running a request again or reporting it as not run after its
// connection broke, and against discarding its late answer.
func TestIndeterminateUntilAnswerArrives(t *testing.T) {
	l := newLedger(t, testConfig())
	key := issue(t, l, testStart)
	start(t, l, testStart, key)
	l.MarkIndeterminate(testStart, key)
	requireRefused(t, l.Submit(testStart, key, request()), verdict.MayHaveRun, verdict.ConnectionLost)
	assert.Equal(t, Indeterminate, l.Fence(testStart, key))
	assert.False(t, l.MarkRunning(testStart, key))
	l.Finish(testStart, key, answer(3))
	assert.Equal(t, Replay, l.Submit(testStart, key, request()).Action)
}

// Guards against "not run" taken back, and against "not run" for an outcome
// that was recorded as indeterminate or done.
func TestRejectedRunIsFenced(t *testing.T) {
	l := newLedger(t, testConfig())
	rejected, indeterminate, done := issue(t, l, testStart), issue(t, l, testStart), issue(t, l, testStart)
	for _, key := range []string{rejected, indeterminate, done} {
		start(t, l, testStart, key)
	}
	l.MarkIndeterminate(testStart, indeterminate)
	l.Finish(testStart, done, answer(1))
	for _, key := range []string{rejected, indeterminate, done} {
		l.Reject(testStart, key)
	}
	requireRefused(t, l.Submit(testStart, rejected, request()), verdict.NotRun, verdict.KeyFenced)
	requireRefused(t, l.Submit(testStart, indeterminate, request()), verdict.MayHaveRun, verdict.ConnectionLost)
	assert.Equal(t, Replay, l.Submit(testStart, done, request()).Action)
}

// Guards against use of a key by another caller, for another service or for
// another request, and against "not run" for a key that ran.
func TestKeyIsBoundToCallerServiceAndRequest(t *testing.T) {
	l := newLedger(t, testConfig())
	key := issue(t, l, testStart)
	otherCaller, otherService, otherRequest := request(), request(), request()
	otherCaller.Caller, otherService.Service, otherRequest.Digest = "ghent", "ledger", 6
	for _, req := range []*call.Request{otherCaller, otherService} {
		requireRefused(t, l.Submit(testStart, key, req), verdict.MayHaveRun, verdict.KeyMismatch)
	}
	start(t, l, testStart, key)
	for _, req := range []*call.Request{otherCaller, otherService, otherRequest} {
		requireRefused(t, l.Submit(testStart, key, req), verdict.MayHaveRun, verdict.KeyMismatch)
	}
	l.Finish(testStart, key, answer(1))
	requireRefused(t, l.Submit(testStart, key, otherRequest), verdict.MayHaveRun, verdict.KeyMismatch)
	state, got := l.Query(testStart, key, "ghent")
	assert.Equal(t, Indeterminate, state, "another caller learns nothing")
	assert.Nil(t, got)
}

// Guards against a restarted owner that takes a key of its previous incarnation
// for an unseen one.
func TestKeyOfPreviousIncarnationIsUnknown(t *testing.T) {
	key := issue(t, newLedger(t, testConfig()), testStart)
	cfg := testConfig()
	cfg.Incarnation, cfg.Secret = 8, bytes.Repeat([]byte{10}, SecretLen)
	l := newLedger(t, cfg)
	requireRefused(t, l.Submit(testStart, key, request()), verdict.MayHaveRun, verdict.KeyUnknown)
	assert.Equal(t, Indeterminate, l.Fence(testStart, key))
}

// Guards against an expired key that looks unseen, also when the time that is
// passed in goes back after the entry was dropped.
func TestExpiredKeyNeverRunsAgain(t *testing.T) {
	l := newLedger(t, testConfig())
	done, unseen := issue(t, l, testStart), issue(t, l, testStart)
	start(t, l, testStart, done)
	l.Finish(testStart, done, answer(10))
	l.Tick(at(testLifetime - 1))
	keys, _ := l.Len()
	require.Equal(t, 1, keys, "dropped before its lifetime")
	l.Tick(at(testLifetime))
	keys, size := l.Len()
	require.Zero(t, keys)
	require.Zero(t, size)
	for _, now := range []time.Time{at(testLifetime), at(time.Second), at(100 * testLifetime)} {
		for _, key := range []string{done, unseen} {
			requireRefused(t, l.Submit(now, key, request()), verdict.MayHaveRun, verdict.KeyUnknown)
			assert.Equal(t, Indeterminate, l.Fence(now, key))
			assert.False(t, l.MarkRunning(now, key))
		}
	}
}

// Guards against dropping a run that outlasts the lifetime of its key.
func TestRunOutlastsLifetime(t *testing.T) {
	l := newLedger(t, testConfig())
	key := issue(t, l, testStart)
	start(t, l, testStart, key)
	late := at(2 * testLifetime)
	l.Tick(late)
	assert.Equal(t, Wait, l.Submit(late, key, request()).Action)
	l.Finish(late, key, answer(10))
	requireRefused(t, l.Submit(late, key, request()), verdict.MayHaveRun, verdict.KeyUnknown)
	l.Tick(late)
	keys, size := l.Len()
	assert.Zero(t, keys)
	assert.Zero(t, size)
}
