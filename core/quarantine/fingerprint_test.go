package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against two different requests that are taken for one.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	base := Request{Method: "GET", Host: "a.example", Target: "/x/1", Caller: "front"}
	others := []Request{
		{Method: "HEAD", Host: "a.example", Target: "/x/1", Caller: "front"},
		{Method: "GET", Host: "b.example", Target: "/x/1", Caller: "front"},
		{Method: "GET", Host: "a.example", Target: "/x/1?q", Caller: "front"},
		{Method: "GET", Host: "a.example", Target: "/x/1", Caller: "back"},
		{Method: "GET", Host: "a.example", Target: "/x/", Caller: "1front"},
		{Method: "GET", Host: "a.example/x", Target: "/1", Caller: "front"},
		{Method: "GET", Host: "a.example", Target: "/x/1", Caller: "front", Length: 1, Body: []byte("b")},
		{Method: "GET", Host: "a.example", Target: "/x/1", Caller: "front", Length: -1},
	}
	seen := map[Fingerprint]bool{FingerprintOf(&base): true}
	for _, r := range others {
		f := FingerprintOf(&r)
		assert.False(t, seen[f], "%+v", r)
		seen[f] = true
	}
	same := base
	same.Host = "A.Example"
	assert.Equal(t, FingerprintOf(&base), FingerprintOf(&same), "host names do not differ in case")
}

// Guards against a fingerprint that changes on its way between two nodes, and against text that is none.
func TestFingerprintsSurviveJSON(t *testing.T) {
	f := FingerprintOf(&Request{Method: "GET"})
	data, err := json.Marshal(f)
	require.NoError(t, err)
	var got Fingerprint
	require.NoError(t, json.Unmarshal(data, &got))
	assert.Equal(t, f, got)
	for _, text := range []string{`""`, `"00"`, `"zz"`, `"` + f.String() + `0"`, `"` + f.String() + `00"`} {
		assert.Error(t, json.Unmarshal([]byte(text), &got), text)
	}
}
