package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"toucangw.example/standin/upstream"
)

const stopTimeout = 2 * time.Second

type upstreamCommand struct {
	ctx context.Context

	Addr        string  `long:"addr" required:"true" description:"listener for requests (IP:port)"`
	Control     string  `long:"control" required:"true" description:"listener for control: GET /counts, PUT /mode"`
	Egress      string  `long:"egress" required:"true" description:"base URL of the node's egress listener"`
	Deployment  string  `long:"deployment" default:"drooglog" description:"example deployment that names the routes"`
	Service     string  `long:"service" required:"true" description:"service of the deployment"`
	Slots       int     `long:"slots" default:"10" description:"maximum number of requests that run simultaneously"`
	Connections int     `long:"connections" default:"500" description:"maximum number of open connections"`
	Scale       float64 `long:"scale" default:"1" description:"factor applied to all service times"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	routes := upstream.Routes(c.Deployment, c.Service)
	if len(routes) == 0 {
		return fmt.Errorf("deployment %q has no service %q", c.Deployment, c.Service)
	}
	if c.Slots < 1 || c.Connections < 1 || c.Scale <= 0 {
		return errors.New("slots, connections and scale must be positive")
	}
	u := upstream.New(upstream.Config{
		Service:     c.Service,
		Slots:       c.Slots,
		Connections: c.Connections,
		Egress:      c.Egress,
		Scale:       c.Scale,
		Routes:      routes,
	})
	defer u.Close()
	requests, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		return errors.Join(err, requests.Close())
	}
	fmt.Println("ready", requests.Addr(), control.Addr())
	return serve(c.ctx, map[net.Listener]http.Handler{
		upstream.LimitListener(requests, c.Connections): u,
		control: u.Control(),
	})
}

// serve runs HTTP servers until ctx is cancelled or one of them fails.
func serve(ctx context.Context, handlers map[net.Listener]http.Handler) error {
	failed := make(chan error, len(handlers))
	var servers []*http.Server
	for lis, handler := range handlers {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: stopTimeout}
		servers = append(servers, server)
		go func() { failed <- server.Serve(lis) }()
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(stop))
	}
	return err
}
