package settings

import "slices"

// value is the value of a setting. v is nil if the file sets the key to an
// invalid value.
type value struct {
	v any
	// setBy is the overlay entry that set the value. It is nil if the value
	// comes from the entry that holds it.
	setBy *entry
	// offset is the line of the value relative to that entry.
	offset int
}

// content is the part of an entry that does not depend on its position in a
// file. Entries of several versions of a file may share it, so it must not be
// modified after it is read; only object is filled in later.
type content struct {
	table  Table
	name   string // name of the entry in a repeated table
	label  string // prefix of keys in problems
	values map[string]value
	object any // the service, kind or caller of the policy, nil until it is built
}

// entry is a table of a document.
type entry struct {
	*content
	file string
	line int
}

// document is a file whose values have been checked one by one.
type document struct {
	file     string
	readable bool // false if the file could not be parsed at all
	entries  map[string][]*entry
	// names maps table and entry name to an index into entries.
	names map[string]map[string]int
	// partial marks tables with entries that could not be read or have no valid
	// name. A name that is not found may belong to one of these entries and is
	// not reported as unknown.
	partial map[string]bool
}

func newDocument(file string) *document {
	return &document{
		file:    file,
		entries: map[string][]*entry{},
		names:   map[string]map[string]int{},
		partial: map[string]bool{},
	}
}

// add appends an entry. If an earlier entry of the table has the same name,
// add returns that entry and false, and the new one is not added.
func (d *document) add(e *entry) (*entry, bool) {
	table := e.table.Name
	if i, taken := d.names[table][e.name]; taken && e.name != "" {
		return d.entries[table][i], false
	}
	if d.names[table] == nil {
		d.names[table] = map[string]int{}
	}
	d.names[table][e.name] = len(d.entries[table])
	d.entries[table] = append(d.entries[table], e)
	return nil, true
}

// single returns the entry of a table that is not repeated, or an empty entry
// if the document has none.
func (d *document) single(table string) *entry {
	for _, e := range d.entries[table] {
		return e
	}
	return &entry{content: &content{label: table}, file: d.file}
}

// get returns the value of a key, and false if it is absent or invalid.
func get[T any](e *entry, key string) (T, bool) {
	v, ok := e.values[key].v.(T)
	return v, ok
}

// getOrZero returns the value of a key, or the zero value if it is absent or
// invalid.
func getOrZero[T any](e *entry, key string) T {
	v, _ := get[T](e, key)
	return v
}

// problem returns a Problem that involves the given keys. It is located at the
// first of them that an overlay set, or else at the first key.
func (e *entry) problem(rule, message string, keys ...string) Problem {
	key := keys[0]
	fromOverlay := func(k string) bool { return e.values[k].setBy != nil }
	if i := slices.IndexFunc(keys, fromOverlay); i >= 0 {
		key = keys[i]
	}
	v := e.values[key]
	source := e
	if v.setBy != nil {
		source = v.setBy
	}
	return Problem{File: source.file, Line: source.line + v.offset, Key: e.label + "." + key, Rule: rule, Message: message}
}
