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

// publishConfig writes the example base and its overlays, scaled to one machine,
// to the directory of the platform.
func (d *deployment) publishConfig(examples string) error {
	base, err := os.ReadFile(filepath.Join(examples, "base.toml"))
	if err != nil {
		return fmt.Errorf("read example base: %w", err)
	}
	if err := d.write("config/base.toml", scaleBase(base)); err != nil {
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
		if err := d.write("config/overlay/"+filepath.Base(path), scaleBase(data)); err != nil {
			return err
		}
	}
	return nil
}

// scaleBase divides the slots and multiplies the costs in a base or overlay.
func scaleBase(base []byte) []byte {
	base = scaleNumber(base, slotsLine, 2)
	base = scaleNumber(base, reservedLine, 0)
	return costLine.ReplaceAllFunc(base, func(line []byte) []byte {
		m := costLine.FindSubmatch(line)
		ms, _ := strconv.Atoi(string(m[2]))
		return fmt.Appendf(nil, "%s = \"%dms\"", m[1], ms*timeFactor)
	})
}

func scaleNumber(base []byte, pattern *regexp.Regexp, minimum int) []byte {
	return pattern.ReplaceAllFunc(base, func(line []byte) []byte {
		m := pattern.FindSubmatch(line)
		n, _ := strconv.Atoi(string(m[1]))
		name := line[:len(line)-len(m[1])]
		return fmt.Appendf(nil, "%s%d", name, max(n/slotDivisor, minimum))
	})
}

// publishHosts writes the host list of each availability zone.
func (d *deployment) publishHosts() error {
	type hostEntry struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	for _, zone := range zones {
		hosts := []hostEntry{}
		for _, h := range d.hosts {
			if h.zone == zone {
				hosts = append(hosts, hostEntry{ID: h.id, Addr: h.listedAddr, Service: h.service, Status: "live"})
			}
		}
		data, err := json.MarshalIndent(map[string]any{"zone": zone, "region": region, "hosts": hosts}, "", "  ")
		if err != nil {
			return err
		}
		if err := d.write("hosts/"+zone+".json", data); err != nil {
			return err
		}
	}
	return nil
}

// appendBase adds text to the published base, as an operator's change does.
func (d *deployment) appendBase(text string) error {
	base, err := os.ReadFile(filepath.Join(d.publishedDir, "config/base.toml"))
	if err != nil {
		return err
	}
	return d.write("config/base.toml", append(base, text...))
}

// write replaces a published file atomically, so that the platform never reads a
// partial file.
func (d *deployment) write(name string, data []byte) error {
	path := filepath.Join(d.publishedDir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
