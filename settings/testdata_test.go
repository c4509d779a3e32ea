package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

// fullBase is the base to which the overlays in testdata are applied.
const fullBase = "testdata/good/base-full.toml"

// checkFile checks a test file as a base, an overlay or node settings, according
// to the first part of its name.
func checkFile(t *testing.T, path string) settings.Problems {
	t.Helper()
	src := settings.Source{Name: filepath.Base(path), Data: loadFile(t, path).Data}
	var problems settings.Problems
	switch kind, _, _ := strings.Cut(src.Name, "-"); kind {
	case "base":
		_, problems = settings.Compile(1, src, nil)
	case "overlay":
		_, problems = settings.Compile(1, loadFile(t, fullBase), map[string]settings.Source{"site": src})
	case "node":
		_, problems = settings.ParseNode(src)
	default:
		t.Fatalf("unknown kind of test file %s", src.Name)
	}
	return problems
}

func testFiles(t testing.TB, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

// Guards against checks that reject valid files.
func TestGoodFiles(t *testing.T) {
	for _, path := range testFiles(t, "good") {
		require.NoError(t, checkFile(t, path).Err(), path)
	}
}

// Guards against problems that are missed, have the wrong location or are
// reported only one at a time: the .want file holds the complete report.
func TestBadFiles(t *testing.T) {
	for _, path := range testFiles(t, "bad") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(strings.TrimSuffix(path, ".toml") + ".want")
			require.NoError(t, err)
			require.Equal(t, string(want), checkFile(t, path).Error()+"\n")
		})
	}
}

// Guards against rules without a test, and against rule names that Rules does not
// list.
func TestRulesAreCovered(t *testing.T) {
	seen := map[string]bool{
		// Covered by tests that build their input.
		settings.RuleFileSize: true,
		settings.RuleTooMany:  true,
		settings.RuleSiteName: true,
	}
	known := map[string]bool{}
	for _, rule := range settings.Rules() {
		known[rule.Name] = true
	}
	for _, path := range testFiles(t, "bad") {
		for _, problem := range checkFile(t, path) {
			require.True(t, known[problem.Rule], "unlisted rule %s", problem.Rule)
			seen[problem.Rule] = true
		}
	}
	for name := range known {
		require.True(t, seen[name], "no bad file for rule %s", name)
	}
}
