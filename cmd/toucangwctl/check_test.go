package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

const testBase = `
[[service]]
name = "store"
slots = 8
connections = 8

[[kind]]
name = "read"
service = "store"
method = "GET"
importance = "normal"
deadline = "400ms"
cost = "5ms"

[[caller]]
name = "house"
`

const testOverlay = "[[service]]\nname = \"store\"\nslots = 6\n"

// result is the exit code and output of a command line.
type result struct {
	code     int
	out, err string
}

func runTool(args ...string) result { return runOn(false, args...) }

func runOn(terminal bool, args ...string) result {
	var out, errOut bytes.Buffer
	code := run(args, &environment{out: &out, err: &errOut, terminal: terminal})
	return result{code, out.String(), errOut.String()}
}

// writeFiles writes files into a new directory and makes it the working
// directory, so that the output holds relative paths only.
func writeFiles(t *testing.T, files map[string]string) {
	t.Helper()
	dir := t.TempDir()
	for name, content := range files {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(content), 0o644))
	}
	t.Chdir(dir)
}

// Guards against rejecting valid files, and against output with --quiet.
func TestCheckValid(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": testBase, "overlay/docks.toml": testOverlay})
	require.Equal(t, result{out: "valid: base.toml with 1 overlay: 1 service, 1 kind, 1 caller\n"},
		runTool("check", "base.toml", "overlay/docks.toml"))
	require.Equal(t, result{}, runTool("check", "--quiet", "base.toml", "overlay/docks.toml"))
	require.Equal(t, result{out: "valid: base.toml with 0 overlays: 1 service, 1 kind, 1 caller\n"},
		runTool("check", "base.toml"))
}

// Guards against examples in the repository that the tool rejects.
func TestCheckExamples(t *testing.T) {
	for _, name := range []string{"drooglog", "kandy"} {
		dir := filepath.Join("..", "..", "examples", name)
		overlays, err := filepath.Glob(filepath.Join(dir, "overlay", "*.toml"))
		require.NoError(t, err)
		require.Len(t, overlays, 3)
		args := append([]string{"check", "--quiet", filepath.Join(dir, "base.toml")}, overlays...)
		require.Equal(t, result{}, runTool(args...))
	}
}

// Guards against problems that a script cannot see: a wrong exit code, problems
// of one file only, or a site that is not taken from the file name.
func TestCheckProblems(t *testing.T) {
	writeFiles(t, map[string]string{
		"base.toml":          strings.Replace(testBase, `"400ms"`, "400", 1),
		"overlay/docks.toml": "[[service]]\nname = \"stores\"\n",
		"overlay/A b.toml":   "",
	})
	got := runTool("check", "--quiet", "base.toml", "overlay/docks.toml", "overlay/A b.toml")
	require.Equal(t, result{code: exitProblems, out: `base.toml:12: kind.read.deadline: want text with a unit such as "250ms"; got the integer 400 [unit]
overlay/A b.toml:0: site name "A b": want 1 to 63 characters out of a-z, 0-9, '.', '_' and '-', the first a letter or digit [site-name]
overlay/docks.toml:2: service.stores.name: the base has no service "stores"; an overlay cannot add one [overlay-unknown]
not valid: 3 problems
`}, got)
}

// Guards against null in place of an empty list in the JSON output.
func TestCheckJSON(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": testBase, "bad.toml": "x = 1\n"})
	got := runTool("check", "--json", "base.toml")
	require.Equal(t, exitOK, got.code)
	require.JSONEq(t, `{"valid": true, "base": "base.toml", "overlays": [], "problems": []}`, got.out)

	got = runTool("check", "--json", "--quiet", "base.toml", "bad.toml")
	require.Equal(t, exitProblems, got.code)
	require.Empty(t, got.err)
	var report struct {
		Valid    bool
		Overlays []struct{ Site, File string }
		Problems settings.Problems
	}
	require.NoError(t, json.Unmarshal([]byte(got.out), &report))
	require.False(t, report.Valid)
	require.Equal(t, "bad", report.Overlays[0].Site)
	require.Len(t, report.Problems, 1)
	require.Equal(t, settings.RuleUnknownKey, report.Problems[0].Rule)
	require.Equal(t, 1, report.Problems[0].Line)
}

// Guards against wrong usage that is reported as success or as a problem found.
func TestCheckUsage(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": testBase, "a/docks.toml": "", "b/docks.toml": "", "dir/x": ""})
	tests := map[string]struct {
		args []string
		err  string
	}{
		"no base":      {[]string{"check"}, "the required argument `BASE` was not provided"},
		"no file":      {[]string{"check", "none.toml"}, "none.toml"},
		"no overlays":  {[]string{"check", "base.toml", "y.toml", "x.toml"}, "x.toml: no such file or directory\nread settings: open y.toml"},
		"directory":    {[]string{"check", "dir"}, "is a directory"},
		"base twice":   {[]string{"check", "base.toml", "./base.toml"}, "./base.toml is the base"},
		"site twice":   {[]string{"check", "base.toml", "a/docks.toml", "b/docks.toml"}, `both overlays of site "docks"`},
		"unknown flag": {[]string{"check", "--jason", "base.toml"}, "unknown flag `jason'"},
		"bad color":    {[]string{"check", "--color=red", "base.toml"}, "Invalid value `red'"},
		"no command":   {nil, "Please specify one command"},
		"bad command":  {[]string{"chek"}, "did you mean `check'"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := runTool(test.args...)
			require.Equal(t, exitUsage, got.code)
			require.Empty(t, got.out)
			require.Contains(t, got.err, test.err)
		})
	}
}

// Guards against reading a large or endless file into memory.
func TestCheckLargeFile(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": strings.Repeat("#\n", settings.MaxFileSize)})
	got := runTool("check", "base.toml")
	require.Equal(t, exitProblems, got.code)
	require.Contains(t, got.out, "["+settings.RuleFileSize+"]")
}

// Guards against escape sequences in output to files and pipes.
func TestCheckColour(t *testing.T) {
	writeFiles(t, map[string]string{"base.toml": testBase})
	const escape = "\x1b["
	require.NotContains(t, runOn(false, "check", "base.toml").out, escape)
	require.Contains(t, runOn(true, "check", "base.toml").out, escape)
	require.NotContains(t, runOn(true, "check", "--color=never", "base.toml").out, escape)
	require.Contains(t, runOn(false, "check", "--color=always", "base.toml").out, escape)
	require.NotContains(t, runOn(true, "check", "--json", "base.toml").out, escape)
}
