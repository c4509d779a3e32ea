package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/policy"
	"toucangw.example/settings"
)

// loadExample reads an example deployment as `toucangwctl check` does.
func loadExample(t *testing.T, name string) map[string]*policy.Policy {
	t.Helper()
	dir := filepath.Join("..", "examples", name)
	base := loadFile(t, filepath.Join(dir, "base.toml"))
	files, err := filepath.Glob(filepath.Join(dir, "overlay", "*.toml"))
	require.NoError(t, err)
	overlays := map[string]settings.Source{}
	for _, file := range files {
		overlays[strings.TrimSuffix(filepath.Base(file), ".toml")] = loadFile(t, file)
	}
	policies, problems := settings.Compile(7, base, overlays)
	require.NoError(t, problems.Err())
	return policies
}

func loadFile(t testing.TB, path string) settings.Source {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return settings.Source{Name: path, Data: data}
}

// Guards against examples that differ from the sizes and call trees in section
// 1.2 of the design page.
func TestExamplesMatchDesign(t *testing.T) {
	type kind struct {
		worth    float64
		deadline time.Duration
		treeCost time.Duration
		onceOnly bool
	}
	ms := time.Millisecond
	tests := map[string]struct {
		slots map[string]int
		kinds map[string]kind
	}{
		"drooglog": {
			slots: map[string]int{"batchlog": 80, "release": 100, "ledger": 100, "quality": 25},
			kinds: map[string]kind{
				"batch-read":   {1, 400 * ms, 12 * ms, false},
				"ledger-read":  {2, 400 * ms, 5 * ms, false},
				"quality-read": {4, 500 * ms, 16 * ms, false},
				"sign-off":     {20, 2000 * ms, 19 * ms, true},
			},
		},
		"kandy": {
			slots: map[string]int{"rounds": 70, "ledger": 90, "keyroom": 110, "registry": 35},
			kinds: map[string]kind{
				"key-browse":    {1, 400 * ms, 14 * ms, false},
				"winding-check": {2, 400 * ms, 9 * ms, false},
				"round-read":    {4, 400 * ms, 11 * ms, false},
				"winding-log":   {20, 2000 * ms, 13 * ms, true},
			},
		},
	}
	for name, want := range tests {
		policies := loadExample(t, name)
		require.Len(t, policies, 4, "three sites and the base")
		base := policies[settings.BaseSite]
		require.Len(t, base.Services, len(want.slots))
		for service, slots := range want.slots {
			require.Equal(t, slots, base.Services[service].Slots, service)
		}
		for kindName, w := range want.kinds {
			k := base.Kind(kindName)
			require.NotNil(t, k, kindName)
			require.Equal(t, w, kind{k.Worth, k.Deadline, k.TreeCost, k.OnceOnly}, kindName)
		}
		for site, p := range policies {
			require.Equal(t, site, p.Site)
			require.EqualValues(t, 7, p.Revision)
			require.Len(t, p.Callers, 3)
		}
	}
}

// Guards against a getting-started page whose files are not valid or differ from
// those in examples/start.
func TestStartPageMatchesFiles(t *testing.T) {
	dir := filepath.Join("..", "examples", "start")
	node := loadFile(t, filepath.Join(dir, "node.toml"))
	base := loadFile(t, filepath.Join(dir, "published", "base.toml"))
	overlay := loadFile(t, filepath.Join(dir, "published", "overlay", "home-a.toml"))
	_, problems := settings.ParseNode(node)
	require.NoError(t, problems.Err())
	_, problems = settings.Compile(1, base, map[string]settings.Source{"home-a": overlay})
	require.NoError(t, problems.Err())

	page := loadFile(t, filepath.Join("..", "docs", "operate-start.md"))
	blocks := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllStringSubmatch(string(page.Data), -1)
	require.Len(t, blocks, 3)
	for i, file := range []settings.Source{node, base, overlay} {
		require.Contains(t, string(file.Data), blocks[i][1], file.Name)
	}
	hosts := loadFile(t, filepath.Join(dir, "published", "hosts", "home-a.json"))
	require.Contains(t, string(page.Data), string(hosts.Data))
}
