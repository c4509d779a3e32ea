package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"toucangw.example/cmd/internal/demo"
	"toucangw.example/cmd/internal/platformdemo"
)

const demoHelp = `Starts the Antwerp example on loopback as real processes (platform, 13 upstreams with their nodes, callers) and takes it through a surge, a slow service, a planned stop of a node, stalled connections and a configuration change.

With --platform it instead starts six upstreams on a stand-in of the users' platform, each with toucangw-gateway in front of it, and takes them through a planned stop, a killed node, a store outage and a surge.

Examples:
  toucangwctl demo
  toucangwctl demo --json > summary.json
  toucangwctl demo --platform

Exit codes:
  0  every promise held
  1  a promise was broken; the summary names it
  2  wrong usage, or the demo could not be run`

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
	KeepLogs bool   `long:"keep-logs" description:"keep the logs of all processes"`
	Bin      string `long:"bin" value-name:"DIR" description:"directory of the node programs and standin (default: that of toucangwctl)"`
	Examples string `long:"examples" value-name:"DIR" default:"examples/drooglog" description:"directory of the example files"`
	Seed     uint64 `long:"seed" default:"1" description:"seed for the arrival times and kinds of requests"`
	Platform bool   `long:"platform" description:"run on a stand-in of the users' platform"`
	Template string `long:"template" value-name:"FILE" default:"deploy/node.toml" description:"template of the nodes' settings, with --platform"`

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
	if c.Platform {
		return c.runPlatform(ctx, bin, progress)
	}
	report, err := demo.Run(ctx, demo.Config{
		Bin: bin, Examples: c.Examples, KeepLogs: c.KeepLogs, Progress: progress, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if !report.OK {
		return &exitError{code: exitProblems}
	}
	return nil
}

// runPlatform runs the demo on the stand-in of the users' platform.
func (c *demoCommand) runPlatform(ctx context.Context, bin string, progress io.Writer) error {
	dir, err := os.MkdirTemp("", "toucangw-demo-")
	if err != nil {
		return err
	}
	if c.KeepLogs {
		_, _ = fmt.Fprintln(progress, "logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	report, err := platformdemo.Run(ctx, platformdemo.Config{
		Daemon: filepath.Join(bin, "toucangw-gateway"), Template: c.Template, Dir: dir, Progress: progress,
	})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Broken) > 0 {
		return &exitError{code: exitProblems}
	}
	return nil
}

// print writes a report as JSON or as text.
func (c *demoCommand) print(report interface{ Write(io.Writer) error }) error {
	if !c.JSON {
		return report.Write(c.env.out)
	}
	encoder := json.NewEncoder(c.env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
