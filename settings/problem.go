package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a problem found in a file. Line is 0 if the problem concerns the
// whole file; Key may then be empty.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Rule    string `json:"rule"`
	Message string `json:"message"`
}

// String returns the one-line form `file:line: key: message [rule]`.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s [%s]", p.File, p.Line, p.Message, p.Rule)
	}
	return fmt.Sprintf("%s:%d: %s: %s [%s]", p.File, p.Line, p.Key, p.Message, p.Rule)
}

// Problems is a list of problems sorted by file, line, key and rule.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none. An empty
// Problems converted to error is not nil.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// MaxProblems is the maximum number of problems in a report. A truncated report
// has one more entry, a note about the truncation.
const MaxProblems = 1000

// collector gathers problems. It keeps up to one more than MaxProblems, which
// shows whether some were left out.
type collector struct {
	problems Problems
	seen     map[Problem]bool
}

// add records a problem unless the same one is already recorded: the checks of
// a merged overlay find the problems of the base again.
func (c *collector) add(p Problem) {
	if c.seen[p] || len(c.problems) > MaxProblems {
		return
	}
	if c.seen == nil {
		c.seen = make(map[Problem]bool)
	}
	c.seen[p] = true
	c.problems = append(c.problems, p)
}

// result returns the problems in order. If some were left out, the last one
// recorded is replaced by a note.
func (c *collector) result() Problems {
	if len(c.problems) == 0 {
		return nil
	}
	problems := c.problems
	if len(problems) > MaxProblems {
		last := problems[MaxProblems]
		last.Rule = RuleTooMany
		last.Message = fmt.Sprintf("more than %d problems; the rest is not shown", MaxProblems)
		problems[MaxProblems] = last
	}
	slices.SortStableFunc(problems, compareProblems)
	return problems
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(a.File, b.File),
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Rule, b.Rule),
		cmp.Compare(a.Message, b.Message),
	)
}

// Maximum lengths in bytes of file content quoted in a message, and of messages
// of the TOML library.
const (
	maxQuoted  = 60
	maxMessage = 300
)

// quoted formats a message whose single argument is text from a file, which is
// shortened and quoted.
func quoted(format, text string) string {
	return fmt.Sprintf(format, fmt.Sprintf("%q", shorten(text, maxQuoted)))
}

func shorten(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return strings.ToValidUTF8(text[:size], "") + "..."
}
