// Package member keeps a node's view of the other hosts, from the published
// host lists, from the announcements of the hosts, and from the node's own
// traffic.
package member

// HostID identifies a host on the published list.
type HostID string

// Status is the state of a host in the view.
type Status uint8

// Host states.
const (
	Live Status = iota
	Leaving
)

// String returns the wire form.
func (s Status) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "live"
}

// Host is one upstream host with its node.
type Host struct {
	ID      HostID
	Addr    string // address of the node's peer listener, IP:port
	Region  string
	Zone    string // availability zone
	Service string // service of the host's upstream
	Status  Status
	// Incarnation distinguishes process starts of the node at this host; zero
	// while unknown. A larger value is later.
	Incarnation uint64
}
