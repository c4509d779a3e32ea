// Package call defines the request and response types that the decision
// packages share.
package call

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a call within one node process.
type ID uint64

// Importance is the class of a request. Lower classes are shed first.
type Importance uint8

// Importance classes, in the order in which they are shed.
const (
	Background Importance = iota
	Low
	Normal
	High
	Critical
)

var importanceNames = [...]string{"background", "low", "normal", "high", "critical"}

// String returns the name used in configuration files and metric labels.
func (i Importance) String() string {
	if int(i) < len(importanceNames) {
		return importanceNames[i]
	}
	return "unknown"
}

// ParseImportance parses the name used in configuration files.
func ParseImportance(s string) (Importance, bool) {
	for i, name := range importanceNames {
		if name == s {
			return Importance(i), true
		}
	}
	return Background, false
}

// Rank orders requests for admission at every hop; a higher rank is shed
// later. It is computed once, at the first node, and carried unchanged.
//
// Bits 20..23 hold the importance, 12..19 the logarithm of worth per slot
// millisecond of the whole call tree, 0..11 a hash of the request id.
type Rank uint32

const (
	tieBits     = 12
	densityBits = 8

	// densityZero is the density bucket of one unit of worth per slot
	// millisecond; densitySteps buckets cover a factor of two.
	densityZero  = 128
	densitySteps = 8
)

// NewRank computes the rank of a request.
func NewRank(importance Importance, worth float64, treeCost time.Duration, requestID string) Rank {
	tie := Rank(xxhash.Sum64String(requestID) & (1<<tieBits - 1))
	return Rank(importance)<<(tieBits+densityBits) | Rank(densityBucket(worth, treeCost))<<tieBits | tie
}

func densityBucket(worth float64, treeCost time.Duration) uint8 {
	ms := float64(treeCost) / float64(time.Millisecond)
	if worth <= 0 || ms <= 0 {
		return 0
	}
	bucket := densityZero + densitySteps*math.Log2(worth/ms)
	return uint8(math.Max(0, math.Min(math.MaxUint8, math.Round(bucket))))
}

// Importance returns the importance class of the rank.
func (r Rank) Importance() Importance { return Importance(r >> (tieBits + densityBits)) }

// LowestOf returns the lowest rank of an importance class.
func LowestOf(importance Importance) Rank { return Rank(importance) << (tieBits + densityBits) }

// Request describes one call at one hop.
type Request struct {
	ID        ID
	RequestID string // id of the caller's request, the same at every hop
	Caller    string // workspace on whose behalf the request runs
	Kind      string // kind of the caller's request, the same at every hop
	Service   string // service called at this hop
	Rank      Rank
	Deadline  time.Time
	Cost      time.Duration // expected slot time at this service
	Key       string        // idempotency key, set for at-most-once requests
	Digest    uint64        // digest of method, path and body
	Depth     int
	Credit    int // retry credit delegated to this hop, in attempts
	// Idempotent requests may be retried after an indeterminate outcome.
	Idempotent bool
}

// Answer is the complete response of an upstream. It is immutable, so it can
// be shared between goroutines.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
