package discovery

import (
	"time"

	"toucangw.example/core/directory"
)

// listSchedule decides when the list of upstreams is read next, and whether a
// stale read will do.
type listSchedule struct {
	started time.Time
	reads   int
	empty   bool // the store has held no upstreams
	known   bool // a read has returned upstreams
	idle    growingPause
}

func newListSchedule(now time.Time) *listSchedule {
	return &listSchedule{started: now, idle: newGrowingPause()}
}

// next takes the result of a read, nil if it failed, and returns whether the next
// one may be stale and the pause before it. Once the upstreams are known, all reads
// are stale reads. Before that, an old read might return upstreams that left before
// this process started.
func (s *listSchedule) next(now time.Time, read *directory.Snapshot) (stale bool, wait time.Duration) {
	s.reads++
	if read != nil {
		s.known = s.known || read.Len() > 0
		s.empty = s.empty || read.Len() == 0
	}
	if s.known {
		return true, listPoll
	}
	mayBeStale := s.empty || now.Sub(s.started) > staleFallback
	stale = mayBeStale && s.reads%linearizableEvery != 0
	if s.empty {
		return stale, s.idle.next()
	}
	return stale, initialPoll
}
