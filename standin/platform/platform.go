// Package platform is a fake of the configuration platform, for development and
// tests. It serves a directory of published files read-only over HTTP, supports
// watches by long polling, and injects faults on request. The protocol is described
// in docs/platform.md.
package platform

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

// MaxValueBytes is the maximum size of a published file.
const MaxValueBytes = 1 << 20

// Value is one published value.
type Value struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
	Body     string `json:"body"`
}

// Answer is the response to a read or watch.
type Answer struct {
	Revision uint64   `json:"revision"`
	Digest   string   `json:"digest"`
	Values   []Value  `json:"values"`
	Deleted  []string `json:"deleted"`
}

// store holds all values at one store revision.
type store struct {
	revision uint64
	values   map[string]Value
	deleted  map[string]uint64 // by name; the revision of the removal
}

func newStore() *store {
	return &store{values: map[string]Value{}, deleted: map[string]uint64{}}
}

func (s *store) clone() *store {
	return &store{revision: s.revision, values: maps.Clone(s.values), deleted: maps.Clone(s.deleted)}
}

// lastChange returns the revision of the newest change under a prefix.
func (s *store) lastChange(prefix string) uint64 {
	newest := uint64(0)
	for name, v := range s.values {
		if strings.HasPrefix(name, prefix) {
			newest = max(newest, v.Revision)
		}
	}
	for name, revision := range s.deleted {
		if strings.HasPrefix(name, prefix) {
			newest = max(newest, revision)
		}
	}
	return newest
}

// answer returns the changes under a prefix after a revision. Its digest covers
// all current values under the prefix.
func (s *store) answer(prefix string, after uint64) Answer {
	a := Answer{Revision: s.lastChange(prefix), Values: []Value{}, Deleted: []string{}}
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		v := s.values[name]
		sum, _ := hex.DecodeString(v.SHA256)
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write(binary.BigEndian.AppendUint64(nil, v.Revision))
		h.Write(sum)
		if v.Revision > after {
			a.Values = append(a.Values, v)
		}
	}
	a.Digest = hex.EncodeToString(h.Sum(nil))
	for _, name := range slices.Sorted(maps.Keys(s.deleted)) {
		if strings.HasPrefix(name, prefix) && s.deleted[name] > after {
			a.Deleted = append(a.Deleted, name)
		}
	}
	return a
}

// Faults are the faults that can be injected.
type Faults struct {
	Down         bool          `json:"down"`  // reads fail with status 503
	Stale        bool          `json:"stale"` // answers show the state from when the fault was set
	Inconsistent bool          `json:"torn"`  // one value of an answer does not match its checksum
	Delay        time.Duration `json:"-"`     // added before each answer
}

// Stats are counters of reads, and the current faults.
type Stats struct {
	Revision uint64 `json:"revision"`
	Reads    uint64 `json:"reads"`   // reads and watches received
	Waiting  int    `json:"waiting"` // watches waiting for a change
	Refused  uint64 `json:"refused"` // reads that failed because of Faults.Down
	Faults   Faults `json:"faults"`
	DelayMs  int64  `json:"delay_ms"`
}

// Config configures a Platform.
type Config struct {
	Dir string // directory of published files; values are named by their path in it
	// Rescan is the interval between scans of the directory; DefaultRescan if 0.
	Rescan time.Duration
}

// DefaultRescan is the default interval between scans of the directory.
const DefaultRescan = 200 * time.Millisecond

// Platform is safe for concurrent use.
type Platform struct {
	cfg Config

	mu      sync.Mutex
	store   *store
	frozen  *store // source of answers while Faults.Stale is set; otherwise nil
	faults  Faults
	notify  chan struct{} // closed and replaced on each change
	reads   uint64
	refused uint64
	waiting int
}

// New reads the directory and returns the platform. Revisions start at the current
// time in milliseconds, so that they keep increasing across restarts.
func New(cfg Config) (*Platform, error) {
	if cfg.Rescan == 0 {
		cfg.Rescan = DefaultRescan
	}
	p := &Platform{cfg: cfg, store: newStore(), notify: make(chan struct{})}
	p.store.revision = uint64(time.Now().UnixMilli())
	if err := p.Scan(); err != nil {
		return nil, err
	}
	return p, nil
}

// Scan publishes the changed files. All changes found by one scan get the same
// store revision. Hidden files are ignored; the extension is not part of a name.
func (p *Platform) Scan() error {
	found, err := readDir(p.cfg.Dir)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publish(found)
	return nil
}

// publish replaces all values with the bodies in found.
func (p *Platform) publish(found map[string]string) {
	next := p.store.revision + 1
	changed := false
	for name, body := range found {
		sum := sha256.Sum256([]byte(body))
		text := hex.EncodeToString(sum[:])
		if old, ok := p.store.values[name]; ok && old.SHA256 == text {
			continue
		}
		p.store.values[name] = Value{Name: name, Revision: next, SHA256: text, Body: body}
		delete(p.store.deleted, name)
		changed = true
	}
	for name := range p.store.values {
		if _, ok := found[name]; !ok {
			delete(p.store.values, name)
			p.store.deleted[name] = next
			changed = true
		}
	}
	if changed {
		p.store.revision = next
		p.notifyWatches()
	}
}

// notifyWatches makes waiting watches check for changes again.
func (p *Platform) notifyWatches() {
	close(p.notify)
	p.notify = make(chan struct{})
}

func readDir(dir string) (map[string]string, error) {
	found := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != dir
		if entry.IsDir() {
			if hidden {
				return filepath.SkipDir
			}
			return nil
		}
		if hidden || !entry.Type().IsRegular() {
			return nil
		}
		return addFile(found, dir, path)
	})
	if err != nil {
		return nil, fmt.Errorf("read published files: %w", err)
	}
	return found, nil
}

func addFile(found map[string]string, dir, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(body) > MaxValueBytes {
		return fmt.Errorf("%s has %d bytes, at most %d", path, len(body), MaxValueBytes)
	}
	if !utf8.Valid(body) {
		return fmt.Errorf("%s is not UTF-8 text", path)
	}
	relative, err := filepath.Rel(dir, path)
	if err != nil {
		return err
	}
	name := valueName(filepath.ToSlash(relative))
	if _, ok := found[name]; ok {
		return fmt.Errorf("%s: another file has the name %s too", path, name)
	}
	found[name] = string(body)
	return nil
}

// valueName returns the path without its extension. The base and overlay files of
// a deployment directory are published under config/.
func valueName(path string) string {
	name := strings.TrimSuffix(path, filepath.Ext(path))
	if name == "base" || strings.HasPrefix(name, "overlay/") {
		return "config/" + name
	}
	return name
}

// SetFaults replaces all current faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case f.Stale && p.frozen == nil:
		p.frozen = p.store.clone()
	case !f.Stale:
		p.frozen = nil
	}
	p.faults = f
	p.notifyWatches()
}

// Stats returns the current statistics.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Revision: p.store.revision, Reads: p.reads, Waiting: p.waiting, Refused: p.refused,
		Faults: p.faults, DelayMs: p.faults.Delay.Milliseconds(),
	}
}
