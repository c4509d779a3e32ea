package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"toucangw.example/core/policy"
)

// Compiler compiles successive versions of the same files. It keeps the entries
// of the last version, so that the next one costs little where it is the same:
// at the target size a node sees 18,000 changes a day. Its results are those of
// Compile. It is not safe for concurrent use.
type Compiler struct {
	sections map[sectionKey]*content
}

// sectionKey identifies a section of a file by its whole text, so that no two
// sections are taken for each other.
type sectionKey struct {
	mode mode
	text string
}

// NewCompiler returns a compiler that has seen no version yet.
func NewCompiler() *Compiler { return &Compiler{sections: map[sectionKey]*content{}} }

// Compile does what the function Compile does.
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

// merge returns the checked document of each site.
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

// read reads a file section by section where each section is without problems,
// and as a whole otherwise.
func (k *Compiler) read(src Source, m mode, used map[sectionKey]*content, c *collector) *document {
	if doc, ok := k.readSections(src, m, used); ok {
		return doc
	}
	return read(src, baseTables, m, c)
}

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
			// Blank lines and comments, which are not checked for keys again.
			var none map[string]any
			if _, err := toml.Decode(s.text, &none); err != nil || len(none) > 0 {
				return nil, false
			}
			continue
		}
		body, ok := k.section(s.text, m, used)
		if !ok {
			return nil, false
		}
		if _, added := doc.add(&entry{content: body, file: src.Name, line: s.line}); !added {
			return nil, false
		}
	}
	return doc, complete(doc, m)
}

// section returns the content of a section without problems.
func (k *Compiler) section(text string, m mode, used map[sectionKey]*content) (*content, bool) {
	if body, ok := used[sectionKey{m, text}]; ok {
		return body, true
	}
	body, ok := k.sections[sectionKey{m, text}]
	// The text of the file is not kept: one section would pin all of it.
	key := sectionKey{m, strings.Clone(text)}
	if !ok {
		body, ok = readSection(key.text, m)
	}
	if ok {
		used[key] = body
	}
	return body, ok
}

// readSection reads a text that consists of one table. It reports false unless
// the text would mean the same as part of a file, without any problem.
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

// complete fills in an absent table of a base and reports whether a document
// has the entries that read requires.
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
			r.single(table, nil)
		}
	}
	return true
}
