package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"toucangw.example/standin/caller"
)

type callerCommand struct {
	ctx context.Context

	Nodes      []string      `long:"node" required:"true" description:"base URL of a caller listener; may be repeated"`
	Deployment string        `long:"deployment" default:"drooglog" description:"example deployment that names the kinds"`
	Rate       float64       `long:"rate" default:"100" description:"requests a second"`
	Duration   time.Duration `long:"duration" default:"10s" description:"length of the load"`
	Retries    int           `long:"retries" default:"2" description:"retries of a failed request"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals and kinds"`
	Prefix     string        `long:"prefix" default:"load" description:"prefix of request ids, new for each run"`
}

// Execute implements flags.Commander. It prints the result as JSON.
func (c *callerCommand) Execute([]string) error {
	kinds := caller.Kinds(c.Deployment)
	if len(kinds) == 0 {
		return fmt.Errorf("unknown deployment %q", c.Deployment)
	}
	if c.Rate <= 0 || c.Duration <= 0 || c.Retries < 0 {
		return fmt.Errorf("rate and duration must be positive, retries not negative")
	}
	load := caller.New(caller.Config{
		Nodes:    c.Nodes,
		Callers:  caller.Callers(c.Deployment),
		Kinds:    kinds,
		Rate:     c.Rate,
		Duration: c.Duration,
		Retries:  c.Retries,
		Seed:     c.Seed,
		Prefix:   c.Prefix,
	})
	return json.NewEncoder(os.Stdout).Encode(load.Run(c.ctx))
}
