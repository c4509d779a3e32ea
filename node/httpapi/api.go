// Package httpapi implements the HTTP APIs of a node: one for callers and, on
// loopback, one for outgoing calls of the local upstream (egress).
package httpapi

import (
	"context"
	"log"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"toucangw.example/core/engine"
	"toucangw.example/core/idempotency"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

// Headers between callers and nodes.
const (
	HeaderCaller       = "Toucangw-Caller"
	HeaderRequestID    = "X-Request-Id"
	HeaderAttempt      = "Toucangw-Attempt"
	HeaderTimeout      = "Toucangw-Timeout-Ms"
	HeaderKey          = "Idempotency-Key"
	HeaderContext      = "Toucangw-Context"
	HeaderVerdict      = "Toucangw-Verdict"
	HeaderReason       = "Toucangw-Reason"
	HeaderRetryAfter   = "Retry-After"
	HeaderRetryAfterMs = "Toucangw-Retry-After-Ms"
	HeaderKeyState     = "Toucangw-Key-State"
)

const (
	defaultMaxHeader  = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	// bodyTimeout bounds the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// keyTimeout bounds a query or cancellation of an idempotency key.
	keyTimeout = 2 * time.Second
)

// Calls executes calls and queries or cancels idempotency keys.
type Calls interface {
	Call(ctx context.Context, arrived engine.CallArrived, p driver.Payload) *engine.AnswerCaller
	Key(ctx context.Context, owner member.HostID, key, caller string, fence bool) (driver.KeyState, error)
}

// Refusals records refusals for the operators' API.
type Refusals interface {
	Refused(requestID, service, caller string, r *verdict.Refusal)
}

// Config holds the dependencies and settings of the API.
type Config struct {
	Calls    Calls
	Refusals Refusals
	// MaxBody returns the current limit of request bodies in bytes.
	MaxBody func() int64
	// Owner returns the owner that an idempotency key names, and false for a key
	// that was not issued by this system.
	Owner func(key string) (idempotency.Owner, bool)
	// MaxHeader limits the request headers in bytes; 0 means defaultMaxHeader.
	MaxHeader int
	// Leaving reports whether the node is leaving; replies then ask callers to
	// close their connections.
	Leaving  func() bool
	ErrorLog *log.Logger
	// Egress selects the API for the local upstream instead of that for callers.
	Egress bool
}

type api struct{ cfg Config }

// NewServer returns an HTTP server that does not listen yet.
func NewServer(cfg Config) (*http.Server, error) {
	a := &api{cfg: cfg}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutBodyConsumptionOnUnmarshal,
		iris.WithoutStartupLog, iris.WithoutPathCorrection)
	app.UseRouter(a.closeWhenLeaving)
	if !cfg.Egress {
		app.Get("/.toucangw/keys/{key:path}", a.queryKey)
		app.Delete("/.toucangw/keys/{key:path}", a.cancelKey)
	}
	app.Any("/{service:string}", a.call)
	app.Any("/{service:string}/{path:path}", a.call)
	app.OnErrorCode(http.StatusNotFound, a.notFound)
	app.OnErrorCode(http.StatusMethodNotAllowed, a.notFound)
	if err := app.Build(); err != nil {
		return nil, err
	}
	header := cfg.MaxHeader
	if header == 0 {
		header = defaultMaxHeader
	}
	return &http.Server{
		Handler:           app,
		ErrorLog:          cfg.ErrorLog,
		MaxHeaderBytes:    header,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, nil
}

// closeWhenLeaving makes callers reconnect, to another node, once this node is
// leaving. Closing idle connections instead could break a request that is just
// arriving.
func (a *api) closeWhenLeaving(ctx iris.Context) {
	if a.cfg.Leaving() && !a.cfg.Egress {
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

func (a *api) notFound(ctx iris.Context) {
	r := verdict.Refuse(verdict.BadRequest, "the path has the form /<service>/<path>")
	a.refuse(ctx, requestID(ctx), r, "", http.StatusNotFound)
}
