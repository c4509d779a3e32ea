package settings

import (
	"time"

	"toucangw.example/core/policy"
)

// Names of the tables of the base file.
const (
	tableLimits  = "limits"
	tableService = "service"
	tableKind    = "kind"
	tableCaller  = "caller"
)

// maxBody is the largest permitted max_body. It keeps a body with its envelope
// below the 4 MiB limit of a message between nodes.
const maxBody = 3 << 20

var importances = []string{"background", "low", "normal", "high", "critical"}

var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

var nameKey = Key{Name: "name", Type: TypeName, Required: true, Overlay: true,
	Help: "name of the entry, unique in its table"}

var baseTables = []Table{
	{Name: tableLimits, Help: "Bounds of sizes and lifetimes, the same at all sites.", Keys: []Key{
		{Name: "max_body", Type: TypeSize, Default: Size(policy.DefaultMaxBody), Min: 1 << 10, Max: maxBody,
			Help: "largest body of a request or an answer"},
		{Name: "max_depth", Type: TypeInteger, Default: policy.DefaultMaxDepth, Min: 1, Max: 128,
			Help: "deepest call chain; deeper calls are refused"},
		{Name: "key_lifetime", Type: TypeDuration, Default: policy.DefaultKeyLifetime, Min: float64(10 * time.Second), Max: float64(24 * time.Hour),
			Help: "how long the key of a once-only request is valid after its issue"},
		{Name: "max_keys", Type: TypeInteger, Default: policy.DefaultMaxKeys, Min: 1, Max: 10_000_000,
			Help: "most once-only keys that one node remembers; at the bound new keys are refused"},
		{Name: "max_key_bytes", Type: TypeSize, Default: Size(policy.DefaultMaxKeyBytes), Min: 1 << 20, Max: 4 << 30,
			Help: "most memory of one node for stored answers of once-only requests"},
	}},
	{Name: tableService, Repeated: true, MaxEntries: 4096, Help: "A service and the size of each of its upstreams.", Keys: []Key{
		nameKey,
		{Name: "slots", Type: TypeInteger, Required: true, Min: 1, Max: 100_000, Overlay: true,
			Help: "most calls that one upstream runs at once"},
		{Name: "connections", Type: TypeInteger, Required: true, Min: 1, Max: 1_000_000, Overlay: true,
			Help: "most connections from the node to one upstream; at least slots"},
		{Name: "reserved", Type: TypeInteger, Default: 0, Min: 0, Max: 99_999, Overlay: true,
			Help: "slots kept for critical work; below slots"},
		{Name: "cold_start", Type: TypeDuration, Default: policy.DefaultColdStart, Min: 0, Max: float64(10 * time.Minute), Overlay: true,
			Help: "time until a new upstream takes its full share of calls"},
		{Name: "probe_path", Type: TypePath, DefaultNote: "none: no probe",
			Help: "path of the health endpoint"},
		{Name: "subset_size", Type: TypeInteger, Default: policy.DefaultSubsetSize, Min: 1, Max: 1000,
			Help: "hosts of the service that one node connects to"},
		{Name: "max_queue_wait", Type: TypeDuration, Default: policy.DefaultMaxQueueWait, Min: 0, Max: float64(time.Minute), Overlay: true,
			Help: "longest time that a call waits for a slot"},
	}},
	{Name: tableKind, Repeated: true, MaxEntries: 8192, Help: "A kind of request. The first kind that matches service, method and path applies.", Keys: []Key{
		nameKey,
		{Name: "service", Type: TypeName, Required: true, Help: "service that runs the request"},
		{Name: "method", Type: TypeChoice, Required: true, Choices: methods, Help: "HTTP method"},
		{Name: "path_prefix", Type: TypePath, Default: "/", Help: "requests whose path starts with this text belong to the kind"},
		{Name: "importance", Type: TypeChoice, Required: true, Choices: importances, Overlay: true,
			Help: "class of the request; less important work is shed first; once-only kinds are critical"},
		{Name: "worth", Type: TypeNumber, Default: 1.0, Min: 0, AboveMin: true, Max: 1e6, Overlay: true,
			Help: "worth of a complete answer to the customer, relative to other kinds"},
		{Name: "once_only", Type: TypeBool, Default: false, Help: "the request is not idempotent and runs at most once for its key"},
		{Name: "internal", Type: TypeBool, Default: false,
			Help: "only upstreams make such requests, as sub-calls; one from a caller is refused"},
		{Name: "deadline", Type: TypeDuration, Required: true, Min: float64(time.Millisecond), Max: float64(10 * time.Minute), Overlay: true,
			Help: "time in which the caller needs the answer; at least tree_cost"},
		{Name: "extra_attempts", Type: TypeInteger, Default: 2, Min: 0, Max: 16, Overlay: true,
			Help: "most retries for one request over its whole call tree; an overlay may only lower it"},
		{Name: "cost", Type: TypeDuration, Required: true, Min: float64(time.Microsecond), Max: float64(10 * time.Minute),
			Help: "expected slot time at the service itself"},
		{Name: "tree_cost", Type: TypeDuration, DefaultKey: "cost", Min: float64(time.Microsecond), Max: float64(10 * time.Minute),
			Help: "expected slot time over the whole call tree; at least cost"},
	}},
	{Name: tableCaller, Repeated: true, MaxEntries: 4096, Help: "A customer. Requests of other callers are refused.", Keys: []Key{
		nameKey,
		{Name: "share", Type: TypeNumber, Default: 1.0, Min: 0, AboveMin: true, Max: 1e6, Overlay: true,
			Help: "share of the capacity within one importance, relative to the other callers"},
	}},
}
