package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"toucangw.example/node/operator"
)

type logLevelCommand struct {
	operatorFlags
	Args struct {
		Level string `positional-arg-name:"LEVEL" description:"debug, info, warn or error"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *logLevelCommand) Execute([]string) error {
	body, err := json.Marshal(operator.LevelBody{Level: c.Args.Level})
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, reply, err := request(http.MethodPut, "http://"+c.Node+"/v1/loglevel", header, body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s: status %s: %s", c.Node, resp.Status, reply)
	}
	fmt.Println("log level of", c.Node, "is", c.Args.Level)
	return nil
}
