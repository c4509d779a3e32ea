package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const statusHelp = `Queries a node in gateway mode for its state: configuration, known upstreams, load of its own upstream, requests by outcome, calls to the store. The values come from the node's metrics; counts are those since the node's start.

Examples:
  toucangwctl status --node 10.1.0.44:7621
  toucangwctl status --json --node 10.1.0.44:7621 | jq .queued

Exit codes:
  0  the node answered
  1  the node has no configuration or knows no upstreams
  2  wrong usage, or the node did not answer`

func init() {
	register(command{
		name:  "status",
		short: "Show the state of a node in gateway mode",
		long:  statusHelp,
		build: func(env *environment) any { return &statusCommand{env: env} },
	})
}

type statusCommand struct {
	JSON bool   `long:"json" description:"Write the status as one JSON object"`
	Node string `short:"n" long:"node" value-name:"IP:PORT" default:"127.0.0.1:7621" description:"metrics listener of the node"`

	env *environment
}

// nodeStatus is the state of a node in gateway mode.
type nodeStatus struct {
	ConfigVersion uint64 `json:"config_version"` // 0: none
	Upstreams     int    `json:"upstreams"`
	// UpstreamsAgeSeconds is the time since the store was read for the upstreams.
	UpstreamsAgeSeconds float64 `json:"upstreams_age_seconds"`
	// ReadsStore is false if the node follows nodes that read the store.
	ReadsStore bool `json:"reads_store"`
	Running    int  `json:"running"`
	Queued     int  `json:"queued"`
	Slots      int  `json:"slots"`
	InFlight   int  `json:"in_flight"`
	// Requests counts requests since the start by status and, for refusals,
	// reason.
	Requests map[string]uint64 `json:"requests"`
	// StoreCalls counts store calls since the start by call and outcome.
	StoreCalls map[string]uint64 `json:"store_calls"`
	// LogLinesOmitted counts lines omitted since the start because of the log
	// budget.
	LogLinesOmitted uint64 `json:"log_lines_omitted"`
}

// reader names the node that reads the store.
func (s *nodeStatus) reader() string {
	if s.ReadsStore {
		return "this node"
	}
	return "readers of its zone"
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	resp, err := request(http.MethodGet, "http://"+c.Node+"/metrics", nil, nil)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if resp.code != http.StatusOK {
		return &exitError{exitUsage, fmt.Errorf("%s replied with status %s", c.Node, resp.status)}
	}
	status, err := readStatus(resp.body)
	if err != nil {
		return &exitError{exitUsage, fmt.Errorf("%s: %w", c.Node, err)}
	}
	if err := c.print(status); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the status: %w", err)}
	}
	if status.ConfigVersion == 0 || status.Upstreams == 0 {
		return &exitError{exitProblems, errors.New("the node has no configuration or knows no upstreams")}
	}
	return nil
}

// readStatus extracts the status from metrics in the Prometheus text format.
func readStatus(text []byte) (*nodeStatus, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	const prefix = "toucangw_gateway_"
	if families[prefix+"config_version"] == nil {
		return nil, errors.New("these are not the metrics of a node in gateway mode")
	}
	value := func(name string) float64 {
		for _, m := range families[prefix+name].GetMetric() {
			return m.GetGauge().GetValue()
		}
		return 0
	}
	gauge := func(name string) int { return int(value(name)) }
	s := &nodeStatus{
		ConfigVersion: uint64(max(gauge("config_version"), 0)), Upstreams: gauge("upstreams"),
		Running: gauge("running"), Queued: gauge("queued"), Slots: gauge("slots"), InFlight: gauge("in_flight"),
		ReadsStore: gauge("store_reader") == 1, UpstreamsAgeSeconds: value("upstreams_age_seconds"),
		Requests:   counters(families[prefix+"requests_total"], "status", "reason"),
		StoreCalls: counters(families[prefix+"store_calls_total"], "call", "outcome"),
	}
	for _, n := range counters(families[prefix+"log_lines_omitted_total"]) {
		s.LogLinesOmitted = n
	}
	return s, nil
}

// counters sums a family by the values of the given labels. Zeros are left out.
func counters(family *dto.MetricFamily, labels ...string) map[string]uint64 {
	out := map[string]uint64{}
	for _, m := range family.GetMetric() {
		values := make([]string, 0, len(labels))
		for _, name := range labels {
			for _, l := range m.GetLabel() {
				if l.GetName() == name && l.GetValue() != "" {
					values = append(values, l.GetValue())
				}
			}
		}
		if n := uint64(m.GetCounter().GetValue()); n > 0 {
			out[strings.Join(values, " ")] += n
		}
	}
	return out
}

func (c *statusCommand) print(s *nodeStatus) error {
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	t := tabwriter.NewWriter(c.env.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "configuration\tversion %d\n", s.ConfigVersion)
	_, _ = fmt.Fprintf(t, "upstreams known\t%d\n", s.Upstreams)
	_, _ = fmt.Fprintf(t, "read from the store\t%.1f s ago, by %s\n", s.UpstreamsAgeSeconds, s.reader())
	_, _ = fmt.Fprintf(t, "own upstream\t%d running, %d queued, %d slots\n", s.Running, s.Queued, s.Slots)
	_, _ = fmt.Fprintf(t, "in flight\t%d\n", s.InFlight)
	for _, k := range slices.Sorted(maps.Keys(s.Requests)) {
		_, _ = fmt.Fprintf(t, "requests: %s\t%d\n", k, s.Requests[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.StoreCalls)) {
		_, _ = fmt.Fprintf(t, "store calls: %s\t%d\n", k, s.StoreCalls[k])
	}
	_, _ = fmt.Fprintf(t, "log lines omitted\t%d\n", s.LogLinesOmitted)
	return t.Flush()
}
