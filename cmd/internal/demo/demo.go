// Package demo runs the main job of toucangw on one machine: the Antwerp
// deployment with real nodes and stand-ins as child processes on loopback,
// through load, surge, faults and a configuration change. It checks the
// promises that toucangw makes and reports figures.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"toucangw.example/standin/caller"
	"toucangw.example/standin/upstream"
)

// Config describes a run.
type Config struct {
	Bin      string // directory of toucangwd and standin
	Examples string // directory of the drooglog example
	KeepLogs bool   // leave the working directory behind
	Progress io.Writer
	Seed     uint64
}

// Load and bounds of the phases.
const (
	// The bottleneck (batchlog) bears about 420 requests a second.
	steadyRate = 200.0
	surgeRate  = 1200.0
	// slowFactor makes the deepest service the bottleneck of the whole tree.
	slowFactor = 6
	// leaveLimit and configLimit are the targets of docs/design.md, 1.6.
	leaveLimit  = 3 * time.Second
	configLimit = 8 * time.Second
)

// run is one run of the demo.
type run struct {
	cfg     Config
	fleet   *fleet
	report  *Report
	started time.Time
}

// Run runs the demo. An error means that it could not be carried out; broken
// promises are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "toucangw-demo-")
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, report: &Report{}, started: time.Now()}
	r.fleet, err = newFleet(dir, cfg.Bin, cfg.Examples)
	if err == nil {
		err = r.all(ctx)
		err = errors.Join(err, r.fleet.stop())
	}
	r.report.Seconds = time.Since(r.started).Seconds()
	if cfg.KeepLogs || err != nil {
		r.report.Logs = dir
		r.progress("logs are in %s", dir)
	} else {
		err = os.RemoveAll(dir)
	}
	return r.report, err
}

func (r *run) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.cfg.Progress, "%5.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) all(ctx context.Context) error {
	r.progress("starting platform, %d upstreams and %d nodes", len(r.fleet.hosts), len(r.fleet.hosts))
	if err := r.fleet.start(ctx); err != nil {
		return err
	}
	if err := r.fleet.anyEnded(); err != nil {
		return err
	}
	r.progress("all nodes have a configuration in force and know all hosts")
	for _, phase := range []func(context.Context) error{
		r.coldStart, r.steady, r.surge, r.recovery, r.slowDeep, r.silent, r.leave, r.change, r.checkRuns,
	} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// load runs the caller stand-in and records its result.
func (r *run) load(ctx context.Context, name string, rate float64, length time.Duration) error {
	args := []string{
		"caller", "--rate", fmt.Sprint(rate), "--duration", length.String(),
		"--prefix", strings.ReplaceAll(name, " ", "-"), "--seed", fmt.Sprint(r.cfg.Seed),
	}
	for _, h := range r.fleet.hosts {
		args = append(args, "--node", "http://"+h.callers)
	}
	out, err := output(ctx, r.fleet.program("standin"), args...)
	if err != nil {
		return err
	}
	var result caller.Result
	if err := json.Unmarshal(out, &result); err != nil {
		return fmt.Errorf("result of the callers: %w", err)
	}
	phase := newPhase(name, rate, length, &result)
	r.report.add(phase, &result)
	r.progress("%s", phase.line())
	return nil
}

// coldStart lets the upstreams ramp up to their full share.
func (r *run) coldStart(ctx context.Context) error {
	r.progress("cold start: %.0f requests a second", steadyRate/2)
	return r.load(ctx, "cold start", steadyRate/2, 5*time.Second)
}

func (r *run) steady(ctx context.Context) error {
	r.progress("steady load: %.0f requests a second", steadyRate)
	return r.load(ctx, "steady", steadyRate, 4*time.Second)
}

func (r *run) surge(ctx context.Context) error {
	r.progress("surge: %.0f requests a second, each repeated up to twice", surgeRate)
	return r.load(ctx, "surge", surgeRate, 8*time.Second)
}

func (r *run) recovery(ctx context.Context) error {
	r.progress("after the surge: steady load again")
	return r.load(ctx, "recovery", steadyRate, 3*time.Second)
}

func (r *run) slowDeep(ctx context.Context) error {
	r.progress("slow deep service: quality takes %d times as long", slowFactor)
	if err := r.fleet.setMode("quality", upstream.Mode{Slow: slowFactor}); err != nil {
		return err
	}
	if err := r.load(ctx, "slow", steadyRate, 6*time.Second); err != nil {
		return err
	}
	return r.fleet.setMode("quality", upstream.Mode{})
}

// during runs f after a delay, beside a load.
func (r *run) during(ctx context.Context, name string, length, delay time.Duration, f func() error) error {
	failed := make(chan error, 1)
	go func() {
		select {
		case <-time.After(delay):
			failed <- f()
		case <-ctx.Done():
			failed <- ctx.Err()
		}
	}()
	err := r.load(ctx, name, steadyRate, length)
	return errors.Join(err, <-failed)
}

func (r *run) silent(ctx context.Context) error {
	return r.during(ctx, "silent", 4*time.Second, time.Second, func() error {
		r.progress("all connections to the node of ledger-2 fall silent")
		r.fleet.relay.Blackhole()
		return nil
	})
}

// leave stops a node as planned while it has calls in flight.
func (r *run) leave(ctx context.Context) error {
	h := r.fleet.host("batchlog-3")
	var asked time.Time
	var exit error
	err := r.during(ctx, "leaving", 6*time.Second, time.Second, func() error {
		r.progress("planned stop of the node of %s", h.id)
		asked = time.Now()
		h.node.signal(syscall.SIGTERM)
		exit = h.node.wait()
		r.progress("%s ended %.1f s after the signal", h.id, time.Since(asked).Seconds())
		return nil
	})
	if err != nil {
		return err
	}
	r.report.promise("a planned stop ends with exit code 0", exit == nil, fmt.Sprint(exit))
	counts, err := r.fleet.counts(h)
	if err != nil {
		return err
	}
	after := counts.LastRun.Sub(asked)
	r.report.LeavingLastRunSeconds = max(after.Seconds(), 0)
	r.report.promise("a leaving host gets no new work after 3 s", after <= leaveLimit,
		fmt.Sprintf("last run %.2f s after the signal", after.Seconds()))
	r.progress("last run on %s began %.2f s after the signal; starting a new node there", h.id, max(after.Seconds(), 0))
	return r.fleet.startNode(h, h.id+"-again")
}

// change publishes a new base and waits until it is in force at every node.
func (r *run) change(ctx context.Context) error {
	if err := until(ctx, startTimeout, "restarted node ready", func() bool { return r.fleet.allNodes(r.fleet.ready) }); err != nil {
		return err
	}
	before, err := r.fleet.status(r.fleet.hosts[0])
	if err != nil {
		return err
	}
	r.progress("configuration change: a new customer; revision %d is in force", before.Revision)
	published := time.Now()
	if err := r.fleet.appendBase("\n[[caller]]\nname = \"dender\"\nshare = 1\n"); err != nil {
		return err
	}
	err = until(ctx, configLimit, "change in force", func() bool {
		return r.fleet.allNodes(func(h *host) bool {
			s, err := r.fleet.status(h)
			return err == nil && s.Revision > before.Revision
		})
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.report.ConfigSeconds = time.Since(published).Seconds()
	r.report.promise("a configuration change is in force everywhere within 8 s", err == nil, fmt.Sprint(err))
	r.progress("in force at all %d nodes after %.2f s", len(r.fleet.hosts), r.report.ConfigSeconds)
	return nil
}

// checkRuns compares what callers were told with what the upstreams ran.
func (r *run) checkRuns(context.Context) error {
	ran := make(map[string]bool)
	doubled := 0
	for _, h := range r.fleet.hosts {
		c, err := r.fleet.counts(h)
		if err != nil {
			return err
		}
		for id := range c.ByRequest {
			ran[id] = true
		}
		r.report.Runs += c.Runs
		doubled += r.countDoubled(h, c)
	}
	falseNotRun := 0
	for _, id := range r.report.notRun {
		if ran[id] {
			falseNotRun++
			r.progress("told not run, but ran: %s", id)
		}
	}
	r.report.Doubled = doubled
	r.report.FalseNotRun = falseNotRun
	r.report.promise("a once-only request runs at most once", doubled == 0, fmt.Sprintf("%d ran twice", doubled))
	r.report.promise("what is reported as not run did not run", falseNotRun == 0, fmt.Sprintf("%d did", falseNotRun))
	r.report.promise("every answer is complete and its own", r.report.Mixed+r.report.Cut == 0,
		fmt.Sprintf("%d mixed, %d cut", r.report.Mixed, r.report.Cut))
	return nil
}

// countDoubled counts the once-only actions that ran more than once over all
// upstreams of their service.
func (r *run) countDoubled(h *host, c upstream.Counts) int {
	doubled := 0
	for action, n := range c.ByAction {
		total := r.report.countAction(h.service+" "+action, n)
		if total > 1 {
			doubled++
			r.progress("ran %d times: %s at %s", total, action, h.id)
		}
	}
	return doubled
}

// DefaultBin returns the directory of the running program, where its siblings
// are.
func DefaultBin() (string, error) {
	program, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(program), nil
}
