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

// MaxFileSize bounds a file, as the platform bounds its values.
const MaxFileSize = 1 << 20

// mode tells what kind of file is read.
type mode uint8

const (
	modeBase    mode = iota // defaults filled in, required keys checked
	modeOverlay             // only keys that an overlay may adjust
)

// value is a setting together with the place that set it. v is nil if the file
// sets the key to something that has a problem.
type value struct {
	v    any
	file string
	line int
}

// entry is a table of a document.
type entry struct {
	table  Table
	name   string // name of the entry in a repeated table
	label  string // prefix of keys in problems
	file   string
	line   int
	values map[string]value
}

// document is a checked file.
type document struct {
	file     string
	readable bool // false if the file could not be parsed at all
	entries  map[string][]*entry
	// partial tables have entries without a usable name, so that a reference
	// to a name that is not found may be to one of them.
	partial map[string]bool
}

// get returns a value, and false if it is absent or had a problem.
func get[T any](e *entry, key string) (T, bool) {
	v, ok := e.values[key].v.(T)
	return v, ok
}

// must returns a value that the checks have shown to be present, or zero.
func must[T any](e *entry, key string) T {
	v, _ := get[T](e, key)
	return v
}

// problem places a finding at the first key; if another of the keys was set
// later, by an overlay, it is placed there.
func (e *entry) problem(rule, message string, keys ...string) Problem {
	at := value{file: e.file, line: e.line}
	key := keys[0]
	if v, ok := e.values[key]; ok {
		at = v
	}
	for _, other := range keys[1:] {
		if v, ok := e.values[other]; ok && at.file == e.file && v.file != e.file {
			at, key = v, other
		}
	}
	return Problem{File: at.file, Line: at.line, Key: e.label + "." + key, Rule: rule, Message: message}
}

// reader turns one file into a document.
type reader struct {
	src   Source
	mode  mode
	lines lineIndex
	out   *collector
	doc   *document
}

// read parses a file and checks each value on its own.
func read(src Source, tables []Table, m mode, c *collector) *document {
	r := &reader{src: src, mode: m, out: c}
	r.doc = &document{file: src.Name, entries: map[string][]*entry{}, partial: map[string]bool{}}
	raw, ok := r.decode()
	if !ok {
		return r.doc
	}
	r.doc.readable = true
	known := map[string]bool{}
	for _, table := range tables {
		known[table.Name] = true
		r.table(table, raw[table.Name])
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		if !known[name] {
			r.report([]string{name}, label(name), RuleUnknownKey, "no such setting; the tables are "+tableNames(tables))
		}
	}
	return r.doc
}

func tableNames(tables []Table) string {
	text := ""
	for i, table := range tables {
		if i > 0 {
			text += ", "
		}
		text += table.Heading()
	}
	return text
}

func (r *reader) decode() (map[string]any, bool) {
	if len(r.src.Data) > MaxFileSize {
		r.report(nil, "", RuleFileSize, fmt.Sprintf("the file has %d bytes; want at most %d", len(r.src.Data), MaxFileSize))
		return nil, false
	}
	text := string(r.src.Data)
	lines, deep := indexLines(text)
	r.lines = lines
	if deep > 0 {
		r.out.add(Problem{File: r.src.Name, Line: deep, Rule: RuleNesting,
			Message: fmt.Sprintf("nested deeper than %d values or %d parts of a key", maxNesting, maxKeyParts)})
		return nil, false
	}
	var raw map[string]any
	if _, err := toml.Decode(text, &raw); err != nil {
		r.syntax(err)
		return nil, false
	}
	return raw, true
}

func (r *reader) syntax(err error) {
	p := Problem{File: r.src.Name, Rule: RuleSyntax, Message: err.Error()}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		// Position.Line is one too high where a line ends too early, while
		// the offset is exact.
		offset := max(0, min(parse.Position.Start, len(r.src.Data)))
		p.Line = 1 + bytes.Count(r.src.Data[:offset], []byte("\n"))
		p.Key = label(parse.LastKey)
		p.Message = parse.Message
	}
	p.Message = printable(p.Message)
	r.out.add(p)
}

// printable keeps text that the library repeats from a file from controlling a
// terminal.
func printable(text string) string {
	plain := func(c rune) rune {
		if unicode.IsPrint(c) {
			return c
		}
		return unicode.ReplacementChar
	}
	return strings.Map(plain, shorten(text, maxMessage))
}

func (r *reader) report(path []string, key, rule, message string) {
	r.out.add(Problem{File: r.src.Name, Line: r.lines.find(path...), Key: key, Rule: rule, Message: message})
}

func (r *reader) table(table Table, raw any) {
	if !table.Repeated {
		r.single(table, raw)
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
	names := make(map[string]int, len(items))
	for i, item := range items {
		r.named(table, i, item, names)
	}
}

// tableList accepts both forms of an array of tables.
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

func (r *reader) single(table Table, raw any) {
	fields, ok := raw.(map[string]any)
	if raw != nil && !ok {
		r.report([]string{table.Name}, table.Name, RuleType, fmt.Sprintf("want a table %s; got %s", table.Heading(), describe(raw)))
		return
	}
	if raw == nil && r.mode == modeOverlay {
		return
	}
	path := []string{table.Name}
	e := r.entry(table, path, table.Name, fields)
	r.doc.entries[table.Name] = []*entry{e}
}

// named reads an entry of a repeated table. Its name stands for its number in
// problems.
func (r *reader) named(table Table, i int, fields map[string]any, names map[string]int) {
	path := []string{table.Name, element(table.Name, i)}
	if _, ok := r.lines[joinPath(path[1:])]; ok {
		path = path[1:]
	}
	name, _ := fields["name"].(string)
	text := fmt.Sprintf("%s[%d]", table.Name, i+1)
	if validName(name) {
		text = table.Name + "." + name
	}
	e := r.entry(table, path, text, fields)
	e.name, _ = get[string](e, "name")
	if e.name == "" {
		r.doc.partial[table.Name] = true
	}
	if first, ok := names[e.name]; ok && e.name != "" {
		r.out.add(e.problem(RuleDuplicate, fmt.Sprintf("%s %q is defined at line %d already", table.Name, e.name, first), "name"))
		return
	}
	names[e.name] = e.line
	r.doc.entries[table.Name] = append(r.doc.entries[table.Name], e)
}

func (r *reader) entry(table Table, path []string, text string, fields map[string]any) *entry {
	e := &entry{table: table, label: text, file: r.src.Name, line: r.lines.find(path...)}
	e.values = make(map[string]value, len(table.Keys))
	known := map[string]bool{}
	for _, key := range table.Keys {
		known[key.Name] = true
		r.value(e, key, path, fields)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !known[name] {
			r.report(append(path[:len(path):len(path)], name), text+"."+label(name), RuleUnknownKey, "no such key in "+table.Heading())
		}
	}
	return e
}

func (r *reader) value(e *entry, key Key, path []string, fields map[string]any) {
	raw, present := fields[key.Name]
	if !present {
		r.absent(e, key)
		return
	}
	line := r.lines.find(append(path[:len(path):len(path)], key.Name)...)
	v, f := key.parseValue(raw)
	if f != nil {
		v = nil
		r.out.add(Problem{File: e.file, Line: line, Key: e.label + "." + key.Name, Rule: f.rule, Message: f.message})
	}
	e.values[key.Name] = value{v: v, file: e.file, line: line}
}

func (r *reader) absent(e *entry, key Key) {
	switch {
	case key.Required && (r.mode == modeBase || key.Name == "name"):
		r.out.add(Problem{File: e.file, Line: e.line, Key: e.label + "." + key.Name, Rule: RuleMissing, Message: "required key is absent"})
	case key.Default != nil && r.mode == modeBase:
		e.values[key.Name] = value{v: key.Default, file: e.file, line: e.line}
	}
}

// label shortens and quotes names from a file that are not plain.
func label(name string) string {
	if name == "" || validName(name) {
		return name
	}
	return quoted("%s", name)
}
