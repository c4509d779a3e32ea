package gossip

import (
	"errors"
	"time"
)

// reading is the state of the reads of one prefix.
type reading struct {
	waiting   bool // a Read has no answer yet
	sent      time.Time
	notBefore time.Time
	failures  int
	full      bool   // the next read asks for all values
	noticed   uint64 // revision that the platform has, maybe not held yet
	fetchAt   time.Time
}

// maxBootBackOff bounds the wait between reads of nodes that know no other
// node: 21,000 of them stay far below the 2,000 reads a second then.
const maxBootBackOff = time.Minute

// reading reports whether this node is a reader.
func (s *State) reading() bool {
	if s.leaving || len(s.nodes) == 0 {
		return false
	}
	return s.rank < ReadersPerZone || s.acting
}

// updateRole decides about taking over from readers that gave no sign, and
// about stepping back.
func (s *State) updateRole(now time.Time) {
	if s.leaving || len(s.nodes) == 0 || s.rank < ReadersPerZone {
		s.acting = false
		s.takeoverAt = time.Time{}
		return
	}
	old := now.Sub(s.sign) > s.signLimit()
	switch {
	case s.acting && !old && now.After(s.actingUntil):
		s.acting = false
	case s.acting || !old:
		s.takeoverAt = time.Time{}
	case s.takeoverAt.IsZero():
		s.takeoverAt = now.Add(s.upTo(takeoverJitter))
	case !now.Before(s.takeoverAt):
		s.acting = true
		s.actingUntil = now.Add(actingTime + s.upTo(actingTime))
		s.takeoverAt = time.Time{}
	}
}

// signLimit is the age of signs from which this node takes over.
func (s *State) signLimit() time.Duration {
	behind := s.rank - ReadersPerZone
	if behind < deputies {
		return deputyDelay
	}
	return otherDelay + time.Duration(behind/deputies-1)*groupDelay
}

// readMore issues the reads that are due.
func (s *State) readMore(now time.Time) []Action {
	if !s.reading() && (s.leaving || !s.booting(now)) {
		return nil
	}
	var out []Action
	for _, l := range s.lanes() {
		r := s.reads[l.prefix]
		if r.waiting || now.Before(r.notBefore) {
			continue
		}
		missing := r.noticed > l.held.Revision
		if missing && now.Before(r.fetchAt) {
			continue
		}
		r.waiting = true
		r.sent = now
		out = append(out, r.next(l, missing))
	}
	return out
}

// next returns all values at first and after a torn answer, the changed values
// once a change was noticed, and a watch otherwise.
func (r *reading) next(l *lane, missing bool) Read {
	switch {
	case r.full || l.held.Revision == 0:
		return Read{Prefix: l.prefix}
	case missing:
		return Read{Prefix: l.prefix, After: l.held.Revision}
	}
	return Read{Prefix: l.prefix, After: l.held.Revision, Wait: watchWait, RevisionOnly: true}
}

// notice plans to fetch a change that a watch has shown.
func (s *State) notice(now time.Time, r *reading, revision uint64) {
	r.failures = 0
	r.notBefore = time.Time{}
	r.noticed = revision
	r.fetchAt = now
	place := fetchOrder(s.others, s.cfg.Self, revision)
	if place >= firstFetchers && !s.acting {
		r.fetchAt = now.Add(fetchDelay + time.Duration(place-firstFetchers)*fetchStep)
	}
}

func (s *State) platformFailed(now time.Time, prefix string) {
	r := s.reads[prefix]
	if r == nil {
		return
	}
	r.waiting = false
	s.backOff(now, r)
}

// backOff waits twice as long after each failure, with jitter, so that readers
// do not return all at once.
func (s *State) backOff(now time.Time, r *reading) {
	limit := maxBackOff
	if !s.reading() {
		limit = maxBootBackOff
	}
	wait := min(limit, minBackOff<<min(r.failures, 10))
	r.failures++
	r.notBefore = now.Add(wait/2 + s.upTo(wait))
}

func (s *State) platformRead(now time.Time, e PlatformRead) []Action {
	l := s.lane(e.Prefix)
	if l == nil {
		return nil
	}
	r := s.reads[e.Prefix]
	r.waiting = false
	full := e.After == 0
	if e.Answer.Revision <= l.held.Revision {
		s.nothingNew(now, l, r, e.Answer)
		return s.readMore(now)
	}
	if e.RevisionOnly {
		s.notice(now, r, e.Answer.Revision)
		return s.readMore(now)
	}
	set, err := l.held.merge(e.Answer, full)
	if err != nil {
		l.discards++
		// A torn answer to a partial read may also mean that a change was
		// missed, which only a full read repairs.
		r.full = errors.Is(err, ErrInconsistent)
		s.backOff(now, r)
		return nil
	}
	r.failures = 0
	r.full = false
	r.notBefore = time.Time{}
	l.hold(set, true)
	out := s.judge(l)
	return append(out, s.readMore(now)...)
}

// nothingNew handles an answer without a newer revision. A stale platform
// answers with an older one.
func (s *State) nothingNew(now time.Time, l *lane, r *reading, a PlatformAnswer) {
	r.full = false
	r.noticed = 0
	if a.Revision < l.held.Revision || a.Revision == 0 {
		s.backOff(now, r)
		return
	}
	r.failures = 0
	if now.Sub(r.sent) < minBackOff {
		r.notBefore = now.Add(minBackOff) // the platform did not wait
	}
}
