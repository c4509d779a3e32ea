package settings_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/settings"
)

// Target sizes from section 1.3 of the design page, with four kinds per service.
const (
	targetServices = 650
	targetKinds    = 4
	targetSites    = 13
)

// targetFiles returns a base and overlays of the target size.
func targetFiles() (settings.Source, map[string]settings.Source) {
	var base, overlay bytes.Buffer
	for s := range targetServices {
		fmt.Fprintf(&base, "[[service]]\nname = \"service-%d\"\nslots = 80\nconnections = 570\nreserved = 8\n\n", s)
		for k := range targetKinds {
			fmt.Fprintf(&base, "[[kind]]\nname = \"kind-%d-%d\"\nservice = \"service-%[1]d\"\nmethod = \"GET\"\npath_prefix = \"/%[2]d/\"\n", s, k)
			base.WriteString("importance = \"normal\"\nworth = 2\ndeadline = \"400ms\"\ncost = \"5ms\"\ntree_cost = \"12ms\"\n\n")
		}
		if s%10 == 0 {
			fmt.Fprintf(&overlay, "[[service]]\nname = \"service-%d\"\nslots = 60\n\n", s)
		}
	}
	base.WriteString("[[caller]]\nname = \"house\"\n")
	overlays := map[string]settings.Source{}
	for site := range targetSites {
		name := fmt.Sprintf("zone-%d", site)
		overlays[name] = settings.Source{Name: name + ".toml", Data: overlay.Bytes()}
	}
	return settings.Source{Name: "base.toml", Data: base.Bytes()}, overlays
}

func BenchmarkCompileTarget(b *testing.B) {
	base, overlays := targetFiles()
	b.ReportAllocs()
	for b.Loop() {
		policies, problems := settings.Compile(1, base, overlays)
		require.Empty(b, problems)
		require.Len(b, policies, targetSites+1)
	}
}

// BenchmarkCompilerChange measures the recompilation after the change of a single
// value, as a node does it.
func BenchmarkCompilerChange(b *testing.B) {
	base, overlays := targetFiles()
	changed := base
	changed.Data = bytes.Replace(base.Data, []byte("slots = 80"), []byte("slots = 90"), 1)
	compiler := settings.NewCompiler()
	versions := []settings.Source{base, changed}
	_, problems := compiler.Compile(1, base, overlays)
	require.Empty(b, problems)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		_, problems := compiler.Compile(1, versions[i%2], overlays)
		require.Empty(b, problems)
	}
}
