package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"

	"toucangw.example/cmd/internal/demo"
)

type demoCommand struct {
	JSON     bool   `long:"json" description:"print the summary as JSON; progress goes to standard error"`
	KeepLogs bool   `long:"keep-logs" description:"leave the logs of all processes behind"`
	Bin      string `long:"bin" value-name:"DIR" description:"directory of toucangwd and standin (default: that of toucangwctl)"`
	Examples string `long:"examples" value-name:"DIR" default:"examples/drooglog" description:"directory of the example files"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of arrivals and kinds"`
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
	var progress io.Writer = os.Stdout
	if c.JSON {
		progress = os.Stderr
	}
	report, err := demo.Run(ctx, demo.Config{
		Bin: bin, Examples: c.Examples, KeepLogs: c.KeepLogs, Progress: progress, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		return err
	}
	if !report.OK {
		return errReported
	}
	return nil
}
