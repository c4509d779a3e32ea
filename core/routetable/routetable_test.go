package routetable

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func testRoute(name, host, prefix string, targets ...Target) *Route {
	return &Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 2, Targets: targets}
}

func testConfig(t *testing.T, routes ...*Route) *Config {
	t.Helper()
	c, err := New(7, []Service{{Name: "a"}, {Name: "b"}}, Limits{}, routes)
	require.NoError(t, err)
	return c
}

// Guards against a request that matches a shorter prefix, or a prefix that ends
// inside a path element.
func TestMatchTakesLongestPrefixOnPathBoundary(t *testing.T) {
	c := testConfig(t,
		testRoute("all", "h.example", "/", Target{"a", 1}),
		testRoute("short", "h.example", "/x/", Target{"a", 1}),
		testRoute("long", "h.example", "/x/y/", Target{"b", 1}),
		testRoute("other", "g.example", "/x/", Target{"b", 1}))
	for _, tc := range []struct{ host, path, want string }{
		{"h.example", "/x/y/z", "long"},
		{"h.example", "/x/y/", "long"},
		{"h.example", "/x/yy/z", "short"},
		{"h.example", "/xx/", "all"},
		{"h.example", "/q?p=/x/y/", "all"},
		{"H.Example:8080", "/x/1", "short"},
		{"g.example", "/x/1", "other"},
	} {
		r := c.Match(tc.host, tc.path)
		require.NotNil(t, r, tc.path)
		assert.Equal(t, tc.want, r.Name, "%s%s", tc.host, tc.path)
	}
	assert.Nil(t, c.Match("g.example", "/y/"))
	assert.Nil(t, c.Match("unknown.example", "/x/"))
	assert.Nil(t, c.Match("g.example", "/x"), "the path /x does not have the prefix /x/")
}

// Guards against shares that deviate from the weights, also over few requests.
func TestSplitKeepsShares(t *testing.T) {
	r := testRoute("s", "h.example", "/", Target{"a", 90}, Target{"b", 10})
	testConfig(t, r)
	count := map[string]int{}
	for range 50 {
		count[r.Next()]++
	}
	assert.Equal(t, 45, count["a"])
	assert.Equal(t, 5, count["b"])
}

// Guards against requests to a target of weight zero.
func TestSplitWithZeroWeight(t *testing.T) {
	r := testRoute("s", "h.example", "/", Target{"a", 0}, Target{"b", 3})
	testConfig(t, r)
	for range 20 {
		assert.Equal(t, "b", r.Next())
	}
}

// Guards against accepting a configuration that cannot be served.
func TestNewRejects(t *testing.T) {
	for name, r := range map[string]*Route{
		"no host":         testRoute("r", "", "/", Target{"a", 1}),
		"bare prefix":     testRoute("r", "h", "/x", Target{"a", 1}),
		"unknown service": testRoute("r", "h", "/", Target{"c", 1}),
		"no service":      testRoute("r", "h", "/"),
		"negative weight": testRoute("r", "h", "/", Target{"a", -1}),
		"no weight":       testRoute("r", "h", "/", Target{"a", 0}),
		"no timeout":      {Name: "r", Host: "h", Prefix: "/", Targets: []Target{{"a", 1}}},
	} {
		_, err := New(1, []Service{{Name: "a"}}, Limits{}, []*Route{r})
		assert.Error(t, err, name)
	}
	_, err := New(1, []Service{{Name: "a"}}, Limits{}, []*Route{
		testRoute("r1", "h", "/", Target{"a", 1}), testRoute("r2", "H", "/", Target{"a", 1})})
	assert.ErrorContains(t, err, "twice")
}
