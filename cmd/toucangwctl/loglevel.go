package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"

	"toucangw.example/node/operator"
)

func init() {
	register(command{
		name:  "loglevel",
		short: "Change the log level of a running node",
		long: "Changes the log level of a running node; the change lasts until the node stops. Decisions are logged at level info.\n\n" +
			"Examples:\n  toucangwctl loglevel --node 127.0.0.1:7402 debug",
		build: func(env *environment) any { return &logLevelCommand{env: env} },
	})
}

// logLevel is the name of a log level.
type logLevel string

// Complete implements flags.Completer.
func (logLevel) Complete(match string) []flags.Completion {
	var items []flags.Completion
	for _, level := range []string{"debug", "info", "warn", "error"} {
		if strings.HasPrefix(level, match) {
			items = append(items, flags.Completion{Item: level})
		}
	}
	return items
}

type logLevelCommand struct {
	operatorFlags
	JSON bool `long:"json" description:"print the result as JSON"`
	Args struct {
		Level logLevel `positional-arg-name:"LEVEL" description:"debug, info, warn or error"`
	} `positional-args:"true" required:"true"`

	env *environment
}

// Execute implements flags.Commander.
func (c *logLevelCommand) Execute([]string) error {
	body, err := json.Marshal(operator.LogLevelBody{Level: string(c.Args.Level)})
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
	if c.JSON {
		_, err = fmt.Fprintln(c.env.out, string(bytes.TrimSpace(resp.body)))
		return err
	}
	_, err = fmt.Fprintln(c.env.out, "log level of", c.Node, "is", c.Args.Level)
	return err
}
