package gossip

// Probe gives measurements access to updates without a State.
type Probe struct{ from *Snapshot }

// NewProbe returns a probe of a node that has a set in force.
func NewProbe(set *Snapshot) *Probe { return &Probe{from: set} }

// UpdateTo returns the update to a later set.
func (p *Probe) UpdateTo(to *Snapshot) Update { return change(p.from, to) }

// FullUpdate returns the update that carries all values of a set.
func (p *Probe) FullUpdate(set *Snapshot) Update {
	l := newLane(set.Prefix)
	l.accept(set)
	return *l.complete(nil)
}

// Apply takes an update as a node does that holds the set of the probe.
func (p *Probe) Apply(u Update) {
	l := newLane(p.from.Prefix)
	l.force, l.held = p.from, p.from
	if err := l.take(u); err != nil {
		panic(err)
	}
}
