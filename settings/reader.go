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
	r := &reader{src: src, mode: m, out: c, doc: newDocument(src.Name)}
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
	headings := make([]string, len(tables))
	for i, table := range tables {
		headings[i] = table.Heading()
	}
	return strings.Join(headings, ", ")
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
	for i, item := range items {
		r.named(table, i, item)
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
	r.doc.add(r.entry(table, []string{table.Name}, table.Name, fields))
}

// named reads an entry of a repeated table. Its name stands for its number in
// problems.
func (r *reader) named(table Table, i int, fields map[string]any) {
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
	if first, ok := r.doc.add(e); !ok {
		r.out.add(e.problem(RuleDuplicate, fmt.Sprintf("%s %q is defined at line %d already", table.Name, e.name, first.line), "name"))
	}
}

func (r *reader) entry(table Table, path []string, text string, fields map[string]any) *entry {
	e := &entry{
		content: &content{table: table, label: text, values: make(map[string]value, len(table.Keys))},
		file:    r.src.Name,
		line:    r.lines.find(path...),
	}
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
	e.values[key.Name] = value{v: v, offset: line - e.line}
}

func (r *reader) absent(e *entry, key Key) {
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

// label shortens and quotes names from a file that are not plain.
func label(name string) string {
	if name == "" || validName(name) {
		return name
	}
	return quoted("%s", name)
}
