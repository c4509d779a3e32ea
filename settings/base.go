package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"toucangw.example/core/call"
)

// checkBase checks the constraints between the values of a base file.
func checkBase(doc *document, c *collector) {
	checkKindServices(doc, c)
	checkShadowed(doc, c)
	checkMethods(doc, c)
	lifetime := keyLifetime(doc)
	for _, service := range doc.entries[tableService] {
		checkService(service, c)
	}
	for _, kind := range doc.entries[tableKind] {
		checkKind(kind, lifetime, c)
	}
}

// keyLifetime returns limits.key_lifetime, or 0 if it is invalid.
func keyLifetime(doc *document) time.Duration {
	return getOrZero[time.Duration](doc.single(tableLimits), "key_lifetime")
}

// checkService checks the sizes of a service against each other.
func checkService(e *entry, c *collector) {
	slots, ok := get[int](e, "slots")
	if !ok {
		return
	}
	if reserved, ok := get[int](e, "reserved"); ok && reserved >= slots {
		c.add(e.problem(RuleReserved, fmt.Sprintf("%d reserved of %d slots leave none for other work", reserved, slots), "reserved", "slots"))
	}
	if connections, ok := get[int](e, "connections"); ok && connections < slots {
		c.add(e.problem(RuleConnections, fmt.Sprintf("%d connections cannot serve %d slots", connections, slots), "connections", "slots"))
	}
}

// checkKind checks the importance, deadline and costs of a kind. lifetime is that
// of idempotency keys, or 0 if unknown.
func checkKind(e *entry, lifetime time.Duration, c *collector) {
	atMostOnce := getOrZero[bool](e, "once_only")
	importance, ok := get[string](e, "importance")
	if ok && atMostOnce && importance != call.Critical.String() {
		c.add(e.problem(RuleOnceOnlyImportance, fmt.Sprintf("a once-only kind must be critical; got %q", importance), "importance"))
	}
	deadline, hasDeadline := get[time.Duration](e, "deadline")
	treeCost, hasTreeCost := get[time.Duration](e, "tree_cost")
	if hasDeadline && hasTreeCost && deadline < treeCost {
		c.add(e.problem(RuleDeadline, fmt.Sprintf("deadline %s is shorter than the expected slot time %s of the call tree", durationText(deadline), durationText(treeCost)), "deadline"))
	}
	if hasDeadline && atMostOnce && lifetime > 0 && deadline > lifetime {
		c.add(e.problem(RuleKeyLifetime, fmt.Sprintf("deadline %s is longer than limits.key_lifetime %s", durationText(deadline), durationText(lifetime)), "deadline"))
	}
	cost, hasCost := get[time.Duration](e, "cost")
	if hasCost && hasTreeCost && treeCost < cost {
		c.add(e.problem(RuleTreeCost, fmt.Sprintf("tree_cost %s is below cost %s", durationText(treeCost), durationText(cost)), "tree_cost"))
	}
}

// checkKindServices reports kinds whose service is not defined.
func checkKindServices(doc *document, c *collector) {
	if doc.partial[tableService] {
		return
	}
	known := doc.names[tableService]
	for _, kind := range doc.entries[tableKind] {
		service, ok := get[string](kind, "service")
		if _, defined := known[service]; ok && !defined {
			c.add(kind.problem(RuleUnknownService, fmt.Sprintf("no [[service]] is named %q", service), "service"))
		}
	}
}

// checkShadowed reports kinds that can never apply because an earlier kind
// matches all of their requests; the first matching kind applies.
func checkShadowed(doc *document, c *collector) {
	type route struct{ service, method string }
	earlier := map[route][]*entry{}
	for _, kind := range doc.entries[tableKind] {
		service, hasService := get[string](kind, "service")
		method, hasMethod := get[string](kind, "method")
		prefix, hasPrefix := get[string](kind, "path_prefix")
		if !hasService || !hasMethod || !hasPrefix {
			continue
		}
		r := route{service, method}
		covers := func(e *entry) bool { return strings.HasPrefix(prefix, getOrZero[string](e, "path_prefix")) }
		if i := slices.IndexFunc(earlier[r], covers); i >= 0 {
			first := earlier[r][i]
			c.add(kind.problem(RuleShadowedKind, fmt.Sprintf("%q at line %d matches %s %s first; put the longer prefix before it", first.name, first.line, method, prefix), "path_prefix"))
			continue
		}
		earlier[r] = append(earlier[r], kind)
	}
}

// checkMethods reports at-most-once kinds whose method HTTP defines as safe,
// because clients and intermediaries may retry such requests on their own.
func checkMethods(doc *document, c *collector) {
	safe := []string{"GET", "HEAD", "OPTIONS"}
	for _, kind := range doc.entries[tableKind] {
		method, ok := get[string](kind, "method")
		if ok && getOrZero[bool](kind, "once_only") && slices.Contains(safe, method) {
			c.add(kind.problem(RuleOnceOnlyMethod, fmt.Sprintf("%s may be repeated by any client; a once-only kind needs another method", method), "method"))
		}
	}
}
