package httpapi

import (
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a path that the upstream resolves to another one than the node:
// the request would be assigned to the wrong kind, and an at-most-once request
// could run without a key.
func TestSplitPath(t *testing.T) {
	for uri, want := range map[string][2]string{
		"/ledger/ledger/7?full=1":         {"ledger", "/ledger/7?full=1"},
		"/ledger":                         {"ledger", "/"},
		"/ledger/":                        {"ledger", "/"},
		"/ledger/a/":                      {"ledger", "/a/"},
		"/ledger?x=/../":                  {"ledger", "/?x=/../"},
		"/release/sign%2Doffs/1":          {"release", "/sign-offs/1"},
		"/ledger/a%20b":                   {"ledger", "/a%20b"},
		"/ledger/a/../b":                  {},
		"/ledger/a/%2e%2e/b":              {},
		"/ledger//b":                      {},
		"/ledger/./b":                     {},
		"/ledger/a%2Fb":                   {},
		"/x/" + strings.Repeat("y", 9000): {},
		"/x?" + strings.Repeat("y", 9000): {},
	} {
		u, err := url.ParseRequestURI(uri)
		require.NoError(t, err)
		service, rest, err := splitPath(u)
		require.Equal(t, want == [2]string{}, err != nil, "%.80s: %v", uri, err)
		require.Equal(t, want, [2]string{service, rest}, uri)
	}
}

// Guards against the same for any input: an accepted path is clean and stays
// clean when it is parsed again.
func FuzzSplitPath(f *testing.F) {
	f.Add("/release/sign%2Doffs/1?x=1")
	f.Add("/ledger/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, uri string) {
		u, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		_, rest, err := splitPath(u)
		if err != nil {
			return
		}
		again, err := url.ParseRequestURI(rest)
		require.NoError(t, err)
		if clean := path.Clean(again.Path); clean != again.Path {
			require.Equal(t, clean+"/", again.Path)
		}
	})
}
