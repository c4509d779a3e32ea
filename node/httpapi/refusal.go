package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"toucangw.example/core/verdict"
)

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

// statusOf maps the reasons of refusals to HTTP statuses.
var statusOf = map[verdict.Reason]int{
	verdict.QueueFull:        http.StatusTooManyRequests,
	verdict.Pressure:         http.StatusTooManyRequests,
	verdict.UpstreamShed:     http.StatusTooManyRequests,
	verdict.RetryBound:       http.StatusTooManyRequests,
	verdict.KeyTableFull:     http.StatusTooManyRequests,
	verdict.Paused:           http.StatusServiceUnavailable,
	verdict.NoUpstream:       http.StatusServiceUnavailable,
	verdict.Leaving:          http.StatusServiceUnavailable,
	verdict.Starting:         http.StatusServiceUnavailable,
	verdict.WrongService:     http.StatusServiceUnavailable,
	verdict.DeadlineUnmet:    http.StatusGatewayTimeout,
	verdict.DeadlinePassed:   http.StatusGatewayTimeout,
	verdict.ConnectionLost:   http.StatusBadGateway,
	verdict.IncompleteAnswer: http.StatusBadGateway,
	verdict.UpstreamFailed:   http.StatusBadGateway,
	verdict.UpstreamCrashed:  http.StatusBadGateway,
	verdict.Quarantined:      http.StatusServiceUnavailable,
	verdict.Cancelled:        http.StatusBadGateway,
	verdict.KeyRequired:      http.StatusPreconditionRequired,
	verdict.KeyFenced:        http.StatusConflict,
	verdict.KeyUnknown:       http.StatusConflict,
	verdict.OwnerUnreachable: http.StatusConflict,
	verdict.KeyMismatch:      http.StatusUnprocessableEntity,
	verdict.BadRequest:       http.StatusBadRequest,
	verdict.DepthExceeded:    http.StatusBadRequest,
	verdict.UnknownCaller:    http.StatusForbidden,
	verdict.NotMember:        http.StatusForbidden,
	verdict.UnknownKind:      http.StatusNotFound,
}

// Status returns the HTTP status of a refusal.
func Status(r *verdict.Refusal) int {
	if status, ok := statusOf[r.Reason]; ok {
		return status
	}
	return http.StatusBadGateway
}

// refuse replies with a refusal. A key that is not empty is returned to the
// caller in HeaderKey.
func (a *api) refuse(ctx iris.Context, id string, r *verdict.Refusal, key string, status int) {
	h := ctx.ResponseWriter().Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderVerdict, r.Verdict.String())
	h.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if key != "" {
		h.Set(HeaderKey, key)
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(RefusalBody{
		Verdict:      r.Verdict.String(),
		Reason:       string(r.Reason),
		Detail:       r.Detail,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		RequestID:    id,
	})
}
