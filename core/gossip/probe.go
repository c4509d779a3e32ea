package gossip

// Probe gives benchmarks access to updates without a State.
type Probe struct{ from *Snapshot }

// NewProbe returns a probe of a node whose active snapshot is given.
func NewProbe(snapshot *Snapshot) *Probe { return &Probe{from: snapshot} }

// UpdateTo returns the update to a later snapshot.
func (p *Probe) UpdateTo(to *Snapshot) Update { return updateBetween(p.from, to) }

// FullUpdate returns the update with all values of a snapshot.
func (p *Probe) FullUpdate(snapshot *Snapshot) Update {
	rep := newReplica(snapshot.Prefix)
	rep.activate(snapshot)
	return *rep.fullUpdate(nil)
}

// Apply applies an update as a node does that has the snapshot of the probe.
func (p *Probe) Apply(u Update) {
	rep := newReplica(p.from.Prefix)
	rep.active, rep.latest = p.from, p.from
	if err := rep.applyUpdate(u); err != nil {
		panic(err)
	}
}
