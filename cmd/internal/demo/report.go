package demo

import (
	"fmt"
	"io"
	"time"

	"toucangw.example/standin/caller"
)

// Report is the result of a run.
type Report struct {
	OK                    bool      `json:"ok"`
	Seconds               float64   `json:"seconds"`
	Phases                []Phase   `json:"phases"`
	Promises              []Promise `json:"promises"`
	Runs                  int       `json:"runs"` // at all upstreams
	DoubleRuns            int       `json:"doubled"`
	FalseNotRun           int       `json:"false_not_run"`
	Mismatched            int       `json:"mixed"` // response of another request
	Truncated             int       `json:"cut"`   // incomplete response
	LeavingLastRunSeconds float64   `json:"leaving_last_run_seconds"`
	ConfigSeconds         float64   `json:"config_seconds"`
	Logs                  string    `json:"logs,omitempty"`
	Samples               []string  `json:"samples,omitempty"` // first unexpected replies

	notRun  []string
	actions map[string]int
}

// Promise is a guarantee of toucangw and whether it was kept in the run.
type Promise struct {
	Text   string `json:"text"`
	Kept   bool   `json:"kept"`
	Detail string `json:"detail,omitempty"` // set if it was broken
}

// Phase summarizes the load of one phase.
type Phase struct {
	Name     string          `json:"name"`
	Rate     float64         `json:"rate"`
	Seconds  float64         `json:"seconds"`
	Sent     int             `json:"sent"`
	Answered int             `json:"answered"`
	Worth    float64         `json:"worth"`
	Broken   int             `json:"broken"`
	Overflow int             `json:"overflow"`
	Kinds    map[string]Kind `json:"kinds"`
}

// Kind summarizes the requests of one kind in a phase.
type Kind struct {
	Sent       int            `json:"sent"`
	Answered   int            `json:"answered"`
	NotRun     int            `json:"not_run"`
	MayHaveRun int            `json:"may_have_run"`
	Failed     int            `json:"failed"`
	Late       int            `json:"late"`
	Broken     int            `json:"broken"`
	Attempts   int            `json:"attempts"`
	P50Ms      float64        `json:"p50_ms"`
	P99Ms      float64        `json:"p99_ms"`
	ByReason   map[string]int `json:"by_reason,omitempty"`
}

var kindOrder = []string{"sign-off", "quality-read", "ledger-read", "batch-read"}

func newPhase(name string, rate float64, length time.Duration, result *caller.Result) Phase {
	p := Phase{
		Name:     name,
		Rate:     rate,
		Seconds:  length.Seconds(),
		Overflow: result.Overflow,
		Kinds:    make(map[string]Kind),
	}
	for kind, k := range result.Kinds {
		p.Sent += k.Sent
		p.Answered += k.Answered
		p.Worth += k.Worth
		p.Broken += k.Broken
		p.Kinds[kind] = Kind{
			Sent: k.Sent, Answered: k.Answered, NotRun: k.NotRun, MayHaveRun: k.MayHaveRun,
			Failed: k.Failed, Late: k.Late, Broken: k.Broken, Attempts: k.Attempts,
			P50Ms: k.P50Ms, P99Ms: k.P99Ms, ByReason: k.ByReason,
		}
	}
	return p
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (p Phase) summary() string {
	text := fmt.Sprintf("%s: %d sent, %.1f%% answered in time;", p.Name, p.Sent, percent(p.Answered, p.Sent))
	for _, name := range kindOrder {
		k := p.Kinds[name]
		text += fmt.Sprintf(" %s %.1f%%", name, percent(k.Answered, k.Sent))
	}
	return text
}

func (r *Report) add(p Phase, result *caller.Result) {
	r.Phases = append(r.Phases, p)
	r.notRun = append(r.notRun, result.NotRunIDs...)
	for _, k := range result.Kinds {
		r.Mismatched += k.Mismatched
		r.Truncated += k.Truncated
	}
	for _, sample := range result.Samples {
		r.Samples = append(r.Samples, p.Name+": "+sample)
	}
}

func (r *Report) promise(text string, kept bool, detail string) {
	p := Promise{Text: text, Kept: kept}
	if !kept {
		p.Detail = detail
	}
	r.Promises = append(r.Promises, p)
	r.OK = true
	for _, each := range r.Promises {
		r.OK = r.OK && each.Kept
	}
}

// countAction adds runs of an at-most-once action and returns the sum so far.
func (r *Report) countAction(action string, n int) int {
	if r.actions == nil {
		r.actions = make(map[string]int)
	}
	r.actions[action] += n
	return r.actions[action]
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	line("")
	line("%-10s %9s %7s  %s", "phase", "requests", "worth/s", "answered in time (p99)")
	for _, p := range r.Phases {
		text := ""
		for _, name := range kindOrder {
			k := p.Kinds[name]
			text += fmt.Sprintf("  %s %5.1f%% (%.0f ms)", name, percent(k.Answered, k.Sent), k.P99Ms)
		}
		line("%-10s %9d %7.0f%s", p.Name, p.Sent, p.Worth/p.Seconds, text)
	}
	line("")
	for _, p := range r.Promises {
		if p.Kept {
			line("kept    %s", p.Text)
		} else {
			line("BROKEN  %s: %s", p.Text, p.Detail)
		}
	}
	line("")
	line("%d runs at upstreams; change in force everywhere after %.2f s; %.0f s in all",
		r.Runs, r.ConfigSeconds, r.Seconds)
	return err
}
