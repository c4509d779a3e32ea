package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// Plan selects what to measure.
type Plan struct {
	Seeds     int // runs of each scenario with a single disturbance
	PairSeeds int // runs of each scenario with two
	// BaselineSeeds is the number of runs of each scenario with a variant other
	// than the product. These take longer because retries multiply their calls.
	BaselineSeeds int
	Parallel      int       // runs at the same time
	Scenarios     []string  // empty for all
	Deployments   []string  // empty for all
	Variants      []string  // empty for all
	Policies      bool      // measure Policies instead of Variants
	Trace         io.Writer // receives one line for each run; may be nil

	runs int
}

// Row holds the results of one scenario, deployment and variant over all
// seeds.
type Row struct {
	Scenario   string
	Deployment string
	Variant    string
	Results    []Result
}

// Measurement is the value of one metric of a row.
type Measurement struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Variant    string  `json:"variant"`
	Metric     string  `json:"metric"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
}

type job struct {
	deployment *Deployment
	scenario   Scenario
	variant    Variant
	seed       uint64
	result     *Result
}

// Runs returns the number of runs performed.
func (p *Plan) Runs() int { return p.runs }

// Run executes all selected runs. The result does not depend on Parallel.
func (p *Plan) Run() ([]Row, error) {
	variants := Variants()
	if p.Policies {
		variants = Policies()
	}
	var rows []Row
	var jobs []job
	for _, d := range []*Deployment{Drooglog(), Kandy()} {
		for _, s := range Scenarios() {
			for _, v := range variants {
				if !selected(p.Deployments, d.Name) || !selected(p.Scenarios, s.Name) || !selected(p.Variants, v.Name) {
					continue
				}
				row := Row{Scenario: s.Name, Deployment: d.Name, Variant: v.Name}
				row.Results = make([]Result, p.seedCount(s, v))
				for i := range row.Results {
					jobs = append(jobs, job{d, s, v, uint64(i + 1), &row.Results[i]})
				}
				rows = append(rows, row)
			}
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("no run matches scenarios %v, deployments %v, variants %v",
			p.Scenarios, p.Deployments, p.Variants)
	}
	p.runs = len(jobs)
	p.perform(jobs)
	return rows, nil
}

func (p *Plan) seedCount(s Scenario, v Variant) int {
	if v.Name != Product().Name && !p.Policies {
		return p.BaselineSeeds
	}
	if strings.Contains(s.Name, "+") {
		return p.PairSeeds
	}
	return p.Seeds
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (p *Plan) perform(jobs []job) {
	next := make(chan job)
	var workers sync.WaitGroup
	var trace sync.Mutex
	for range p.Parallel {
		workers.Go(func() {
			for j := range next {
				begin := time.Now()
				*j.result = Run(j.deployment, j.scenario, j.variant, j.seed)
				trace.Lock()
				p.trace(j, time.Since(begin))
				trace.Unlock()
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	workers.Wait()
}

func (p *Plan) trace(j job, took time.Duration) {
	if p.Trace == nil {
		return
	}
	_, _ = fmt.Fprintf(p.Trace, "%s %s %s seed %d: %.1fs, answered %v of oracle %v, refusals %v\n",
		j.deployment.Name, j.scenario.Name, j.variant.Name, j.seed, took.Seconds(),
		rounded(j.result.KindGoodput), rounded(j.result.KindOracle), j.result.Refusals)
}

func rounded(m map[string]float64) map[string]int {
	out := map[string]int{}
	for k, v := range m {
		out[k] = int(v + 0.5)
	}
	return out
}

// metric is computed from the results of a row.
type metric struct {
	name, unit, column, format string
	value                      func(rs []Result) float64
}

// sortedValues returns a value of each result, in ascending order.
func sortedValues(rs []Result, f func(r Result) float64) []float64 {
	out := make([]float64, len(rs))
	for i, r := range rs {
		out[i] = f(r)
	}
	slices.Sort(out)
	return out
}

func median(v []float64) float64 {
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2
}

func mean(rs []Result, f func(r Result) float64) float64 {
	sum := 0.0
	for _, r := range rs {
		sum += f(r)
	}
	return sum / float64(len(rs))
}

func sum(rs []Result, f func(r Result) int) float64 {
	total := 0
	for _, r := range rs {
		total += f(r)
	}
	return float64(total)
}

func metrics() []metric {
	oracleRatio := func(r Result) float64 { return r.Goodput / max(r.Oracle, 1e-9) }
	seconds := func(r Result) float64 { return r.Recovery.Seconds() }
	maxOver := func(f func(r Result) float64) func(rs []Result) float64 {
		return func(rs []Result) float64 { return slices.Max(sortedValues(rs, f)) }
	}
	minOver := func(f func(r Result) float64) func(rs []Result) float64 {
		return func(rs []Result) float64 { return slices.Min(sortedValues(rs, f)) }
	}
	shed := func(name string) func(rs []Result) float64 {
		return func(rs []Result) float64 { return mean(rs, func(r Result) float64 { return r.Shed[name] }) }
	}
	fits := func(r Result) float64 {
		if r.CriticalFits {
			return 1
		}
		return 0
	}
	notRecovered := func(r Result) int {
		if r.Recovered {
			return 0
		}
		return 1
	}
	return []metric{
		{"weighted_goodput", "worth/s", "worth/s", "%.0f", func(rs []Result) float64 {
			return median(sortedValues(rs, func(r Result) float64 { return r.Goodput }))
		}},
		{"goodput_of_oracle_median", "ratio", "of oracle", "%.3f", func(rs []Result) float64 {
			return median(sortedValues(rs, oracleRatio))
		}},
		{"goodput_of_oracle_worst", "ratio", "worst", "%.3f", minOver(oracleRatio)},
		{"recovery_median", "s", "recovery", "%.2f", func(rs []Result) float64 { return median(sortedValues(rs, seconds)) }},
		{"recovery_worst", "s", "worst", "%.2f", maxOver(seconds)},
		{"runs_not_recovered", "runs", "lost", "%.0f", func(rs []Result) float64 { return sum(rs, notRecovered) }},
		{"retry_amplification_worst", "ratio", "amplif", "%.2f", maxOver(func(r Result) float64 { return r.Amplification })},
		{"calls_per_attempt_worst", "calls", "calls", "%.0f", maxOver(func(r Result) float64 { return float64(r.MaxCallsPerAttempt) })},
		{"extra_attempts_worst", "attempts", "extra", "%.0f", maxOver(func(r Result) float64 { return float64(r.MaxRetries) })},
		{"shed_low", "ratio", "shed low", "%.3f", shed("low")},
		{"shed_normal", "ratio", "normal", "%.3f", shed("normal")},
		{"shed_critical", "ratio", "critical", "%.4f", shed("critical")},
		{"critical_fits", "bool", "fits", "%.0f", minOver(fits)},
		{"critical_in_time_worst", "ratio", "crit ok", "%.4f", minOver(func(r Result) float64 { return r.CriticalInTime })},
		{"wasted_slot_time_worst", "ratio", "wasted", "%.4f", maxOver(func(r Result) float64 { return r.WastedShare })},
		{"false_not_run", "requests", "false", "%.0f", func(rs []Result) float64 {
			return sum(rs, func(r Result) int { return r.FalseNotRun })
		}},
		{"once_only_run_twice", "requests", "twice", "%.0f", func(rs []Result) float64 {
			return sum(rs, func(r Result) int { return r.RunTwice })
		}},
	}
}

// Header returns the column headers of the table.
func Header() []string {
	out := []string{"scenario", "deployment", "variant"}
	for _, m := range metrics() {
		out = append(out, m.column)
	}
	return out
}

// Cells returns the formatted values of the columns of a row.
func (r Row) Cells() []string {
	out := []string{r.Scenario, r.Deployment, r.Variant}
	for _, m := range metrics() {
		out = append(out, fmt.Sprintf(m.format, m.value(r.Results)))
	}
	return out
}

// Measurements returns all metrics, with the oracle's goodput as an additional
// variant for each scenario.
func Measurements(rows []Row) []Measurement {
	var out []Measurement
	for i, r := range rows {
		add := func(variant, metric, unit string, value float64) {
			out = append(out, Measurement{r.Scenario, r.Deployment, variant, metric, unit, value})
		}
		if i == 0 || rows[i-1].Scenario != r.Scenario || rows[i-1].Deployment != r.Deployment {
			oracle := mean(r.Results, func(r Result) float64 { return r.Oracle })
			add("oracle", "weighted_goodput", "worth/s", oracle)
		}
		for _, m := range metrics() {
			add(r.Variant, m.name, m.unit, m.value(r.Results))
		}
	}
	return out
}
