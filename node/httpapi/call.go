package httpapi

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kataras/iris/v12"

	"toucangw.example/core/call"
	"toucangw.example/core/engine"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
)

// Limits of the request ID, caller, key, path and timeout of a request.
const (
	maxCaller    = 256
	maxRequestID = 256
	maxKey       = 2 << 10
	maxPath      = 8 << 10 // including the query; peers accept 16 KiB
	maxTimeout   = 10 * time.Minute
)

// requestID returns the caller's request ID, or a random one if it is missing or
// too long.
func requestID(ctx iris.Context) string {
	id := ctx.GetHeader(HeaderRequestID)
	if id != "" && len(id) <= maxRequestID {
		return id
	}
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// call handles a request to a service.
func (a *api) call(ctx iris.Context) {
	id := requestID(ctx)
	arrived, err := a.parse(ctx, id)
	if err != nil {
		a.reject(ctx, id, arrived, err, http.StatusBadRequest)
		return
	}
	body, status, err := a.readBody(ctx)
	if err != nil {
		a.reject(ctx, id, arrived, err, status)
		return
	}
	arrived.Digest = digest(arrived.Method, arrived.Path, body)
	payload := driver.Payload{ContentType: ctx.GetHeader("Content-Type"), Body: body}
	result := a.cfg.Calls.Call(ctx.Request().Context(), arrived, payload)
	switch {
	case result == nil:
		ctx.StatusCode(http.StatusBadGateway) // the client has disconnected
	case result.Answer != nil:
		writeAnswer(ctx, id, result.Answer)
	default:
		a.refuse(ctx, id, result.Refusal, result.Key, Status(result.Refusal))
	}
}

// reject rejects an invalid request before it reaches the engine.
func (a *api) reject(ctx iris.Context, id string, arrived engine.CallArrived, err error, status int) {
	refusal := verdict.Refuse(verdict.BadRequest, err.Error())
	if arrived.Key != "" {
		// An earlier, complete request may have used the key.
		refusal.Verdict = verdict.MayHaveRun
	}
	a.cfg.Refusals.Refused(id, arrived.Service, arrived.Caller, refusal)
	a.refuse(ctx, id, refusal, "", status)
}

// parse reads everything but the body of a request.
func (a *api) parse(ctx iris.Context, id string) (engine.CallArrived, error) {
	arrived := engine.CallArrived{
		Egress:    a.cfg.Egress,
		Method:    ctx.Method(),
		Caller:    ctx.GetHeader(HeaderCaller),
		RequestID: id,
		Key:       ctx.GetHeader(HeaderKey),
	}
	if a.cfg.Egress {
		arrived.Token = ctx.GetHeader(HeaderContext)
	}
	if received := ctx.GetHeader(HeaderRequestID); len(received) > maxRequestID {
		return arrived, fmt.Errorf("%s has %d bytes, above the limit of %d", HeaderRequestID, len(received), maxRequestID)
	}
	if len(arrived.Caller) > maxCaller {
		return arrived, fmt.Errorf("%s has %d bytes, above the limit of %d", HeaderCaller, len(arrived.Caller), maxCaller)
	}
	if len(arrived.Key) > maxKey {
		return arrived, fmt.Errorf("%s has %d bytes, above the limit of %d", HeaderKey, len(arrived.Key), maxKey)
	}
	var err error
	if arrived.Service, arrived.Path, err = splitPath(ctx.Request().URL); err != nil {
		return arrived, err
	}
	attempt, err := positiveHeader(ctx, HeaderAttempt)
	if err != nil {
		return arrived, err
	}
	arrived.Retry = attempt > 1
	ms, err := positiveHeader(ctx, HeaderTimeout)
	if err != nil {
		return arrived, err
	}
	arrived.Timeout = time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond
	return arrived, nil
}

// splitPath separates the service from the path sent to the upstream, including
// the query. It accepts only paths without dot or empty segments and escaped
// slashes, and returns them in canonical escaping: an upstream that resolves
// dots or escapes could otherwise see a path of another kind than the one that
// the rules were applied to.
func splitPath(u *url.URL) (service, rest string, err error) {
	if len(u.EscapedPath()) > maxPath || len(u.RawQuery) > maxPath-len(u.EscapedPath()) {
		return "", "", fmt.Errorf("path and query are above the limit of %d bytes", maxPath)
	}
	if strings.Count(u.Path, "/") != strings.Count(u.EscapedPath(), "/") {
		return "", "", errors.New("path has an escaped slash")
	}
	if clean := path.Clean(u.Path); clean != u.Path && clean+"/" != u.Path {
		return "", "", errors.New("path has empty or dot segments")
	}
	canonical := (&url.URL{Path: u.Path}).EscapedPath()
	service, rest, _ = strings.Cut(strings.TrimPrefix(canonical, "/"), "/")
	rest = "/" + rest
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return service, rest, nil
}

// positiveHeader parses a header with a positive integer; 0 if it is missing.
func positiveHeader(ctx iris.Context, header string) (int64, error) {
	text := ctx.GetHeader(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("%s is %.32q, not a positive whole number", header, text)
	}
	return n, nil
}

// readBody reads the complete body before the request reaches the engine. On an
// error it also returns the HTTP status of the refusal.
func (a *api) readBody(ctx iris.Context) ([]byte, int, error) {
	req := ctx.Request()
	if req.Body == nil || req.Body == http.NoBody {
		return nil, 0, nil
	}
	limit := a.cfg.MaxBody()
	if req.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes is above the limit of %d", req.ContentLength, limit)
	}
	connection := http.NewResponseController(ctx.ResponseWriter().Naive())
	if err := connection.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("bound the time of the body: %w", err)
	}
	// Once the body is read, the deadline must be cleared: net/http would treat
	// its expiry as a disconnected client.
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body is above the limit of %d bytes", limit)
	}
	if err != nil {
		return nil, http.StatusBadRequest, fmt.Errorf("request cut: %w", err)
	}
	return body, 0, nil
}

// digest hashes the request, to detect a key reused with a different request.
func digest(method, path string, body []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(method)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

func writeAnswer(ctx iris.Context, id string, answer *call.Answer) {
	h := ctx.ResponseWriter().Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderVerdict, verdict.Run.String())
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	if bodyAllowed(answer.Status) && ctx.Method() != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	ctx.ResponseWriter().WriteHeader(answer.Status)
	if len(answer.Body) > 0 && bodyAllowed(answer.Status) {
		_, _ = ctx.ResponseWriter().Write(answer.Body)
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
