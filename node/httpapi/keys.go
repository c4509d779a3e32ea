package httpapi

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	"toucangw.example/core/idempotency"
	"toucangw.example/core/verdict"
)

// KeyBody is the JSON body of the state of a key that has no stored answer.
type KeyBody struct {
	State   string `json:"state"`
	Verdict string `json:"verdict"`
}

func (a *api) queryKey(ctx iris.Context)  { a.key(ctx, false) }
func (a *api) cancelKey(ctx iris.Context) { a.key(ctx, true) }

// key replies with the stored answer if the request of the key has completed,
// and with the state of the key otherwise. With fence set, it cancels the key.
func (a *api) key(ctx iris.Context, fence bool) {
	id := requestID(ctx)
	key := ctx.Params().Get("key")
	owner, ok := a.cfg.Owner(key)
	if !ok {
		a.refuse(ctx, id, &verdict.Refusal{Reason: verdict.KeyUnknown, Detail: "the key was not issued by this system"}, "", http.StatusNotFound)
		return
	}
	queryCtx, cancel := context.WithTimeout(ctx.Request().Context(), keyTimeout)
	defer cancel()
	state, err := a.cfg.Calls.Key(queryCtx, owner.Host, key, ctx.GetHeader(HeaderCaller), fence)
	if err != nil {
		r := &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: verdict.OwnerUnreachable, Detail: err.Error()}
		a.refuse(ctx, id, r, "", Status(r))
		return
	}
	ctx.Header(HeaderKeyState, state.State.String())
	if state.Answer != nil {
		writeAnswer(ctx, id, state.Answer)
		return
	}
	v := VerdictOf(state.State)
	ctx.Header(HeaderRequestID, id)
	ctx.Header(HeaderVerdict, v.String())
	_ = ctx.JSON(KeyBody{State: state.State.String(), Verdict: v.String()})
}

// VerdictOf returns the verdict for a key in a state. A request whose key is
// unseen or queued has not run, but may still run; only one whose key is fenced
// never will.
func VerdictOf(s idempotency.State) verdict.Verdict {
	switch s {
	case idempotency.Fenced:
		return verdict.NotRun
	case idempotency.Done:
		return verdict.Run
	default:
		return verdict.MayHaveRun
	}
}
