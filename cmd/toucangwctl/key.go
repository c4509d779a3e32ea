package main

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const keyHelp = `Queries any node for the state of an idempotency key: done (with the complete response), running, queued, unseen, fenced or lost. With --cancel, a key whose request has not started is fenced: its verdict "not-run" is then final.

Examples:
  toucangwctl key --node 127.0.0.1:7400 --caller scheldt KEY
  toucangwctl key --node 127.0.0.1:7400 --caller scheldt --cancel KEY`

func init() {
	register(command{
		name:  "key",
		short: "Query or cancel an idempotency key",
		long:  keyHelp,
		build: func(env *environment) any { return &keyCommand{env: env} },
	})
}

type keyCommand struct {
	Node   string `short:"n" long:"node" value-name:"IP:PORT" required:"true" description:"listener for callers of any node"`
	Caller string `long:"caller" required:"true" description:"caller that the key was issued to"`
	Cancel bool   `long:"cancel" description:"fence the key if its request has not started"`
	JSON   bool   `long:"json" description:"print the state as JSON"`
	Args   struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"true" required:"true"`

	env *environment
}

// keyState is what the command prints.
type keyState struct {
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	Status  int    `json:"status,omitempty"` // of the stored response
	Answer  string `json:"answer,omitempty"` // its body
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	method := http.MethodGet
	if c.Cancel {
		method = http.MethodDelete
	}
	header := http.Header{"Toucangw-Caller": {c.Caller}}
	resp, err := request(method, "http://"+c.Node+"/.toucangw/keys/"+c.Args.Key, header, nil)
	if err != nil {
		return err
	}
	state := keyState{
		State:   resp.header.Get("Toucangw-Key-State"),
		Verdict: resp.header.Get("Toucangw-Verdict"),
	}
	if state.State == "" {
		return fmt.Errorf("%s (%s): %s", resp.status, state.Verdict, resp.body)
	}
	if state.State == "done" {
		state.Status = resp.code
		state.Answer = string(resp.body)
	}
	if c.JSON {
		return json.NewEncoder(c.env.out).Encode(state)
	}
	_, err = fmt.Fprintf(c.env.out, "%s (%s)\n", state.State, state.Verdict)
	if err == nil && state.State == "done" {
		_, err = fmt.Fprintf(c.env.out, "status %d\n%s\n", state.Status, state.Answer)
	}
	return err
}
