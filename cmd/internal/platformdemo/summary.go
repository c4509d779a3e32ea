package platformdemo

import (
	"net/http"
	"slices"
	"time"

	"toucangw.example/standin/site"
)

// summarize counts attempts by result and computes the latency quantiles of
// those that were answered.
func summarize(name string, attempts []site.Attempt) Phase {
	p := Phase{Name: name, Attempts: len(attempts)}
	var took []time.Duration
	for _, a := range attempts {
		switch a.Status {
		case http.StatusOK:
			p.Answered++
			took = append(took, a.Took)
		case http.StatusServiceUnavailable:
			p.Refused++
		default:
			p.Failed++
		}
	}
	slices.Sort(took)
	p.P50MS, p.P99MS = quantile(took, 0.5), quantile(took, 0.99)
	return p
}

// quantile returns the quantile q of sorted durations, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
	return float64(at) / float64(time.Millisecond)
}
