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

const traceHelp = `Reads the logs of any number of nodes in gateway mode and prints what they say of one request and of the calls below it, in order of time, with a summary. Files may be gzip compressed; text before the JSON of a line is skipped. Without files, standard input is read.

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
		short: "Tell the story of one request from logs",
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
	Time     time.Time `json:"time"`
	Node     string    `json:"node"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Parent   string    `json:"parent"`
	Certain  bool      `json:"parent_certain"`
	Route    string    `json:"route"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Version  uint64    `json:"version"`
	Priority int       `json:"priority"`
	Attempts int       `json:"attempts"`
	Placed   int       `json:"placed"`
	Status   int       `json:"status"`
	Verdict  string    `json:"verdict"`
	Reason   string    `json:"reason"`
	Detail   string    `json:"detail"`
	TookUS   int64     `json:"took_us"`
	WaitedUS int64     `json:"waited_us"`
	Share    float64   `json:"share"`
	Queued   int       `json:"upstream_queued"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	story := storyOf(lines, c.Request)
	if len(story) == 0 {
		return &exitError{exitProblems, fmt.Errorf("no line names request %q", c.Request)}
	}
	if c.JSON {
		return json.NewEncoder(c.env.out).Encode(story)
	}
	for _, l := range story {
		_, _ = fmt.Fprintln(c.env.out, l.text(c.Request))
	}
	_, _ = fmt.Fprintln(c.env.out, summary(story, c.Request))
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

// maxLogLine bounds a line; nodes write far shorter ones.
const maxLogLine = 1 << 20

// readLog reads the decisions of a log. Lines that cannot be read are reported
// and skipped.
func readLog(name string, in io.Reader, warn io.Writer) ([]logLine, error) {
	in, err := plain(in)
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

// plain removes gzip compression, if any.
func plain(in io.Reader) (io.Reader, error) {
	br := bufio.NewReader(in)
	if magic, err := br.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		return gzip.NewReader(br)
	}
	return br, nil
}

// storyOf returns the lines of a request and of all calls below it.
func storyOf(lines []logLine, id string) []logLine {
	known := map[string]bool{id: true}
	for grown := true; grown; {
		grown = false
		for _, l := range lines {
			if l.Parent != "" && known[l.Parent] && !known[l.Request] {
				known[l.Request] = true
				grown = true
			}
		}
	}
	var out []logLine
	for _, l := range lines {
		if known[l.Request] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.begin().Compare(b.begin()) })
	return out
}

// begin is the arrival of the request; a line is written at its end.
func (l logLine) begin() time.Time { return l.Time.Add(-time.Duration(l.TookUS) * time.Microsecond) }

func (l logLine) text(root string) string {
	var b strings.Builder
	indent := ""
	if l.Request != root {
		indent = "  "
	}
	_, _ = fmt.Fprintf(&b, "%s%s %-16s %s %s", indent, l.begin().Format("15:04:05.000"), l.Node, l.Message, l.Request)
	_, _ = fmt.Fprintf(&b, ": status %d after %d ms, route %s, service %s, configuration %d", l.Status, l.TookUS/1000, l.Route, l.Service, l.Version)
	if l.Upstream != "" {
		_, _ = fmt.Fprintf(&b, ", upstream %s (attempts %d of %d nodes asked, queued %d ms)", l.Upstream, l.Attempts, l.Placed, l.WaitedUS/1000)
	}
	if l.Reason != "" {
		_, _ = fmt.Fprintf(&b, ", %s (%s): %s", l.Reason, l.Verdict, l.Detail)
	}
	if l.Share > 0 {
		_, _ = fmt.Fprintf(&b, ", share %.2f", l.Share)
	}
	if l.Parent != "" && !l.Certain {
		b.WriteString(", parent guessed")
	}
	return b.String()
}

// summary names the deepest failed call below a failed request, else its own
// end.
func summary(story []logLine, id string) string {
	own, cause := ends(story, id)
	switch {
	case own == nil:
		return "no line of the request itself; only calls below it"
	case own.Status < 500:
		return fmt.Sprintf("ended with status %d", own.Status)
	case own.Reason != "":
		return fmt.Sprintf("refused by %s: %s (%s), %s", own.Node, own.Reason, own.Verdict, own.Detail)
	case cause == nil:
		return fmt.Sprintf("upstream %s answered %d; no failed call is logged", own.Upstream, own.Status)
	case cause.Reason != "":
		return fmt.Sprintf("upstream %s answered %d; deepest failed call: %s to service %s, %s (%s)",
			own.Upstream, own.Status, cause.Request, cause.Service, cause.Reason, cause.Detail)
	default:
		return fmt.Sprintf("upstream %s answered %d; deepest failed call: %s to service %s, upstream %s answered %d after %d ms",
			own.Upstream, own.Status, cause.Request, cause.Service, cause.Upstream, cause.Status, cause.TookUS/1000)
	}
}

// ends returns the line of the request and that of the first failed call below
// it which has no failed call of its own.
func ends(story []logLine, id string) (own, cause *logLine) {
	failedBelow := map[string]bool{}
	for _, l := range story {
		if l.Status >= 500 {
			failedBelow[l.Parent] = true
		}
	}
	for i := range story {
		l := &story[i]
		switch {
		case l.Request == id:
			own = l
		case l.Status >= 500 && cause == nil && !failedBelow[l.Request]:
			cause = l
		}
	}
	return own, cause
}
