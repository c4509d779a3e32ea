package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/advisory"
)

var start = time.Unix(1000, 0)

func printOf(n int) Fingerprint { return FingerprintOf(&Request{Target: fmt.Sprint("/", n)}) }

func crashOf(id string, at time.Time) Crash {
	return Crash{Upstream: advisory.Instance{ID: id}, Version: "v1", At: at}
}

// quarantined returns a table in which a fingerprint is quarantined.
func quarantined(f Fingerprint) *Table {
	t := NewTable(nil)
	for i := range crashLimit {
		t.OnCrash(start, f, Subject{}, crashOf(fmt.Sprint("u", i), start))
	}
	return t
}

func holds(t *Table, f Fingerprint) bool {
	_, held := t.Quarantined(start, f)
	return held
}

// Guards against attempts that are counted in place of incarnations.
func TestOneIncarnationCountsOnce(t *testing.T) {
	table := NewTable(nil)
	for range 2 * crashLimit {
		table.OnCrash(start, printOf(1), Subject{}, crashOf("u", start))
	}
	assert.False(t, holds(table, printOf(1)))
}

// Guards against clients that free their crashing request by making many other suspects.
func TestFloodOfSuspectsDoesNotPushOutAQuarantinedRequest(t *testing.T) {
	table := quarantined(printOf(0))
	table.OnCrash(start, printOf(1), Subject{}, crashOf("a", start))
	table.OnCrash(start, printOf(1), Subject{}, crashOf("b", start))
	for i := 2; i < maxSuspects+1000; i++ {
		table.OnCrash(start.Add(time.Duration(i)*time.Millisecond), printOf(i), Subject{}, crashOf("x", start.Add(time.Second)))
	}
	assert.True(t, holds(table, printOf(0)))
	suspects, held := table.Counts()
	assert.Equal(t, 1, held)
	assert.LessOrEqual(t, suspects, maxSuspects)
	record, known := table.Get(printOf(1))
	assert.True(t, known, "a suspect with two crashes outlasts those with one")
	assert.Len(t, record.Crashes, 2)
	later := start.Add(time.Minute)
	for i := range 2 * maxPublic {
		for j := range crashLimit {
			table.OnCrash(later, printOf(-1-i), Subject{}, crashOf(fmt.Sprint("u", j), later))
		}
	}
	_, held = table.Counts()
	assert.Equal(t, maxPublic, held)
}

// Guards against a way back by which a request that still crashes costs more upstreams than allowed.
func TestProbesAreFewAndWaitForAnotherVersion(t *testing.T) {
	f := printOf(1)
	table := quarantined(f)
	assert.False(t, table.ProbeDue(start.Add(time.Minute), f, "v1"), "this version has crashed")
	assert.False(t, table.ProbeDue(start.Add(time.Second), f, "v2"), "too early")
	now := start.Add(time.Minute)
	require.True(t, table.BeginProbe(now, f, "v2"))
	assert.False(t, table.BeginProbe(now, f, "v2"), "one at a time")
	crash := crashOf("n1", now)
	crash.Version = "v2"
	table.OnCrash(now, f, Subject{}, crash)
	probes := 1
	for range 1000 {
		now = now.Add(time.Hour)
		if table.BeginProbe(now, f, "v3") {
			probes++
		}
	}
	assert.Equal(t, maxProbes, probes)
	assert.Less(t, maxProbes, allowedLate)
}

// Guards against requests that stay refused after a corrected upstream has answered one of them, or after an operator has lifted
// their quarantine, at this node or another one.
func TestAnswersAndOperatorsEndAQuarantine(t *testing.T) {
	f := printOf(1)
	for name, end := range map[string]func(*Table, time.Time) bool{
		"answer":   func(t *Table, at time.Time) bool { return t.OnAnswer(at, f, "n1") },
		"operator": func(t *Table, at time.Time) bool { _, ok := t.Lift(at, f.Short()); return ok },
	} {
		table, other := quarantined(f), quarantined(f)
		require.True(t, end(table, start.Add(time.Minute)), name)
		assert.False(t, holds(table, f), name)
		records, _ := table.Changes(0, Scope{PublicOnly: true}, MaxRecords)
		require.Len(t, records, 1)
		_, turned := other.Merge(start.Add(time.Minute), records[0], time.Time{})
		assert.True(t, turned, name)
		assert.False(t, holds(other, f), name)
		late, _ := quarantined(f).Get(f)
		table.Merge(start.Add(time.Minute), late, time.Time{})
		assert.False(t, holds(table, f), "a record from before does not bring it back")
	}
	_, ok := quarantined(f).Lift(start, "zz")
	assert.False(t, ok)
}

// Guards against two nodes that send each other the same records for ever because ages shift on their way.
func TestRecordsWithShiftedTimesAreNoChange(t *testing.T) {
	a, b := quarantined(printOf(1)), NewTable(nil)
	a.OnCrash(start, printOf(2), Subject{}, crashOf("u", start))
	a.OnAnswer(start.Add(time.Second), printOf(2), "u")
	now := start.Add(2 * time.Second)
	copyTo := func(to *Table, records []Record, delay time.Duration) {
		for _, r := range records {
			for i := range r.Crashes {
				r.Crashes[i].At = r.Crashes[i].At.Add(delay)
			}
			to.Merge(now, r, time.Time{})
		}
	}
	records, _ := a.Changes(0, Scope{}, MaxRecords)
	copyTo(b, records, 3*time.Millisecond)
	records, _ = b.Changes(0, Scope{}, MaxRecords)
	_, seq := a.Changes(0, Scope{}, MaxRecords)
	copyTo(a, records, 3*time.Millisecond)
	records, _ = a.Changes(seq, Scope{}, MaxRecords)
	assert.Empty(t, records)
}

// Guards against entries that are kept for ever.
func TestEntriesExpire(t *testing.T) {
	table := quarantined(printOf(0))
	table.OnCrash(start, printOf(1), Subject{}, crashOf("a", start))
	table.Sweep(start.Add(suspectRetention + time.Minute))
	_, known := table.Get(printOf(1))
	assert.False(t, known)
	assert.True(t, holds(table, printOf(0)))
	table.Sweep(start.Add(publicRetention + time.Minute))
	assert.True(t, table.Empty())
	assert.False(t, table.AnyQuarantined())
}
