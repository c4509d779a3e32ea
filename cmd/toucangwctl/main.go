// Command toucangwctl is the operators' command-line tool.
package main

<<<<<<< HEAD
import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// command is one subcommand; each has a file of its own and adds itself.
type command struct {
	name string
	help string
	run  flags.Commander
}

func commands() []command {
	return []command{
		{"demo", "run the example deployment on this machine", &demoCommand{}},
		{"show", "show what a node sees and does", &showCommand{}},
		{"key", "query or cancel a once-only key", &keyCommand{}},
		{"loglevel", "change the log level of a node", &logLevelCommand{}},
	}
}

func main() { os.Exit(run(os.Args[1:])) }

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errReported ends the program with a failure that is printed already.
var errReported = errors.New("failed")

func run(args []string) int {
	parser := flags.NewNamedParser("toucangwctl", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.help, "", c.run); err != nil {
			panic(err) // a fault in the flag definitions
		}
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return exitOK
	case errors.Is(err, errReported):
		return exitFailed
	case flagErr != nil:
		fmt.Fprintln(os.Stderr, "toucangwctl:", flagErr.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "toucangwctl:", err)
	return exitFailed
=======
import "os"

func main() {
	os.Exit(run(os.Args[1:], systemEnvironment()))
>>>>>>> main
}
