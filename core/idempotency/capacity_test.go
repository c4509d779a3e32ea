package idempotency

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangw.example/core/verdict"
)

// Guards against callers that use up memory by requesting keys without
// submitting them.
func TestIssuedKeyTakesNoMemory(t *testing.T) {
	l := newLedger(t, testConfig())
	for range 1000 {
		issue(t, l, testStart)
	}
	keys, _ := l.Len()
	assert.Zero(t, keys)
}

// Guards against eviction of keys when the table is full, and against a key
// that was refused for a full table and runs once memory is free again.
func TestFullTable(t *testing.T) {
	l := newLedger(t, testConfig())
	accepted := make([]string, 4)
	for i := range accepted {
		accepted[i] = issue(t, l, at(time.Duration(i)*time.Second))
	}
	refused, fenced := issue(t, l, at(4*time.Second)), issue(t, l, at(4*time.Second))
	for _, key := range accepted {
		require.Equal(t, Execute, l.Submit(at(5*time.Second), key, request()).Action)
	}

	now := at(6 * time.Second)
	_, refusal := l.Issue(now, testService, testCaller)
	require.NotNil(t, refusal)
	assert.Equal(t, verdict.KeyTableFull, refusal.Reason)
	assert.Equal(t, verdict.NotRun, refusal.Verdict)
	assert.Equal(t, testLifetime-6*time.Second, refusal.RetryAfter)
	requireRefused(t, l.Submit(now, refused, request()), verdict.NotRun, verdict.KeyTableFull)
	assert.Equal(t, Fenced, l.Fence(now, fenced))
	for _, key := range accepted {
		assert.Equal(t, Wait, l.Submit(now, key, request()).Action)
		assert.Equal(t, Fenced, l.Fence(now, key))
	}

	l.Tick(at(testLifetime + time.Second))
	now = at(testLifetime + 2*time.Second)
	keys, _ := l.Len()
	require.Equal(t, 2, keys)
	for _, key := range []string{refused, fenced} {
		requireRefused(t, l.Submit(now, key, request()), verdict.NotRun, verdict.KeyFenced)
		state, _ := l.Query(now, key, testCaller)
		assert.Equal(t, Fenced, state)
	}
	start(t, l, now, issue(t, l, now))
}

// Guards against answers that exceed the memory bound, and against a wrong
// verdict for a request that ran but whose answer is not stored.
func TestAnswerTooLargeToKeep(t *testing.T) {
	l := newLedger(t, testConfig())
	huge, first, second := issue(t, l, testStart), issue(t, l, testStart), issue(t, l, testStart)
	next := issue(t, l, testStart)
	for _, key := range []string{huge, first, second} {
		start(t, l, testStart, key)
	}
	l.Finish(testStart, huge, answer(101))
	requireRefused(t, l.Submit(testStart, huge, request()), verdict.Run, verdict.IncompleteAnswer)
	state, kept := l.Query(testStart, huge, testCaller)
	assert.Equal(t, Done, state)
	assert.Nil(t, kept)
	issue(t, l, testStart) // one huge answer does not fill the table

	l.Finish(testStart, first, answer(60))
	l.Finish(testStart, second, answer(60))
	_, size := l.Len()
	assert.EqualValues(t, 60, size)
	requireRefused(t, l.Submit(testStart, second, request()), verdict.Run, verdict.IncompleteAnswer)
	requireRefused(t, l.Submit(testStart, next, request()), verdict.NotRun, verdict.KeyTableFull)

	l.Tick(at(testLifetime))
	_, refusal := l.Issue(at(testLifetime), testService, testCaller)
	assert.Nil(t, refusal, "memory was freed")
}

// observation is what has been observed of one key.
type observation struct {
	key      string
	runs     int
	notRun   bool // reported as not run
	mayStart bool
}

// Guards against a second run and against a wrong "not run" under any order of
// calls, with small limits and time that may go back.
func TestLedgerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.MaxKeys = rapid.IntRange(1, 5).Draw(t, "max keys")
		l, err := New(cfg)
		require.NoError(t, err)
		var keys []*observation
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-60, 120).Draw(t, "seconds")) * time.Second
			now = max(now, 0)
			if len(keys) == 0 || rapid.IntRange(0, 3).Draw(t, "new key") == 0 {
				if key, refusal := l.Issue(at(now), testService, testCaller); refusal == nil {
					keys = append(keys, &observation{key: key})
				}
				continue
			}
			o := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
			ledgerStep(t, l, at(now), o, rapid.IntRange(0, 6).Draw(t, "operation"))
			for i, o := range keys {
				require.LessOrEqual(t, o.runs, 1, "key %d ran twice", i)
				require.False(t, o.notRun && o.runs > 0, "key %d ran but was reported as not run", i)
			}
			entries, size := l.Len()
			require.LessOrEqual(t, entries, cfg.MaxKeys)
			require.LessOrEqual(t, size, cfg.MaxAnswerBytes)
		}
	})
}

func ledgerStep(t *rapid.T, l Ledger, now time.Time, o *observation, operation int) {
	switch operation {
	case 0:
		req := request()
		req.Digest = rapid.Uint64Range(5, 6).Draw(t, "digest")
		s := l.Submit(now, o.key, req)
		o.mayStart = o.mayStart || s.Action == Execute
		o.notRun = o.notRun || s.Action == Refuse && s.Refusal.Verdict == verdict.NotRun
	case 1:
		if l.MarkRunning(now, o.key) {
			require.True(t, o.mayStart, "marked as running without a submission")
			o.runs++
		}
	case 2:
		l.Finish(now, o.key, answer(rapid.IntRange(0, 120).Draw(t, "size")))
	case 3:
		l.MarkIndeterminate(now, o.key)
	case 4:
		o.notRun = l.Fence(now, o.key) == Fenced || o.notRun
	case 5:
		state, _ := l.Query(now, o.key, testCaller)
		o.notRun = state == Fenced || o.notRun
	default:
		l.Tick(now)
	}
}

func BenchmarkSubmit(b *testing.B) {
	cfg := testConfig()
	cfg.MaxKeys = b.N + 1
	l, err := New(cfg)
	require.NoError(b, err)
	req := request()
	for i := range b.N {
		now := at(time.Duration(i))
		key, refusal := l.Issue(now, testService, testCaller)
		if refusal != nil {
			b.Fatal(fmt.Sprint(refusal))
		}
		l.Submit(now, key, req)
		l.MarkRunning(now, key)
	}
}

// BenchmarkSubmittedKey measures the memory of a submitted key without its answer.
func BenchmarkSubmittedKey(b *testing.B) {
	const keys = 100_000
	for range b.N {
		cfg := testConfig()
		cfg.MaxKeys = keys
		l, err := New(cfg)
		require.NoError(b, err)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range keys {
			key, _ := l.Issue(testStart, testService, testCaller)
			l.Submit(testStart, key, request())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(l)
	}
}
