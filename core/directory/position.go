package directory

// Position orders the states of the store. A store that is restored from an older
// copy starts a new era and gives out revisions again.
type Position struct {
	// Era is zero if it is unknown. Positions of which one has no era are compared
	// by their revisions.
	Era      uint64
	Revision uint64
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era && p.Era != 0 && q.Era != 0 {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// Later returns the later one of two positions.
func (p Position) Later(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Restored reports whether the store was restored between p and the later q.
func (p Position) Restored(q Position) bool { return p.Era != 0 && q.Era > p.Era }
