package settings_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

// Guards against input that exhausts the stack, memory or time of a node: without
// bounds on nesting, 16 KiB took seconds and a gigabyte. The input has a quarter
// of the permitted size to keep the test short.
func TestHostileInputTerminatesQuickly(t *testing.T) {
	const timeLimit = 20 * time.Second
	size := settings.MaxFileSize / 4
	fill := func(unit string) []byte { return []byte(strings.Repeat(unit, size/len(unit))) }
	tests := map[string][]byte{
		"arrays":           append([]byte("a = "), fill("[")[:size-8]...),
		"inline tables":    append([]byte("a = "), fill("{a=")[:size-8]...),
		"dotted key":       fill("a."),
		"dotted header":    append([]byte("["), fill("a.")[:size-8]...),
		"dotted inline":    append([]byte("a = {"), fill("a.")[:size-8]...),
		"quoted dots":      fill(`"".`),
		"headers":          fill("[[kind]]\n"),
		"tables":           numbered("[t%d]\n", size),
		"unknown keys":     numbered("k%d = 1\n", size),
		"deep tables":      numbered("[a.b.c.d.e.f.g.h.i.j.k.l.m.n.t%d]\n", size),
		"deep keys":        numbered("a.b.c.d.e.f.g.h.i.j.k.l.m.n.t%d = 1\n", size),
		"inline keys":      append([]byte("a = {"), numbered("b.c.d.e.f.g.h.i.j.k.l.m.n.t%d = 1,\n", size-8)...),
		"array of tables":  append([]byte("[[kind]]\n"), numbered("[[kind.k%d]]\n", size-16)...),
		"open string":      append([]byte(`a = """`), fill(`\"`)[:size-8]...),
		"backslashes":      append([]byte(`a = "`), fill(`\`)[:size-8]...),
		"invalid UTF-8":    fill("\xff"),
		"null bytes":       fill("\x00"),
		"only newlines":    fill("\n"),
		"only open quotes": fill("'"),
		"kinds":            numbered("[[kind]]\nname = \"k%d\"\nservice = \"s\"\nmethod = \"GET\"\npath_prefix = \"/%[1]d/\"\n", size),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			src := settings.Source{Name: "x.toml", Data: data[:min(len(data), size)]}
			_, problems := settings.Compile(1, src, map[string]settings.Source{"site": src})
			require.NotEmpty(t, problems)
			_, problems = settings.ParseNode(src)
			require.NotEmpty(t, problems)
			require.LessOrEqual(t, len(problems), settings.MaxProblems+1)
			require.Less(t, time.Since(start), timeLimit)
		})
	}
}

// numbered repeats a line with a running number up to the given size.
func numbered(format string, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, format, i)
	}
	end := bytes.LastIndexByte(b.Bytes()[:size], '\n')
	return b.Bytes()[:end+1]
}

// Guards against a file above the size limit that is read in part, or rejected
// without a message.
func TestFileSize(t *testing.T) {
	src := settings.Source{Name: "big.toml", Data: make([]byte, settings.MaxFileSize+1)}
	const want = "big.toml:0: the file has 1048577 bytes; want at most 1048576 [file-size]"
	_, problems := settings.Compile(1, src, nil)
	require.EqualError(t, problems, want)
	_, problems = settings.ParseNode(src)
	require.EqualError(t, problems, want)
}

// Guards against a report that grows with the file, or is truncated without a
// note.
func TestReportIsBounded(t *testing.T) {
	src := settings.Source{Name: "x.toml", Data: numbered("k%d = 1\n", 1<<16)}
	_, problems := settings.ParseNode(src)
	require.Len(t, problems, settings.MaxProblems+1)
	truncated := 0
	for _, p := range problems {
		if p.Rule == settings.RuleTooMany {
			truncated++
		}
	}
	require.Equal(t, 1, truncated)
}

// Guards against lists of entries that are so long that checks or matching become
// slow.
func TestEntriesAreBounded(t *testing.T) {
	base, err := os.ReadFile(fullBase)
	require.NoError(t, err)
	data := append(base, numbered("[[caller]]\nname = \"c%d\"\n", 200_000)...)
	_, problems := settings.Compile(1, settings.Source{Name: "b.toml", Data: data}, nil)
	require.Len(t, problems, 1)
	require.Equal(t, settings.RuleTooMany, problems[0].Rule)
	require.Equal(t, "caller", problems[0].Key)
}

// Guards against site names that cannot be part of a platform key.
func TestSiteName(t *testing.T) {
	base := settings.Source{Name: "base.toml", Data: loadFile(t, fullBase).Data}
	for _, site := range []string{"", "Docks", "a/b", "-a", strings.Repeat("a", 64)} {
		_, problems := settings.Compile(1, base, map[string]settings.Source{site: {Name: "o.toml"}})
		require.Len(t, problems, 1, site)
		require.Equal(t, settings.RuleSiteName, problems[0].Rule)
		require.Equal(t, "o.toml", problems[0].File)
	}
}

// Guards against a report that ends with the first file that has a problem.
func TestAllFilesAreReported(t *testing.T) {
	overlays := map[string]settings.Source{
		"a": {Name: "a.toml", Data: []byte("x = 1\n")},
		"b": {Name: "b.toml", Data: []byte("[[service]]\nname = \"store\"\nslots = 0\n")},
		"c": {Name: "c.toml", Data: []byte("[[service]\n")},
	}
	_, problems := settings.Compile(1, settings.Source{Name: "base.toml", Data: []byte("= 1")}, overlays)
	var files []string
	for _, p := range problems {
		files = append(files, p.File)
	}
	require.Equal(t, []string{"a.toml", "b.toml", "base.toml", "c.toml"}, files)
}
