package upstream

import (
	"net/http"
	"time"
)

// Routes returns the routes of a service in an example deployment, with the
// service times given in docs/design.md.
func Routes(deployment, service string) []Route {
	return deployments[deployment][service]
}

func read(prefix string, ms int, calls ...Call) Route {
	return Route{Method: http.MethodGet, Prefix: prefix, ServiceTime: time.Duration(ms) * time.Millisecond, Calls: calls}
}

func write(prefix string, ms int, calls ...Call) Route {
	return Route{Method: http.MethodPost, Prefix: prefix, ServiceTime: time.Duration(ms) * time.Millisecond, Calls: calls}
}

func get(service, prefix string) Call {
	return Call{Service: service, Method: http.MethodGet, Prefix: prefix}
}

func post(service, prefix string) Call {
	return Call{Service: service, Method: http.MethodPost, Prefix: prefix}
}

var deployments = map[string]map[string][]Route{
	// The single service used in docs/operate-start.md.
	"start": {
		"orders": {
			read("/orders", 5),
			write("/orders", 10),
		},
	},
	"drooglog": {
		"batchlog": {
			read("/batches", 8, get("ledger", "/entries/batches")),
			read("/quality", 6, get("ledger", "/entries/quality")),
		},
		"release": {
			write("/sign-offs", 10, post("ledger", "/entries/sign-offs")),
		},
		"ledger": {
			read("/ledger", 5),
			read("/entries/batches", 4),
			read("/entries/quality", 4, get("quality", "/results")),
			write("/entries/sign-offs", 5, get("quality", "/checks")),
		},
		"quality": {
			read("/results", 6),
			read("/checks", 4),
		},
	},
}
