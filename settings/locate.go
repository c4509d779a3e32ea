package settings

import (
	"strconv"
	"strings"
)

// Bounds on nesting. The time and memory of the TOML parser grow quadratically
// with the parts of a dotted key and with the depth of inline tables: a dotted
// key of 16 KiB took 3.3 s and 1.3 GiB, inline tables of 32 KiB took 9.4 s and
// 4 GiB.
const (
	maxNesting  = 16
	maxKeyParts = 16
)

// lineIndex maps a key path to its line. The TOML library does not export the
// positions of keys, and it keeps only one per path, so that the entries of an
// array of tables could not be told apart.
type lineIndex map[string]int

// find returns the line of the longest known prefix of a path, or 0 if none is
// known.
func (x lineIndex) find(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, ok := x[joinPath(path[:n])]; ok {
			return line
		}
	}
	return 0
}

func joinPath(parts []string) string { return strings.Join(parts, "\x00") }

// element returns the part of a path that stands for entry i of an array of
// tables.
func element(table string, i int) string { return table + "\x01" + strconv.Itoa(i) }

// scanner finds the lines of the keys and headers of a TOML text. Syntax errors
// are left to the parser: on invalid TOML the scanner only has to terminate.
type scanner struct {
	data    string
	pos     int
	line    int
	prefix  []string       // path of the current table
	counts  map[string]int // entries seen per array of tables
	index   lineIndex
	tooDeep int // line of a value or key nested too deeply; 0 if none
}

// indexLines returns the lines of all keys, and the line of the first value or
// key that is nested too deeply, or 0.
func indexLines(data string) (lineIndex, int) {
	s := &scanner{data: data, line: 1, counts: map[string]int{}, index: lineIndex{}}
	for s.skipBlank() && s.tooDeep == 0 {
		s.statement()
	}
	return s.index, s.tooDeep
}

func (s *scanner) more() bool { return s.pos < len(s.data) }

func (s *scanner) has(prefix string) bool { return strings.HasPrefix(s.data[s.pos:], prefix) }

func (s *scanner) advance(n int) {
	end := min(s.pos+n, len(s.data))
	for ; s.pos < end; s.pos++ {
		if s.data[s.pos] == '\n' {
			s.line++
		}
	}
}

// skipBlank skips white space and comments up to the next statement and reports
// whether there is one.
func (s *scanner) skipBlank() bool {
	for s.more() {
		switch s.data[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.advance(1)
		case '#':
			s.skipLine()
		default:
			return true
		}
	}
	return false
}

func (s *scanner) skipLine() {
	n := strings.IndexByte(s.data[s.pos:], '\n')
	if n < 0 {
		n = len(s.data) - s.pos
	}
	s.advance(n)
}

// statement scans a table header or a key with its value.
func (s *scanner) statement() {
	line := s.line
	switch {
	case s.has("[["):
		s.advance(2)
		s.arrayHeader(s.readKey(), line)
		s.skipLine()
	case s.has("["):
		s.advance(1)
		s.prefix = s.resolve(s.readKey())
		s.record(s.prefix, line)
		s.skipLine()
	default:
		parts := s.readKey()
		s.record(append(s.prefix[:len(s.prefix):len(s.prefix)], parts...), line)
		s.skipValue()
	}
}

// arrayHeader records a [[name]] header and enters the new element.
func (s *scanner) arrayHeader(parts []string, line int) {
	if len(parts) == 0 {
		return
	}
	path := s.resolve(parts)
	s.record(path, line)
	joined := joinPath(path)
	i := s.counts[joined]
	s.counts[joined]++
	path[len(path)-1] = element(parts[len(parts)-1], i)
	s.prefix = path
	s.record(path, line)
}

// resolve returns a path in which each array of tables before the last part is
// replaced by its latest element.
func (s *scanner) resolve(parts []string) []string {
	path := make([]string, 0, len(parts))
	for i, part := range parts {
		path = append(path, part)
		count := s.counts[joinPath(path)]
		if i < len(parts)-1 && count > 0 {
			path[i] = element(part, count-1)
		}
	}
	return path
}

// record stores the line of a path and of its parents, unless they already have
// one.
func (s *scanner) record(path []string, line int) {
	for n := len(path); n > 0; n-- {
		joined := joinPath(path[:n])
		if _, known := s.index[joined]; known {
			return
		}
		s.index[joined] = line
	}
}

// readKey reads the parts of a dotted key up to the character that ends it.
func (s *scanner) readKey() []string {
	var parts []string
	for s.more() {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '.':
			s.advance(1)
		case '=', ']', '\n', '\r', '#', '[', '{', '}', ',':
			return parts
		case '"', '\'':
			parts = append(parts, s.readQuotedPart(c))
		default:
			n := strings.IndexAny(s.data[s.pos:], " \t.=]\n\r#[{},\"'")
			if n < 0 {
				n = len(s.data) - s.pos
			}
			parts = append(parts, s.data[s.pos:s.pos+n])
			s.advance(n)
		}
		if len(parts) > maxKeyParts {
			s.tooDeep = s.line
			return parts
		}
	}
	return parts
}

// skipKey moves to the '=' after a key, or to the end of the line if there is none.
func (s *scanner) skipKey() {
	for s.more() {
		switch c := s.data[s.pos]; c {
		case '=', '\n':
			return
		case '"', '\'':
			s.skipString(c)
		default:
			s.advance(1)
		}
	}
}

// readQuotedPart reads a quoted part of a key and returns it without quotes.
func (s *scanner) readQuotedPart(quote byte) string {
	start := s.pos
	s.skipString(quote)
	text := s.data[start:s.pos]
	if quote == '\'' {
		return strings.Trim(text, "'")
	}
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// skipValue moves past a value to the end of its last line. It stops at a value
// whose arrays and inline tables are nested too deeply or contain dotted keys
// with too many parts.
func (s *scanner) skipValue() {
	depth, dots := 0, 0
	for s.more() {
		switch c := s.data[s.pos]; c {
		case '"', '\'':
			s.skipString(c)
			continue
		case '#':
			s.skipLine()
			continue
		case '\n':
			if depth <= 0 {
				return
			}
		case '[', '{':
			depth++
			dots = 0
		case ']', '}':
			depth--
		case '=', ',':
			dots = 0
		case '.':
			dots++
		}
		if depth > maxNesting || dots >= maxKeyParts {
			s.tooDeep = s.line
			return
		}
		s.advance(1)
	}
}

// skipString moves past a basic or literal string on one or several lines.
func (s *scanner) skipString(quote byte) {
	delimiter := `"""`
	if quote == '\'' {
		delimiter = "'''"
	}
	if s.has(delimiter) {
		s.advance(3)
		s.skipMultilineString(quote, delimiter)
		return
	}
	s.advance(1)
	for s.more() {
		switch c := s.data[s.pos]; {
		case c == '\n':
			return
		case c == '\\' && quote == '"':
			s.advance(2)
		case c == quote:
			s.advance(1)
			return
		default:
			s.advance(1)
		}
	}
}

// skipMultilineString moves past the rest of a string that ends with delimiter.
func (s *scanner) skipMultilineString(quote byte, delimiter string) {
	for s.more() {
		switch {
		case s.data[s.pos] == '\\' && quote == '"':
			s.advance(2)
		case s.has(delimiter):
			s.advance(3)
			// The text may end with up to two quotes before the closing three.
			for range 2 {
				if s.more() && s.data[s.pos] == quote {
					s.advance(1)
				}
			}
			return
		default:
			s.advance(1)
		}
	}
}
