package engine

import "toucangw.example/core/verdict"

func (e *Engine) record(entry *entryCall, kind DecisionKind, reason string) Record {
	return Record{
		Kind:      kind,
		ID:        entry.id,
		RequestID: entry.req.RequestID,
		Caller:    entry.req.Caller,
		CallKind:  entry.req.Kind,
		Service:   entry.req.Service,
		Rank:      entry.req.Rank,
		Host:      entry.host,
		Reason:    reason,
		Attempt:   entry.attempt,
		Credit:    entry.credit.Remaining(),
	}
}

func (e *Engine) recordRefusal(entry *entryCall, refusal *verdict.Refusal) {
	r := e.record(entry, DecisionRefuse, string(refusal.Reason))
	r.Refused = refusal.Reason
	r.Verdict = refusal.Verdict
	e.emit(r)
}

func (e *Engine) localRecord(local *localCall, kind DecisionKind, reason string) Record {
	return Record{
		Kind:      kind,
		ID:        local.id,
		RequestID: local.req.RequestID,
		Caller:    local.req.Caller,
		CallKind:  local.req.Kind,
		Service:   local.req.Service,
		Rank:      local.req.Rank,
		Host:      e.cfg.Host,
		Reason:    reason,
		Credit:    local.credit.Remaining(),
	}
}

func (e *Engine) localRefusal(local *localCall, refusal *verdict.Refusal) Record {
	r := e.localRecord(local, DecisionRefuse, string(refusal.Reason))
	r.Refused = refusal.Reason
	r.Verdict = refusal.Verdict
	return r
}
