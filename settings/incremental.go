package settings

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"toucangw.example/core/policy"
)

// Compiler compiles successive versions of a base. It keeps what it read of
// each part of the last version and reads only the parts that changed, since
// reading a base of 650 services as a whole takes over 100 ms. Its results are
// those of Compile. It is safe for concurrent use.
type Compiler struct {
	mu       sync.Mutex
	parts    map[string]*part
	overlays map[string]*document // by text
}

// part is a piece of a base that is a valid file by itself: a heading with its
// keys. Lines in its entries are relative to the part.
type part struct {
	entries map[string][]*entry
}

// NewCompiler returns a compiler that has read nothing.
func NewCompiler() *Compiler { return &Compiler{} }

// Compile does the same as the function Compile.
func (k *Compiler) Compile(revision uint64, base Source, overlays map[string]Source) (map[string]*policy.Policy, Problems) {
	sites := append(slices.Collect(maps.Keys(overlays)), BaseSite)
	return k.compile(revision, base, overlays, sites)
}

// CompileSite checks the base with every overlay, as Compile does, and returns
// the policy of one site alone: that of the base if the site has no overlay.
func (k *Compiler) CompileSite(revision uint64, base Source, overlays map[string]Source, site string) (*policy.Policy, Problems) {
	if _, ok := overlays[site]; !ok {
		site = BaseSite
	}
	policies, problems := k.compile(revision, base, overlays, []string{site})
	return policies[site], problems
}

func (k *Compiler) compile(
	revision uint64, base Source, overlays map[string]Source, sites []string,
) (map[string]*policy.Policy, Problems) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if policies, ok := k.compileParts(revision, base, overlays, sites); ok {
		return policies, nil
	}
	// Problems need lines of the whole file.
	return Compile(revision, base, overlays)
}

func (k *Compiler) compileParts(
	revision uint64, base Source, overlays map[string]Source, sites []string,
) (map[string]*policy.Policy, bool) {
	var c collector
	doc, ok := k.join(base, &c)
	if !ok {
		return nil, false
	}
	checkBase(doc, &c)
	read := make(map[string]*document, len(overlays))
	index := indexEntries(doc)
	for site, src := range overlays {
		checkSiteName(site, src.Name, &c)
		read[site] = k.overlay(src, &c)
		if len(c.problems) > 0 || !checkAdjusted(doc, index, read[site], &c) {
			return nil, false
		}
	}
	if len(c.problems) > 0 {
		return nil, false
	}
	k.keepOverlays(overlays)
	policies := make(map[string]*policy.Policy, len(sites))
	for _, site := range sites {
		merged := doc
		if overlay := read[site]; overlay != nil {
			merged = applyOverlay(doc, overlay, &c)
		}
		policies[site] = buildPolicy(revision, site, merged)
	}
	return policies, len(c.problems) == 0
}

// entryIndex finds entries by table and name.
type entryIndex map[string]map[string]*entry

func indexEntries(doc *document) entryIndex {
	index := entryIndex{}
	for table, entries := range doc.entries {
		byName := make(map[string]*entry, len(entries))
		for _, e := range entries {
			byName[e.name] = e
		}
		index[table] = byName
	}
	return index
}

// checkAdjusted checks the entries that an overlay adjusts: the others are
// those of the base, which has no problem. It reports false if it cannot tell.
func checkAdjusted(base *document, index entryIndex, overlay *document, c *collector) bool {
	adjusted := &document{file: overlay.file, readable: true, entries: map[string][]*entry{}}
	for _, table := range baseTables {
		if !table.Repeated {
			if len(overlay.entries[table.Name]) > 0 {
				return false
			}
			adjusted.entries[table.Name] = base.entries[table.Name]
			continue
		}
		for _, change := range overlay.entries[table.Name] {
			e := index[table.Name][change.name]
			if e == nil {
				return false
			}
			adjusted.entries[table.Name] = append(adjusted.entries[table.Name], mergeEntry(e, change, c))
		}
	}
	checkValues(adjusted, c)
	return true
}

// join builds the document of a base from its parts. It reports false if the
// parts do not prove that the whole file is valid.
func (k *Compiler) join(base Source, c *collector) (*document, bool) {
	if len(base.Data) > MaxFileSize {
		return nil, false
	}
	doc := &document{file: base.Name, readable: true, entries: map[string][]*entry{}, partial: map[string]bool{}}
	used := map[string]*part{}
	for i, text := range splitParts(string(base.Data)) {
		p, known := k.parts[text]
		if !known {
			text = strings.Clone(text) // the text of the whole file would stay in memory
			if p = readPart(Source{Name: base.Name, Data: []byte(text)}, c); p == nil {
				return nil, false
			}
		}
		if i == 0 && len(p.entries) > 0 {
			return nil, false // inline tables, to which headings cannot add
		}
		used[text] = p
		for name, entries := range p.entries {
			doc.entries[name] = append(doc.entries[name], entries...)
		}
	}
	if !complete(doc, base, c) {
		return nil, false
	}
	k.parts = used
	return doc, true
}

// splitParts splits a file before each line that begins with a bracket. If all
// parts are valid TOML by themselves, the file is their sequence: where a part
// ends, no string or array is open.
func splitParts(text string) []string {
	var parts []string
	for {
		next := 0
		if !strings.HasPrefix(text, "[") || len(parts) > 0 {
			next = strings.Index(text, "\n[")
		}
		switch {
		case len(parts) == 0 && strings.HasPrefix(text, "["):
			parts = append(parts, "")
			continue
		case next < 0:
			return append(parts, text)
		}
		parts = append(parts, text[:next+1])
		text = text[next+1:]
	}
}

// readPart returns nil if the part has a problem.
func readPart(src Source, c *collector) *part {
	r := &reader{src: src, mode: modeBase, out: c}
	r.doc = &document{file: src.Name, entries: map[string][]*entry{}, partial: map[string]bool{}}
	raw, ok := r.decode()
	if !ok {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		i := slices.IndexFunc(baseTables, func(t Table) bool { return t.Name == name })
		if i < 0 {
			return nil
		}
		r.table(baseTables[i], raw[name])
	}
	if len(c.problems) > 0 {
		return nil
	}
	return &part{entries: r.doc.entries}
}

// complete checks what concerns whole tables and adds the tables that the file
// leaves out.
func complete(doc *document, base Source, c *collector) bool {
	for _, table := range baseTables {
		entries := doc.entries[table.Name]
		if !table.Repeated {
			if len(entries) > 1 {
				return false
			}
			if len(entries) == 0 {
				empty := &reader{src: base, mode: modeBase, out: c, doc: doc}
				empty.single(table, nil)
			}
			continue
		}
		if len(entries) == 0 || len(entries) > table.MaxEntries || !distinct(entries) {
			return false
		}
	}
	return true
}

func distinct(entries []*entry) bool {
	names := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.name == "" || names[e.name] {
			return false
		}
		names[e.name] = true
	}
	return true
}

// overlay reads an overlay, or returns it as read before without problems.
func (k *Compiler) overlay(src Source, c *collector) *document {
	if doc, ok := k.overlays[string(src.Data)]; ok && doc.file == src.Name {
		return doc
	}
	var own collector
	doc := read(src, baseTables, modeOverlay, &own)
	if problems := own.result(); len(problems) > 0 {
		for _, p := range problems {
			c.add(p)
		}
		return doc
	}
	if k.overlays == nil {
		k.overlays = map[string]*document{}
	}
	k.overlays[string(src.Data)] = doc
	return doc
}

// keepOverlays forgets overlays that were not part of the last compilation.
func (k *Compiler) keepOverlays(overlays map[string]Source) {
	texts := map[string]bool{}
	for _, src := range overlays {
		texts[string(src.Data)] = true
	}
	maps.DeleteFunc(k.overlays, func(text string, _ *document) bool { return !texts[text] })
}
