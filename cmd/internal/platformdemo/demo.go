// Package platformdemo runs a sequence of phases on a stand-in of the users'
// platform: real toucangw-gateway processes in front of stand-ins of upstreams, with a
// planned stop, a killed node, a store outage and a surge.
package platformdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"toucangw.example/standin/metastore"
	"toucangw.example/standin/site"
)

// Config describes a run.
type Config struct {
	// Daemon is the path of toucangw-gateway, Template that of the template of its
	// settings.
	Daemon, Template string
	// Dir is the directory for settings and logs. It must exist.
	Dir string
	// Progress receives a line at the start of each phase.
	Progress io.Writer
}

// Phase counts the attempts of one phase by result, as callers saw it.
type Phase struct {
	Name     string  `json:"name"`
	Attempts int     `json:"attempts"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50MS    float64 `json:"p50_ms"` // of answered attempts
	P99MS    float64 `json:"p99_ms"`
}

// Report is the result of a run.
type Report struct {
	Phases []Phase `json:"phases"`
	// Broken describes each violation of a guarantee.
	Broken []string `json:"broken"`
}

const (
	phaseLength  = 3 * time.Second
	gracePeriod  = 6 * time.Second
	deadline     = 1500 * time.Millisecond
	calmClients  = 3                     // per node in all phases but the surge
	surgeClients = 40                    // per node in the surge
	sendInterval = 10 * time.Millisecond // between two requests of a client
	readyTimeout = 15 * time.Second
)

// routes returns the routes of the demo.
func routes() []site.Route {
	return []site.Route{
		{Prefix: site.AtMostOncePrefix, Kind: "unsafe", Service: "ledger", Priority: 0, Timeout: deadline},
		{Prefix: "/read/", Kind: "safe", Service: "batchlog", Priority: 1, Timeout: deadline},
		{Prefix: "/entry/", Kind: "safe", Service: "ledger", Priority: 1, Timeout: deadline},
	}
}

// Run runs all phases. An error means that the demo could not be run; violated
// guarantees are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := site.Start(ctx, site.Config{
		Daemon: cfg.Daemon, Template: cfg.Template, Dir: cfg.Dir, Block: os.Getpid() % 250, Grace: gracePeriod,
		Services: []site.Service{
			{Name: "batchlog", Hosts: 3, Slots: 8, ServiceTime: 20 * time.Millisecond, Calls: "/entry/x"},
			{Name: "ledger", Hosts: 3, Slots: 8, ServiceTime: 20 * time.Millisecond},
		},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.Configure(1, routes()); err != nil {
		return nil, err
	}
	ready, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := s.AwaitReady(ready); err != nil {
		return nil, fmt.Errorf("%w; logs are in %s", err, cfg.Dir)
	}
	d := &demo{site: s, progress: cfg.Progress, report: &Report{}}
	if err := d.runPhases(ctx); err != nil {
		return nil, err
	}
	d.report.Broken = append(d.report.Broken, s.Violations(d.attempts)...)
	return d.report, nil
}

// demo is the state of one run.
type demo struct {
	site     *site.Site
	progress io.Writer
	report   *Report
	requests atomic.Uint64 // sent so far, for request ids

	mu       sync.Mutex
	attempts []site.Attempt
}

func (d *demo) runPhases(ctx context.Context) error {
	hosts := d.site.Hosts
	phases := []struct {
		name    string
		clients int
		inject  func()
	}{
		{"calm", calmClients, func() {}},
		{"planned stop of a node", calmClients, func() { d.restart(hosts[3], syscall.SIGTERM) }},
		{"a node is killed", calmClients, func() { d.restart(hosts[4], syscall.SIGKILL) }},
		{"the store is away", calmClients, func() {
			d.site.Store.SetFaults(metastore.Faults{Unresponsive: true})
			time.Sleep(phaseLength / 2)
			d.site.Store.SetFaults(metastore.Faults{})
		}},
		{"surge", surgeClients, func() {}},
		{"calm again", calmClients, func() {}},
	}
	for _, p := range phases {
		if _, err := fmt.Fprintln(d.progress, "playing:", p.name); err != nil {
			return err
		}
		var injection sync.WaitGroup
		injection.Go(p.inject)
		d.load(ctx, p.name, p.clients)
		injection.Wait()
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	return nil
}

// restart stops a node with a signal and starts it again.
func (d *demo) restart(h *site.Host, sig syscall.Signal) {
	code, err := h.Restart(sig)
	if err != nil {
		d.broken("%s: %v", h.Name, err)
	}
	if sig == syscall.SIGTERM && code != 0 {
		d.broken("%s exited with code %d after a planned stop", h.Name, code)
	}
}

// broken records the violation of a guarantee.
func (d *demo) broken(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Broken = append(d.report.Broken, fmt.Sprintf(format, args...))
}

// load runs clients against all nodes for the length of a phase and adds the
// phase to the report.
func (d *demo) load(ctx context.Context, name string, clients int) {
	ctx, cancel := context.WithTimeout(ctx, phaseLength)
	defer cancel()
	var loops sync.WaitGroup
	first := len(d.attempts)
	for _, h := range d.site.Hosts {
		for i := range clients {
			loops.Go(func() { d.client(ctx, h, i) })
		}
	}
	loops.Wait()
	d.report.Phases = append(d.report.Phases, summarize(name, d.attempts[first:]))
}

// client sends requests to a node while it is ready, as clients of the platform
// do.
func (d *demo) client(ctx context.Context, h *site.Host, i int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	paths := []string{"/read/x", site.AtMostOncePrefix + "x", "/entry/x"}
	for ; ctx.Err() == nil; i++ {
		time.Sleep(sendInterval)
		if !h.Ready(ctx) {
			continue
		}
		a := h.Send(transport, site.Request{
			ID: fmt.Sprintf("demo-%d", d.requests.Add(1)), Path: paths[i%len(paths)], Deadline: deadline,
		})
		d.mu.Lock()
		d.attempts = append(d.attempts, a)
		d.mu.Unlock()
	}
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "phase\tattempts\tanswered\trefused\tfailed\tp50 ms\tp99 ms\t")
	for _, p := range r.Phases {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t\n", p.Name, p.Attempts, p.Answered, p.Refused, p.Failed, p.P50MS, p.P99MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintln(w, "BROKEN:", b); err != nil {
			return err
		}
	}
	return nil
}
