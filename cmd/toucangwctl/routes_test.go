package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testDocument = `{
  "version": 12,
  "services": [{"name": "batchlog", "health-check-path": "/h", "max-connections": 9}, {"name": "ledger", "health-check-path": "/h", "max-connections": 9}],
  "limits": {"max-header-bytes": 4096, "max-body-bytes": 1048576, "header-timeout": "1s", "idle-timeout": "5s"},
  "virtual-hosts": [{"host": "shop.example", "path-rules": [
    {"name": "reads", "path-prefix": "/read/", "kind": "safe", "timeout": "1500ms", "target-latency": "500ms", "priority": 1, "service": "batchlog", "max-attempts": 2},
    {"name": "old", "path-prefix": "/read/old/", "kind": "safe", "timeout": "1500ms", "target-latency": "500ms", "priority": 2,
     "traffic-split": [{"service": "batchlog", "weight": 3}, {"service": "ledger", "weight": 1}], "max-attempts": 2}
  ]}]
}
`

// Guards against a listing that differs from how nodes interpret the document.
func TestRoutes(t *testing.T) {
	writeFiles(t, map[string]string{"config.json": testDocument})
	got := runTool("routes", "config.json")
	require.Equal(t, exitOK, got.code, got.err)
	require.Contains(t, got.out, "version 12")
	require.Contains(t, got.out, "batchlog=3 ledger=1")

	got = runTool("routes", "--host", "shop.example", "--path", "/read/old/7", "--json", "config.json")
	require.Equal(t, exitOK, got.code, got.err)
	require.Contains(t, got.out, `"name": "old"`)
	require.NotContains(t, got.out, `"name": "reads"`)

	got = runTool("routes", "--host", "shop.example", "--path", "/reads", "config.json")
	require.Equal(t, exitProblems, got.code)
	require.Contains(t, got.err, "version 12 has no route for /reads of shop.example")
}

// Guards against an error that does not locate the problem in the document.
func TestRoutesInvalidDocument(t *testing.T) {
	writeFiles(t, map[string]string{
		"syntax.json": "{\n  \"version\": 12,\n  oops\n}",
		"type.json":   "{\n  \"version\": \"twelve\"\n}",
		"rule.json":   `{"version": 3, "virtual-hosts": [{"host": "a", "path-rules": [{"name": "x", "path-prefix": "/x", "kind": "safe", "timeout": "1s", "service": "none"}]}]}`,
	})
	for file, text := range map[string]string{
		"syntax.json": "syntax.json:3:",
		"type.json":   "type.json:2:",
		"rule.json":   `configuration 3: route "x": path prefix "/x" does not begin and end with a slash`,
	} {
		got := runTool("routes", file)
		require.Equal(t, exitProblems, got.code, file)
		require.Contains(t, got.err, text)
	}
	require.Equal(t, exitUsage, runTool("routes", "missing.json").code)
	require.Equal(t, exitUsage, runTool("routes", "--path", "/x", "rule.json").code)
}

// endless never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a document on standard input that never ends and fills the
// memory.
func TestRoutesBoundsStandardInput(t *testing.T) {
	_, _, err := (&routesCommand{in: endless{}}).read()
	require.ErrorContains(t, err, "standard input exceeds")
}
