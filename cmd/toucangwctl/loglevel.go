package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"toucangw.example/node/operator"
)

func init() {
	register(command{
		name:  "loglevel",
		short: "Change the log level of a running node",
		long:  "Changes the log level of a running node.\n\nExamples:\n  toucangwctl loglevel --node 127.0.0.1:7402 debug",
		build: func(env *environment) any { return &logLevelCommand{env: env} },
	})
}

type logLevelCommand struct {
	operatorFlags
	Args struct {
		Level string `positional-arg-name:"LEVEL" description:"debug, info, warn or error"`
	} `positional-args:"true" required:"true"`

	env *environment
}

// Execute implements flags.Commander.
func (c *logLevelCommand) Execute([]string) error {
	body, err := json.Marshal(operator.LevelBody{Level: c.Args.Level})
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := request(http.MethodPut, "http://"+c.Node+"/v1/loglevel", header, body)
	if err != nil {
		return err
	}
	if resp.code != http.StatusOK {
		return fmt.Errorf("node %s: status %s: %s", c.Node, resp.status, resp.body)
	}
	_, err = fmt.Fprintln(c.env.out, "log level of", c.Node, "is", c.Args.Level)
	return err
}
