package settings

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/policy"
)

// buildPolicy converts a document without problems. Policies share what the
// overlays leave alone.
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
		p.Services[e.name] = built(e, buildService)
	}
	for _, e := range doc.entries[tableKind] {
		p.Kinds = append(p.Kinds, built(e, buildKind))
	}
	for _, e := range doc.entries[tableCaller] {
		p.Callers[e.name] = built(e, buildCaller)
	}
	p.Index()
	return p
}

// built converts the content of an entry once.
func built[T any](e *entry, build func(*entry) *T) *T {
	if done, ok := e.built.(*T); ok {
		return done
	}
	done := build(e)
	e.built = done
	return done
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
		Internal:      must[bool](e, "internal"),
		Deadline:      must[time.Duration](e, "deadline"),
		ExtraAttempts: must[int](e, "extra_attempts"),
		Cost:          must[time.Duration](e, "cost"),
		TreeCost:      must[time.Duration](e, "tree_cost"),
	}
}

func buildCaller(e *entry) *policy.Caller {
	return &policy.Caller{Name: e.name, Share: must[float64](e, "share")}
}
