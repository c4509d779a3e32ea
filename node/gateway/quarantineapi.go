package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"toucangw.example/core/quarantine"
)

// QuarantinePath is the path on the metrics listener that lists the requests which are
// refused or suspected because they crash upstreams. DELETE of a fingerprint, or of its
// first digits, below it lifts a quarantine on all nodes.
const QuarantinePath = "/quarantine"

// minLiftDigits is the least number of digits by which a quarantine is lifted.
const minLiftDigits = 8

// QuarantinedRequest is what a node tells operators of the requests with one
// fingerprint.
type QuarantinedRequest struct {
	Fingerprint string             `json:"fingerprint"`
	Quarantined bool               `json:"quarantined"` // refused; otherwise suspected
	Service     string             `json:"service"`
	Route       string             `json:"route"`
	Caller      string             `json:"caller"`
	RequestID   string             `json:"request"` // one of the requests
	Crashes     []QuarantinedCrash `json:"crashes"`
}

// QuarantinedCrash is one piece of evidence against a request.
type QuarantinedCrash struct {
	Upstream   string  `json:"upstream"`
	Software   string  `json:"software"` // version of the upstream's software
	SeenBy     string  `json:"seen_by"`  // node
	AgeSeconds float64 `json:"age_seconds"`
}

func quarantinedRequest(now time.Time, r *quarantine.Record) QuarantinedRequest {
	out := QuarantinedRequest{
		Fingerprint: r.Fingerprint.String(), Quarantined: r.Quarantined(), Service: r.Subject.Service, Route: r.Subject.Route,
		Caller: r.Subject.Caller, RequestID: r.Subject.RequestID,
	}
	for _, c := range r.Crashes {
		if !c.Cleared {
			out.Crashes = append(out.Crashes, QuarantinedCrash{c.Upstream.ID, c.Version, c.Node, now.Sub(c.At).Seconds()})
		}
	}
	return out
}

// serveQuarantine lists the quarantined and the suspected requests.
func (g *Gateway) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []QuarantinedRequest{}
	for _, r := range g.quarantine.List() {
		out = append(out, quarantinedRequest(now, &r))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// serveLift ends a quarantine or a suspicion. It answers 404 unless there is exactly
// one.
func (g *Gateway) serveLift(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("fingerprint")
	if len(prefix) < minLiftDigits {
		http.Error(w, "at least 8 digits of a fingerprint are needed", http.StatusBadRequest)
		return
	}
	f, ok := g.quarantine.Lift(time.Now(), prefix)
	if !ok {
		http.Error(w, "no such request, or more than one", http.StatusNotFound)
		return
	}
	g.cfg.Logger.Warn("request cleared", "fingerprint", f.Short(), "by", "operator", "source", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
