package member

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// ListPrefix is the prefix of the names of published host lists; the
// availability zone follows.
const ListPrefix = "hosts/"

// maxHosts bounds one list: a value is at most a megabyte.
const maxHosts = 16384

// List is the published list of the hosts of one availability zone.
type List struct {
	Zone  string
	Hosts []Host
}

type listFile struct {
	Zone   string     `json:"zone"`
	Region string     `json:"region"`
	Hosts  []listHost `json:"hosts"`
}

type listHost struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Service     string `json:"service"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
}

// ParseList parses a published list. The name must be ListPrefix followed by
// the zone in the body.
func ParseList(name string, body []byte) (List, error) {
	var file listFile
	if err := json.Unmarshal(body, &file); err != nil {
		return List{}, fmt.Errorf("host list %s: %w", name, err)
	}
	zone, ok := strings.CutPrefix(name, ListPrefix)
	if !ok || zone == "" || file.Zone != zone {
		return List{}, fmt.Errorf("host list %s: zone is %q", name, file.Zone)
	}
	if len(file.Hosts) > maxHosts {
		return List{}, fmt.Errorf("host list %s: %d hosts, at most %d", name, len(file.Hosts), maxHosts)
	}
	list := List{Zone: zone, Hosts: make([]Host, 0, len(file.Hosts))}
	seen := make(map[string]bool, len(file.Hosts))
	services := map[string]string{} // interned service names
	for i, h := range file.Hosts {
		if seen[h.ID] {
			return List{}, fmt.Errorf("host list %s: host %q is listed twice", name, h.ID)
		}
		seen[h.ID] = true
		host, err := h.host()
		if err != nil {
			return List{}, fmt.Errorf("host list %s: host %d: %w", name, i+1, err)
		}
		if shared, ok := services[host.Service]; ok {
			host.Service = shared
		}
		services[host.Service] = host.Service
		host.Zone = list.Zone
		host.Region = file.Region
		list.Hosts = append(list.Hosts, host)
	}
	return list, nil
}

func (h listHost) host() (Host, error) {
	out := Host{ID: HostID(h.ID), Addr: h.Addr, Service: h.Service, Incarnation: h.Incarnation}
	if h.ID == "" {
		return out, fmt.Errorf("id is empty")
	}
	if _, err := netip.ParseAddrPort(h.Addr); err != nil {
		return out, fmt.Errorf("%s: address %q is not IP:port", h.ID, h.Addr)
	}
	switch h.Status {
	case "", Live.String():
	case Leaving.String():
		out.Status = Leaving
	default:
		return out, fmt.Errorf("%s: unknown status %q", h.ID, h.Status)
	}
	return out, nil
}
