// Command bench runs the measurements and writes them as a table and as JSON.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"toucangw.example/bench"
)

// gcPercent reduces the time spent in garbage collection at the cost of memory:
// a run allocates many short-lived objects.
const gcPercent = 400

type options struct {
	Output     string   `short:"o" long:"output" description:"write the measurements as JSON to this file"`
	Seeds      int      `long:"seeds" default:"2" description:"runs of each scenario with a single disturbance"`
	PairSeeds  int      `long:"pair-seeds" default:"2" description:"runs of each scenario with two disturbances"`
	Baselines  int      `long:"baseline-seeds" default:"1" description:"runs of each scenario with a variant other than the product"`
	Parallel   int      `long:"parallel" default:"4" description:"runs at the same time"`
	Scenario   []string `long:"scenario" description:"only this scenario (repeatable)"`
	Deployment []string `long:"deployment" description:"only this deployment (repeatable)"`
	Variant    []string `long:"variant" description:"only this variant (repeatable)"`
	Policies   bool     `long:"policies" description:"measure the steps from FIFO to the product instead of the default variants"`
	Part       []string `long:"part" choice:"latency" choice:"control" choice:"process" choice:"overload" description:"only this part (repeatable)"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of the control part"`
	Verbose    bool     `short:"v" long:"verbose" description:"print each run with its goodput and refusals"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var opt options
	parser := flags.NewParser(&opt, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	if opt.Seeds < 1 || opt.Baselines < 1 || opt.PairSeeds < 1 || opt.Parallel < 1 {
		return errors.New("--seeds, --pair-seeds, --baseline-seeds and --parallel must be at least 1")
	}
	measurements, err := opt.measure(context.Background())
	if err != nil || opt.Output == "" {
		return err
	}
	return writeJSON(opt.Output, measurements)
}

// selected reports whether a part is to be measured.
func (opt *options) selected(part string) bool {
	return len(opt.Part) == 0 || slices.Contains(opt.Part, part)
}

// measure runs the selected parts and prints their measurements. Latency comes
// first, before other parts leave garbage in the heap and heat up the processor.
func (opt *options) measure(ctx context.Context) ([]bench.Measurement, error) {
	var all []bench.Measurement
	for _, part := range []struct {
		name string
		run  func() ([]bench.Measurement, error)
	}{
		{partLatency, func() ([]bench.Measurement, error) { return measureLatency(ctx) }},
		{partProcess, func() ([]bench.Measurement, error) { return measureProcesses(ctx) }},
		{partControl, func() ([]bench.Measurement, error) { return measureControl(ctx, opt.Seed) }},
	} {
		if !opt.selected(part.name) {
			continue
		}
		measurements, err := part.run()
		if err != nil {
			return nil, err
		}
		if err := printList(measurements); err != nil {
			return nil, err
		}
		all = append(all, measurements...)
	}
	if !opt.selected(partOverload) {
		return all, nil
	}
	measurements, err := opt.measureOverload()
	return append(all, measurements...), err
}

// measureOverload compares the product with baselines under overload.
func (opt *options) measureOverload() ([]bench.Measurement, error) {
	debug.SetGCPercent(gcPercent)
	plan := bench.Plan{
		Seeds: opt.Seeds, PairSeeds: opt.PairSeeds, BaselineSeeds: opt.Baselines, Parallel: opt.Parallel,
		Scenarios: opt.Scenario, Deployments: opt.Deployment, Variants: opt.Variant, Policies: opt.Policies,
	}
	if opt.Verbose {
		plan.Trace = os.Stderr
	}
	begin := time.Now()
	rows, err := plan.Run()
	if err != nil {
		return nil, err
	}
	if err := printTable(rows); err != nil {
		return nil, err
	}
	fmt.Printf("%d runs in %v\n", plan.Runs(), time.Since(begin).Round(time.Second))
	return bench.Measurements(rows), nil
}

// printTable prints the header and one line for each row, with an empty line
// before each scenario.
func printTable(rows []bench.Row) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for i, line := range append([][]string{bench.Header()}, cells(rows)...) {
		if i > 0 && rows[i-1].Scenario != previousScenario(rows, i) {
			if _, err := fmt.Fprintln(t); err != nil {
				return err
			}
		}
		for _, cell := range line {
			if _, err := fmt.Fprint(t, cell, "\t"); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(t); err != nil {
			return err
		}
	}
	return t.Flush()
}

// previousScenario returns the scenario of the line before line i of the table.
func previousScenario(rows []bench.Row, i int) string {
	if i < 2 {
		return ""
	}
	return rows[i-2].Scenario
}

func cells(rows []bench.Row) [][]string {
	out := make([][]string, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.Cells())
	}
	return out
}

// writeJSON writes measurements to a file.
func writeJSON(path string, measurements []bench.Measurement) error {
	data, err := json.MarshalIndent(measurements, "", "  ")
	if err != nil {
		return fmt.Errorf("encode measurements: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write measurements: %w", err)
	}
	return nil
}
