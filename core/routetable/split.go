package routetable

import "sync"

// splitter distributes requests to targets by smooth weighted round robin: the
// share of each target is exact over every run of total-weight requests, so it
// also holds for short runs. It is safe for concurrent use.
type splitter struct {
	mu      sync.Mutex
	targets []Target
	current []int // current weight by target
	total   int
}

func (s *splitter) init(targets []Target) {
	s.targets = targets
	s.current = make([]int, len(targets))
	s.total = 0
	for _, t := range targets {
		s.total += t.Weight
	}
}

// next returns the service of the next request.
func (s *splitter) next() string {
	if len(s.targets) == 1 {
		return s.targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, t := range s.targets {
		s.current[i] += t.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= s.total
	return s.targets[best].Service
}

// Next chooses the service of the next request by the weights of the targets.
func (r *Route) Next() string { return r.split.next() }
