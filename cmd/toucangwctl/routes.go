package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"toucangw.example/core/routetable"
	"toucangw.example/platform"
)

const routesHelp = `Checks a configuration document of the platform with the code of the nodes and lists its routes. With --path, lists only the route that a request takes. Without a file, standard input is read.

Examples:
  toucangwctl routes config.json
  toucangwctl routes --host shop.example --path /read/7 config.json
  toucangwctl routes --json config.json | jq '.[].name'

Exit codes:
  0  the document is valid and, with --path, a route matches
  1  the document is not valid, or no route matches
  2  wrong usage, or the file could not be read`

func init() {
	register(command{
		name:  "routes",
		short: "Check a configuration of the platform",
		long:  routesHelp,
		build: func(env *environment) any { return &routesCommand{env: env, in: os.Stdin} },
	})
}

type routesCommand struct {
	JSON bool   `long:"json" description:"Write the routes as one JSON array"`
	Host string `long:"host" value-name:"HOST" description:"Host of the request, with --path"`
	Path string `long:"path" value-name:"PATH" description:"Show only the route that a request with this path takes"`
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Configuration document"`
	} `positional-args:"yes"`

	env *environment
	in  io.Reader
}

// routeRow is one route of the output.
type routeRow struct {
	Name          string         `json:"name"`
	Host          string         `json:"host"`
	Prefix        string         `json:"prefix"`
	Kind          string         `json:"kind"`
	Priority      int            `json:"priority"`
	Timeout       string         `json:"timeout"`
	TargetLatency string         `json:"target_latency"`
	MaxAttempts   int            `json:"max_attempts"`
	Weights       map[string]int `json:"weights"` // by service
}

// Execute implements flags.Commander.
func (c *routesCommand) Execute([]string) error {
	if (c.Host == "") != (c.Path == "") {
		return &exitError{exitUsage, errors.New("--host and --path belong together")}
	}
	name, data, err := c.read()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return &exitError{exitProblems, fmt.Errorf("%s%s: %w", name, lineOf(data, err), err)}
	}
	routes := config.Routes()
	if c.Path != "" {
		route := config.Match(c.Host, c.Path)
		if route == nil {
			return &exitError{exitProblems, fmt.Errorf("version %d has no route for %s of %s", config.Version, c.Path, c.Host)}
		}
		routes = []*routetable.Route{route}
	}
	if err := c.print(config.Version, routes); err != nil {
		return &exitError{exitUsage, fmt.Errorf("write the result: %w", err)}
	}
	return nil
}

// maxDocumentBytes bounds a configuration document on standard input; the store's
// values have at most 1 MB.
const maxDocumentBytes = 16 << 20

func (c *routesCommand) read() (name string, data []byte, err error) {
	if c.Args.File == "" {
		const name = "standard input"
		data, err = io.ReadAll(io.LimitReader(c.in, maxDocumentBytes+1))
		if err == nil && len(data) > maxDocumentBytes {
			err = fmt.Errorf("%s exceeds %d bytes", name, maxDocumentBytes)
		}
		return name, data, err
	}
	data, err = os.ReadFile(string(c.Args.File))
	return string(c.Args.File), data, err
}

// lineOf returns the line of a decoding error in the form ":7", or an empty
// string if the error has no position.
func lineOf(data []byte, err error) string {
	offset := int64(0)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return ""
	}
	return fmt.Sprintf(":%d", 1+strings.Count(string(data[:min(offset, int64(len(data)))]), "\n"))
}

func (c *routesCommand) print(version uint64, routes []*routetable.Route) error {
	rows := make([]routeRow, 0, len(routes))
	for _, r := range routes {
		row := routeRow{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind.String(), Priority: r.Priority,
			Timeout: r.Timeout.String(), TargetLatency: r.TargetLatency.String(), MaxAttempts: r.MaxAttempts,
			Weights: map[string]int{},
		}
		for _, t := range r.Targets {
			row.Weights[t.Service] += t.Weight
		}
		rows = append(rows, row)
	}
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	t := tabwriter.NewWriter(c.env.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "version %d\n", version)
	_, _ = fmt.Fprintln(t, "ROUTE\tHOST\tPREFIX\tKIND\tPRIORITY\tTIMEOUT\tATTEMPTS\tSERVICES")
	for i, r := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", r.Name, r.Host, r.Prefix, r.Kind, r.Priority,
			routes[i].Timeout.Round(time.Millisecond), r.MaxAttempts, services(routes[i]))
	}
	return t.Flush()
}

// services lists the services of a route, with their weights if there are
// several.
func services(r *routetable.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	parts := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		parts = append(parts, fmt.Sprintf("%s=%d", t.Service, t.Weight))
	}
	return strings.Join(parts, " ")
}
