package main

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"

	"toucangw.example/cmd/internal/demo"
)

const demoHelp = `Starts the Antwerp example on loopback as real processes (platform, 13 upstreams with their nodes, callers) and takes it through a surge, a slow service, a leaving host, a silent connection and a configuration change.

Examples:
  toucangwctl demo
  toucangwctl demo --json > summary.json

Exit codes:
  0  every promise held
  1  a promise was broken; the summary names it
  2  the demo could not be carried out`

func init() {
	register(command{
		name:  "demo",
		short: "Run the example deployment on this machine",
		long:  demoHelp,
		build: func(env *environment) any { return &demoCommand{env: env} },
	})
}

type demoCommand struct {
	JSON     bool   `long:"json" description:"print the summary as JSON; progress goes to standard error"`
	KeepLogs bool   `long:"keep-logs" description:"leave the logs of all processes behind"`
	Bin      string `long:"bin" value-name:"DIR" description:"directory of toucangwd and standin (default: that of toucangwctl)"`
	Examples string `long:"examples" value-name:"DIR" default:"examples/drooglog" description:"directory of the example files"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of arrivals and kinds"`

	env *environment
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bin := c.Bin
	if bin == "" {
		var err error
		if bin, err = demo.DefaultBin(); err != nil {
			return err
		}
	}
	progress := c.env.out
	if c.JSON {
		progress = c.env.err
	}
	report, err := demo.Run(ctx, demo.Config{
		Bin: bin, Examples: c.Examples, KeepLogs: c.KeepLogs, Progress: progress, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.Write(c.env.out)
	}
	if err != nil {
		return err
	}
	if !report.OK {
		return &exitError{code: exitProblems}
	}
	return nil
}
