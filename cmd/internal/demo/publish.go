package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
)

var (
	slotsLine    = regexp.MustCompile(`(?m)^slots = (\d+)$`)
	reservedLine = regexp.MustCompile(`(?m)^reserved = (\d+)$`)
	costLine     = regexp.MustCompile(`(?m)^(cost|tree_cost) = "(\d+)ms"$`)
)

// publishConfig writes the example base, scaled to one machine, and its
// overlays to the directory of the platform.
func (f *fleet) publishConfig(examples string) error {
	base, err := os.ReadFile(filepath.Join(examples, "base.toml"))
	if err != nil {
		return fmt.Errorf("example base: %w", err)
	}
	if err := f.write("config/base.toml", scaleBase(base)); err != nil {
		return err
	}
	overlays, err := filepath.Glob(filepath.Join(examples, "overlay", "*.toml"))
	if err != nil {
		return err
	}
	for _, path := range overlays {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := f.write("config/overlay/"+filepath.Base(path), scaleBase(data)); err != nil {
			return err
		}
	}
	return nil
}

func scaleBase(base []byte) []byte {
	base = scaleNumber(base, slotsLine, 2)
	base = scaleNumber(base, reservedLine, 0)
	return costLine.ReplaceAllFunc(base, func(line []byte) []byte {
		m := costLine.FindSubmatch(line)
		ms, _ := strconv.Atoi(string(m[2]))
		return fmt.Appendf(nil, "%s = \"%dms\"", m[1], ms*timeFactor)
	})
}

func scaleNumber(base []byte, pattern *regexp.Regexp, least int) []byte {
	return pattern.ReplaceAllFunc(base, func(line []byte) []byte {
		m := pattern.FindSubmatch(line)
		n, _ := strconv.Atoi(string(m[1]))
		name := line[:len(line)-len(m[1])]
		return fmt.Appendf(nil, "%s%d", name, max(n/slotShare, least))
	})
}

// publishHosts writes the host list of each availability zone.
func (f *fleet) publishHosts() error {
	type listed struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	for _, zone := range zones {
		hosts := []listed{}
		for _, h := range f.hosts {
			if h.zone == zone {
				hosts = append(hosts, listed{ID: h.id, Addr: h.published, Service: h.service, Status: "live"})
			}
		}
		data, err := json.MarshalIndent(map[string]any{"zone": zone, "region": region, "hosts": hosts}, "", "  ")
		if err != nil {
			return err
		}
		if err := f.write("hosts/"+zone+".json", data); err != nil {
			return err
		}
	}
	return nil
}

// appendBase adds text to the published base, as an operator's change does.
func (f *fleet) appendBase(text string) error {
	base, err := os.ReadFile(filepath.Join(f.published, "config/base.toml"))
	if err != nil {
		return err
	}
	return f.write("config/base.toml", append(base, text...))
}

// write replaces a published file at once, so that the platform never reads a
// part of it.
func (f *fleet) write(name string, data []byte) error {
	path := filepath.Join(f.published, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
