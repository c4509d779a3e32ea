package gateway

import (
	"fmt"
	"strings"
	"time"

	"toucangw.example/core/advisory"
	"toucangw.example/core/directory"
	"toucangw.example/core/quarantine"
	"toucangw.example/core/verdict"
)

// quarantineRetryAfter is the retry time that is advised to the clients of quarantined
// requests. They get no answer before an upstream is replaced or corrected.
const quarantineRetryAfter = time.Minute

// suspect is a request that was running at the local upstream when its process ended,
// or that may have been.
type suspect struct {
	fingerprint quarantine.Fingerprint
	subject     quarantine.Subject
	instance    advisory.Instance
	startedAt   time.Time
}

// suspect returns the run as a suspect. Service is that of the local upstream.
func (run *localRun) suspect(service string) suspect {
	f := run.forward
	return suspect{
		fingerprint: f.fingerprint(), instance: run.instance, startedAt: run.startedAt,
		subject: quarantine.Subject{Service: service, Route: f.meta.Route, Caller: f.meta.Origin, RequestID: f.requestID},
	}
}

// blame records that a request was running at the local upstream when its process
// ended. It returns the number of incarnations that have crashed under the request
// since it was last answered.
func (g *Gateway) blame(s suspect, end *processEnd) (crashes int) {
	answer, answered := g.answered.Get(s.fingerprint)
	if answered && answer.Upstream == end.instance {
		g.log.suspect(&s, end, 0, "this process has answered equal requests")
		return 0
	}
	record, quarantines := g.quarantine.OnCrash(time.Now(), s.fingerprint, s.subject, quarantine.Crash{
		Upstream: end.instance, Version: g.softwareVersion(end.instance.ID), Node: g.cfg.Host, At: end.at, AnsweredBefore: answered,
	})
	g.log.suspect(&s, end, record.Counted(), "")
	if quarantines {
		g.logQuarantine(record, "own upstream")
	}
	return record.Counted()
}

// softwareVersion returns the version of the software of a listed upstream, or "".
func (g *Gateway) softwareVersion(id string) string {
	if hosts := g.hosts.Load(); hosts != nil {
		if u := hosts.Get(id); u != nil {
			return u.Version
		}
	}
	return ""
}

// onRunAnswered records that the local upstream has answered a request completely. An
// answer at the deadline or an error does not show that the request is harmless: the
// run may have been ended before the point at which it crashes the upstream.
func (g *Gateway) onRunAnswered(run *localRun, status int) {
	g.processEnds.onAnswer(run)
	if status >= 500 {
		return
	}
	f := run.forward
	now := time.Now()
	g.answered.Add(f.fingerprint(), quarantine.Answer{Upstream: run.instance, At: now})
	if g.quarantine.OnAnswer(now, f.fingerprint(), run.instance.ID) {
		g.cfg.Logger.Info("request cleared", "fingerprint", f.fingerprint().Short(), "request", f.requestID,
			"route", f.meta.Route, "upstream", run.instance.ID, "source", "own upstream")
	}
}

// refuseQuarantined returns a refusal if equal requests have crashed the upstreams that
// ran them, and this one is no probe.
func (g *Gateway) refuseQuarantined(f *forward) *verdict.Refusal {
	now := time.Now()
	record, quarantined := g.quarantinedRecord(now, f)
	if !quarantined || f.probe {
		return nil
	}
	version := g.softwareVersion(f.meta.Upstream)
	target := g.probeTarget(now, f)
	if target != nil && target.ID == f.meta.Upstream && g.quarantine.BeginProbe(now, record.Fingerprint, version) {
		f.probe = true
		g.cfg.Logger.Warn("quarantined request probed", "fingerprint", record.Fingerprint.Short(), "request", f.requestID,
			"upstream", f.meta.Upstream, "software", version, "crashes", record.Counted())
		return nil
	}
	return quarantineRefusal(now, &record)
}

// probeTarget returns the upstream to which a quarantined request may be sent, or nil.
func (g *Gateway) probeTarget(now time.Time, f *forward) *directory.Upstream {
	hosts := g.hosts.Load()
	if hosts == nil {
		return nil
	}
	var due []*directory.Upstream
	var ids []string
	for _, u := range hosts.Service(f.meta.Service) {
		if u.State == directory.Ready && g.quarantine.ProbeDue(now, f.fingerprint(), u.Version) {
			due = append(due, u)
			ids = append(ids, u.ID)
		}
	}
	if i := quarantine.Elect(f.fingerprint(), ids); i >= 0 {
		return due[i]
	}
	return nil
}

func quarantineRefusal(now time.Time, record *quarantine.Record) *verdict.Refusal {
	r := verdict.Refuse(verdict.Quarantined, describe(now, record))
	r.RetryAfter = quarantineRetryAfter
	return r
}

// describe returns the evidence against a request, for logs and refusals.
func describe(now time.Time, record *quarantine.Record) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "request %s crashed", record.Fingerprint.Short())
	separator := " "
	for _, c := range record.Crashes {
		if c.Cleared {
			continue
		}
		_, _ = fmt.Fprintf(&b, "%s%s (seen by %s, %.1f s ago)", separator, c.Upstream.ID, c.Node, now.Sub(c.At).Seconds())
		separator = ", "
	}
	return b.String()
}

// logQuarantine logs that the requests with a fingerprint are refused from now on.
func (g *Gateway) logQuarantine(r quarantine.Record, source string) {
	g.cfg.Logger.Warn("request quarantined", "fingerprint", r.Fingerprint.String(), "service", r.Subject.Service, "route", r.Subject.Route,
		"caller", r.Subject.Caller, "request", r.Subject.RequestID, "evidence", describe(time.Now(), &r), "source", source)
}

// quarantinedRecord returns the record of a request, and whether it is quarantined.
func (g *Gateway) quarantinedRecord(now time.Time, f *forward) (quarantine.Record, bool) {
	if !g.quarantine.AnyQuarantined() {
		return quarantine.Record{}, false
	}
	return g.quarantine.Quarantined(now, f.fingerprint())
}

// fingerprint returns the fingerprint of the request.
func (f *forward) fingerprint() quarantine.Fingerprint {
	if f.fingerprinted == nil {
		id := quarantine.FingerprintOf(&quarantine.Request{
			Method: f.method, Host: f.host, Target: f.target, Caller: f.meta.Origin, Length: f.length, Body: f.body,
		})
		f.fingerprinted = &id
	}
	return *f.fingerprinted
}
