package gossip

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Digest is a SHA-256.
type Digest = [sha256.Size]byte

// Value is one published value. Body must not be changed.
type Value struct {
	Name     string
	Revision uint64
	Sum      Digest // SHA-256 of Body
	Body     []byte
}

// Snapshot holds all values under a prefix at one store revision. It is
// read-only once built and may be shared between goroutines.
type Snapshot struct {
	Prefix   string
	Revision uint64
	Digest   Digest
	values   map[string]Value
	names    []string // sorted
}

// Errors for snapshots and updates that are not accepted.
var (
	ErrCorrupt      = errors.New("value does not match its hash")
	ErrInconsistent = errors.New("values do not belong to one revision")
	ErrStale        = errors.New("revision is not newer than the latest one received")
	ErrMissingBase  = errors.New("delta starts from a revision that is not available")
	ErrPartial      = errors.New("some values are missing and follow in a later message")
)

// NewSnapshot builds a snapshot. The map must not change afterwards.
func NewSnapshot(prefix string, revision uint64, values map[string]Value) *Snapshot {
	s := &Snapshot{Prefix: prefix, Revision: revision, values: values}
	s.names = slices.Sorted(maps.Keys(values))
	h := sha256.New()
	var rev [8]byte
	for _, name := range s.names {
		v := values[name]
		binary.BigEndian.PutUint64(rev[:], v.Revision)
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write(rev[:])
		h.Write(v.Sum[:])
	}
	h.Sum(s.Digest[:0])
	return s
}

// Names returns the names of the values in order.
func (s *Snapshot) Names() []string { return s.names }

// Value returns a value by name.
func (s *Snapshot) Value(name string) (Value, bool) {
	v, ok := s.values[name]
	return v, ok
}

// Base returns the body of the base file, nil if there is none.
func (s *Snapshot) Base() []byte { return s.values[BaseName].Body }

// Overlays returns the bodies of the overlays by site.
func (s *Snapshot) Overlays() map[string][]byte {
	out := map[string][]byte{}
	for _, name := range s.names {
		if site, ok := strings.CutPrefix(name, OverlayPrefix); ok {
			out[site] = s.values[name].Body
		}
	}
	return out
}

// Versions lists the names and revisions of the values.
func (s *Snapshot) Versions() []Version {
	out := make([]Version, 0, len(s.names))
	for _, name := range s.names {
		out = append(out, Version{Name: name, Revision: s.values[name].Revision})
	}
	return out
}

// merge applies an answer of the platform. Values that the snapshot has at a
// newer revision, received from peers in the meantime, are kept.
func (s *Snapshot) merge(a PlatformAnswer, full bool) (*Snapshot, error) {
	values := map[string]Value{}
	if !full {
		maps.Copy(values, s.values)
	}
	for _, v := range a.Values {
		if !strings.HasPrefix(v.Name, s.Prefix) || v.Revision > a.Revision {
			return nil, fmt.Errorf("%s at revision %d in an answer at %d: %w", v.Name, v.Revision, a.Revision, ErrInconsistent)
		}
		if sha256.Sum256(v.Body) != v.Sum {
			return nil, fmt.Errorf("%s at revision %d: %w", v.Name, v.Revision, ErrCorrupt)
		}
		if old, ok := values[v.Name]; !ok || old.Revision < v.Revision {
			values[v.Name] = v
		}
	}
	for _, name := range a.Deleted {
		delete(values, name)
	}
	snapshot := NewSnapshot(s.Prefix, a.Revision, values)
	if snapshot.Digest != a.Digest {
		return nil, fmt.Errorf("%s at revision %d: %w", s.Prefix, a.Revision, ErrInconsistent)
	}
	return snapshot, nil
}
