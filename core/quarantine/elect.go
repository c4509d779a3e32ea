package quarantine

import "github.com/cespare/xxhash/v2"

// Elect returns the index of the upstream at which quarantined requests are probed, so
// that nodes with the same list choose the same one; -1 if there is none.
func Elect(f Fingerprint, ids []string) int {
	best, chosen := uint64(0), -1
	for i, id := range ids {
		weight := xxhash.Sum64String(f.String() + id)
		if chosen < 0 || weight > best {
			best, chosen = weight, i
		}
	}
	return chosen
}
