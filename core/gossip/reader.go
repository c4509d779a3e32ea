package gossip

import (
	"errors"
	"time"
)

// readState is the state of the platform reads of one prefix.
type readState struct {
	waiting          bool // a Read has no answer yet
	sentAt           time.Time
	notBefore        time.Time
	failures         int
	full             bool   // the next read asks for all values
	platformRevision uint64 // newest revision seen at the platform, possibly not received yet
	fetchAt          time.Time
}

// maxBootstrapBackOff bounds the wait between reads of nodes that know no other
// node. It keeps 21,000 such nodes far below 2,000 reads a second.
const maxBootstrapBackOff = time.Minute

// isReader reports whether this node reads the platform.
func (s *State) isReader() bool {
	if s.leaving || len(s.nodes) == 0 {
		return false
	}
	return s.rank < ReadersPerZone || s.acting
}

// updateRole decides whether this node takes over reading because no reader of
// its zone has sent a recent heartbeat, or stops reading again.
func (s *State) updateRole(now time.Time) {
	if s.leaving || len(s.nodes) == 0 || s.rank < ReadersPerZone {
		s.acting = false
		s.takeoverAt = time.Time{}
		return
	}
	expired := now.Sub(s.heartbeatAt) > s.heartbeatTimeout()
	switch {
	case s.acting && !expired && now.After(s.actingUntil):
		s.acting = false
	case s.acting || !expired:
		s.takeoverAt = time.Time{}
	case s.takeoverAt.IsZero():
		s.takeoverAt = now.Add(s.randomUpTo(takeoverJitter))
	case !now.Before(s.takeoverAt):
		s.acting = true
		s.actingUntil = now.Add(minActingTime + s.randomUpTo(minActingTime))
		s.takeoverAt = time.Time{}
	}
}

// heartbeatTimeout is the heartbeat age at which this node takes over.
func (s *State) heartbeatTimeout() time.Duration {
	position := s.rank - ReadersPerZone
	if position < standbyReaders {
		return standbyTimeout
	}
	return fallbackTimeout + time.Duration(position/standbyReaders-1)*fallbackStep
}

// issueReads issues the reads that are due.
func (s *State) issueReads(now time.Time) []Action {
	if !s.isReader() && (s.leaving || !s.mayReadToBootstrap(now)) {
		return nil
	}
	var out []Action
	for _, rep := range s.replicas() {
		r := s.reads[rep.prefix]
		if r.waiting || now.Before(r.notBefore) {
			continue
		}
		missing := r.platformRevision > rep.latest.Revision
		if missing && now.Before(r.fetchAt) {
			continue
		}
		r.waiting = true
		r.sentAt = now
		out = append(out, r.nextRead(rep, missing))
	}
	return out
}

// nextRead reads all values at first and after an inconsistent answer, the
// changed values once a change is known, and watches for a change otherwise.
func (r *readState) nextRead(rep *replica, missing bool) Read {
	switch {
	case r.full || rep.latest.Revision == 0:
		return Read{Prefix: rep.prefix}
	case missing:
		return Read{Prefix: rep.prefix, After: rep.latest.Revision}
	}
	return Read{Prefix: rep.prefix, After: rep.latest.Revision, Wait: watchWait, RevisionOnly: true}
}

// scheduleFetch plans the fetch of a change that a watch reported.
func (s *State) scheduleFetch(now time.Time, r *readState, revision uint64) {
	r.failures = 0
	r.notBefore = time.Time{}
	r.platformRevision = revision
	r.fetchAt = now
	position := fetchOrder(s.allReaders, s.cfg.Self, revision)
	if position >= firstFetchers && !s.acting {
		r.fetchAt = now.Add(fetchDelay + time.Duration(position-firstFetchers)*fetchStep)
	}
}

func (s *State) onPlatformFailure(now time.Time, prefix string) {
	r := s.reads[prefix]
	if r == nil {
		return
	}
	r.waiting = false
	s.backOff(now, r)
}

// backOff doubles the wait after each failure, with jitter so that readers do
// not retry at the same time.
func (s *State) backOff(now time.Time, r *readState) {
	limit := maxBackOff
	if !s.isReader() {
		limit = maxBootstrapBackOff
	}
	wait := min(limit, minBackOff<<min(r.failures, 10))
	r.failures++
	r.notBefore = now.Add(wait/2 + s.randomUpTo(wait))
}

func (s *State) onPlatformRead(now time.Time, e PlatformRead) []Action {
	rep := s.replica(e.Prefix)
	if rep == nil {
		return nil
	}
	r := s.reads[e.Prefix]
	r.waiting = false
	full := e.After == 0
	if e.Answer.Revision <= rep.latest.Revision {
		s.onUnchanged(now, rep, r, e.Answer)
		return s.issueReads(now)
	}
	if e.RevisionOnly {
		s.scheduleFetch(now, r, e.Answer.Revision)
		return s.issueReads(now)
	}
	snapshot, err := rep.latest.merge(e.Answer, full)
	if err != nil {
		rep.discarded++
		// An inconsistent answer to a partial read may also mean that a change
		// was missed, which only a full read repairs.
		r.full = errors.Is(err, ErrInconsistent)
		s.backOff(now, r)
		return nil
	}
	r.failures = 0
	r.full = false
	r.notBefore = time.Time{}
	rep.setLatest(snapshot, true)
	out := s.requestValidation(rep)
	return append(out, s.issueReads(now)...)
}

// onUnchanged handles an answer without a newer revision. The answer of a stale
// platform has an older one.
func (s *State) onUnchanged(now time.Time, rep *replica, r *readState, a PlatformAnswer) {
	r.full = false
	r.platformRevision = 0
	if a.Revision < rep.latest.Revision || a.Revision == 0 {
		s.backOff(now, r)
		return
	}
	r.failures = 0
	if now.Sub(r.sentAt) < minBackOff {
		r.notBefore = now.Add(minBackOff) // the platform answered at once instead of waiting for a change
	}
}
