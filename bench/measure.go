package bench

import (
	"slices"
	"time"
)

const (
	// recoveryBin is the resolution of the recovery time.
	recoveryBin = 20 * ms
	// recoveryRun is the number of bins in a row that must be good.
	recoveryRun = 5
	// recoveredShare of the value before the cause counts as recovered.
	recoveredShare = 0.95
	// answerLag shifts the window in which answers count, by the network time
	// to and from the caller and about the slot time of a call tree.
	answerLag = 25 * ms
)

// Result is what one run measured.
type Result struct {
	Goodput        float64 // worth per second answered in time during the causes
	Oracle         float64 // greatest worth per second that fits, during the causes
	Before         float64 // share of the offered worth answered before
	Recovery       time.Duration
	Recovered      bool
	Amplification  float64 // calls between nodes per call needed
	MaxAttempts    int     // most calls between nodes for one attempt of a caller
	MaxRetries     int     // most extra attempts for one caller's request
	Shed           map[string]float64
	CriticalFits   bool
	CriticalInTime float64
	Wasted         float64 // share of the slot time spent on failed requests
	FalseNotRun    int
	RunTwice       int
	Requests       int
	Refusals       map[string]int
	KindGoodput    map[string]float64 // requests per second answered in time during the causes
	KindOracle     map[string]float64 // the same as the oracle would choose
}

// Run performs one scenario with one variant and seed.
func Run(d *Deployment, s Scenario, v Variant, seed uint64) Result {
	w := newWorld(d, v, seed)
	begin := warmUp + settleTime + beforeTime
	end := begin + s.length()
	stop := end + afterTime
	w.clock.run(warmUp)
	w.stopArrivals = stop
	w.load.rate = normalLoad * d.Capacity()
	w.arrive()
	w.clock.run(begin)
	for _, c := range s.Causes {
		w.start(c)
	}
	w.clock.run(stop)
	w.clock.run(stop + 2500*ms)
	return w.measure(s, begin, end, stop)
}

// start begins a cause and plans its end.
func (w *world) start(c Cause) {
	usual := w.load
	if c.Surge > 0 {
		w.load.rate = c.Surge * w.deployment.Capacity()
	}
	if c.Retries > 0 {
		w.load.retries = c.Retries
		w.load.retryGap = 5 * ms
	}
	if c.begin != nil {
		c.begin(w)
	}
	w.clock.after(c.Length, func() {
		if c.Surge > 0 {
			w.load.rate = usual.rate
		}
		if c.end != nil {
			c.end(w)
		}
	})
}

// share is a sum of worth answered and offered.
type share struct{ got, of float64 }

func (s *share) add(r *request) {
	s.of += r.kind.Worth
	if r.ok {
		s.got += r.kind.Worth
	}
}

func (s share) value() float64 {
	if s.of == 0 {
		return 0
	}
	return s.got / s.of
}

func (w *world) measure(s Scenario, begin, end, stop time.Duration) Result {
	out := Result{
		Requests: len(w.requests), Refusals: w.refusals, Shed: map[string]float64{}, KindGoodput: map[string]float64{},
		KindOracle:   map[string]float64{},
		CriticalFits: true,
	}
	var before, urgent share
	bins := make([]share, int((stop-end)/recoveryBin)+1)
	shed := map[string]*share{}
	needed, sends := 0, 0
	var slot, wasted time.Duration
	for _, r := range w.requests {
		if r.sends > 0 {
			needed += len(r.kind.Chain)
			sends += r.sends
		}
		slot += r.slotTime
		if !r.ok {
			wasted += r.slotTime
		}
		out.count(r)
		if r.ok && r.answered >= begin+answerLag && r.answered < end+answerLag {
			out.Goodput += r.kind.Worth / (end - begin).Seconds()
			out.KindGoodput[r.kind.Name] += 1 / (end - begin).Seconds()
		}
		if r.born < warmUp+settleTime {
			continue
		}
		if critical(r.kind) {
			urgent.add(r)
		}
		switch {
		case r.born < begin:
			before.add(r)
		case r.born < end:
			name := r.kind.Importance.String()
			if shed[name] == nil {
				shed[name] = &share{}
			}
			shed[name].add(r)
		default:
			bins[(r.born-end)/recoveryBin].add(r)
		}
	}
	for name, v := range shed {
		out.Shed[name] = 1 - v.value()
	}
	out.Before = before.value()
	out.CriticalInTime = urgent.value()
	out.Amplification = float64(sends) / float64(needed)
	out.Wasted = wasted.Seconds() / max(slot.Seconds(), 1e-9)
	out.Recovery, out.Recovered = recovery(bins, out.Before)
	steps := 0
	for at := time.Duration(0); at < end-begin; at += oracleStep {
		rate, c := s.at(w.deployment, at+oracleStep/2)
		value, rates := w.deployment.oracle(rate, c)
		out.Oracle += value
		for j, k := range w.deployment.Kinds {
			out.KindOracle[k.Name] += rates[j]
		}
		out.CriticalFits = out.CriticalFits && w.deployment.criticalFits(rate, c)
		steps++
	}
	out.Oracle /= float64(steps)
	for name := range out.KindOracle {
		out.KindOracle[name] /= float64(steps)
	}
	return out
}

// count takes in what must hold for every request.
func (out *Result) count(r *request) {
	perAttempt := (r.sends + int(r.attempt)) / (int(r.attempt) + 1)
	out.MaxAttempts = max(out.MaxAttempts, perAttempt)
	out.MaxRetries = max(out.MaxRetries, r.retries)
	for _, mark := range r.notRun {
		if slices.Contains(r.ran, mark) {
			out.FalseNotRun++
		}
	}
	if r.kind.Once && r.runs > 1 {
		out.RunTwice++
	}
}

// recovery returns the time from the end of the causes until the share of the
// offered worth that is answered is back and stays back for some bins.
func recovery(bins []share, before float64) (time.Duration, bool) {
	good := 0
	for i, b := range bins {
		if b.value() < recoveredShare*before {
			good = 0
			continue
		}
		good++
		if good == recoveryRun {
			return time.Duration(i-recoveryRun+1) * recoveryBin, true
		}
	}
	return time.Duration(len(bins)) * recoveryBin, false
}
