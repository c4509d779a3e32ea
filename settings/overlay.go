package settings

import (
	"fmt"

	"toucangw.example/core/call"
)

// applyOverlay returns the base with the values of an overlay and reports
// where the overlay contradicts the base. If the base could not be parsed,
// only the overlay's own values have been checked.
func applyOverlay(base, overlay *document, c *collector) *document {
	if !base.readable || !overlay.readable {
		return base
	}
	merged := &document{file: overlay.file, readable: true, entries: map[string][]*entry{}}
	for _, table := range baseTables {
		merged.entries[table.Name] = mergeTable(table, base, overlay, c)
	}
	checkValues(merged, c)
	return merged
}

func mergeTable(table Table, base, overlay *document, c *collector) []*entry {
	changes := map[string]*entry{}
	known := map[string]bool{}
	for _, e := range overlay.entries[table.Name] {
		changes[e.name] = e
	}
	var merged []*entry
	for _, e := range base.entries[table.Name] {
		known[e.name] = true
		if change, ok := changes[e.name]; ok {
			e = mergeEntry(e, change, c)
		}
		merged = append(merged, e)
	}
	if base.partial[table.Name] {
		return merged
	}
	for _, e := range overlay.entries[table.Name] {
		if !known[e.name] && e.name != "" {
			c.add(e.problem(RuleOverlayUnknown, fmt.Sprintf("the base has no %s %q; an overlay cannot add one", table.Name, e.name), "name"))
		}
	}
	return merged
}

func mergeEntry(base, change *entry, c *collector) *entry {
	merged := base.clone()
	for _, key := range base.table.Keys {
		v, set := change.values[key.Name]
		if !set || v.v == nil || key.Name == "name" {
			continue
		}
		if p, ok := checkChange(key, base, change); !ok {
			c.add(p)
			continue
		}
		merged.values[key.Name] = v
	}
	return merged
}

// checkChange reports whether an overlay may set a key to its value.
func checkChange(key Key, base, change *entry) (Problem, bool) {
	onceOnly := must[bool](base, "once_only")
	switch {
	case key.Name == "once_only":
		message := fmt.Sprintf("once_only is %t in the base and the same at every site", onceOnly)
		return change.problem(RuleOverlayOnceOnly, message, key.Name), false
	case !key.Overlay:
		return change.problem(RuleOverlayFixed, "only the base may set this key", key.Name), false
	case key.Name == "importance" && onceOnly && must[string](change, key.Name) != call.Critical.String():
		message := fmt.Sprintf("a once-only kind is critical at every site; got %q", must[string](change, key.Name))
		return change.problem(RuleOverlayImportance, message, key.Name), false
	case key.Name == "extra_attempts":
		allowed, ok := get[int](base, key.Name)
		if asked := must[int](change, key.Name); ok && asked > allowed {
			message := fmt.Sprintf("%d is above the %d of the base; an overlay may only lower it", asked, allowed)
			return change.problem(RuleOverlayAttempts, message, key.Name), false
		}
	}
	return Problem{}, true
}
