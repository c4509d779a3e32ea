package directory

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	// maxNameLen bounds the length of an ID, a service, a zone and a version, in
	// bytes.
	maxNameLen = 256
	// maxSlots is beyond what one host can run at once.
	maxSlots = 1 << 20
)

// maxStartedAt is a start that other nodes can still be told of: later years have no
// JSON form.
var maxStartedAt = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// Check returns an error if the entry names no upstream that can be used or passed on
// to other nodes.
func (u *Upstream) Check() error {
	switch {
	case u.ID == "" || u.Service == "":
		return errors.New("no id or service")
	case !isName(u.ID) || !isName(u.Service):
		return fmt.Errorf("id or service has over %d bytes or other than printable ASCII characters", maxNameLen)
	case len(u.Zone) > maxNameLen || len(u.Version) > maxNameLen:
		return fmt.Errorf("zone or version has over %d bytes", maxNameLen)
	case !isHost(u.Address):
		return fmt.Errorf("address %v is not that of a host", u.Address)
	case u.Slots <= 0 || u.Slots > maxSlots:
		return fmt.Errorf("%d slots are not between 1 and %d", u.Slots, maxSlots)
	case u.ColdRemaining < 0:
		return fmt.Errorf("remaining time %v after the start is negative", u.ColdRemaining)
	case u.StartedAt.UnixMilli() < 0 || u.StartedAt.After(maxStartedAt):
		return fmt.Errorf("start %d ms is out of range", u.StartedAt.UnixMilli())
	}
	return nil
}

// isName reports whether a name can be sent in a header.
func isName(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) <= maxNameLen
}

// isHost reports whether connections can be opened to an address.
func isHost(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() > 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}
