// Command toucangw-gateway is toucangwd in gateway mode only. It contains nothing
// of engine mode, so that it starts sooner and needs less memory.
package main

import (
	"fmt"
	"io"
	"os"

	"toucangw.example/cmd/internal/nodecmd"
)

func main() {
	signals := nodecmd.NotifySignals()
	os.Exit(run(os.Args[1:], signals, os.Stdout, os.Stderr))
}

func run(args []string, signals <-chan os.Signal, stdout, stderr io.Writer) int {
	var opts nodecmd.Options
	if code, done := nodecmd.Parse(&opts, args, stdout, stderr); done {
		return code
	}
	if opts.Version {
		_, _ = fmt.Fprintln(stdout, "toucangw-gateway", nodecmd.Version())
		return nodecmd.ExitOK
	}
	return nodecmd.RunGateway(opts, signals, stdout, stderr)
}
