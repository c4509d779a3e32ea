package node

import (
	"fmt"
	"go/ast"
	"go/parser"
	gotoken "go/token"
	"io/fs"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"toucangw.example/core/verdict"
	"toucangw.example/node/gateway"
	"toucangw.example/node/httpapi"
)

// literals returns the string literals of the given files: those in constants whose
// names begin with prefix or, if prefix is empty, all of them.
func literals(t *testing.T, prefix string, paths ...string) []string {
	t.Helper()
	var out []string
	for _, path := range paths {
		file, err := parser.ParseFile(gotoken.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				return prefix == "" || strings.HasPrefix(n.Names[0].Name, prefix)
			case *ast.FuncDecl, *ast.ImportSpec, *ast.StructType:
				return prefix == ""
			case *ast.BasicLit:
				if n.Kind == gotoken.STRING {
					text, err := strconv.Unquote(n.Value)
					require.NoError(t, err)
					out = append(out, text)
				}
			}
			return true
		})
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// goFiles returns the Go files of this module that are not tests.
func goFiles(t *testing.T) []string {
	t.Helper()
	var out []string
	require.NoError(t, filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			out = append(out, path)
		}
		return err
	}))
	return out
}

// metricNames returns the metric names in the code of this module.
func metricNames(t *testing.T) []string {
	name := regexp.MustCompile(`^toucangw_[a-z_]+$`)
	out := slices.DeleteFunc(literals(t, "", goFiles(t)...), func(s string) bool { return !name.MatchString(s) })
	require.NotEmpty(t, out)
	return out
}

// page returns the text of a page of the documentation.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "docs", name))
	require.NoError(t, err)
	return string(data)
}

// firstCells returns the words in code style in the first column of the tables of a
// page that match a pattern.
func firstCells(t *testing.T, name, pattern string) []string {
	t.Helper()
	var out []string
	for _, row := range regexp.MustCompile("(?m)^\\| `("+pattern+")` \\|").FindAllStringSubmatch(page(t, name), -1) {
		out = append(out, row[1])
	}
	slices.Sort(out)
	return out
}

// Guards against a metric that the page does not describe and a description of a
// metric that does not exist.
func TestMetricsAreDocumented(t *testing.T) {
	require.Equal(t, metricNames(t), firstCells(t, "reference-metrics.md", "toucangw_[a-z_]+"))
}

// Guards against a metric that is named in the code but not served.
func TestNamedMetricsAreServed(t *testing.T) {
	c := newCluster(t, "ledger")
	send(t, http.MethodGet, c.nodes[0].url("/ledger/ledger/1"), nil, "")
	body := string(send(t, http.MethodGet, "http://"+c.nodes[0].Addrs().Operator+"/metrics", nil, "").body)
	// A node in gateway mode serves metrics of its own.
	served := httptest.NewRecorder()
	metrics := gateway.NewMetrics()
	gateway.New(gateway.Config{Metrics: metrics})
	metrics.Handler().ServeHTTP(served, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body += served.Body.String()
	for _, name := range metricNames(t) {
		require.Contains(t, body, "# TYPE "+name+" ")
	}
}

// Guards against a header that the page does not describe and a description of a
// header that does not exist.
func TestHeadersAreDocumented(t *testing.T) {
	headers := literals(t, "Header", "httpapi/api.go", "upstream/client.go")
	require.NotEmpty(t, headers)
	cells := slices.DeleteFunc(firstCells(t, "reference-http.md", "[A-Z][A-Za-z-]+"),
		func(s string) bool { return !strings.Contains(s, "-") })
	require.Equal(t, headers, cells)
}

// Guards against a page that gives another HTTP status for a reason than the one
// that is sent.
func TestReasonStatusIsDocumented(t *testing.T) {
	text := page(t, "operate-refusals.md")
	for _, r := range verdict.Reasons() {
		status := httpapi.Status(&verdict.Refusal{Reason: r})
		require.Regexp(t, "(?m)^\\| `"+string(r)+"` \\| "+strconv.Itoa(status)+"[ ;]", text)
	}
}

type alertFile struct {
	Groups []struct {
		Name  string
		Rules []alertRule
	}
}

type alertRule struct {
	Alert       string
	Expr        string
	For         string
	Labels      map[string]string
	Annotations map[string]string
}

func alertRules(t *testing.T) []alertRule {
	t.Helper()
	data, err := os.ReadFile("../examples/alerts/rules.yml")
	require.NoError(t, err)
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	decoder.KnownFields(true)
	var file alertFile
	require.NoError(t, decoder.Decode(&file))
	var out []alertRule
	for _, group := range file.Groups {
		out = append(out, group.Rules...)
	}
	require.NotEmpty(t, out)
	return out
}

// promWords are the words of the Prometheus query language that the rules use. Any
// other word outside labels must be a metric.
var promWords = []string{
	"sum", "by", "rate", "increase", "max", "min", "count", "and", "or", "absent", "min_over_time", "instance",
}

// Guards against alert rules that never fire because they name a metric, label value
// or reason that does not exist.
func TestAlertRulesNameExistingMetrics(t *testing.T) {
	metrics := metricNames(t)
	quoted := regexp.MustCompile(`(importance|verdict|reason)(?:=~|!~|!=|=)"([^"]*)"`)
	labels := regexp.MustCompile(`\{[^}]*\}|\[\d+[mh]\]`)
	word := regexp.MustCompile(`[a-zA-Z_][a-zA-Z0-9_]*`)
	values := map[string][]string{
		"importance": {"background", "low", "normal", "high", "critical"},
		"verdict":    {verdict.NotRun.String(), verdict.MayHaveRun.String(), verdict.Run.String()},
		"reason":     {"answered"},
	}
	for _, r := range verdict.Reasons() {
		values["reason"] = append(values["reason"], string(r))
	}
	for _, rule := range alertRules(t) {
		for _, use := range word.FindAllString(labels.ReplaceAllString(rule.Expr, ""), -1) {
			require.True(t, slices.Contains(metrics, use) || slices.Contains(promWords, use), "%s: %s", rule.Alert, use)
		}
		require.Contains(t, rule.Expr, "toucangw_", rule.Alert)
		for _, match := range quoted.FindAllStringSubmatch(rule.Expr, -1) {
			for value := range strings.SplitSeq(match[2], "|") {
				require.Contains(t, values[match[1]], value, rule.Alert)
			}
		}
	}
}

// Guards against an alert without duration, severity, summary or a description of
// what to do, and against a description of an alert that does not exist.
func TestAlertsAreDocumented(t *testing.T) {
	named := map[string]bool{}
	for _, rule := range alertRules(t) {
		require.NotEmpty(t, rule.For, rule.Alert)
		require.Contains(t, []string{"page", "ticket"}, rule.Labels["severity"], rule.Alert)
		require.NotEmpty(t, rule.Annotations["summary"], rule.Alert)
		named[rule.Alert] = true
	}
	described := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^### (\w+)$`).FindAllStringSubmatch(page(t, "operate-alerts.md"), -1) {
		described[row[1]] = true
	}
	require.Equal(t, slices.Sorted(maps.Keys(named)), slices.Sorted(maps.Keys(described)))
}

// Guards against a page that the index does not list, and against broken links.
func TestPagesAreListedAndLinksExist(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	require.NoError(t, err)
	index := page(t, "index.md")
	link := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	for _, path := range pages {
		name := filepath.Base(path)
		if name != "index.md" {
			require.Contains(t, index, "("+name+")")
		}
		for _, target := range link.FindAllStringSubmatch(page(t, name), -1) {
			require.FileExists(t, filepath.Join("../docs", target[1]), name)
		}
	}
}

// Guards against a field of the decision log that the page does not describe, and
// against a description of a field that does not exist.
func TestDecisionFieldsAreDocumented(t *testing.T) {
	file, err := parser.ParseFile(gotoken.NewFileSet(), "telemetry/observer.go", nil, 0)
	require.NoError(t, err)
	fields := []string{"time", "level", "msg"}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 2 {
			return true
		}
		name, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || fmt.Sprint(name.X) != "slog" {
			return true
		}
		field, err := strconv.Unquote(call.Args[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		fields = append(fields, field)
		return true
	})
	text := page(t, "operate-decision-log.md")
	start := strings.Index(text, "## Fields")
	end := strings.Index(text, "## Decisions and rules")
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(text[start:end], -1) {
		listed = append(listed, row[1])
	}
	require.ElementsMatch(t, fields, listed)
}
