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

// gcPercent trades memory for time: a run leaves much short-lived garbage.
const gcPercent = 400

type options struct {
	Output     string   `short:"o" long:"output" description:"write the measurements as JSON to this file"`
	Seeds      int      `long:"seeds" default:"2" description:"runs of each scenario with a single cause"`
	PairSeeds  int      `long:"pair-seeds" default:"2" description:"runs of each scenario with two causes"`
	Baselines  int      `long:"baseline-seeds" default:"1" description:"runs of each scenario with a variant other than the product"`
	Parallel   int      `long:"parallel" default:"4" description:"runs at the same time"`
	Scenario   []string `long:"scenario" description:"only this scenario (repeatable)"`
	Deployment []string `long:"deployment" description:"only this deployment (repeatable)"`
	Variant    []string `long:"variant" description:"only this variant (repeatable)"`
	Policies   bool     `long:"policies" description:"measure the steps from FIFO to the product instead of the usual variants"`
	Part       []string `long:"part" choice:"latency" choice:"control" choice:"process" choice:"overload" description:"only this part (repeatable)"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of the part control"`
	Verbose    bool     `short:"v" long:"verbose" description:"print each run with its refusals"`
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
	figures, err := opt.measure(context.Background())
	if err != nil || opt.Output == "" {
		return err
	}
	return write(opt.Output, figures)
}

func (opt *options) wants(part string) bool {
	return len(opt.Part) == 0 || slices.Contains(opt.Part, part)
}

// measure runs the wanted parts and prints their figures. Latency comes first,
// before other parts leave garbage and heat.
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
		if !opt.wants(part.name) {
			continue
		}
		figures, err := part.run()
		if err != nil {
			return nil, err
		}
		if err := list(figures); err != nil {
			return nil, err
		}
		all = append(all, figures...)
	}
	if !opt.wants(partOverload) {
		return all, nil
	}
	figures, err := opt.measureOverload()
	return append(all, figures...), err
}

// measureOverload compares the decisions under overload with baselines.
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
	if err := table(rows); err != nil {
		return nil, err
	}
	fmt.Printf("%d runs in %v\n", plan.Runs(), time.Since(begin).Round(time.Second))
	return bench.Measurements(rows), nil
}

// table prints one line for each row and the oracle's value beside it.
func table(rows []bench.Row) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for i, header := range append([][]string{bench.Header()}, cells(rows)...) {
		if i > 0 && rows[i-1].Scenario != previous(rows, i) {
			if _, err := fmt.Fprintln(t); err != nil {
				return err
			}
		}
		for _, cell := range header {
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

func previous(rows []bench.Row, i int) string {
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

func write(path string, list []bench.Measurement) error {
	data, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return fmt.Errorf("encode measurements: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write measurements: %w", err)
	}
	return nil
}
