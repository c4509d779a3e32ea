package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"toucangw.example/core/policy"
)

// Compiler compiles successive versions of the same files. It caches the entries
// of the last valid version, so that only changed sections are parsed again: at
// the target size a node receives 18,000 changes a day. Its results are the same
// as those of the function Compile. It is not safe for concurrent use.
type Compiler struct {
	sections map[sectionKey]*content // sections of the last valid version
}

// sectionKey identifies a section of a file by its full text, so that different
// sections never have the same key.
type sectionKey struct {
	mode mode
	text string
}

// NewCompiler returns a compiler with an empty cache.
func NewCompiler() *Compiler { return &Compiler{sections: map[sectionKey]*content{}} }

// Compile returns the same results as the function Compile.
func (k *Compiler) Compile(revision uint64, base Source, overlays map[string]Source) (map[string]*policy.Policy, Problems) {
	merged, problems := k.merge(base, overlays)
	if len(problems) > 0 {
		return nil, problems
	}
	policies := make(map[string]*policy.Policy, len(merged))
	for site, doc := range merged {
		policies[site] = buildPolicy(revision, site, doc)
	}
	return policies, nil
}

// CompileSite checks the base with every overlay, as Compile does, and returns
// the policy of one site alone: that of the base if the site has no overlay.
func (k *Compiler) CompileSite(revision uint64, base Source, overlays map[string]Source, site string) (*policy.Policy, Problems) {
	merged, problems := k.merge(base, overlays)
	if len(problems) > 0 {
		return nil, problems
	}
	if merged[site] == nil {
		site = BaseSite
	}
	return buildPolicy(revision, site, merged[site]), nil
}

// merge checks all files and returns one document per site, with the base alone
// under BaseSite.
func (k *Compiler) merge(base Source, overlays map[string]Source) (map[string]*document, Problems) {
	var c collector
	used := make(map[sectionKey]*content, len(k.sections))
	baseDoc := k.read(base, modeBase, used, &c)
	checkBase(baseDoc, &c)
	merged := map[string]*document{BaseSite: baseDoc}
	for _, site := range slices.Sorted(maps.Keys(overlays)) {
		checkSiteName(site, overlays[site].Name, &c)
		overlay := k.read(overlays[site], modeOverlay, used, &c)
		merged[site] = applyOverlay(baseDoc, overlay, &c)
	}
	if problems := c.result(); len(problems) > 0 {
		return nil, problems
	}
	k.sections = used
	return merged, nil
}

// read reads a file section by section. If that finds any problem, it reads the
// file as a whole, which reports the problems.
func (k *Compiler) read(src Source, m mode, used map[sectionKey]*content, c *collector) *document {
	if doc, ok := k.readSections(src, m, used); ok {
		return doc
	}
	return read(src, baseTables, m, c)
}

// readSections reads a file section by section. It reports false if the file has
// to be read as a whole. Sections that were read are added to used.
func (k *Compiler) readSections(src Source, m mode, used map[sectionKey]*content) (*document, bool) {
	if len(src.Data) > MaxFileSize {
		return nil, false
	}
	sections, ok := splitSections(string(src.Data))
	if !ok {
		return nil, false
	}
	doc := newDocument(src.Name)
	doc.readable = true
	for i, s := range sections {
		if i == 0 {
			// Only blank lines and comments are permitted before the first
			// header; no later check looks at this section.
			var keys map[string]any
			if _, err := toml.Decode(s.text, &keys); err != nil || len(keys) > 0 {
				return nil, false
			}
			continue
		}
		parsed, ok := k.section(s.text, m, used)
		if !ok {
			return nil, false
		}
		if _, added := doc.add(&entry{content: parsed, file: src.Name, line: s.line}); !added {
			return nil, false
		}
	}
	return doc, complete(doc, m)
}

// section returns the content of a section, from the cache if possible. It
// reports false if the section has a problem.
func (k *Compiler) section(text string, m mode, used map[sectionKey]*content) (*content, bool) {
	if parsed, ok := used[sectionKey{m, text}]; ok {
		return parsed, true
	}
	parsed, ok := k.sections[sectionKey{m, text}]
	// Clone the text: a substring would keep the whole file in memory.
	key := sectionKey{m, strings.Clone(text)}
	if !ok {
		parsed, ok = readSection(key.text, m)
	}
	if ok {
		used[key] = parsed
	}
	return parsed, ok
}

// readSection reads a text that consists of one table. It reports false if the
// text has a problem or is not exactly one table; such a text might have another
// meaning as part of a file.
func readSection(text string, m mode) (*content, bool) {
	i := slices.IndexFunc(baseTables, func(t Table) bool { return strings.HasPrefix(text, t.Heading()) })
	if i < 0 {
		return nil, false
	}
	table := baseTables[i]
	var c collector
	doc := read(Source{Data: []byte(text)}, []Table{table}, m, &c)
	entries := doc.entries[table.Name]
	if len(c.problems) > 0 || len(entries) != 1 {
		return nil, false
	}
	return entries[0].content, true
}

// complete adds the defaults of absent tables to a base that was read by
// sections. It reports false if a table has too many entries or, in a base, no
// entry although one is required.
func complete(doc *document, m mode) bool {
	for _, table := range baseTables {
		n := len(doc.entries[table.Name])
		switch {
		case !table.Repeated && n > 1, table.Repeated && n > table.MaxEntries:
			return false
		case table.Repeated && n == 0 && m == modeBase:
			return false
		case !table.Repeated && n == 0 && m == modeBase:
			r := &reader{src: Source{Name: doc.file}, mode: m, doc: doc}
			r.readSingle(table, nil)
		}
	}
	return true
}
