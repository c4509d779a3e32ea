// Command toucangwd is the node process. It runs on each upstream host, between
// callers and upstreams.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"toucangw.example/cmd/internal/nodecmd"
	"toucangw.example/node"
	"toucangw.example/node/tuning"
	"toucangw.example/settings"
)

const modeGateway = "gateway"

type options struct {
	nodecmd.Options
	Mode string `long:"mode" choice:"engine" choice:"gateway" default:"engine" description:"engine: base file and overlays; gateway: routes from a store"` //nolint:staticcheck // go-flags repeats the choice tag
}

func main() {
	signals := nodecmd.NotifySignals()
	os.Exit(run(os.Args[1:], signals, os.Stdout, os.Stderr))
}

func run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	started := time.Now()
	var opts options
	if code, done := nodecmd.Parse(&opts, args, stdout, stderr); done {
		return code
	}
	if opts.Version {
		_, _ = fmt.Fprintln(stdout, "toucangwd", nodecmd.Version())
		return nodecmd.ExitOK
	}
	if opts.Mode == modeGateway {
		return nodecmd.RunGateway(opts.Options, signals, stdout, stderr)
	}
	parsed, err := load(opts.Config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return nodecmd.ExitSettings
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, opts.Config+": ok")
		return nodecmd.ExitOK
	}
	return serve(parsed, signals, uint64(started.UnixMilli()), stderr)
}

func load(path string) (*settings.Node, error) {
	data, err := nodecmd.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	parsed, problems := settings.ParseNode(settings.Source{Name: path, Data: data})
	if len(problems) > 0 {
		return nil, problems
	}
	return parsed, nil
}

// serve runs a node in engine mode. The first SIGTERM or SIGINT starts a planned
// stop, the second stops the node without waiting for in-flight calls.
func serve(parsed *settings.Node, signals <-chan os.Signal, incarnation uint64, stderr io.Writer) int {
	tuning.Engine()
	n, err := node.Listen(node.Options{
		Settings:    parsed,
		Incarnation: incarnation,
		Policies:    node.DefaultPolicies(),
		Output:      stderr,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return nodecmd.ExitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drain := make(chan struct{})
	go func() {
		awaitStop(signals)
		close(drain)
		awaitStop(signals)
		cancel()
	}()
	switch err := n.Run(ctx, drain); {
	case err == nil:
		return nodecmd.ExitOK
	case errors.Is(err, node.ErrDrainIncomplete):
		return nodecmd.ExitDrainIncomplete
	default:
		return nodecmd.ExitFailed
	}
}

// awaitStop waits for a signal that stops the node. SIGHUP does not: in engine
// mode there is nothing to reload.
func awaitStop(signals <-chan os.Signal) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			return
		}
	}
}
