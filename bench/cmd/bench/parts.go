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

// Parts of a run. Each measures on its own.
const (
	partOverload = "overload"
	partControl  = "control"
	partProcess  = "process"
	partLatency  = "latency"
)

// latencyConfig bounds the load to four callers with a pause, so that the
// latency of a call is measured and not that of a queue.
var latencyConfig = latency.Config{Calls: 20_000, Workers: 4, Body: 1 << 10, Pause: time.Millisecond}

// measureControl returns the cost of control work over several fleet sizes.
func measureControl(ctx context.Context, seed uint64) ([]bench.Measurement, error) {
	rows, err := control.Rows(ctx, seed)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return figures(rows), nil
}

// measureProcesses returns what real node processes use that carry no calls.
// The daemon is expected beside this program.
func measureProcesses(ctx context.Context) ([]bench.Measurement, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("processes: %w", err)
	}
	rows, err := control.Processes(ctx, filepath.Dir(self))
	if err != nil {
		return nil, err
	}
	return figures(rows), nil
}

func figures(rows []control.Row) []bench.Measurement {
	list := make([]bench.Measurement, 0, len(rows))
	for _, r := range rows {
		list = append(list, bench.Measurement(r))
	}
	return list
}

// measureLatency returns what two nodes add to a call on this machine.
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
	figure := func(metric, unit string, value float64) bench.Measurement {
		return bench.Measurement{
			Scenario: "call through two nodes", Deployment: "loopback", Variant: "toucangw",
			Metric: metric, Unit: unit, Value: value,
		}
	}
	return []bench.Measurement{
		figure("direct call, p50", "ms", r.DirectP50Ms),
		figure("direct call, p99", "ms", r.DirectP99Ms),
		figure("added by two nodes, p50", "ms", r.AddedP50Ms),
		figure("added by two nodes, p99", "ms", r.AddedP99Ms),
		figure("pairs of a direct and a routed call", "per core-second", r.PerCoreSecond),
		figure("allocations per pair", "", r.AllocsPerCall),
	}, nil
}

// list prints one line for each figure.
func list(figures []bench.Measurement) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, m := range figures {
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%s\n", m.Scenario, m.Variant, m.Metric, m.Value, m.Unit); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return t.Flush()
}
