package settings

import "slices"

// value is a setting. v is nil if the file sets the key to something that has a
// problem.
type value struct {
	v any
	// from is the entry of the overlay that set the value, or nil if the entry
	// that holds the value did.
	from *entry
	// offset is the line of the value relative to that entry.
	offset int
}

// content is what an entry says, wherever it stands in a file. Entries of
// several versions of a file may share it, so it is not changed once built.
type content struct {
	table  Table
	name   string // name of the entry in a repeated table
	label  string // prefix of keys in problems
	values map[string]value
	built  any // the service, kind or caller of the policy, if built already
}

// entry is a table of a document.
type entry struct {
	*content
	file string
	line int
}

// document is a checked file.
type document struct {
	file     string
	readable bool // false if the file could not be parsed at all
	entries  map[string][]*entry
	// names holds the position of each entry of a repeated table.
	names map[string]map[string]int
	// partial tables have entries without a usable name, so that a reference
	// to a name that is not found may be to one of them.
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

// add appends an entry. It reports the earlier entry with the same name, in
// which case the new one is left out.
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

// single returns the entry of a table that is not repeated.
func (d *document) single(table string) *entry {
	for _, e := range d.entries[table] {
		return e
	}
	return &entry{content: &content{label: table}, file: d.file}
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

// problem places a finding at the first key; if an overlay set another of the
// keys and not the first, it is placed there.
func (e *entry) problem(rule, message string, keys ...string) Problem {
	key := keys[0]
	fromOverlay := func(k string) bool { return e.values[k].from != nil }
	if i := slices.IndexFunc(keys, fromOverlay); i >= 0 {
		key = keys[i]
	}
	v := e.values[key]
	at := e
	if v.from != nil {
		at = v.from
	}
	return Problem{File: at.file, Line: at.line + v.offset, Key: e.label + "." + key, Rule: rule, Message: message}
}
