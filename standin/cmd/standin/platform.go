package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"

	"toucangw.example/standin/platform"
)

type platformCommand struct {
	ctx context.Context

	Addr string `long:"addr" required:"true" description:"listener (IP:port)"`
	Dir  string `long:"dir" required:"true" description:"directory of published files"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	p, err := platform.New(platform.Config{Dir: c.Dir})
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	go p.Run(c.ctx, func(err error) { fmt.Fprintln(os.Stderr, "platform:", err) })
	fmt.Println("ready", lis.Addr())
	return serve(c.ctx, map[net.Listener]http.Handler{lis: p.Handler()})
}
