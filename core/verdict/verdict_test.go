package verdict

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// declaredReasons returns the constants of type Reason declared in verdict.go.
func declaredReasons(t *testing.T) []Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "verdict.go", nil, 0)
	require.NoError(t, err)
	var out []Reason
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			value := spec.(*ast.ValueSpec)
			if kind, ok := value.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
				continue
			}
			text, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			out = append(out, Reason(text))
		}
	}
	require.NotEmpty(t, out)
	return out
}

// Guards against a declared reason that Reasons omits, which metrics and tools
// would not know.
func TestReasonsIsComplete(t *testing.T) {
	require.ElementsMatch(t, declaredReasons(t), Reasons())
}

// Guards against reasons that the operators' page does not explain, and
// against explanations of reasons that do not exist.
func TestReasonsAreOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate-refusals.md")
	require.NoError(t, err)
	var listed []Reason
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|").FindAllSubmatch(page, -1) {
		listed = append(listed, Reason(row[1]))
	}
	require.ElementsMatch(t, Reasons(), listed)
}

// Guards the wire form of verdicts, which clients compare.
func TestVerdictText(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Run} {
		parsed, err := Parse(v.String())
		require.NoError(t, err)
		require.Equal(t, v, parsed)
	}
	v, err := Parse("perhaps")
	require.Error(t, err)
	require.Equal(t, MayHaveRun, v)
}

// Guards against an error without a verdict that is taken for "not run".
func TestOf(t *testing.T) {
	require.Equal(t, NotRun, Of(fmt.Errorf("call: %w", Refuse(QueueFull, ""))))
	require.Equal(t, MayHaveRun, Of(os.ErrClosed))
	require.Equal(t, MayHaveRun, Of(nil))
}
