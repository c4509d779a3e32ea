package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"toucangw.example/settings"
)

const checkHelp = `Checks a base file with every overlay and reports all problems at once. The site of an overlay is the name of its file without extension. Nodes validate a change with the same code, so give all overlays of the deployment.

Examples:
  toucangwctl check base.toml overlay/*.toml
  toucangwctl check --json base.toml | jq .problems
  toucangwctl check --quiet base.toml overlay/*.toml || exit 1

Exit codes:
  0  the files are valid
  1  problems were found; each is a line of the output
  2  wrong usage, or a file could not be read`

func init() {
	register(command{
		name:  "check",
		short: "Check a base file and overlays",
		long:  checkHelp,
		build: func(env *environment) any { return &checkCommand{env: env} },
	})
}

type checkCommand struct {
	JSON  bool      `long:"json" description:"Write the result as one JSON object"`
	Quiet bool      `short:"q" long:"quiet" description:"Write nothing if the files are valid"`
	Color colorMode `long:"color" choice:"auto" choice:"always" choice:"never" default:"auto" description:"Colour the output; auto: on a terminal, unless NO_COLOR is set"`
	Args  struct {
		Base     flags.Filename   `positional-arg-name:"BASE" description:"Base file" required:"yes"`
		Overlays []flags.Filename `positional-arg-name:"OVERLAY" description:"Overlay of one site"`
	} `positional-args:"yes"`

	env *environment
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	base := string(c.Args.Base)
	files, err := overlaysBySite(base, c.Args.Overlays)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	src, err := readSource(base)
	overlays := make(map[string]settings.Source, len(files))
	for _, site := range slices.Sorted(maps.Keys(files)) {
		overlay, readErr := readSource(files[site])
		err = errors.Join(err, readErr)
		overlays[site] = overlay
	}
	if err != nil {
		return &exitError{exitUsage, err}
	}
	policies, problems := settings.Compile(0, src, overlays)
	result := newCheckResult(base, files, problems)
	if len(problems) == 0 {
		result.setCounts(policies[settings.BaseSite])
	}
	if err := c.print(result); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the result: %w", err)}
	}
	if len(problems) > 0 {
		return &exitError{code: exitProblems}
	}
	return nil
}

func (c *checkCommand) print(result *checkResult) error {
	switch {
	case c.JSON:
		return result.writeJSON(c.env.out)
	case c.Quiet && result.Valid:
		return nil
	}
	return result.writeText(c.env.out, c.Color.enabled(c.env))
}

// overlaysBySite returns the overlay files by site. A shell pattern can match
// the base or two files of one site. Both are errors, because one of the files
// would otherwise be ignored.
func overlaysBySite(base string, overlays []flags.Filename) (map[string]string, error) {
	files := make(map[string]string, len(overlays))
	var problems []error
	for _, overlay := range overlays {
		file := string(overlay)
		site := siteOf(file)
		other, exists := files[site]
		switch {
		case sameFile(base, file):
			problems = append(problems, fmt.Errorf("%s is the base; it cannot also be an overlay", file))
		case exists:
			problems = append(problems, fmt.Errorf("%s and %s are both overlays of site %q", other, file, site))
		default:
			files[site] = file
		}
	}
	return files, errors.Join(problems...)
}

func siteOf(file string) string {
	name := filepath.Base(file)
	return strings.TrimSuffix(name, filepath.Ext(name))
}

func sameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// readSource reads at most one byte more than settings.MaxFileSize, so that
// settings.Compile reports a larger file as a problem.
func readSource(file string) (settings.Source, error) {
	f, err := os.Open(file)
	if err != nil {
		return settings.Source{}, fmt.Errorf("read settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, settings.MaxFileSize+1))
	if err != nil {
		return settings.Source{}, fmt.Errorf("read settings: %w", err)
	}
	return settings.Source{Name: file, Data: data}, nil
}
