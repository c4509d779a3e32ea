package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"toucangw.example/core/call"
)

// applyOverlay returns the base with the values of an overlay and reports
// values that the base does not permit. If either file could not be parsed, it
// returns the base; the values of the overlay have then been checked only on
// their own.
func applyOverlay(base, overlay *document, c *collector) *document {
	if !base.readable || !overlay.readable {
		return base
	}
	merged := newDocument(overlay.file)
	merged.readable = true
	for _, table := range baseTables {
		merged.entries[table.Name] = mergeTable(table.Name, base, overlay, c)
	}
	return merged
}

// mergeTable returns the entries of a table of the base, with those that the
// overlay changes replaced.
func mergeTable(table string, base, overlay *document, c *collector) []*entry {
	entries := base.entries[table]
	if len(overlay.entries[table]) == 0 {
		return entries
	}
	merged := slices.Clone(entries)
	lifetime := keyLifetime(base)
	for _, change := range overlay.entries[table] {
		i, known := base.names[table][change.name]
		switch {
		case known:
			merged[i] = mergeEntry(entries[i], change, c)
			checkMerged(merged[i], lifetime, c)
		case change.name != "" && !base.partial[table]:
			c.add(change.problem(RuleOverlayUnknown, fmt.Sprintf("the base has no %s %q; an overlay cannot add one", table, change.name), "name"))
		}
	}
	return merged
}

// checkMerged repeats the checks that involve values which an overlay may
// adjust.
func checkMerged(e *entry, lifetime time.Duration, c *collector) {
	switch e.table.Name {
	case tableService:
		checkService(e, c)
	case tableKind:
		checkKind(e, lifetime, c)
	}
}

// mergeEntry returns an entry of the base with the permitted changes of an
// overlay applied, and reports the others.
func mergeEntry(base, change *entry, c *collector) *entry {
	values := maps.Clone(base.values)
	for _, key := range base.table.Keys {
		v, set := change.values[key.Name]
		if !set || v.v == nil || key.Name == "name" {
			continue
		}
		if p, ok := checkChange(key, base, change); !ok {
			c.add(p)
			continue
		}
		v.setBy = change
		values[key.Name] = v
	}
	return &entry{
		content: &content{table: base.table, name: base.name, label: base.label, values: values},
		file:    base.file,
		line:    base.line,
	}
}

// checkChange reports whether an overlay may set a key to the value in change.
// If not, it returns the problem.
func checkChange(key Key, base, change *entry) (Problem, bool) {
	atMostOnce := getOrZero[bool](base, "once_only")
	switch {
	case key.Name == "once_only":
		message := fmt.Sprintf("once_only is %t in the base and the same at every site", atMostOnce)
		return change.problem(RuleOverlayOnceOnly, message, key.Name), false
	case !key.Overlay:
		return change.problem(RuleOverlayFixed, "only the base may set this key", key.Name), false
	case key.Name == "importance" && atMostOnce && getOrZero[string](change, key.Name) != call.Critical.String():
		message := fmt.Sprintf("a once-only kind is critical at every site; got %q", getOrZero[string](change, key.Name))
		return change.problem(RuleOverlayImportance, message, key.Name), false
	case key.Name == "extra_attempts":
		allowed, ok := get[int](base, key.Name)
		if requested := getOrZero[int](change, key.Name); ok && requested > allowed {
			message := fmt.Sprintf("%d is above the %d of the base; an overlay may only lower it", requested, allowed)
			return change.problem(RuleOverlayAttempts, message, key.Name), false
		}
	}
	return Problem{}, true
}
