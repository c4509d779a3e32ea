package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangw.example/core/advisory"
)

// Crash is the unplanned end of one incarnation of an upstream.
type Crash struct {
	Upstream advisory.Instance
	Version  string // version of the upstream's software
	Node     string // host that saw the crash
	At       time.Time
	// AnsweredBefore is set if earlier incarnations at this host have answered equal
	// requests.
	AnsweredBefore bool
	// Cleared is set for good once an equal request was answered after the crash, or an
	// operator has lifted the quarantine. The crash does not count any more.
	Cleared bool
}

// Subject describes the requests with one fingerprint, for operators.
type Subject struct {
	Service   string // of the upstreams
	Route     string
	Caller    string
	RequestID string // of one of the requests
}

// maxText bounds the bytes of each text of a Subject and of a software version, which
// clients and upstreams choose.
const maxText = 96

func clip(s string) string { return s[:min(len(s), maxText)] }

// Record is what a node knows of the requests with one fingerprint. Records are
// exchanged between nodes. Two records are merged by the union of their crashes, each
// of which is cleared if it is in one of them, so that the order does not matter.
type Record struct {
	Fingerprint Fingerprint
	Subject     Subject
	Crashes     []Crash // one for each incarnation
	ClearedBy   string  // what cleared a crash last; empty if nothing did
}

// Counted returns the number of crashes that are not cleared.
func (r *Record) Counted() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// Quarantined reports whether the requests are refused.
func (r *Record) Quarantined() bool { return r.Counted() >= crashLimit }

// LastCrash returns the time of the last crash that is not cleared.
func (r *Record) LastCrash() time.Time {
	var last time.Time
	for _, c := range r.Crashes {
		if !c.Cleared && c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// entry is the state of one fingerprint in a Table.
type entry struct {
	Record
	// seq is the number of the last change, which orders the changes of a table.
	seq uint64
	// public is set once the requests were quarantined. Records of public entries go to
	// all nodes, others only to those in front of the upstreams of the service.
	public bool
	// learned is set if the last change came from another node, which tells the others.
	learned bool
	// probes counts the probes that this node has admitted, the last one until
	// probingUntil at most.
	probes       int
	probingUntil time.Time
	touchedAt    time.Time // last crash, clearance or refusal
	// countedQuarantined and countedPublic are set if the entry is in the counts of
	// its table.
	countedQuarantined, countedPublic bool
}

// add merges a crash. It reports whether that changes anything.
func (e *entry) add(c Crash) bool {
	for i := range e.Crashes {
		if known := &e.Crashes[i]; known.Upstream == c.Upstream {
			cleared := c.Cleared && !known.Cleared
			known.Cleared = known.Cleared || c.Cleared
			return cleared
		}
	}
	if len(e.Crashes) >= maxCrashes && !e.dropCleared() {
		return false
	}
	c.Version, c.Node = clip(c.Version), clip(c.Node)
	e.Crashes = append(e.Crashes, c)
	return true
}

// dropCleared makes room by dropping the oldest cleared crash, if there is one.
func (e *entry) dropCleared() bool {
	i := slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.Cleared })
	if i >= 0 {
		e.Crashes = slices.Delete(e.Crashes, i, i+1)
	}
	return i >= 0
}

// clear clears the crashes until a time. It reports whether there were any.
func (e *entry) clear(until time.Time, by string) (changed bool) {
	for i := range e.Crashes {
		if c := &e.Crashes[i]; !c.Cleared && !c.At.After(until) {
			c.Cleared, changed = true, true
		}
	}
	if changed {
		e.ClearedBy = clip(by)
		e.probes, e.probingUntil = 0, time.Time{}
	}
	return changed
}

// probeDue reports whether one request may be sent to an upstream with a version of its
// software, to find out whether it still crashes.
func (e *entry) probeDue(now time.Time, version string) bool {
	used := max(e.probes, e.Counted()-crashLimit)
	if !e.Quarantined() || used >= maxProbes || now.Before(e.probingUntil) {
		return false
	}
	delay := probeInterval
	for _, c := range e.Crashes {
		if c.AnsweredBefore && used == 0 {
			return now.Sub(e.LastCrash()) >= earlyProbeDelay
		}
	}
	if !slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.Version == clip(version) }) {
		delay = probeDelay
	}
	return now.Sub(e.LastCrash()) >= delay
}

// digest returns a number that differs for different records with one fingerprint, and
// does not depend on the order of the crashes.
func (e *entry) digest() uint64 {
	sum := uint64(0)
	buf := make([]byte, 0, len(e.Fingerprint)+maxText)
	for _, c := range e.Crashes {
		buf = append(buf[:0], e.Fingerprint[:]...)
		buf = binary.AppendVarint(buf, c.Upstream.StartedAt)
		buf = append(buf, c.Upstream.ID...)
		if c.Cleared {
			buf = append(buf, 0)
		}
		sum ^= xxhash.Sum64(buf)
	}
	return sum
}
