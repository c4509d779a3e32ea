package main

import (
	"encoding/json"
	"fmt"
	"net/http"
)

const keyHelp = `Queries a once-only key at its owner, through any node. With --cancel, makes sure that the key never runs if it has not begun.

Examples:
  toucangwctl key --node 10.0.0.7:7400 --caller scheldt KEY
  toucangwctl key --node 10.0.0.7:7400 --caller scheldt --cancel KEY`

func init() {
	register(command{
		name:  "key",
		short: "Query or cancel a once-only key",
		long:  keyHelp,
		build: func(env *environment) any { return &keyCommand{env: env} },
	})
}

type keyCommand struct {
	env *environment

	Callers string `short:"n" long:"node" value-name:"IP:PORT" required:"true" description:"caller listener of any node"`
	Caller  string `long:"caller" required:"true" description:"customer that the key was issued to"`
	Cancel  bool   `long:"cancel" description:"make sure that the key never runs, if it has not begun"`
	JSON    bool   `long:"json" description:"print the state as JSON"`
	Args    struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"true" required:"true"`
}

// keyState is what the command prints.
type keyState struct {
	State   string `json:"state"`
	Verdict string `json:"verdict"`
	Status  int    `json:"status,omitempty"` // of the stored answer
	Answer  string `json:"answer,omitempty"` // its body
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	method := http.MethodGet
	if c.Cancel {
		method = http.MethodDelete
	}
	header := http.Header{"Toucangw-Caller": {c.Caller}}
	resp, err := request(method, "http://"+c.Callers+"/.toucangw/keys/"+c.Args.Key, header, nil)
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
	text := fmt.Sprintf("%s (%s)\n", state.State, state.Verdict)
	if state.State == "done" {
		text += fmt.Sprintf("status %d\n%s\n", state.Status, state.Answer)
	}
	_, err = fmt.Fprint(c.env.out, text)
	return err
}
