package main

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

const traceHelp = `Reads the logs of any number of nodes in gateway mode and prints their lines on one request and on the calls below it, in order of arrival, with a summary. Files may be gzip compressed; text before the JSON of a line is skipped. Without files, standard input is read.

Examples:
  toucangwctl trace --request 9c41d07be2a35f68 node-*.log
  zcat logs.gz | toucangwctl trace --request 9c41d07be2a35f68
  toucangwctl trace --json --request 9c41d07be2a35f68 node-*.log.gz

Exit codes:
  0  the request was found
  1  no line names the request; decisions may have been sampled or dropped
  2  wrong usage, or a file could not be read`

func init() {
	register(command{
		name:  "trace",
		short: "Show one request and its calls from logs",
		long:  traceHelp,
		build: func(env *environment) any { return &traceCommand{env: env} },
	})
}

type traceCommand struct {
	Request string `long:"request" value-name:"ID" required:"yes" description:"Request id"`
	JSON    bool   `long:"json" description:"Write the lines as one JSON array"`
	Args    struct {
		Files []flags.Filename `positional-arg-name:"FILE" description:"Log file"`
	} `positional-args:"yes"`

	env *environment
}

// logLine is one decision of a node.
type logLine struct {
	Time                 time.Time `json:"time"`
	Node                 string    `json:"node"`
	Message              string    `json:"msg"`
	Request              string    `json:"request"`
	Parent               string    `json:"parent"`
	ParentCertain        bool      `json:"parent_certain"`
	Route                string    `json:"route"`
	Service              string    `json:"service"`
	Upstream             string    `json:"upstream"`
	Version              uint64    `json:"version"`
	Priority             int       `json:"priority"`
	Attempts             int       `json:"attempts"` // attempts that may have reached an upstream
	NodesTried           int       `json:"placed"`   // attempts sent to nodes
	Status               int       `json:"status"`
	Verdict              string    `json:"verdict"`
	Reason               string    `json:"reason"`
	Detail               string    `json:"detail"`
	TookUS               int64     `json:"took_us"`
	WaitedUS             int64     `json:"waited_us"`
	AdmissionProbability float64   `json:"share"`
	Queued               int       `json:"upstream_queued"`
	Crashes              int       `json:"crashes"`
	Innocent             string    `json:"innocent"`
}

// crashMessage is the message of a line about a request that was running when its
// upstream ended.
const crashMessage = "running at the end of an upstream"

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	tree := treeOf(lines, c.Request)
	if len(tree) == 0 {
		return &exitError{exitProblems, fmt.Errorf("no line names request %q", c.Request)}
	}
	if c.JSON {
		return json.NewEncoder(c.env.out).Encode(tree)
	}
	for _, l := range tree {
		_, _ = fmt.Fprintln(c.env.out, l.text(c.Request))
	}
	_, _ = fmt.Fprintln(c.env.out, summary(tree, c.Request))
	return nil
}

func (c *traceCommand) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLog("standard input", os.Stdin, c.env.err)
	}
	var all []logLine
	var failed error
	for _, name := range c.Args.Files {
		lines, err := readLogFile(string(name), c.env.err)
		failed = errors.Join(failed, err)
		all = append(all, lines...)
	}
	return all, failed
}

func readLogFile(name string, warn io.Writer) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLog(name, file, warn)
}

// maxLogLine bounds the length of a line. Nodes write far shorter ones.
const maxLogLine = 1 << 20

// readLog returns the decisions in a log. Lines that cannot be decoded are
// reported to warn and skipped.
func readLog(name string, in io.Reader, warn io.Writer) ([]logLine, error) {
	in, err := decompress(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	var out []logLine
	for n := 1; scanner.Scan(); n++ {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(scanner.Bytes()[start:], &l); err != nil {
			_, _ = fmt.Fprintf(warn, "%s:%d: skipped: %v\n", name, n, err)
			continue
		}
		if l.Request != "" {
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return out, fmt.Errorf("%s: %w", name, err)
	}
	return out, nil
}

// decompress removes gzip compression, if any.
func decompress(in io.Reader) (io.Reader, error) {
	br := bufio.NewReader(in)
	if magic, err := br.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		return gzip.NewReader(br)
	}
	return br, nil
}

// treeOf returns the lines of a request and of all calls below it, in order of
// arrival.
func treeOf(lines []logLine, id string) []logLine {
	included := map[string]bool{id: true}
	for changed := true; changed; {
		changed = false
		for _, l := range lines {
			if l.Parent != "" && included[l.Parent] && !included[l.Request] {
				included[l.Request] = true
				changed = true
			}
		}
	}
	var out []logLine
	for _, l := range lines {
		if included[l.Request] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.arrival().Compare(b.arrival()) })
	return out
}

// arrival returns the time at which the request arrived. The time of a line is
// that of the end of the request.
func (l logLine) arrival() time.Time { return l.Time.Add(-time.Duration(l.TookUS) * time.Microsecond) }

func (l logLine) text(rootID string) string {
	var b strings.Builder
	indent := ""
	if l.Request != rootID {
		indent = "  "
	}
	_, _ = fmt.Fprintf(&b, "%s%s %-16s %s %s", indent, l.arrival().Format("15:04:05.000"), l.Node, l.Message, l.Request)
	if l.Message == crashMessage {
		_, _ = fmt.Fprintf(&b, ": upstream %s, route %s, crashes under equal requests: %d", l.Upstream, l.Route, l.Crashes)
		if l.Innocent != "" {
			b.WriteString(", not suspected: " + l.Innocent)
		}
		return b.String()
	}
	_, _ = fmt.Fprintf(&b, ": status %d after %d ms, route %s, service %s, configuration %d", l.Status, l.TookUS/1000, l.Route, l.Service, l.Version)
	if l.Upstream != "" {
		_, _ = fmt.Fprintf(&b, ", upstream %s (attempts %d of %d nodes asked, queued %d ms)", l.Upstream, l.Attempts, l.NodesTried, l.WaitedUS/1000)
	}
	if l.Reason != "" {
		_, _ = fmt.Fprintf(&b, ", %s (%s): %s", l.Reason, l.Verdict, l.Detail)
	}
	if l.AdmissionProbability > 0 {
		_, _ = fmt.Fprintf(&b, ", share %.2f", l.AdmissionProbability)
	}
	if l.Parent != "" && !l.ParentCertain {
		b.WriteString(", parent guessed")
	}
	return b.String()
}

// summary describes how the request ended and, if its upstream failed, the
// deepest failed call below it.
func summary(tree []logLine, id string) string {
	root, cause := findCause(tree, id)
	switch {
	case root == nil:
		return "no line of the request itself; only calls below it"
	case root.Status < 500:
		return fmt.Sprintf("ended with status %d", root.Status)
	case root.Reason != "":
		return fmt.Sprintf("refused by %s: %s (%s), %s", root.Node, root.Reason, root.Verdict, root.Detail)
	case cause == nil:
		return fmt.Sprintf("upstream %s answered %d; no failed call is logged", root.Upstream, root.Status)
	case cause.Reason != "":
		return fmt.Sprintf("upstream %s answered %d; deepest failed call: %s to service %s, %s (%s)",
			root.Upstream, root.Status, cause.Request, cause.Service, cause.Reason, cause.Detail)
	default:
		return fmt.Sprintf("upstream %s answered %d; deepest failed call: %s to service %s, upstream %s answered %d after %d ms",
			root.Upstream, root.Status, cause.Request, cause.Service, cause.Upstream, cause.Status, cause.TookUS/1000)
	}
}

// findCause returns the line of the request and that of the first failed call
// below it that has no failed call of its own.
func findCause(tree []logLine, id string) (root, cause *logLine) {
	failedBelow := map[string]bool{}
	for _, l := range tree {
		if l.Status >= 500 {
			failedBelow[l.Parent] = true
		}
	}
	for i := range tree {
		l := &tree[i]
		switch {
		case l.Message == crashMessage:
		case l.Request == id:
			root = l
		case l.Status >= 500 && cause == nil && !failedBelow[l.Request]:
			cause = l
		}
	}
	return root, cause
}
