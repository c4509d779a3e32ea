package engine

import (
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/verdict"
)

// cancelled handles the disconnection of the client that sent a call.
func (e *Engine) cancelled(now time.Time, id call.ID) {
	if entry := e.entries[id]; entry != nil {
		e.rejectEntry(now, entry, &verdict.Refusal{Verdict: e.currentVerdict(entry), Reason: verdict.Cancelled})
		return
	}
	if local := e.duplicateOf[id]; local != nil {
		e.removeDuplicate(id, local)
		e.cancelAbandoned(now, local)
		return
	}
	if local := e.localCalls[id]; local != nil && !local.cancelled {
		local.cancelled = true
		e.cancelAbandoned(now, local)
	}
}

// currentVerdict returns the verdict on a call, which may have an attempt in
// flight.
func (e *Engine) currentVerdict(entry *entryCall) verdict.Verdict {
	if entry.inFlight {
		return stronger(entry.known, verdict.MayHaveRun)
	}
	return entry.known
}

// cancelAbandoned frees the slot or queue place of a call if no client waits for
// it any more. An at-most-once run continues: its response can be fetched by
// key.
func (e *Engine) cancelAbandoned(now time.Time, local *localCall) {
	if !local.cancelled || len(local.duplicates) > 0 {
		return
	}
	if !local.running {
		decisions := e.admission.Cancel(now, local.id)
		e.rejectLocal(now, local, verdict.Refuse(verdict.Cancelled, "the caller went away"))
		e.applyDecisions(now, decisions)
		return
	}
	if local.req.Key != "" {
		return
	}
	e.cancelSubCalls(now, local)
	e.emit(e.localRecord(local, DecisionCancel, "caller-gone"), CancelRun{ID: local.id})
}

// cancelSubCalls ends the outgoing calls of a parent call.
func (e *Engine) cancelSubCalls(now time.Time, local *localCall) {
	for _, id := range sortedIDs(local.subCalls) {
		entry := local.subCalls[id]
		e.rejectEntry(now, entry, &verdict.Refusal{
			Verdict: e.currentVerdict(entry),
			Reason:  verdict.Cancelled,
			Detail:  "the run that made this call has ended",
		})
	}
}
