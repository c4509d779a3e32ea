package gossip

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"fmt"
	"io"
)

const (
	// MaxValueBytes bounds a value; the platform stores values of up to a
	// megabyte.
	MaxValueBytes = 4 << 20
	// minCompressBytes is the length of an inserted part from which it is
	// compressed; below it the gain is a few bytes.
	minCompressBytes = 512
)

// Delta turns one revision of a value into a later one: the common prefix and
// suffix are kept, the bytes between them are replaced.
type Delta struct {
	Name       string
	From       uint64 // 0: Body is the complete value
	To         uint64
	Prefix     int // bytes kept at the start
	Suffix     int // bytes kept at the end
	Body       []byte
	Compressed bool
	Sum        Digest // SHA-256 of the resulting value
}

// size returns the approximate encoded length of the delta.
func (d Delta) size() int { return len(d.Name) + len(d.Body) + 56 }

// diff returns the delta between two revisions of a value.
func diff(from, to Value) Delta {
	prefix := commonPrefix(from.Body, to.Body)
	suffix := commonSuffix(from.Body[prefix:], to.Body[prefix:])
	d := Delta{Name: to.Name, From: from.Revision, To: to.Revision, Prefix: prefix, Suffix: suffix, Sum: to.Sum}
	d.setBody(to.Body[prefix : len(to.Body)-suffix])
	return d
}

// newFullDelta returns a delta that contains a complete value.
func newFullDelta(v Value) Delta {
	d := Delta{Name: v.Name, To: v.Revision, Sum: v.Sum}
	d.setBody(v.Body)
	return d
}

func (d *Delta) setBody(body []byte) {
	d.Body = body
	if len(body) < minCompressBytes {
		return
	}
	if compressed := compress(body); len(compressed) < len(body) {
		d.Body = compressed
		d.Compressed = true
	}
}

// apply returns the value that results from applying the delta to from, which
// is the zero Value if From is 0.
func (d Delta) apply(from Value) (Value, error) {
	body := d.Body
	if d.Compressed {
		var err error
		if body, err = decompress(d.Body); err != nil {
			return Value{}, fmt.Errorf("%s at revision %d: %w: %w", d.Name, d.To, ErrCorrupt, err)
		}
	}
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(from.Body) || d.Suffix > len(from.Body)-d.Prefix {
		return Value{}, fmt.Errorf("%s at revision %d: %w", d.Name, d.To, ErrCorrupt)
	}
	out := make([]byte, 0, d.Prefix+len(body)+d.Suffix)
	out = append(out, from.Body[:d.Prefix]...)
	out = append(out, body...)
	out = append(out, from.Body[len(from.Body)-d.Suffix:]...)
	if sha256.Sum256(out) != d.Sum {
		return Value{}, fmt.Errorf("%s at revision %d: %w", d.Name, d.To, ErrCorrupt)
	}
	return Value{Name: d.Name, Revision: d.To, Sum: d.Sum, Body: out}, nil
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	const block = 4096 // bytes.Equal compares blocks much faster than a byte loop
	i := 0
	for i+block <= n && bytes.Equal(a[i:i+block], b[i:i+block]) {
		i += block
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	const block = 4096
	i := 0
	for i+block <= n && bytes.Equal(a[len(a)-i-block:len(a)-i], b[len(b)-i-block:len(b)-i]) {
		i += block
	}
	for i < n && a[len(a)-1-i] == b[len(b)-1-i] {
		i++
	}
	return i
}

func compress(body []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // only for an invalid level
	}
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

func decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, MaxValueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(out) > MaxValueBytes {
		return nil, fmt.Errorf("value is over %d bytes", MaxValueBytes)
	}
	return out, nil
}
