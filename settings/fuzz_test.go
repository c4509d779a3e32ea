package settings_test

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
	"toucangw.example/settings"
)

// addFiles calls add with each test file.
func addFiles(f *testing.F, add func(name string, data []byte)) {
	f.Helper()
	for _, dir := range []string{"good", "bad"} {
		for _, path := range testFiles(f, dir) {
			src := loadFile(f, path)
			add(src.Name, src.Data)
		}
	}
}

// Guards against panics, problems located outside the file, results that depend
// on earlier versions, and policies that break the invariants of the design
// page.
func FuzzCompile(f *testing.F) {
	full := loadFile(f, fullBase)
	addFiles(f, func(_ string, data []byte) {
		f.Add(data, []byte(nil))
		f.Add(full.Data, data)
	})
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		sources := map[string]settings.Source{"site": {Name: "overlay", Data: overlay}}
		policies, problems := settings.Compile(1, settings.Source{Name: "base", Data: base}, sources)
		policiesAgain, problemsAgain := settings.Compile(1, settings.Source{Name: "base", Data: base}, sources)
		require.Equal(t, problems, problemsAgain, "results depend on the files alone")
		require.Equal(t, policies, policiesAgain)
		compiler := settings.NewCompiler()
		for range 2 {
			_, fullProblems := compiler.Compile(1, full, nil)
			require.Empty(t, fullProblems)
			policiesAgain, problemsAgain = compiler.Compile(1, settings.Source{Name: "base", Data: base}, sources)
			require.Equal(t, problems, problemsAgain, "results do not depend on earlier versions")
			require.Equal(t, policies, policiesAgain)
		}
		if len(problems) > 0 {
			require.Nil(t, policies)
			requireLocated(t, problems, map[string][]byte{"base": base, "overlay": overlay})
			return
		}
		require.Len(t, policies, 2)
		for _, p := range policies {
			requireValidPolicy(t, p)
		}
		requireWithinBase(t, policies[settings.BaseSite], policies["site"])
	})
}

// Guards against panics and against settings that the node cannot use.
func FuzzParseNode(f *testing.F) {
	addFiles(f, func(_ string, data []byte) { f.Add(data) })
	f.Fuzz(func(t *testing.T, data []byte) {
		n, problems := settings.ParseNode(settings.Source{Name: "node", Data: data})
		if len(problems) > 0 {
			require.Nil(t, n)
			requireLocated(t, problems, map[string][]byte{"node": data})
			return
		}
		for _, addr := range []netip.AddrPort{n.Listen.Callers, n.Listen.Peers, n.Listen.Egress, n.Listen.Operator} {
			require.True(t, addr.IsValid() && addr.Port() > 0)
		}
		require.Equal(t, n.Host.Service != "", n.Upstream.Address.IsValid())
		require.NotEmpty(t, append(n.Seeds, n.Platform.Addresses...))
		require.NotEmpty(t, n.Host.Site)
		require.Positive(t, n.Limits.MaxBody)
	})
}

// requireLocated checks that each problem is located in one of the files and that
// its text is short and printable.
func requireLocated(t require.TestingT, problems settings.Problems, files map[string][]byte) {
	for _, p := range problems {
		data, ok := files[p.File]
		require.True(t, ok, p.File)
		require.GreaterOrEqual(t, p.Line, 0)
		require.LessOrEqual(t, p.Line, bytes.Count(data, []byte("\n"))+1)
		require.NotEmpty(t, p.Rule)
		unprintable := strings.IndexFunc(p.String(), func(r rune) bool { return !unicode.IsPrint(r) })
		require.Negative(t, unprintable, "%q could control a terminal", p.String())
		require.Less(t, len(p.String()), 1000)
	}
}

// requireValidPolicy checks the properties of a policy that the decision packages
// rely on.
func requireValidPolicy(t require.TestingT, p *policy.Policy) {
	require.NotEmpty(t, p.Services)
	require.NotEmpty(t, p.Callers)
	for _, s := range p.Services {
		require.Less(t, s.Reserved, s.Slots)
		require.GreaterOrEqual(t, s.Reserved, 0)
		require.GreaterOrEqual(t, s.Connections, s.Slots)
		require.Positive(t, s.SubsetSize)
	}
	for _, k := range p.Kinds {
		require.Contains(t, p.Services, k.Service)
		require.Same(t, k, p.Match(k.Service, k.Method, k.PathPrefix))
		require.GreaterOrEqual(t, k.Deadline, k.TreeCost)
		require.GreaterOrEqual(t, k.TreeCost, k.Cost)
		require.Positive(t, k.Cost)
		require.Greater(t, k.Worth, 0.0)
		if k.OnceOnly {
			require.Equal(t, call.Critical, k.Importance)
			require.False(t, slices.Contains([]string{"GET", "HEAD", "OPTIONS"}, k.Method))
			require.LessOrEqual(t, k.Deadline, p.Limits.KeyLifetime)
		}
	}
	for _, c := range p.Callers {
		require.Greater(t, c.Share, 0.0)
	}
}

// requireWithinBase checks that the policy of a site differs from that of the base
// only where overlays may adjust it.
func requireWithinBase(t require.TestingT, base, site *policy.Policy) {
	require.Equal(t, base.Limits, site.Limits)
	require.Len(t, site.Services, len(base.Services))
	require.Len(t, site.Callers, len(base.Callers))
	require.Len(t, site.Kinds, len(base.Kinds))
	for name, s := range base.Services {
		adjusted := *site.Services[name]
		adjusted.Slots, adjusted.Connections, adjusted.Reserved = s.Slots, s.Connections, s.Reserved
		adjusted.ColdStart, adjusted.MaxQueueWait = s.ColdStart, s.MaxQueueWait
		require.Equal(t, *s, adjusted)
	}
	for i, k := range base.Kinds {
		adjusted := *site.Kinds[i]
		require.LessOrEqual(t, adjusted.ExtraAttempts, k.ExtraAttempts)
		adjusted.ExtraAttempts, adjusted.Worth, adjusted.Deadline = k.ExtraAttempts, k.Worth, k.Deadline
		if !k.OnceOnly {
			adjusted.Importance = k.Importance
		}
		require.Equal(t, *k, adjusted)
	}
}

// Guards against overlays that change what only the base may set. Random bytes
// seldom form a valid overlay, so overlays are generated from keys and values.
func TestOverlayStaysWithinBase(t *testing.T) {
	base := loadFile(t, fullBase)
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		overlay := settings.Source{Name: "o.toml", Data: drawOverlay(t)}
		policies, problems := settings.Compile(1, base, map[string]settings.Source{"site": overlay})
		if len(problems) > 0 {
			requireLocated(t, problems, map[string][]byte{base.Name: base.Data, overlay.Name: overlay.Data})
			return
		}
		accepted++
		requireValidPolicy(t, policies["site"])
		requireWithinBase(t, policies[settings.BaseSite], policies["site"])
	})
	require.Positive(t, accepted)
}

// drawOverlay generates an overlay for the entries of fullBase.
func drawOverlay(t *rapid.T) []byte {
	names := map[string][]string{
		"service": {"store", "ledger", "stores"},
		"kind":    {"read-one", "read", "write"},
		"caller":  {"house-1", "house-2"},
	}
	var b bytes.Buffer
	for _, table := range settings.BaseTables() {
		if !table.Repeated {
			continue
		}
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names[table.Name]), 0, 2, rapid.ID).Draw(t, table.Name) {
			b.WriteString("[[" + table.Name + "]]\nname = \"" + name + "\"\n")
			for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(table.Keys[1:]), 0, 2, keyName).Draw(t, "keys") {
				b.WriteString(key.Name + " = " + drawValue(t, key) + "\n")
			}
		}
	}
	return b.Bytes()
}

func keyName(k settings.Key) string { return k.Name }

// drawValue generates a value, valid or not, in TOML syntax.
func drawValue(t *rapid.T, key settings.Key) string {
	samples := map[settings.Type][]string{
		settings.TypeName:     {`"store"`, `"ledger"`, `""`},
		settings.TypePath:     {`"/"`, `"/items"`},
		settings.TypeInteger:  {"0", "1", "3", "8", "9", "80", "600"},
		settings.TypeNumber:   {"0", "0.5", "30"},
		settings.TypeBool:     {"true", "false"},
		settings.TypeDuration: {`"0s"`, `"11ms"`, `"12ms"`, `"1s"`, `"5m"`, `"6m"`},
	}
	if key.Type == settings.TypeChoice {
		return `"` + rapid.SampledFrom(key.Choices).Draw(t, key.Name) + `"`
	}
	return rapid.SampledFrom(samples[key.Type]).Draw(t, key.Name)
}

// Guards against defaults that differ from the reference page or from package
// policy.
func TestDefaults(t *testing.T) {
	policies, problems := settings.Compile(1, loadFile(t, "testdata/good/base-minimal.toml"), nil)
	require.Empty(t, problems)
	p := policies[settings.BaseSite]
	require.Equal(t, policy.Limits{
		MaxBody: 1 << 20, MaxDepth: 32, KeyLifetime: 10 * time.Minute, MaxKeys: 100_000, MaxKeyBytes: 32 << 20,
	}, p.Limits)
	require.Equal(t, policy.Service{
		Name: "store", Slots: 8, Connections: 8, ColdStart: 5 * time.Second, SubsetSize: 8, MaxQueueWait: 250 * time.Millisecond,
	}, *p.Services["store"])
	require.Equal(t, policy.Kind{
		Name: "read", Service: "store", Method: "GET", PathPrefix: "/", Importance: call.Normal, Worth: 1,
		Deadline: 400 * time.Millisecond, ExtraAttempts: 2, Cost: 5 * time.Millisecond, TreeCost: 5 * time.Millisecond,
	}, *p.Kinds[0])
	require.Equal(t, 1.0, p.Callers["house"].Share)
}
