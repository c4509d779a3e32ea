package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a difference between reading a file by sections and as a whole,
// which would make the result depend on the versions that a node read before.
func FuzzSections(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.toml")
	require.NoError(f, err)
	examples, err := filepath.Glob("../examples/*/*.toml")
	require.NoError(f, err)
	for _, path := range append(files, examples...) {
		data, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(data, false)
		f.Add(data, true)
	}
	f.Add([]byte("# comment\r\n[[caller]]\r\nname = \"a\"\r\n"), true)
	f.Add([]byte("[[caller]]\nname = \"\"\"a\n[[caller]]\n\"\"\"\n"), true)
	f.Add([]byte("[[caller]]\nname = 'a'\n\r[[caller]]\nname = 'b'\n"), true)
	f.Add([]byte("\xef\xbb\xbf[[caller]]\nname = 'a'\n"), true)
	f.Add([]byte("[limits]\n[limits]\n"), false)
	f.Fuzz(func(t *testing.T, data []byte, overlay bool) {
		src := Source{Name: "x.toml", Data: data}
		m := modeBase
		if overlay {
			m = modeOverlay
		}
		doc, ok := NewCompiler().readSections(src, m, map[sectionKey]*content{})
		if !ok {
			return
		}
		var c collector
		whole := read(src, baseTables, m, &c)
		require.Empty(t, c.problems)
		require.Equal(t, whole.entries, doc.entries)
		require.Equal(t, whole.names, doc.names)
	})
}

// Guards against examples that have to be read as a whole. Reading by sections
// keeps the time per change short.
func TestExamplesAreReadBySections(t *testing.T) {
	for _, path := range []string{"../examples/drooglog/base.toml", "../examples/kandy/base.toml"} {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		_, ok := NewCompiler().readSections(Source{Name: path, Data: data}, modeBase, map[sectionKey]*content{})
		require.True(t, ok, path)
	}
}

// Guards against a compiler that keeps the sections of all versions, which would
// exhaust the memory after days of changes, and against one whose cache is lost
// with an invalid version.
func TestCompilerDropsUnusedSections(t *testing.T) {
	data, err := os.ReadFile("../examples/kandy/base.toml")
	require.NoError(t, err)
	compiler := NewCompiler()
	var sizes []int
	for version := range 3 {
		changed := append([]byte(nil), data...)
		changed = append(changed, "\n[[caller]]\nname = \"c"+string(rune('0'+version))+"\"\n"...)
		_, problems := compiler.Compile(1, Source{Name: "base.toml", Data: changed}, nil)
		require.Empty(t, problems)
		sizes = append(sizes, len(compiler.sections))
	}
	require.Equal(t, sizes[0], sizes[2])
	_, problems := compiler.Compile(2, Source{Name: "base.toml", Data: []byte("x")}, nil)
	require.NotEmpty(t, problems)
	require.Len(t, compiler.sections, sizes[2], "an invalid version does not flush the cache")
}
