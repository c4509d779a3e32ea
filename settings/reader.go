package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/BurntSushi/toml"
)

// MaxFileSize is the maximum size of a file in bytes. The platform also bounds
// the size of its values.
const MaxFileSize = 1 << 20

// mode is the kind of file that is read.
type mode uint8

const (
	modeBase    mode = iota // defaults are filled in, required keys are checked
	modeOverlay             // no defaults are filled in, only entry names are required
)

// reader reads one file into a document and reports its problems.
type reader struct {
	src   Source
	mode  mode
	lines lineIndex
	out   *collector
	doc   *document
}

// read parses a file and checks each value on its own, without regard to other
// values.
func read(src Source, tables []Table, m mode, c *collector) *document {
	r := &reader{src: src, mode: m, out: c, doc: newDocument(src.Name)}
	raw, ok := r.decode()
	if !ok {
		return r.doc
	}
	r.doc.readable = true
	known := map[string]bool{}
	for _, table := range tables {
		known[table.Name] = true
		r.readTable(table, raw[table.Name])
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		if !known[name] {
			r.report([]string{name}, displayName(name), RuleUnknownKey, "no such setting; the tables are "+tableNames(tables))
		}
	}
	return r.doc
}

func tableNames(tables []Table) string {
	headings := make([]string, len(tables))
	for i, table := range tables {
		headings[i] = table.Heading()
	}
	return strings.Join(headings, ", ")
}

// decode parses the TOML text. It reports false if the file is too large, is
// nested too deeply or is not valid TOML.
func (r *reader) decode() (map[string]any, bool) {
	if len(r.src.Data) > MaxFileSize {
		r.report(nil, "", RuleFileSize, fmt.Sprintf("the file has %d bytes; want at most %d", len(r.src.Data), MaxFileSize))
		return nil, false
	}
	text := string(r.src.Data)
	lines, tooDeep := indexLines(text)
	r.lines = lines
	if tooDeep > 0 {
		r.out.add(Problem{File: r.src.Name, Line: tooDeep, Rule: RuleNesting,
			Message: fmt.Sprintf("nested deeper than %d values or %d parts of a key", maxNesting, maxKeyParts)})
		return nil, false
	}
	var raw map[string]any
	if _, err := toml.Decode(text, &raw); err != nil {
		r.reportSyntax(err)
		return nil, false
	}
	return raw, true
}

// reportSyntax reports an error of the TOML library with its line.
func (r *reader) reportSyntax(err error) {
	p := Problem{File: r.src.Name, Rule: RuleSyntax, Message: err.Error()}
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		// Position.Line is one too high after an unexpected end of line;
		// Position.Start is exact.
		offset := max(0, min(parseErr.Position.Start, len(r.src.Data)))
		p.Line = 1 + bytes.Count(r.src.Data[:offset], []byte("\n"))
		p.Key = displayName(parseErr.LastKey)
		p.Message = parseErr.Message
	}
	p.Message = printable(p.Message)
	r.out.add(p)
}

// printable shortens an error message of the TOML library and replaces its
// unprintable characters. The message may quote the file, which could otherwise
// send control sequences to a terminal.
func printable(text string) string {
	replace := func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return unicode.ReplacementChar
	}
	return strings.Map(replace, shorten(text, maxMessage))
}

// report adds a problem at the line of the given key path.
func (r *reader) report(path []string, key, rule, message string) {
	r.out.add(Problem{File: r.src.Name, Line: r.lines.find(path...), Key: key, Rule: rule, Message: message})
}

func (r *reader) readTable(table Table, raw any) {
	if !table.Repeated {
		r.readSingle(table, raw)
		return
	}
	items, ok := tableList(raw)
	r.doc.partial[table.Name] = !ok || len(items) > table.MaxEntries
	switch {
	case !ok:
		r.report([]string{table.Name}, table.Name, RuleType, fmt.Sprintf("want entries that start with %s; got %s", table.Heading(), describe(raw)))
		return
	case len(items) > table.MaxEntries:
		r.report([]string{table.Name}, table.Name, RuleTooMany, fmt.Sprintf("%d entries; want at most %d", len(items), table.MaxEntries))
		return
	case len(items) == 0 && r.mode == modeBase:
		r.report([]string{table.Name}, table.Name, RuleMissing, "want at least one "+table.Heading())
	}
	for i, item := range items {
		r.readNamed(table, i, item)
	}
}

// tableList returns the entries of an array of tables, written with [[name]]
// headers or as an inline array.
func tableList(raw any) ([]map[string]any, bool) {
	switch list := raw.(type) {
	case nil:
		return nil, true
	case []map[string]any:
		return list, true
	case []any:
		items := make([]map[string]any, 0, len(list))
		for _, item := range list {
			table, ok := item.(map[string]any)
			if !ok {
				return nil, false
			}
			items = append(items, table)
		}
		return items, true
	}
	return nil, false
}

// readSingle reads a table that is not repeated.
func (r *reader) readSingle(table Table, raw any) {
	fields, ok := raw.(map[string]any)
	if raw != nil && !ok {
		r.report([]string{table.Name}, table.Name, RuleType, fmt.Sprintf("want a table %s; got %s", table.Heading(), describe(raw)))
		return
	}
	if raw == nil && r.mode == modeOverlay {
		return
	}
	r.doc.add(r.readEntry(table, []string{table.Name}, table.Name, fields))
}

// readNamed reads an entry of a repeated table. Problems identify the entry by
// its name, or by its number if the name is not valid.
func (r *reader) readNamed(table Table, i int, fields map[string]any) {
	path := []string{table.Name, element(table.Name, i)}
	if _, ok := r.lines[joinPath(path[1:])]; ok {
		path = path[1:]
	}
	name, _ := fields["name"].(string)
	label := fmt.Sprintf("%s[%d]", table.Name, i+1)
	if validName(name) {
		label = table.Name + "." + name
	}
	e := r.readEntry(table, path, label, fields)
	e.name, _ = get[string](e, "name")
	if e.name == "" {
		r.doc.partial[table.Name] = true
	}
	if first, ok := r.doc.add(e); !ok {
		r.out.add(e.problem(RuleDuplicate, fmt.Sprintf("%s %q is defined at line %d already", table.Name, e.name, first.line), "name"))
	}
}

// readEntry reads the fields of a table. Problems show label in front of the
// key; path leads to the line of the entry.
func (r *reader) readEntry(table Table, path []string, label string, fields map[string]any) *entry {
	e := &entry{
		content: &content{table: table, label: label, values: make(map[string]value, len(table.Keys))},
		file:    r.src.Name,
		line:    r.lines.find(path...),
	}
	known := map[string]bool{}
	for _, key := range table.Keys {
		known[key.Name] = true
		r.readValue(e, key, path, fields)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !known[name] {
			r.report(append(path[:len(path):len(path)], name), label+"."+displayName(name), RuleUnknownKey, "no such key in "+table.Heading())
		}
	}
	return e
}

// readValue checks the value of a key and stores it in the entry.
func (r *reader) readValue(e *entry, key Key, path []string, fields map[string]any) {
	raw, present := fields[key.Name]
	if !present {
		r.readAbsent(e, key)
		return
	}
	line := r.lines.find(append(path[:len(path):len(path)], key.Name)...)
	v, violated := key.parseValue(raw)
	if violated != nil {
		v = nil
		r.out.add(Problem{File: e.file, Line: line, Key: e.label + "." + key.Name, Rule: violated.rule, Message: violated.message})
	}
	e.values[key.Name] = value{v: v, offset: line - e.line}
}

// readAbsent handles a key that the file does not set: it reports the key if it
// is required and stores its default otherwise. Overlays have no defaults.
func (r *reader) readAbsent(e *entry, key Key) {
	switch {
	case key.Required && (r.mode == modeBase || key.Name == "name"):
		r.out.add(Problem{File: e.file, Line: e.line, Key: e.label + "." + key.Name, Rule: RuleMissing, Message: "required key is absent"})
	case r.mode == modeOverlay:
		return
	case key.DefaultKey != "":
		if v, ok := e.values[key.DefaultKey]; ok {
			e.values[key.Name] = v
		}
	case key.Default != nil:
		e.values[key.Name] = value{v: key.Default}
	}
}

// displayName returns a name from a file for use in a problem. Names that are
// not valid are shortened and quoted.
func displayName(name string) string {
	if name == "" || validName(name) {
		return name
	}
	return quoted("%s", name)
}
