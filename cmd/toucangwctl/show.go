package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/core/verdict"
	"toucangw.example/node/confsync"
	"toucangw.example/node/operator"
)

const showHelp = `Shows the state of one node: its configuration in force and any rejected version, members, limits, queues, and the most recent refusals with their reasons.

Examples:
  toucangwctl show --node 127.0.0.1:7402
  toucangwctl show --node 127.0.0.1:7402 --request-id 4f1c
  toucangwctl show --node 127.0.0.1:7402 --json | jq .config`

func init() {
	register(command{
		name:  "show",
		short: "Show the state of a node",
		long:  showHelp,
		build: func(env *environment) any { return &showCommand{env: env} },
	})
}

type showCommand struct {
	operatorFlags
	JSON      bool   `long:"json" description:"print the status as JSON"`
	Refusals  int    `long:"refusals" default:"10" value-name:"N" description:"most recent refusals to print"`
	RequestID string `long:"request-id" value-name:"ID" description:"print only refusals of one request"`

	env *environment
}

// operatorStatus is operator.Status with the type of its Config, which the
// node's configuration source fills in.
type operatorStatus struct {
	operator.Status
	Config confsync.Status `json:"config"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	resp, err := request(http.MethodGet, "http://"+c.Node+"/v1/status", nil, nil)
	if err != nil {
		return err
	}
	if resp.code != http.StatusOK {
		return fmt.Errorf("node %s: status %s", c.Node, resp.status)
	}
	var s operatorStatus
	if err := json.Unmarshal(resp.body, &s); err != nil {
		return fmt.Errorf("node %s: %w", c.Node, err)
	}
	s.selectRefusals(c.RequestID, c.Refusals)
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	return s.write(c.env.out, time.Now(), c.env.terminal)
}

func (s *operatorStatus) selectRefusals(requestID string, limit int) {
	kept := s.Refusals[:0]
	for _, r := range s.Refusals {
		if requestID == "" || r.RequestID == requestID {
			kept = append(kept, r)
		}
	}
	s.Refusals = kept[:min(len(kept), max(limit, 0))]
}

// table prints aligned rows.
type table struct{ *tabwriter.Writer }

func newTable(out io.Writer) table { return table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)} }

func (t table) row(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }

func (s *operatorStatus) write(out io.Writer, now time.Time, colour bool) error {
	t := newTable(out)
	t.row("host\t%s\tservice %s\tzone %s\tsite %s", s.Host, s.Service, s.Zone, s.Site)
	t.row("state\t%s\tlog level %s\tincarnation %d", s.state(), s.LogLevel, s.Incarnation)
	s.writeConfig(t, now)
	if s.Service != "" && s.Ready && s.Load.Slots == 0 {
		t.row("limit\tthe configuration in force has no service %s; its calls are refused", s.Service)
	} else {
		t.row("limit\t%d of %d slots\trunning %d\tqueued %d\twait %d ms",
			s.Load.Limit, s.Load.Slots, s.Load.Running, s.Load.Queued, s.Load.WaitMs)
	}
	t.row("calls in flight\t%d\truns %d\tkeys %d (%d bytes)", s.Calls, s.Runs, s.Keys, s.KeyBytes)
	for _, caller := range slices.Sorted(maps.Keys(s.Thresholds)) {
		t.row("level for %s\t%s", caller, thresholdText(s.Thresholds[caller]))
	}
	if s.LogLinesDropped > 0 {
		t.row("log lines dropped\t%d", s.LogLinesDropped)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := s.writeFaults(out, colour); err != nil {
		return err
	}
	return s.writeLists(out)
}

// writeConfig prints the active configuration, how many peers have it, and
// whether the platform is read by this node.
func (s *operatorStatus) writeConfig(t table, now time.Time) {
	upToDate := 0
	for _, p := range s.Config.Peers {
		if p.Active >= s.Config.Active {
			upToDate++
		}
	}
	t.row("version in force\t%s\tat %d of %d peers heard in the last minute",
		revisionText(s.Revision), upToDate, len(s.Config.Peers))
	for _, p := range s.Config.Peers {
		if p.Active < s.Config.Active {
			t.row("behind\t%s\thas %s", p.Host, revisionText(p.Active))
		}
	}
	t.row("host lists\t%s\t%s", revisionText(s.Config.HostsRevision), plural(s.Config.Hosts, "host"))
	role := "read by other nodes of the zone"
	if s.Config.Reader || s.Config.HostsRevision == 0 {
		// Without host lists a node knows no other node that could read for it.
		role = "read by this node"
	}
	last := "no answer yet"
	if !s.Config.PlatformAt.IsZero() {
		last = fmt.Sprintf("last answer %s ago", now.Sub(s.Config.PlatformAt).Round(time.Second))
	}
	t.row("platform\t%s\t%s", role, last)
}

// revisionText formats a revision of the configuration store.
func revisionText(revision uint64) string {
	if revision == 0 {
		return "none"
	}
	return strconv.FormatUint(revision, 10)
}

// thresholdText formats an admission threshold: the lowest rank admitted, as the
// decision log shows ranks, and its importance.
func thresholdText(threshold uint32) string {
	if threshold == 0 {
		return "all admitted"
	}
	return fmt.Sprintf("from rank %d (%s) on", threshold, call.Rank(threshold).Importance())
}

// writeFaults prints the conditions that need an operator, in red if colour is
// set.
func (s *operatorStatus) writeFaults(out io.Writer, colour bool) error {
	var faults []string
	if s.Config.Rejected != 0 {
		faults = append(faults, fmt.Sprintf("rejected version %d: %s", s.Config.Rejected, s.Config.RejectedReason))
	}
	if s.Config.RejectedHostsReason != "" {
		faults = append(faults, "rejected host lists: "+s.Config.RejectedHostsReason)
	}
	if len(s.Config.Quarantined) > 0 {
		faults = append(faults, "host lists held back, they drop hosts that answer: "+strings.Join(s.Config.Quarantined, ", "))
	}
	if s.Config.PlatformErr != "" {
		faults = append(faults, "platform: "+s.Config.PlatformErr)
	}
	for _, fault := range faults {
		line := strings.ReplaceAll(strings.TrimSpace(fault), "\n", "\n  ")
		if colour {
			line = styleRed + line + styleReset
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func (s *operatorStatus) writeLists(out io.Writer) error {
	t := newTable(out)
	t.row("")
	t.row("MEMBER\tSERVICE\tZONE\tADDRESS\tSTATUS\tINCARNATION")
	for _, m := range s.Members {
		t.row("%s\t%s\t%s\t%s\t%s\t%d", m.Host, m.Service, m.Zone, m.Addr, m.Status, m.Incarnation)
	}
	if err := t.Flush(); err != nil || len(s.Refusals) == 0 {
		return err
	}
	t.row("")
	t.row("REFUSED AT\tREQUEST\tSERVICE\tKIND\tCALLER\tHOST\tVERDICT\tREASON\tDETAIL")
	seen := make(map[string]bool)
	for _, r := range s.Refusals {
		seen[r.Reason] = true
		t.row("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", r.Time.Format(time.TimeOnly), r.RequestID, r.Service,
			orDash(r.Kind), orDash(r.Caller), orDash(r.Host), r.Verdict, r.Reason, orDash(r.Detail))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	t.row("")
	for _, reason := range slices.Sorted(maps.Keys(seen)) {
		t.row("%s\t%s", reason, reasonMeaning[verdict.Reason(reason)])
	}
	return t.Flush()
}

// orDash returns a dash for an empty cell.
func orDash(s string) string { return cmp.Or(s, "-") }

func (s *operatorStatus) state() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready: " + s.NotReady
	}
}
