package engine

import "toucangw.example/core/verdict"

func (e *Engine) record(rec *entryCall, kind DecisionKind, reason string) Record {
	return Record{
		Kind:      kind,
		ID:        rec.id,
		RequestID: rec.req.RequestID,
		Caller:    rec.req.Caller,
		CallKind:  rec.req.Kind,
		Service:   rec.req.Service,
		Rank:      rec.req.Rank,
		Host:      rec.host,
		Reason:    reason,
		Attempt:   rec.attempt,
		Credit:    rec.pool.Remaining(),
	}
}

func (e *Engine) recordRefusal(rec *entryCall, refusal *verdict.Refusal) {
	r := e.record(rec, DecisionRefuse, string(refusal.Reason))
	r.Refused = refusal.Reason
	r.Verdict = refusal.Verdict
	e.emit(r)
}

func (e *Engine) guardRecord(g *guardCall, kind DecisionKind, reason string) Record {
	return Record{
		Kind:      kind,
		ID:        g.id,
		RequestID: g.req.RequestID,
		Caller:    g.req.Caller,
		CallKind:  g.req.Kind,
		Service:   g.req.Service,
		Rank:      g.req.Rank,
		Host:      e.cfg.Host,
		Reason:    reason,
		Credit:    g.pool.Remaining(),
	}
}

func (e *Engine) guardRefusal(g *guardCall, refusal *verdict.Refusal) Record {
	r := e.guardRecord(g, DecisionRefuse, string(refusal.Reason))
	r.Refused = refusal.Reason
	r.Verdict = refusal.Verdict
	return r
}
