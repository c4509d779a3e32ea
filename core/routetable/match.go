package routetable

import (
	"net"
	"slices"
	"strings"
)

// Match returns the route with the longest prefix of the path, or nil. The path
// may include a query.
func (c *Config) Match(host, path string) *Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost converts a host name to lower case and removes its port.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
	}
	return strings.ToLower(host)
}

func sortByPrefix(routes []*Route) {
	slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
}
