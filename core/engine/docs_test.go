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

// recordedRules returns the rules that the engine passes as string literals to
// the functions that make decision records.
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
			expr, ok := n.(*ast.CallExpr)
			if !ok || len(expr.Args) == 0 {
				return true
			}
			name, ok := expr.Fun.(*ast.SelectorExpr)
			rule, literal := expr.Args[len(expr.Args)-1].(*ast.BasicLit)
			if ok && literal && (name.Sel.Name == "record" || name.Sel.Name == "localRecord" || name.Sel.Name == "send") {
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

// routerRules returns the exported string constants of the router.
func routerRules(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(gotoken.NewFileSet(), "../route/router.go", nil, 0)
	require.NoError(t, err)
	var rules []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !spec.Names[0].IsExported() {
			return true
		}
		if value, ok := spec.Values[0].(*ast.BasicLit); ok && value.Kind == gotoken.STRING {
			text, err := strconv.Unquote(value.Value)
			require.NoError(t, err)
			rules = append(rules, text)
		}
		return true
	})
	require.Contains(t, rules, route.TwoChoices)
	return rules
}

// Guards against decisions and rules that the operators' page does not list, and
// against listed ones that do not exist.
func TestDecisionLogPageListsRules(t *testing.T) {
	want := recordedRules(t)
	for _, rule := range routerRules(t) {
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
