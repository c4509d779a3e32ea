package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
)

type keyCommand struct {
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
	resp, body, err := request(method, "http://"+c.Callers+"/.toucangw/keys/"+c.Args.Key, header, nil)
	if err != nil {
		return err
	}
	state := keyState{
		State:   resp.Header.Get("Toucangw-Key-State"),
		Verdict: resp.Header.Get("Toucangw-Verdict"),
	}
	if state.State == "" {
		return fmt.Errorf("%s (%s): %s", resp.Status, state.Verdict, body)
	}
	if state.State == "done" {
		state.Status = resp.StatusCode
		state.Answer = string(body)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(state)
	}
	fmt.Printf("%s (%s)\n", state.State, state.Verdict)
	if state.State == "done" {
		fmt.Printf("status %d\n%s\n", state.Status, state.Answer)
	}
	return nil
}
