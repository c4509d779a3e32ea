package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"toucangw.example/core/call"
	"toucangw.example/node/confsync"
	"toucangw.example/node/operator"
)

const showHelp = `Shows what one node sees and does: the configuration in force and any rejected version, its members, limits and queues, and the most recent refusals with their reasons.

Examples:
  toucangwctl show --node 127.0.0.1:7402
  toucangwctl show --node 127.0.0.1:7402 --request-id 4f1c
  toucangwctl show --node 127.0.0.1:7402 --json | jq .config`

func init() {
	register(command{
		name:  "show",
		short: "Show what a node sees and does",
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

// shown is the status with the part that the node's configuration service
// reports.
type shown struct {
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
	var s shown
	if err := json.Unmarshal(resp.body, &s); err != nil {
		return fmt.Errorf("node %s: %w", c.Node, err)
	}
	s.selectRefusals(c.RequestID, c.Refusals)
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	return s.write(c.env.out)
}

func (s *shown) selectRefusals(requestID string, most int) {
	kept := s.Refusals[:0]
	for _, r := range s.Refusals {
		if requestID == "" || r.RequestID == requestID {
			kept = append(kept, r)
		}
	}
	s.Refusals = kept[:min(len(kept), max(most, 0))]
}

func (s *shown) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	row("host\t%s\tservice %s\tzone %s\tsite %s", s.Host, s.Service, s.Zone, s.Site)
	row("state\t%s\tlog level %s\tincarnation %d", s.state(), s.LogLevel, s.Incarnation)
	row("version in force\t%d\tat known peers: %t", s.Revision, s.Config.Everywhere)
	if s.Config.Rejected != 0 {
		row("rejected version\t%d\t%s", s.Config.Rejected, s.Config.RejectedWhy)
	}
	if s.Config.PlatformErr != "" {
		row("platform\t%s", s.Config.PlatformErr)
	}
	row("limit\t%d of %d slots\trunning %d\tqueued %d\twait %d ms",
		s.Load.Limit, s.Load.Slots, s.Load.Running, s.Load.Queued, s.Load.WaitMs)
	row("calls in flight\t%d\truns %d\tkeys %d (%d bytes)", s.Calls, s.Runs, s.Keys, s.KeyBytes)
	for _, caller := range slices.Sorted(maps.Keys(s.Levels)) {
		row("admitted for %s\t%s", caller, admitted(call.Rank(s.Levels[caller])))
	}
	row("")
	row("MEMBER\tSERVICE\tZONE\tADDRESS\tSTATUS\tINCARNATION")
	for _, m := range s.Members {
		row("%s\t%s\t%s\t%s\t%s\t%d", m.Host, m.Service, m.Zone, m.Addr, m.Status, m.Incarnation)
	}
	if len(s.Refusals) > 0 {
		row("")
		row("REFUSED AT\tREQUEST\tSERVICE\tCALLER\tVERDICT\tREASON\tDETAIL")
	}
	for _, r := range s.Refusals {
		row("%s\t%s\t%s\t%s\t%s\t%s\t%s",
			r.Time.Format(time.TimeOnly), r.RequestID, r.Service, r.Caller, r.Verdict, r.Reason, r.Detail)
	}
	return w.Flush()
}

func (s *shown) state() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// admitted describes an admission level.
func admitted(level call.Rank) string {
	if level == 0 {
		return "all"
	}
	return fmt.Sprintf("%s from rank %d on", level.Importance(), level)
}
