package main

import (
	"cmp"
	_ "embed"
	"encoding/base64"
	"errors"
	"fmt"
	"html/template"
	"io"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
)

const reportHelp = `Turns the logs of any number of nodes in gateway mode into one HTML page with plots: outcomes, response times, queues and configuration versions over time, and the most frequent causes of refusals. The page is self-contained. Files may be gzip compressed. Nodes log one in 64 responses with a status below 500, and all other decisions as far as their log budget allows.

Examples:
  toucangwctl report -o report.html node-*.log
  zcat logs.gz | toucangwctl report > report.html

Exit codes:
  0  the report was written
  1  the logs hold no decisions
  2  wrong usage, or a file could not be read or written`

func init() {
	register(command{
		name:  "report",
		short: "Plot the requests and refusals in logs",
		long:  reportHelp,
		build: func(env *environment) any { return &reportCommand{env: env} },
	})
}

type reportCommand struct {
	Output flags.Filename `short:"o" long:"output" value-name:"FILE" description:"Page to write (default: standard output)"`
	Args   struct {
		Files []flags.Filename `positional-arg-name:"FILE" description:"Log file"`
	} `positional-args:"yes"`

	env *environment
}

//go:embed report.html
var reportPage string

var reportTemplate = template.Must(template.New("report").Parse(reportPage))

// reportData is the data of the page template.
type reportData struct {
	From, To  time.Time
	Decisions int
	Nodes     int
	Figures   []figure
	Causes    []causeRow
}

// figure is one plot as an image.
type figure struct {
	Title, Note string
	Image       template.URL
}

// causeRow counts refusals and failures that agree in all other fields.
type causeRow struct {
	Route, Reason, Detail string
	Status, Count         int
}

// maxCauses bounds the rows of the table of causes.
const maxCauses = 20

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	lines, err := (&traceCommand{Args: c.Args, env: c.env}).read()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if len(lines) == 0 {
		return &exitError{exitProblems, errors.New("the logs hold no decisions")}
	}
	data, err := newReport(lines)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if err := c.write(data); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the report: %w", err)}
	}
	return nil
}

func (c *reportCommand) write(data *reportData) error {
	if c.Output == "" {
		return reportTemplate.Execute(c.env.out, data)
	}
	file, err := os.Create(string(c.Output))
	if err != nil {
		return err
	}
	return errors.Join(reportTemplate.Execute(io.Writer(file), data), file.Close())
}

func newReport(lines []logLine) (*reportData, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	nodes := map[string]bool{}
	for _, l := range lines {
		nodes[l.Node] = true
	}
	data := &reportData{
		From: lines[0].Time, To: lines[len(lines)-1].Time, Decisions: len(lines), Nodes: len(nodes), Causes: causes(lines),
	}
	buckets := newBuckets(lines)
	for _, p := range []struct {
		title, note, unit string
		series            map[string][]point
	}{
		{"Logged decisions by outcome", "Responses with a status below 500 are a sample of one in 64.", "lines per second", buckets.outcomes()},
		{"Response times", "Of logged responses, measured at the node that received the request.", "milliseconds", buckets.latencies()},
		{"Upstream queues", "Longest queue reported in a response, by service.", "requests", buckets.queues()},
		{"Configuration", "Oldest and newest version used for a decision.", "version", buckets.versions()},
	} {
		svg, err := drawLines(p.unit, p.series)
		if err != nil {
			return nil, fmt.Errorf("plot %q: %w", p.title, err)
		}
		data.Figures = append(data.Figures, figure{
			Title: p.title, Note: p.note,
			Image: template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(svg)), //nolint:gosec // base64 of an image drawn above
		})
	}
	return data, nil
}

// causes counts refusals and failures by their cause, the most frequent first.
func causes(lines []logLine) []causeRow {
	count := map[causeRow]int{}
	for _, l := range lines {
		if l.Status >= 500 {
			count[causeRow{Route: l.Route, Reason: l.Reason, Detail: l.Detail, Status: l.Status}]++
		}
	}
	rows := make([]causeRow, 0, len(count))
	for row, n := range count {
		row.Count = n
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b causeRow) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Detail, b.Detail),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
	return rows[:min(len(rows), maxCauses)]
}
