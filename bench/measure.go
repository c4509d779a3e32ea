package bench

import (
	"slices"
	"time"
)

const (
	// recoveryBin is the resolution of the measured recovery time.
	recoveryBin = 20 * ms
	// recoveryBins is the number of consecutive bins that must have recovered.
	recoveryBins = 5
	// recoveredShare is the share of the value before the disturbances from
	// which a bin counts as recovered.
	recoveredShare = 0.95
	// answerLag shifts the window in which answers are counted, by the network
	// latency to and from the caller and about the slot time of a call tree.
	answerLag = 25 * ms
)

// Result holds the measurements of one run.
type Result struct {
	Goodput            float64       // worth per second answered in time during the disturbances
	Oracle             float64       // highest possible worth per second during the disturbances
	AnsweredBefore     float64       // share of the offered worth answered in time before the disturbances
	Recovery           time.Duration // from the end of the disturbances
	Recovered          bool
	Amplification      float64            // calls between nodes per call needed
	MaxCallsPerAttempt int                // highest number of calls between nodes per attempt of a caller, a mean over the attempts of a request, rounded up
	MaxRetries         int                // highest number of extra attempts for one caller's request
	Shed               map[string]float64 // share of the worth not answered in time during the disturbances, by importance
	CriticalFits       bool               // whether the slots suffice for all critical requests
	CriticalInTime     float64            // share of the critical worth answered in time
	WastedShare        float64            // share of the slot time spent on failed requests
	FalseNotRun        int                // submissions reported as not run that were executed
	RunTwice           int                // at-most-once requests executed more than once
	Requests           int
	Refusals           map[string]int     // by reason and service
	KindGoodput        map[string]float64 // requests per second answered in time during the disturbances
	KindOracle         map[string]float64 // the same for the oracle
}

// Run simulates one scenario with one variant and seed.
func Run(d *Deployment, s Scenario, v Variant, seed uint64) Result {
	sim := newSimulation(d, v, seed)
	begin := warmUp + settleTime + baselineTime
	end := begin + s.length()
	stop := end + observationTime
	sim.clock.run(warmUp)
	sim.stopArrivals = stop
	sim.load.rate = normalLoad * d.Capacity()
	sim.arrive()
	sim.clock.run(begin)
	for _, disturbance := range s.Disturbances {
		sim.startDisturbance(disturbance)
	}
	sim.clock.run(stop)
	// The last requests may take until their deadline, which is at most 2 s.
	sim.clock.run(stop + 2500*ms)
	return sim.measure(s, begin, end, stop)
}

// startDisturbance starts a disturbance and schedules its end.
func (sim *simulation) startDisturbance(d Disturbance) {
	normal := sim.load
	if d.Surge > 0 {
		sim.load.rate = d.Surge * sim.deployment.Capacity()
	}
	if d.Retries > 0 {
		sim.load.retries = d.Retries
		sim.load.retryDelay = 5 * ms
	}
	if d.begin != nil {
		d.begin(sim)
	}
	sim.clock.after(d.Length, func() {
		if d.Surge > 0 {
			sim.load.rate = normal.rate
		}
		if d.end != nil {
			d.end(sim)
		}
	})
}

// worthRatio compares the worth of the requests answered in time with that of
// all requests.
type worthRatio struct{ answered, offered float64 }

func (w *worthRatio) add(r *request) {
	w.offered += r.kind.Worth
	if r.ok {
		w.answered += r.kind.Worth
	}
}

func (w worthRatio) value() float64 {
	if w.offered == 0 {
		return 0
	}
	return w.answered / w.offered
}

// measure computes the result from the requests of the run.
func (sim *simulation) measure(s Scenario, begin, end, stop time.Duration) Result {
	out := Result{
		Requests: len(sim.requests), Refusals: sim.refusals, Shed: map[string]float64{}, KindGoodput: map[string]float64{},
		KindOracle:   map[string]float64{},
		CriticalFits: true,
	}
	var before, criticalWorth worthRatio
	bins := make([]worthRatio, int((stop-end)/recoveryBin)+1)
	shed := map[string]*worthRatio{}
	callsNeeded, callsSent := 0, 0
	var slotTime, wasted time.Duration
	for _, r := range sim.requests {
		if r.callsSent > 0 {
			callsNeeded += len(r.kind.Chain)
			callsSent += r.callsSent
		}
		slotTime += r.slotTime
		if !r.ok {
			wasted += r.slotTime
		}
		out.countRequest(r)
		if r.ok && r.answeredAt >= begin+answerLag && r.answeredAt < end+answerLag {
			out.Goodput += r.kind.Worth / (end - begin).Seconds()
			out.KindGoodput[r.kind.Name] += 1 / (end - begin).Seconds()
		}
		if r.arrivedAt < warmUp+settleTime {
			continue
		}
		if isCritical(r.kind) {
			criticalWorth.add(r)
		}
		switch {
		case r.arrivedAt < begin:
			before.add(r)
		case r.arrivedAt < end:
			name := r.kind.Importance.String()
			if shed[name] == nil {
				shed[name] = &worthRatio{}
			}
			shed[name].add(r)
		default:
			bins[(r.arrivedAt-end)/recoveryBin].add(r)
		}
	}
	for name, v := range shed {
		out.Shed[name] = 1 - v.value()
	}
	out.AnsweredBefore = before.value()
	out.CriticalInTime = criticalWorth.value()
	out.Amplification = float64(callsSent) / float64(callsNeeded)
	out.WastedShare = wasted.Seconds() / max(slotTime.Seconds(), 1e-9)
	out.Recovery, out.Recovered = recovery(bins, out.AnsweredBefore)
	steps := 0
	for at := time.Duration(0); at < end-begin; at += oracleStep {
		rate, c := s.loadAt(sim.deployment, at+oracleStep/2)
		value, rates := sim.deployment.oracle(rate, c)
		out.Oracle += value
		for j, k := range sim.deployment.Kinds {
			out.KindOracle[k.Name] += rates[j]
		}
		out.CriticalFits = out.CriticalFits && sim.deployment.criticalFits(rate, c)
		steps++
	}
	out.Oracle /= float64(steps)
	for name := range out.KindOracle {
		out.KindOracle[name] /= float64(steps)
	}
	return out
}

// countRequest updates the figures about limits and guarantees that hold for
// every request.
func (out *Result) countRequest(r *request) {
	perAttempt := (r.callsSent + int(r.attempt)) / (int(r.attempt) + 1)
	out.MaxCallsPerAttempt = max(out.MaxCallsPerAttempt, perAttempt)
	out.MaxRetries = max(out.MaxRetries, r.retries)
	for _, id := range r.reportedNotRun {
		if slices.Contains(r.executed, id) {
			out.FalseNotRun++
		}
	}
	if r.kind.AtMostOnce && r.executions > 1 {
		out.RunTwice++
	}
}

// recovery returns the time from the end of the disturbances until the answered
// share of the offered worth has recovered and stays so for recoveryBins bins.
func recovery(bins []worthRatio, before float64) (time.Duration, bool) {
	recovered := 0
	for i, b := range bins {
		if b.value() < recoveredShare*before {
			recovered = 0
			continue
		}
		recovered++
		if recovered == recoveryBins {
			return time.Duration(i-recoveryBins+1) * recoveryBin, true
		}
	}
	return time.Duration(len(bins)) * recoveryBin, false
}
