// Command toucangwd is the node process. It runs on each upstream host, between
// callers and upstreams.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"toucangw.example/node"
	"toucangw.example/settings"
)

// Exit codes.
const (
	exitOK              = 0
	exitFailed          = 1 // could not start, or a listener failed
	exitSettings        = 2 // settings or command line are not valid
	exitDrainIncomplete = 3 // stopped before all in-flight calls had ended
)

const modeGateway = "gateway"

type options struct {
	Config  string `short:"c" long:"config" value-name:"FILE" description:"node settings (TOML)"`
	Mode    string `long:"mode" choice:"engine" choice:"gateway" default:"engine" description:"engine: base file and overlays; gateway: routes from a store"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	started := time.Now()
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	if rest, err := parser.ParseArgs(args); err != nil || len(rest) > 0 {
		return usage(err, rest, stdout, stderr)
	}
	if opts.Version {
		_, _ = fmt.Fprintln(stdout, "toucangwd", version())
		return exitOK
	}
	if opts.Mode == modeGateway {
		return runGateway(opts, stdout, stderr)
	}
	parsed, err := load(opts.Config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, opts.Config+": ok")
		return exitOK
	}
	return serve(parsed, uint64(started.UnixMilli()), stderr)
}

func usage(err error, rest []string, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagErr.Message)
		return exitOK
	}
	if err == nil {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
	return exitSettings
}

// runGateway loads the settings of a node in gateway mode and runs it.
func runGateway(opts options, stdout, stderr io.Writer) int {
	parsed, err := loadGateway(opts.Config)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if opts.Check {
		_, _ = fmt.Fprintln(stdout, opts.Config+": ok")
		return exitOK
	}
	return serveGateway(opts.Config, parsed, stdout, stderr)
}

func readSettings(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("toucangwd: -c FILE is required")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("toucangwd: read settings: %w", err)
	}
	return data, nil
}

func load(path string) (*settings.Node, error) {
	data, err := readSettings(path)
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
func serve(parsed *settings.Node, incarnation uint64, stderr io.Writer) int {
	node.Tune()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	n, err := node.Listen(node.Options{
		Settings:    parsed,
		Incarnation: incarnation,
		Policies:    node.DefaultPolicies(),
		Output:      stderr,
	})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drain := make(chan struct{})
	go func() {
		<-signals
		close(drain)
		<-signals
		cancel()
	}()
	switch err := n.Run(ctx, drain); {
	case err == nil:
		return exitOK
	case errors.Is(err, node.ErrDrainIncomplete):
		return exitDrainIncomplete
	default:
		return exitFailed
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
