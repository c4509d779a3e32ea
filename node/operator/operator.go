// Package operator implements the HTTP API of a node for operators: health,
// metrics, status, log level and recent refusals.
package operator

import (
	"log"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"toucangw.example/node/telemetry"
)

const readHeaderTimeout = 5 * time.Second

// Status is what `toucangwctl show` prints.
type Status struct {
	Host            string              `json:"host"`
	Incarnation     uint64              `json:"incarnation"`
	Zone            string              `json:"zone"`
	Site            string              `json:"site"`
	Service         string              `json:"service"`
	Revision        uint64              `json:"revision"` // store revision of the active configuration
	Ready           bool                `json:"ready"`
	NotReady        string              `json:"not_ready,omitempty"` // why the node accepts no new work
	Leaving         bool                `json:"leaving"`
	Calls           int                 `json:"calls"`
	Runs            int                 `json:"runs"`
	Keys            int                 `json:"keys"`
	KeyBytes        int64               `json:"key_bytes"`
	Load            Load                `json:"load"`
	Thresholds      map[string]uint32   `json:"levels"` // admission threshold by caller
	Members         []Member            `json:"members"`
	Config          any                 `json:"config"`
	LogLevel        string              `json:"log_level"`
	LogLinesDropped int64               `json:"log_lines_dropped"`
	Refusals        []telemetry.Refusal `json:"refusals"`
}

// Load is the load of the local upstream.
type Load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Limit   int   `json:"limit"`
	Slots   int   `json:"slots"`
	WaitMs  int64 `json:"wait_ms"`
}

// Member is a host in the node's member list.
type Member struct {
	Host        string `json:"host"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
}

// LogLevelBody is the body of PUT /v1/loglevel.
type LogLevelBody struct {
	Level string `json:"level"`
}

// Config holds the dependencies of the API.
type Config struct {
	Status      func() Status
	NotReady    func() string // why the node accepts no new work; empty if it does
	Refusals    func(requestID string) []telemetry.Refusal
	SetLogLevel func(level string) error
	Metrics     http.Handler
	ErrorLog    *log.Logger
}

// NewServer returns an HTTP server that does not listen yet.
func NewServer(cfg Config) (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", func(ctx iris.Context) {
		if why := cfg.NotReady(); why != "" {
			ctx.StatusCode(http.StatusServiceUnavailable)
			_, _ = ctx.WriteString("not ready: " + why + "\n")
			return
		}
		_, _ = ctx.WriteString("ready\n")
	})
	app.Get("/metrics", iris.FromStd(cfg.Metrics))
	app.Get("/v1/status", func(ctx iris.Context) { _ = ctx.JSON(cfg.Status()) })
	app.Get("/v1/refusals", func(ctx iris.Context) { _ = ctx.JSON(cfg.Refusals(ctx.URLParam("request_id"))) })
	app.Put("/v1/loglevel", func(ctx iris.Context) { setLevel(ctx, cfg.SetLogLevel) })
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &http.Server{Handler: app, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: cfg.ErrorLog}, nil
}

func setLevel(ctx iris.Context, set func(string) error) {
	var body LogLevelBody
	err := ctx.ReadJSON(&body)
	if err == nil {
		err = set(body.Level)
	}
	if err != nil {
		ctx.StatusCode(http.StatusBadRequest)
		_ = ctx.JSON(iris.Map{"error": err.Error()})
		return
	}
	_ = ctx.JSON(body)
}
