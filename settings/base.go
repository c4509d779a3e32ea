package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
)

// checkBase checks how the values of a base file fit together.
func checkBase(doc *document, c *collector) {
	fillTreeCost(doc)
	checkKindServices(doc, c)
	checkShadowed(doc, c)
	checkMethods(doc, c)
	checkValues(doc, c)
}

// checkValues holds the checks that concern values which an overlay may
// adjust, so that it applies to a merged document, too.
func checkValues(doc *document, c *collector) {
	for _, service := range doc.entries[tableService] {
		checkService(service, c)
	}
	lifetime, limited := keyLifetime(doc)
	for _, kind := range doc.entries[tableKind] {
		checkKind(kind, c)
		deadline, ok := get[time.Duration](kind, "deadline")
		if ok && limited && must[bool](kind, "once_only") && deadline > lifetime {
			c.add(kind.problem(RuleKeyLifetime, fmt.Sprintf("deadline %s is longer than limits.key_lifetime %s", durationText(deadline), durationText(lifetime)), "deadline"))
		}
	}
}

func keyLifetime(doc *document) (time.Duration, bool) {
	for _, limits := range doc.entries[tableLimits] {
		return get[time.Duration](limits, "key_lifetime")
	}
	return 0, false
}

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

func checkKind(e *entry, c *collector) {
	importance, ok := get[string](e, "importance")
	if ok && must[bool](e, "once_only") && importance != call.Critical.String() {
		c.add(e.problem(RuleOnceOnlyImportance, fmt.Sprintf("a once-only kind must be critical; got %q", importance), "importance"))
	}
	deadline, hasDeadline := get[time.Duration](e, "deadline")
	tree, hasTree := get[time.Duration](e, "tree_cost")
	if hasDeadline && hasTree && deadline < tree {
		c.add(e.problem(RuleDeadline, fmt.Sprintf("deadline %s is shorter than the expected slot time %s of the call tree", durationText(deadline), durationText(tree)), "deadline"))
	}
	cost, hasCost := get[time.Duration](e, "cost")
	if hasCost && hasTree && tree < cost {
		c.add(e.problem(RuleTreeCost, fmt.Sprintf("tree_cost %s is below cost %s", durationText(tree), durationText(cost)), "tree_cost"))
	}
}

// fillTreeCost sets the default of kinds without sub-calls.
func fillTreeCost(doc *document) {
	for _, kind := range doc.entries[tableKind] {
		_, present := kind.values["tree_cost"]
		cost, ok := kind.values["cost"]
		if !present && ok {
			kind.values["tree_cost"] = cost
		}
	}
}

func checkKindServices(doc *document, c *collector) {
	if doc.partial[tableService] {
		return
	}
	known := map[string]bool{}
	for _, service := range doc.entries[tableService] {
		known[service.name] = true
	}
	for _, kind := range doc.entries[tableKind] {
		service, ok := get[string](kind, "service")
		if ok && !known[service] {
			c.add(kind.problem(RuleUnknownService, fmt.Sprintf("no [[service]] is named %q", service), "service"))
		}
	}
}

// checkShadowed reports kinds that can never match, since the first match
// wins.
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
		covers := func(e *entry) bool { return strings.HasPrefix(prefix, must[string](e, "path_prefix")) }
		if i := slices.IndexFunc(earlier[r], covers); i >= 0 {
			first := earlier[r][i]
			c.add(kind.problem(RuleShadowedKind, fmt.Sprintf("%q at line %d matches %s %s first; put the longer prefix before it", first.name, first.line, method, prefix), "path_prefix"))
			continue
		}
		earlier[r] = append(earlier[r], kind)
	}
}

// checkMethods refuses once-only kinds with methods that clients and
// intermediaries repeat at will.
func checkMethods(doc *document, c *collector) {
	safe := []string{"GET", "HEAD", "OPTIONS"}
	for _, kind := range doc.entries[tableKind] {
		method, ok := get[string](kind, "method")
		if ok && must[bool](kind, "once_only") && slices.Contains(safe, method) {
			c.add(kind.problem(RuleOnceOnlyMethod, fmt.Sprintf("%s may be repeated by any client; a once-only kind needs another method", method), "method"))
		}
	}
}

// buildPolicy converts a document without problems.
func buildPolicy(revision uint64, site string, doc *document) *policy.Policy {
	p := &policy.Policy{
		Revision: revision,
		Site:     site,
		Services: map[string]*policy.Service{},
		Callers:  map[string]*policy.Caller{},
		Limits:   buildLimits(doc.entries[tableLimits][0]),
	}
	for _, e := range doc.entries[tableService] {
		p.Services[e.name] = buildService(e)
	}
	for _, e := range doc.entries[tableKind] {
		p.Kinds = append(p.Kinds, buildKind(e))
	}
	for _, e := range doc.entries[tableCaller] {
		p.Callers[e.name] = &policy.Caller{Name: e.name, Share: must[float64](e, "share")}
	}
	return p
}

func buildLimits(e *entry) policy.Limits {
	return policy.Limits{
		MaxBody:     int64(must[Size](e, "max_body")),
		MaxDepth:    must[int](e, "max_depth"),
		KeyLifetime: must[time.Duration](e, "key_lifetime"),
		MaxKeys:     must[int](e, "max_keys"),
		MaxKeyBytes: int64(must[Size](e, "max_key_bytes")),
	}
}

func buildService(e *entry) *policy.Service {
	return &policy.Service{
		Name:         e.name,
		Slots:        must[int](e, "slots"),
		Connections:  must[int](e, "connections"),
		Reserved:     must[int](e, "reserved"),
		ColdStart:    must[time.Duration](e, "cold_start"),
		ProbePath:    must[string](e, "probe_path"),
		SubsetSize:   must[int](e, "subset_size"),
		MaxQueueWait: must[time.Duration](e, "max_queue_wait"),
	}
}

func buildKind(e *entry) *policy.Kind {
	importance, _ := call.ParseImportance(must[string](e, "importance"))
	return &policy.Kind{
		Name:          e.name,
		Service:       must[string](e, "service"),
		Method:        must[string](e, "method"),
		PathPrefix:    must[string](e, "path_prefix"),
		Importance:    importance,
		Worth:         must[float64](e, "worth"),
		OnceOnly:      must[bool](e, "once_only"),
		Deadline:      must[time.Duration](e, "deadline"),
		ExtraAttempts: must[int](e, "extra_attempts"),
		Cost:          must[time.Duration](e, "cost"),
		TreeCost:      must[time.Duration](e, "tree_cost"),
	}
}

// clone copies an entry so that an overlay can change its values.
func (e *entry) clone() *entry {
	copied := *e
	copied.values = maps.Clone(e.values)
	return &copied
}
