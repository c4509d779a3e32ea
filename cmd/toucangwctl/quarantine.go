package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"toucangw.example/node/gateway"
)

const quarantineHelp = `Lists the requests that nodes in gateway mode refuse because three incarnations of upstreams have crashed under equal ones, and those that are suspected of it, with the evidence. All nodes share the quarantined ones; suspects are known to the nodes in front of the upstreams of their service.

With --lift, equal requests run again on all nodes. They are refused again after three more crashes.

Examples:
  toucangwctl quarantine --node 10.1.0.44:7621
  toucangwctl quarantine --node 10.1.0.44:7621 --lift 5a0c61d2f7b94e18

Exit codes:
  0  listed, or lifted
  1  no request is quarantined or suspected, or none is lifted
  2  wrong usage, or the node did not answer`

func init() {
	register(command{
		name:  "quarantine",
		short: "Show or lift the refusal of requests that crash upstreams",
		long:  quarantineHelp,
		build: func(env *environment) any { return &quarantineCommand{env: env} },
	})
}

type quarantineCommand struct {
	JSON bool   `long:"json" description:"Write the list as JSON"`
	Node string `short:"n" long:"node" value-name:"IP:PORT" default:"127.0.0.1:7621" description:"metrics listener of the node"`
	Lift string `long:"lift" value-name:"FINGERPRINT" description:"Let these requests run again; the first 8 digits or more"`

	env *environment
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	if c.Lift != "" {
		return c.lift()
	}
	resp, err := request(http.MethodGet, "http://"+c.Node+gateway.QuarantinePath, nil, nil)
	if err != nil {
		return err
	}
	if resp.code != http.StatusOK {
		return fmt.Errorf("the node answered %s", resp.status)
	}
	var list []gateway.QuarantinedRequest
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return fmt.Errorf("read reply: %w", err)
	}
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	if len(list) == 0 {
		return &exitError{exitProblems, errors.New("no request is quarantined or suspected")}
	}
	return c.print(list)
}

func (c *quarantineCommand) lift() error {
	resp, err := request(http.MethodDelete, "http://"+c.Node+gateway.QuarantinePath+"/"+url.PathEscape(c.Lift), nil, nil)
	switch {
	case err != nil:
		return err
	case resp.code == http.StatusNotFound:
		return &exitError{exitProblems, errors.New(strings.TrimSpace(string(resp.body)))}
	case resp.code != http.StatusNoContent:
		return fmt.Errorf("the node answered %s: %s", resp.status, strings.TrimSpace(string(resp.body)))
	}
	_, err = fmt.Fprintln(c.env.out, "lifted")
	return err
}

// shownDigits is the number of digits of a fingerprint that are printed.
const shownDigits = 16

func (c *quarantineCommand) print(list []gateway.QuarantinedRequest) error {
	t := tabwriter.NewWriter(c.env.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "FINGERPRINT\tSTATE\tSERVICE\tROUTE\tCALLER\tREQUEST\tCRASHED")
	for _, r := range list {
		state := "suspected"
		if r.Quarantined {
			state = "quarantined"
		}
		var crashes []string
		for _, e := range r.Crashes {
			crashes = append(crashes, fmt.Sprintf("%s (%s, %.0f s ago, seen by %s)", e.Upstream, e.Software, e.AgeSeconds, e.SeenBy))
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Fingerprint[:min(len(r.Fingerprint), shownDigits)], state,
			r.Service, r.Route, r.Caller, r.RequestID, strings.Join(crashes, ", "))
	}
	return t.Flush()
}
