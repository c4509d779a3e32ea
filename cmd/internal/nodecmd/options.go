package nodecmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Options are the command-line options of both node programs.
type Options struct {
	Config  string `short:"c" long:"config" value-name:"FILE" description:"node settings (TOML)"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Parse parses the command line into opts, which is Options or a struct that
// contains it. If done is set, the program exits with the given code.
func Parse(opts any, args []string, stdout, stderr io.Writer) (code int, done bool) {
	rest, err := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagErr.Message)
		return ExitOK, true
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "toucangwd:", err)
		return ExitSettings, true
	}
	return ExitOK, false
}
