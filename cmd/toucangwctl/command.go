package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/jessevdk/go-flags"
)

const programName = "toucangwctl"

// Exit codes. They are stable: scripts and version control hooks rely on them.
const (
	exitOK       = 0
	exitProblems = 1 // the command ran and found problems
	exitUsage    = 2 // wrong usage, or the command could not be carried out
)

// environment holds the process resources that commands use. Tests supply their
// own.
type environment struct {
	out      io.Writer
	err      io.Writer
	terminal bool // out is a terminal that supports colour
}

func systemEnvironment() *environment {
	return &environment{
		out:      os.Stdout,
		err:      os.Stderr,
		terminal: isTerminal(os.Stdout) && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb",
	}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// colorMode is the value of an option --color.
type colorMode string

// Complete implements flags.Completer, since go-flags itself does not complete
// the choices of an option.
func (colorMode) Complete(match string) []flags.Completion {
	var items []flags.Completion
	for _, mode := range []string{"always", "auto", "never"} {
		if strings.HasPrefix(mode, match) {
			items = append(items, flags.Completion{Item: mode})
		}
	}
	return items
}

func (m colorMode) enabled(env *environment) bool {
	return m == "always" || m == "auto" && env.terminal
}

// command describes a command of the tool. Each command registers itself in
// the init function of its own file.
type command struct {
	name  string
	short string
	long  string
	// build returns the options of the command, which implement
	// flags.Commander.
	build func(env *environment) any
}

var commands []command

func register(c command) { commands = append(commands, c) }

// exitError makes the tool exit with a code. If err is nil, nothing more is
// printed, because the command has already reported the result.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

type globalOptions struct {
	Version func() error `long:"version" description:"Show the version and exit"`
}

// run executes a command line and returns the exit code.
func run(args []string, env *environment) int {
	parser, err := newParser(env)
	if err != nil {
		return finish(err, "", env)
	}
	_, err = parser.ParseArgs(args)
	active := ""
	if parser.Active != nil {
		active = " " + parser.Active.Name
	}
	return finish(err, active, env)
}

func newParser(env *environment) (*flags.Parser, error) {
	global := &globalOptions{Version: func() error {
		return &flags.Error{Type: flags.ErrHelp, Message: programName + " " + version()}
	}}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Tool for the operators of toucangw. Exit codes: 0 success, 1 problems found, " +
		"2 wrong usage or the command could not be carried out."
	if _, err := parser.AddGroup("Options", "", global); err != nil {
		return nil, fmt.Errorf("add options: %w", err)
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.build(env)); err != nil {
			return nil, fmt.Errorf("add command %s: %w", c.name, err)
		}
	}
	return parser, nil
}

// finish prints the error, help or usage message that a command line ended
// with, and returns the exit code.
func finish(err error, active string, env *environment) int {
	var exit *exitError
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		if exit.err != nil {
			_, _ = fmt.Fprintf(env.err, "%s%s: %v\n", programName, active, exit.err)
		}
		return exit.code
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(env.err, "%s%s: %s\nRun \"%s%s --help\" for help.\n", programName, active, usage.Message, programName, active)
		return exitUsage
	}
	_, _ = fmt.Fprintf(env.err, "%s%s: %v\n", programName, active, err)
	return exitUsage
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown version)"
	}
	return info.Main.Version
}
