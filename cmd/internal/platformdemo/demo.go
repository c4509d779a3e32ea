// Package platformdemo plays a short day on a stand-in of the users' platform:
// real daemons beside stand-ins of upstreams, with a planned stop, a killed
// node, a cut store and a surge.
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

// Config of a demo.
type Config struct {
	// Daemon and Template are the paths of toucangwd and of the template of its
	// settings.
	Daemon, Template string
	// Dir takes settings and logs. It must exist.
	Dir string
	// Progress is told what happens.
	Progress io.Writer
}

// Phase is what callers saw in one part of the day.
type Phase struct {
	Name     string  `json:"name"`
	Attempts int     `json:"attempts"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50MS    float64 `json:"p50_ms"` // of answered requests
	P99MS    float64 `json:"p99_ms"`
}

// Report is the result of a demo.
type Report struct {
	Phases []Phase `json:"phases"`
	// Broken names what must not happen and did.
	Broken []string `json:"broken"`
}

const (
	phaseLength = 3 * time.Second
	grace       = 6 * time.Second
	deadline    = 1500 * time.Millisecond
	clients     = 3  // of one node on a calm day
	surge       = 40 // of one node in the surge
	calmPause   = 10 * time.Millisecond
	readyWithin = 15 * time.Second
)

// routes of the demo; version names the configuration.
func routes() []site.Route {
	return []site.Route{
		{Prefix: site.AtMostOncePrefix, Kind: "unsafe", Service: "ledger", Priority: 0, Timeout: deadline},
		{Prefix: "/read/", Kind: "safe", Service: "batchlog", Priority: 1, Timeout: deadline},
		{Prefix: "/entry/", Kind: "safe", Service: "ledger", Priority: 1, Timeout: deadline},
	}
}

// Run plays the day.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := site.Start(ctx, site.Config{
		Daemon: cfg.Daemon, Template: cfg.Template, Dir: cfg.Dir, Block: os.Getpid() % 250, Grace: grace,
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
	ready, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	if err := s.AwaitReady(ready); err != nil {
		return nil, fmt.Errorf("%w; logs are in %s", err, cfg.Dir)
	}
	d := &day{site: s, progress: cfg.Progress, report: &Report{}}
	if err := d.play(ctx); err != nil {
		return nil, err
	}
	d.report.Broken = append(d.report.Broken, s.Violations(d.attempts)...)
	return d.report, nil
}

// day is a demo under way.
type day struct {
	site     *site.Site
	progress io.Writer
	report   *Report
	number   atomic.Uint64

	mu       sync.Mutex
	attempts []site.Attempt
}

func (d *day) play(ctx context.Context) error {
	hosts := d.site.Hosts
	phases := []struct {
		name    string
		clients int
		begin   func()
	}{
		{"calm", clients, func() {}},
		{"planned stop of a node", clients, func() { d.restart(hosts[3], syscall.SIGTERM) }},
		{"a node is killed", clients, func() { d.restart(hosts[4], syscall.SIGKILL) }},
		{"the store is away", clients, func() {
			d.site.Store.SetFaults(metastore.Faults{Unresponsive: true})
			time.Sleep(phaseLength / 2)
			d.site.Store.SetFaults(metastore.Faults{})
		}},
		{"surge", surge, func() {}},
		{"calm again", clients, func() {}},
	}
	for _, p := range phases {
		if _, err := fmt.Fprintln(d.progress, "playing:", p.name); err != nil {
			return err
		}
		var fault sync.WaitGroup
		fault.Go(p.begin)
		d.load(ctx, p.name, p.clients)
		fault.Wait()
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
	}
	return nil
}

// restart ends a node with a signal and starts it again.
func (d *day) restart(h *site.Host, sig syscall.Signal) {
	code, err := h.Restart(sig)
	if err != nil {
		d.broken("%s: %v", h.Name, err)
	}
	if sig == syscall.SIGTERM && code != 0 {
		d.broken("%s ended with code %d after a planned stop", h.Name, code)
	}
}

func (d *day) broken(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Broken = append(d.report.Broken, fmt.Sprintf(format, args...))
}

// load runs clients at all nodes for the length of a phase.
func (d *day) load(ctx context.Context, name string, clients int) {
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
	d.report.Phases = append(d.report.Phases, summary(name, d.attempts[first:]))
}

// client sends requests to a node that is ready, as the platform's do.
func (d *day) client(ctx context.Context, h *site.Host, i int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	paths := []string{"/read/x", site.AtMostOncePrefix + "x", "/entry/x"}
	for ; ctx.Err() == nil; i++ {
		time.Sleep(calmPause)
		if !h.Ready(ctx) {
			continue
		}
		a := h.Send(transport, site.Request{
			ID: fmt.Sprintf("demo-%d", d.number.Add(1)), Path: paths[i%len(paths)], Deadline: deadline,
		})
		d.mu.Lock()
		d.attempts = append(d.attempts, a)
		d.mu.Unlock()
	}
}

// Write prints the report.
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
