package settings

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
)

// buildPolicy converts a document without problems to a policy. Policies of
// different sites share the objects of entries that no overlay changes.
func buildPolicy(revision uint64, site string, doc *document) *policy.Policy {
	p := &policy.Policy{
		Revision: revision,
		Site:     site,
		Services: make(map[string]*policy.Service, len(doc.entries[tableService])),
		Kinds:    make([]*policy.Kind, 0, len(doc.entries[tableKind])),
		Callers:  make(map[string]*policy.Caller, len(doc.entries[tableCaller])),
		Limits:   buildLimits(doc.single(tableLimits)),
	}
	for _, e := range doc.entries[tableService] {
		p.Services[e.name] = getOrBuild(e, buildService)
	}
	for _, e := range doc.entries[tableKind] {
		p.Kinds = append(p.Kinds, getOrBuild(e, buildKind))
	}
	for _, e := range doc.entries[tableCaller] {
		p.Callers[e.name] = getOrBuild(e, buildCaller)
	}
	p.Index()
	return p
}

// getOrBuild returns the policy object of an entry, which it builds on first
// use.
func getOrBuild[T any](e *entry, build func(*entry) *T) *T {
	if object, ok := e.object.(*T); ok {
		return object
	}
	object := build(e)
	e.object = object
	return object
}

func buildLimits(e *entry) policy.Limits {
	return policy.Limits{
		MaxBody:     int64(getOrZero[Size](e, "max_body")),
		MaxDepth:    getOrZero[int](e, "max_depth"),
		KeyLifetime: getOrZero[time.Duration](e, "key_lifetime"),
		MaxKeys:     getOrZero[int](e, "max_keys"),
		MaxKeyBytes: int64(getOrZero[Size](e, "max_key_bytes")),
	}
}

func buildService(e *entry) *policy.Service {
	return &policy.Service{
		Name:         e.name,
		Slots:        getOrZero[int](e, "slots"),
		Connections:  getOrZero[int](e, "connections"),
		Reserved:     getOrZero[int](e, "reserved"),
		ColdStart:    getOrZero[time.Duration](e, "cold_start"),
		ProbePath:    getOrZero[string](e, "probe_path"),
		SubsetSize:   getOrZero[int](e, "subset_size"),
		MaxQueueWait: getOrZero[time.Duration](e, "max_queue_wait"),
	}
}

func buildKind(e *entry) *policy.Kind {
	importance, _ := call.ParseImportance(getOrZero[string](e, "importance"))
	return &policy.Kind{
		Name:          e.name,
		Service:       getOrZero[string](e, "service"),
		Method:        getOrZero[string](e, "method"),
		PathPrefix:    getOrZero[string](e, "path_prefix"),
		Importance:    importance,
		Worth:         getOrZero[float64](e, "worth"),
		OnceOnly:      getOrZero[bool](e, "once_only"),
		Internal:      getOrZero[bool](e, "internal"),
		Deadline:      getOrZero[time.Duration](e, "deadline"),
		ExtraAttempts: getOrZero[int](e, "extra_attempts"),
		Cost:          getOrZero[time.Duration](e, "cost"),
		TreeCost:      getOrZero[time.Duration](e, "tree_cost"),
	}
}

func buildCaller(e *entry) *policy.Caller {
	return &policy.Caller{Name: e.name, Share: getOrZero[float64](e, "share")}
}
