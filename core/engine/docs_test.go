package engine_test

import (
	"go/ast"
	"go/parser"
	gotoken "go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/engine"
	"toucangw.example/core/route"
)

// recordedRules returns the rules that the engine names itself in its records.
func recordedRules(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	rules := map[string]bool{}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(gotoken.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			callee, ok := n.(*ast.CallExpr)
			if !ok || len(callee.Args) == 0 {
				return true
			}
			name, ok := callee.Fun.(*ast.SelectorExpr)
			rule, literal := callee.Args[len(callee.Args)-1].(*ast.BasicLit)
			if ok && literal && (name.Sel.Name == "record" || name.Sel.Name == "guardRecord" || name.Sel.Name == "send") {
				text, err := strconv.Unquote(rule.Value)
				require.NoError(t, err)
				rules[text] = true
			}
			return true
		})
	}
	require.NotEmpty(t, rules)
	return rules
}

// Guards against a decision or rule that operators cannot look up, and against
// one on the page that does not exist.
func TestRulesAreOnThePage(t *testing.T) {
	want := recordedRules(t)
	for _, rule := range []string{route.TwoChoices, route.Spill, route.OnlyHost, route.OutsideSubset} {
		want[rule] = true
	}
	page, err := os.ReadFile("../../docs/operate-decision-log.md")
	require.NoError(t, err)
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\|[^|]*\\|[^|]*\\| `([a-z-]+)` \\|").FindAllSubmatch(page, -1) {
		listed[string(row[1])] = true
	}
	require.Equal(t, want, listed)
	for _, kind := range []engine.DecisionKind{
		engine.DecisionRoute, engine.DecisionAdmit, engine.DecisionQueue, engine.DecisionRefuse,
		engine.DecisionRetry, engine.DecisionCancel,
	} {
		require.Regexp(t, "(?m)^\\| `"+string(kind)+"` \\| (entry|guard|both) \\|", string(page))
	}
}
