// Package quarantine decides which requests are refused because the upstreams that
// run them crash.
//
// All requests that run at an upstream when its process ends are suspects. A suspect
// that an upstream answers is cleared; one that was running at the end of crashLimit
// incarnations is quarantined: it is refused before it runs, on all hosts. A table
// holds what one node knows; nodes exchange Records.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Fingerprint identifies equal requests: the same method, host, target, caller and
// body. It is a SHA-256 hash, so that no caller can make its request pass for that
// of another one. Of a body that is too long to be buffered only the length and the
// beginning count.
type Fingerprint [sha256.Size]byte

// Request is what a Fingerprint is made of.
type Request struct {
	Method, Host, Target string
	Caller               string // service of the host at which the request entered
	Length               int64  // of the body, bytes; -1 if unknown
	Body                 []byte // the body, or the part of a long one that is buffered
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *Request) Fingerprint {
	buf := make([]byte, 0, 256)
	for _, s := range [...]string{r.Method, strings.ToLower(r.Host), r.Target, r.Caller} {
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	buf = binary.AppendVarint(buf, r.Length)
	if len(r.Body) == 0 {
		return sha256.Sum256(buf)
	}
	h := sha256.New()
	_, _ = h.Write(buf)
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil))
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// shortDigits is the number of digits of Short.
const shortDigits = 16

// Short returns the first digits of the fingerprint, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortDigits/2]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

var errFingerprint = errors.New("a fingerprint has 64 hexadecimal digits")

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) || len(text)%2 != 0 {
		return errFingerprint
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errFingerprint
	}
	return nil
}
