// Command standin runs one of the development stand-ins: platform, upstream or
// caller. It prints a line with its addresses when it is ready and stops on
// SIGTERM.
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
	add(parser, "platform", "the configuration service", &platformCommand{ctx: ctx})
	add(parser, "upstream", "an upstream service", &upstreamCommand{ctx: ctx})
	add(parser, "caller", "a load of callers", &callerCommand{ctx: ctx})
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
		panic(err) // a fault in the flag definitions
	}
}
