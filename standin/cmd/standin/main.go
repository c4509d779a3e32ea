// Command standin runs one of the fakes for development: platform, upstream or
// caller. The platform and the upstream print a line with their addresses when they
// are ready. The command stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	add(parser, "platform", "a fake configuration platform", &platformCommand{ctx: ctx})
	add(parser, "upstream", "a fake upstream service", &upstreamCommand{ctx: ctx})
	add(parser, "caller", "a load generator that sends requests of callers", &callerCommand{ctx: ctx})
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(flagErr.Message)
			return
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		stop()
		os.Exit(1)
	}
}

func add(parser *flags.Parser, name, help string, command flags.Commander) {
	if _, err := parser.AddCommand(name, help, "", command); err != nil {
		panic(err) // invalid flag definitions
	}
}
