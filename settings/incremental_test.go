package settings_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

// compare compiles with both and requires the same result.
func compare(t *testing.T, k *settings.Compiler, base, overlay []byte) {
	t.Helper()
	src := settings.Source{Name: "base", Data: base}
	overlays := map[string]settings.Source{"site": {Name: "overlay", Data: overlay}}
	want, wantProblems := settings.Compile(3, src, overlays)
	got, problems := k.Compile(3, src, overlays)
	require.Equal(t, wantProblems, problems)
	require.Equal(t, want, got)
	for _, site := range []string{"site", "another"} {
		p, problems := k.CompileSite(3, src, overlays, site)
		require.Equal(t, wantProblems, problems)
		if _, ok := want[site]; !ok {
			site = settings.BaseSite
		}
		require.Equal(t, want[site], p)
	}
}

// Guards against a node that judges differently because it has read an earlier
// version: each file follows each other one.
func TestCompilerMatchesCompile(t *testing.T) {
	base := loadFile(t, fullBase).Data
	k := settings.NewCompiler()
	for _, dir := range []string{"good", "bad"} {
		for _, path := range testFiles(t, dir) {
			data := loadFile(t, path).Data
			compare(t, k, data, nil)
			compare(t, k, base, data)
			compare(t, k, base, nil)
			compare(t, k, append(append(bytes.Clone(base), '\n'), data...), nil)
		}
	}
}

// Guards the division into parts against every form that TOML allows.
func TestCompilerPartsOfOddFiles(t *testing.T) {
	base := string(loadFile(t, fullBase).Data)
	k := settings.NewCompiler()
	for name, text := range map[string]string{
		"heading in a long string": base + "\n[[caller]]\nname = \"\"\"\n[[caller]]\n\"\"\"\n",
		"heading in an array":      base + "\n[[caller]]\nname = [\n[1],\n[2]]\n",
		"keys before headings":     "limits = {max_depth = 3}\n" + base,
		"inline array of tables":   "caller = [{name = \"x\"}]\n" + base,
		"second single table":      base + "\n[limits]\nmax_depth = 4\n[limits]\nmax_depth = 5\n",
		"table below an entry":     base + "\n[caller.x]\ny = 1\n",
		"indented heading":         base + "\n  [[caller]]\n  name = \"indented\"\n",
		"carriage returns":         string(bytes.ReplaceAll([]byte(base), []byte("\n"), []byte("\r\n"))),
		"byte order mark":          "\ufeff" + base,
		"no newline at the end":    base + "\n[[caller]]\nname = \"last\"",
		"open string at the end":   base + "\n[[caller]]\nname = \"last",
		"duplicate entry":          base + "\n" + base,
		"comment only":             "# nothing\n",
		"empty":                    "",
	} {
		t.Run(name, func(t *testing.T) {
			compare(t, k, []byte(base), nil)
			compare(t, k, []byte(text), nil)
		})
	}
}

// Guards the same with generated files.
func FuzzCompiler(f *testing.F) {
	base := loadFile(f, fullBase).Data
	addFiles(f, func(_ string, data []byte) {
		f.Add(data, []byte(nil))
		f.Add(base, data)
	})
	f.Fuzz(func(t *testing.T, data, overlay []byte) {
		k := settings.NewCompiler()
		compare(t, k, base, overlay)
		compare(t, k, data, overlay)
		compare(t, k, append(append(bytes.Clone(base), '\n'), data...), overlay)
	})
}
