package engine_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/core/internal/history"
)

const (
	rootDir    = "../.."
	matrixPage = rootDir + "/docs/fault-matrix.md"

	// minReason is the length of the prefix of a reason that stands in place of a
	// test; a reason must be longer.
	minReason = len("Cannot occur: ")
)

// matrixSteps are the rows of each fault on the page.
var matrixSteps = []string{
	"configuration read", "spreading", "list read", "connect", "route", "admit", "queue", "send", "run", "answer",
	"retry", "start", "stop",
}

// testTree holds the test functions and string literals of each package
// directory.
type testTree struct {
	tests    map[string]map[string]bool
	literals map[string]map[string]bool
}

// read parses the test files of a package directory, and additional files that
// contain names of subtests.
func (tree *testTree) read(dir string, more ...string) error {
	if tree.tests[dir] != nil {
		return nil
	}
	files, err := filepath.Glob(filepath.Join(rootDir, dir, "*_test.go"))
	if err != nil {
		return err
	}
	tests, literals := map[string]bool{}, map[string]bool{}
	for _, name := range append(files, more...) {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				tests[n.Name.Name] = n.Recv == nil
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
					literals[text] = true
				}
			}
			return true
		})
	}
	tree.tests[dir], tree.literals[dir] = tests, literals
	return nil
}

// problem returns what is wrong with a reference such as
// "core/engine TestFaultAtStep/pause/queue", or nothing.
func (tree *testTree) problem(reference string) string {
	dir, name, ok := strings.Cut(reference, " ")
	path := strings.Split(name, "/")
	if !ok || !strings.HasPrefix(path[0], "Test") {
		return "is not a package and a test"
	}
	if err := tree.read(dir, filepath.Join(rootDir, "core/internal/history/script.go")); err != nil {
		return err.Error()
	}
	if !tree.tests[dir][path[0]] {
		return "does not exist"
	}
	for _, part := range strings.FieldsFunc(strings.Join(path[1:], "/"), func(r rune) bool { return r == '/' || r == '+' }) {
		if !tree.literals[dir][part] {
			return fmt.Sprintf("has no subtest %q", part)
		}
	}
	return ""
}

var (
	faultHeading = regexp.MustCompile("^### .*\\(`(.+)`\\)$")
	quoted       = regexp.MustCompile("`([^`]*)`")
)

const pairHeading = "Pairs and repeats"

// pageRows returns the last cell of each table row, keyed by heading and first
// cell, or by heading and first two cells for pairs.
func pageRows(page string) map[string]string {
	rows := map[string]string{}
	heading := ""
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, "#") {
			heading = strings.TrimLeft(line, "# ")
			if fault := faultHeading.FindStringSubmatch(line); fault != nil {
				heading = fault[1]
			}
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if !strings.HasPrefix(line, "|") || len(cells) < 2 || strings.HasPrefix(line, "|--") {
			continue
		}
		key := heading + "/" + strings.TrimSpace(cells[0])
		if heading == pairHeading {
			key += "+" + strings.TrimSpace(cells[1])
		}
		rows[key] = strings.TrimSpace(cells[len(cells)-1])
	}
	delete(rows, pairHeading+"/first+second")
	return rows
}

// pageProblems checks that the page has a row for each fault at each step and for
// each repeated fault, that each of these and each pair has a test or a reason,
// and that each named test exists.
func pageProblems(page string) (problems []string) {
	tree := &testTree{tests: map[string]map[string]bool{}, literals: map[string]map[string]bool{}}
	for _, reference := range quoted.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(reference[1], " Test") || strings.HasPrefix(reference[1], "go test") {
			continue
		}
		if problem := tree.problem(reference[1]); problem != "" {
			problems = append(problems, reference[1]+" "+problem)
		}
	}
	rows := pageRows(page)
	filled := func(key string, reasonAllowed bool) {
		hasTest := strings.Contains(rows[key], " Test")
		hasReason := strings.HasPrefix(rows[key], "Cannot occur: ") && len(rows[key]) > minReason
		if !hasTest && (!reasonAllowed || !hasReason) {
			problems = append(problems, key+" has neither a test nor a reason")
		}
	}
	for _, fault := range history.Faults {
		for _, step := range matrixSteps {
			filled(string(fault)+"/"+step, true)
		}
		filled("Twice/"+string(fault), false)
	}
	for key := range rows {
		if strings.HasPrefix(key, pairHeading+"/") {
			filled(key, false)
		}
	}
	return problems
}

// Guards the fault matrix against cells without a test or a reason, and against
// references to tests that were renamed or removed.
func TestFaultMatrixPage(t *testing.T) {
	data, err := os.ReadFile(matrixPage)
	require.NoError(t, err)
	page := string(data)
	for _, problem := range pageProblems(page) {
		t.Error(problem)
	}
	for name, c := range map[string]struct{ old, changed, want string }{
		"renamed test":    {"TestSpillsFromSlowZone", "TestSpillsFromNowhere", "does not exist"},
		"renamed subtest": {"TestFaultAtStep/pause/queue`", "TestFaultAtStep/pause/row`", "has no subtest"},
		"wrong package":   {"`core/idempotency TestKeyOfPrevious", "`core/nowhere TestKeyOfPrevious", "does not exist"},
		"empty reason":    {firstReason(page), "Cannot occur:", "neither a test nor a reason"},
		"empty cell":      {"`core/engine TestFaultAtStep/crash/admit`", "", "neither a test nor a reason"},
		"missing row":     {"| admit | `core/engine TestFaultAtStep/crash/admit` |\n", "", "neither a test nor a reason"},
		"empty pair":      {"`core/engine TestFaultPair/crash+drain`<br>`core/engine TestFaultPair/drain+crash`", "", "neither a test nor a reason"},
		"empty repeat":    {"`core/engine TestFaultPair/slow+slow`", "", "neither a test nor a reason"},
	} {
		require.Contains(t, page, c.old, name)
		problems := strings.Join(pageProblems(strings.Replace(page, c.old, c.changed, 1)), "\n")
		assert.Contains(t, problems, c.want, "a page with this fault passes: %s", name)
	}
}

// firstReason returns the first reason on the page.
func firstReason(page string) string {
	reason := page[strings.Index(page, "| Cannot occur: ")+2:]
	return reason[:strings.Index(reason, " |")]
}
