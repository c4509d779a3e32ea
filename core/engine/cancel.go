package engine

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/verdict"
)

// cancelled handles a caller or peer that went away.
func (e *Engine) cancelled(now time.Time, id call.ID) {
	if rec := e.entries[id]; rec != nil {
		e.refuseEntry(now, rec, &verdict.Refusal{Verdict: e.openVerdict(rec), Reason: verdict.Cancelled})
		return
	}
	if g := e.joinedTo[id]; g != nil {
		e.leaveKey(id, g)
		e.cancelUnwanted(now, g)
		return
	}
	if g := e.guards[id]; g != nil && !g.cancelled {
		g.cancelled = true
		e.cancelUnwanted(now, g)
	}
}

// openVerdict is the verdict on a call that may have an attempt in flight.
func (e *Engine) openVerdict(rec *entryCall) verdict.Verdict {
	if rec.inFlight {
		return stronger(rec.known, verdict.MayHaveRun)
	}
	return rec.known
}

// cancelUnwanted frees the slot or queue place of a call that nobody waits
// for. A once-only run goes on: its answer can be fetched by key.
func (e *Engine) cancelUnwanted(now time.Time, g *guardCall) {
	if !g.cancelled || len(g.joined) > 0 {
		return
	}
	if !g.running {
		decisions := e.admitter.Cancel(now, g.id)
		e.refuseGuard(now, g, verdict.Refuse(verdict.Cancelled, "the caller went away"))
		e.apply(now, decisions)
		return
	}
	if g.req.Key != "" {
		return
	}
	e.cancelChildren(now, g)
	e.emit(e.guardRecord(g, DecisionCancel, "caller-gone"), CancelRun{ID: g.id})
}

// cancelChildren ends the outgoing calls of a run.
func (e *Engine) cancelChildren(now time.Time, g *guardCall) {
	for _, id := range sortedIDs(g.children) {
		rec := g.children[id]
		e.refuseEntry(now, rec, &verdict.Refusal{
			Verdict: e.openVerdict(rec),
			Reason:  verdict.Cancelled,
			Detail:  "the run that made this call has ended",
		})
	}
}
