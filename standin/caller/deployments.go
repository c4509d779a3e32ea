package caller

import (
	"net/http"
	"time"
)

// Kinds returns the kinds of requests of an example deployment.
func Kinds(deployment string) []Kind { return deployments[deployment] }

// Callers returns the callers (customers) of an example deployment.
func Callers(deployment string) []string { return callers[deployment] }

var callers = map[string][]string{
	"drooglog": {"scheldt", "kempen", "polder"},
}

var deployments = map[string][]Kind{
	"drooglog": {
		{Name: "batch-read", Service: "batchlog", Method: http.MethodGet, Prefix: "/batches",
			Share: 0.50, Worth: 1, Deadline: 400 * time.Millisecond},
		{Name: "ledger-read", Service: "ledger", Method: http.MethodGet, Prefix: "/ledger",
			Share: 0.22, Worth: 2, Deadline: 400 * time.Millisecond},
		{Name: "quality-read", Service: "batchlog", Method: http.MethodGet, Prefix: "/quality",
			Share: 0.22, Worth: 4, Deadline: 500 * time.Millisecond},
		{Name: "sign-off", Service: "release", Method: http.MethodPost, Prefix: "/sign-offs",
			Share: 0.06, Worth: 20, Deadline: 2 * time.Second, OnceOnly: true},
	},
}
