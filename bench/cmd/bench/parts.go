package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"toucangw.example/bench"
	"toucangw.example/bench/control"
	"toucangw.example/bench/latency"
)

// Parts of a run. They are measured one after the other, independently.
const (
	partOverload = "overload"
	partControl  = "control"
	partProcess  = "process"
	partLatency  = "latency"
)

// latencyConfig limits the load to four workers with a pause between their
// calls, so that the latency of a call is measured without queueing.
var latencyConfig = latency.Config{Calls: 20_000, Workers: 4, Body: 1 << 10, Pause: time.Millisecond}

// measureControl returns the cost of the control plane at several numbers of
// nodes, hosts and services.
func measureControl(ctx context.Context, seed uint64) ([]bench.Measurement, error) {
	rows, err := control.Rows(ctx, seed)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return toMeasurements(rows), nil
}

// measureProcesses returns the resource use of real node processes without
// calls. The directory of this program must contain the daemon.
func measureProcesses(ctx context.Context) ([]bench.Measurement, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("processes: %w", err)
	}
	rows, err := control.Processes(ctx, filepath.Dir(self))
	if err != nil {
		return nil, err
	}
	return toMeasurements(rows), nil
}

// toMeasurements converts the rows of the control part.
func toMeasurements(rows []control.Row) []bench.Measurement {
	list := make([]bench.Measurement, 0, len(rows))
	for _, r := range rows {
		list = append(list, bench.Measurement(r))
	}
	return list
}

// measureLatency returns the latency and cost that two nodes on this machine add
// to a call.
func measureLatency(ctx context.Context) ([]bench.Measurement, error) {
	dir, err := os.MkdirTemp("", "toucangw-bench-")
	if err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cfg := latencyConfig
	cfg.LogDir = dir
	r, err := latency.Run(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	measurement := func(metric, unit string, value float64) bench.Measurement {
		return bench.Measurement{
			Scenario: "call through two nodes", Deployment: "loopback", Variant: "toucangw",
			Metric: metric, Unit: unit, Value: value,
		}
	}
	return []bench.Measurement{
		measurement("direct call, p50", "ms", r.DirectP50Ms),
		measurement("direct call, p99", "ms", r.DirectP99Ms),
		measurement("added by two nodes, p50", "ms", r.AddedP50Ms),
		measurement("added by two nodes, p99", "ms", r.AddedP99Ms),
		measurement("pairs of a direct and a routed call", "per core-second", r.PerCoreSecond),
		measurement("allocations per pair", "", r.AllocsPerCall),
	}, nil
}

// printList prints one line for each measurement.
func printList(measurements []bench.Measurement) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, m := range measurements {
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%s\n", m.Scenario, m.Variant, m.Metric, m.Value, m.Unit); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return t.Flush()
}
