package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/member"
)

func newTestPlatform(t *testing.T) (*Platform, string, string) {
	t.Helper()
	dir := t.TempDir()
	write(t, dir, "base.toml", "one")
	write(t, dir, "hosts/a.json", "[]")
	p, err := New(Config{Dir: dir})
	require.NoError(t, err)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, dir, server.URL
}

func write(t *testing.T, dir, name, body string) {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, []byte(body), 0o644))
}

func get(t *testing.T, url string, status int) Answer {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, status, resp.StatusCode)
	var a Answer
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// Guards against wrong answers to reads: value names, a revision that changes with
// other prefixes, unchanged values, missing removals, accepted bad parameters.
func TestRead(t *testing.T) {
	p, dir, base := newTestPlatform(t)
	all := get(t, base+"/v1/values?prefix=config/", 200)
	require.Len(t, all.Values, 1)
	require.Equal(t, "config/base", all.Values[0].Name)
	require.Equal(t, "one", all.Values[0].Body)

	write(t, dir, "hosts/a.json", "[1]")
	require.NoError(t, p.Scan())
	require.Equal(t, all, get(t, base+"/v1/values?prefix=config/", 200), "another prefix changed")

	write(t, dir, "overlay/x.toml", "x")
	require.NoError(t, os.Remove(filepath.Join(dir, "base.toml")))
	require.NoError(t, p.Scan())
	next := get(t, base+"/v1/values?prefix=config/&after="+jsonNumber(all.Revision), 200)
	require.Greater(t, next.Revision, all.Revision)
	require.Equal(t, []string{"config/base"}, next.Deleted)
	require.Equal(t, "config/overlay/x", next.Values[0].Name)
	revisionOnly := get(t, base+"/v1/values?prefix=config/&bodies=false", 200)
	require.Equal(t, next.Revision, revisionOnly.Revision)
	require.Equal(t, next.Digest, revisionOnly.Digest)
	require.Empty(t, revisionOnly.Values)
	get(t, base+"/v1/values?after=x", 400)
	get(t, base+"/v1/values?bodies=x", 400)
	get(t, base+"/v1/values?wait=900", 400)
}

func jsonNumber(n uint64) string {
	out, _ := json.Marshal(n)
	return string(out)
}

// Guards against watches that return before a change under their prefix or the end
// of the requested wait, or that miss a change.
func TestWatch(t *testing.T) {
	p, dir, base := newTestPlatform(t)
	first := get(t, base+"/v1/values?prefix=config/", 200)
	watch := base + "/v1/values?prefix=config/&after=" + jsonNumber(first.Revision)
	require.Empty(t, get(t, watch+"&wait=0.05", 200).Values)
	done := make(chan Answer)
	go func() { done <- get(t, watch+"&wait=30", 200) }()
	require.Eventually(t, func() bool { return p.Stats().Waiting == 1 }, 5*time.Second, time.Millisecond)
	write(t, dir, "base.toml", "two")
	require.NoError(t, p.Scan())
	require.Equal(t, "two", (<-done).Values[0].Body)
	require.Equal(t, uint64(3), p.Stats().Reads)
}

// Guards against faults without effect, on which other tests and the demo rely.
func TestFaults(t *testing.T) {
	p, dir, base := newTestPlatform(t)
	control := func(form string, status int) {
		values, err := url.ParseQuery(form)
		require.NoError(t, err)
		resp, err := http.PostForm(base+"/control", values)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, status, resp.StatusCode)
	}
	read := base + "/v1/values?prefix=config/"
	control("down=true", 200)
	get(t, read, 503)
	control("stale=true", 200)
	write(t, dir, "base.toml", "two")
	require.NoError(t, p.Scan())
	require.Equal(t, "one", get(t, read, 200).Values[0].Body)
	control("torn=true", 200)
	require.Equal(t, "t", get(t, read, 200).Values[0].Body)
	control("delay=30ms", 200)
	begin := time.Now()
	require.Equal(t, "two", get(t, read, 200).Values[0].Body)
	require.GreaterOrEqual(t, time.Since(begin), 30*time.Millisecond)
	control("slow=true", 400)
	control("delay=soon", 400)
}

// Guards against publishing files that no node can accept: duplicate names, text
// that is not UTF-8, and too large files.
func TestBadFiles(t *testing.T) {
	for name, body := range map[string]string{
		"base.txt": "two files of one name", "x.bin": "\xff", "big": strings.Repeat("x", MaxValueBytes+1),
	} {
		p, dir, _ := newTestPlatform(t)
		write(t, dir, name, body)
		require.Error(t, p.Scan(), name)
	}
}

// Guards against invalid host lists in the examples.
func TestExampleHostLists(t *testing.T) {
	for _, example := range []string{"drooglog", "kandy"} {
		p, err := New(Config{Dir: filepath.Join("..", "..", "examples", example)})
		require.NoError(t, err)
		lists := 0
		for name, v := range p.store.values {
			if strings.HasPrefix(name, member.ListPrefix) {
				lists++
				_, err := member.ParseList(name, []byte(v.Body))
				require.NoError(t, err)
			}
		}
		require.Equal(t, 3, lists)
	}
}
