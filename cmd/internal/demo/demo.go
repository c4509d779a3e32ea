// Package demo runs the Antwerp example deployment on one machine: real nodes
// and stand-ins are child processes that communicate over loopback. It applies
// steady load, a surge, faults and a configuration change, checks the promises
// that toucangw makes, and reports measurements.
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
	KeepLogs bool   // keep the working directory, which holds the logs
	Progress io.Writer
	Seed     uint64
}

// Load and bounds of the phases.
const (
	// The bottleneck (batchlog) has a capacity of about 420 requests per second.
	steadyRate = 200.0
	surgeRate  = 1200.0
	// slowFactor makes the deepest service the bottleneck of the whole call tree.
	slowFactor = 6
	// leaveLimit and configLimit are the targets of docs/design.md, 1.6.
	leaveLimit  = 3 * time.Second
	configLimit = 8 * time.Second
)

// run is one run of the demo.
type run struct {
	cfg        Config
	deployment *deployment
	report     *Report
	started    time.Time
}

// Run runs the demo. An error means that it could not be run; broken promises
// are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "toucangw-demo-")
	if err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, report: &Report{}, started: time.Now()}
	r.deployment, err = newDeployment(dir, cfg.Bin, cfg.Examples)
	if err == nil {
		err = r.runPhases(ctx)
		err = errors.Join(err, r.deployment.stop())
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

func (r *run) runPhases(ctx context.Context) error {
	r.progress("starting platform, %d upstreams and %d nodes", len(r.deployment.hosts), len(r.deployment.hosts))
	if err := r.deployment.start(ctx); err != nil {
		return err
	}
	if err := r.deployment.checkRunning(); err != nil {
		return err
	}
	r.progress("all nodes have a configuration in force and know all hosts")
	for _, phase := range []func(context.Context) error{
		r.coldStart, r.steady, r.surge, r.recovery, r.slowDeep, r.stall, r.plannedStop, r.changeConfig, r.checkRuns,
	} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// load runs the caller stand-in for one phase and records its result.
func (r *run) load(ctx context.Context, name string, rate float64, length time.Duration) error {
	args := []string{
		"caller", "--rate", fmt.Sprint(rate), "--duration", length.String(),
		"--prefix", strings.ReplaceAll(name, " ", "-"), "--seed", fmt.Sprint(r.cfg.Seed),
	}
	for _, h := range r.deployment.hosts {
		args = append(args, "--node", "http://"+h.callers)
	}
	out, err := output(ctx, r.deployment.program("standin"), args...)
	if err != nil {
		return err
	}
	var result caller.Result
	if err := json.Unmarshal(out, &result); err != nil {
		return fmt.Errorf("decode result of the caller stand-in: %w", err)
	}
	phase := newPhase(name, rate, length, &result)
	r.report.add(phase, &result)
	r.progress("%s", phase.summary())
	return nil
}

// coldStart applies light load while the upstreams ramp up to their full share
// of calls.
func (r *run) coldStart(ctx context.Context) error {
	r.progress("cold start: %.0f requests per second", steadyRate/2)
	return r.load(ctx, "cold start", steadyRate/2, 5*time.Second)
}

func (r *run) steady(ctx context.Context) error {
	r.progress("steady load: %.0f requests per second", steadyRate)
	return r.load(ctx, "steady", steadyRate, 4*time.Second)
}

func (r *run) surge(ctx context.Context) error {
	r.progress("surge: %.0f requests per second, each retried up to twice", surgeRate)
	return r.load(ctx, "surge", surgeRate, 8*time.Second)
}

func (r *run) recovery(ctx context.Context) error {
	r.progress("after the surge: steady load again")
	return r.load(ctx, "recovery", steadyRate, 3*time.Second)
}

func (r *run) slowDeep(ctx context.Context) error {
	r.progress("slow deep service: quality takes %d times as long", slowFactor)
	if err := r.deployment.setMode("quality", upstream.Mode{Slow: slowFactor}); err != nil {
		return err
	}
	if err := r.load(ctx, "slow", steadyRate, 6*time.Second); err != nil {
		return err
	}
	return r.deployment.setMode("quality", upstream.Mode{})
}

// during applies a steady load and, after a delay, runs f concurrently.
func (r *run) during(ctx context.Context, name string, length, delay time.Duration, f func() error) error {
	done := make(chan error, 1)
	go func() {
		select {
		case <-time.After(delay):
			done <- f()
		case <-ctx.Done():
			done <- ctx.Err()
		}
	}()
	err := r.load(ctx, name, steadyRate, length)
	return errors.Join(err, <-done)
}

// stall discards all bytes on the open connections to one node.
func (r *run) stall(ctx context.Context) error {
	return r.during(ctx, "silent", 4*time.Second, time.Second, func() error {
		r.progress("all connections to the node of ledger-2 stall")
		r.deployment.relay.Blackhole()
		return nil
	})
}

// plannedStop stops a node with SIGTERM while it has in-flight calls.
func (r *run) plannedStop(ctx context.Context) error {
	h := r.deployment.host("batchlog-3")
	var signalled time.Time
	var exit error
	err := r.during(ctx, "leaving", 6*time.Second, time.Second, func() error {
		r.progress("planned stop of the node of %s", h.id)
		signalled = time.Now()
		h.node.signal(syscall.SIGTERM)
		exit = h.node.wait()
		r.progress("%s exited %.1f s after the signal", h.id, time.Since(signalled).Seconds())
		return nil
	})
	if err != nil {
		return err
	}
	r.report.promise("a planned stop ends with exit code 0", exit == nil, fmt.Sprint(exit))
	counts, err := r.deployment.counts(h)
	if err != nil {
		return err
	}
	after := counts.LastRun.Sub(signalled)
	r.report.LeavingLastRunSeconds = max(after.Seconds(), 0)
	r.report.promise("a leaving host gets no new work after 3 s", after <= leaveLimit,
		fmt.Sprintf("last run %.2f s after the signal", after.Seconds()))
	r.progress("last run on %s began %.2f s after the signal; starting a new node there", h.id, max(after.Seconds(), 0))
	return r.deployment.startNode(h, h.id+"-again")
}

// changeConfig publishes a new base and waits until it is active at every node.
func (r *run) changeConfig(ctx context.Context) error {
	if err := waitUntil(ctx, startTimeout, "restarted node ready", func() bool { return r.deployment.allNodes(r.deployment.ready) }); err != nil {
		return err
	}
	before, err := r.deployment.status(r.deployment.hosts[0])
	if err != nil {
		return err
	}
	r.progress("configuration change: a new caller; revision %d is in force", before.Revision)
	published := time.Now()
	if err := r.deployment.appendBase("\n[[caller]]\nname = \"dender\"\nshare = 1\n"); err != nil {
		return err
	}
	err = waitUntil(ctx, configLimit, "change in force", func() bool {
		return r.deployment.allNodes(func(h *host) bool {
			s, err := r.deployment.status(h)
			return err == nil && s.Revision > before.Revision
		})
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.report.ConfigSeconds = time.Since(published).Seconds()
	r.report.promise("a configuration change is in force everywhere within 8 s", err == nil, fmt.Sprint(err))
	r.progress("in force at all %d nodes after %.2f s", len(r.deployment.hosts), r.report.ConfigSeconds)
	return nil
}

// checkRuns compares the verdicts that callers received with the requests that
// the upstreams ran.
func (r *run) checkRuns(context.Context) error {
	executed := make(map[string]bool)
	doubleRuns := 0
	for _, h := range r.deployment.hosts {
		c, err := r.deployment.counts(h)
		if err != nil {
			return err
		}
		for id := range c.ByRequest {
			executed[id] = true
		}
		r.report.Runs += c.Runs
		doubleRuns += r.countDoubleRuns(h, c)
	}
	falseNotRun := 0
	for _, id := range r.report.notRun {
		if executed[id] {
			falseNotRun++
			r.progress("reported as not run, but ran: %s", id)
		}
	}
	r.report.DoubleRuns = doubleRuns
	r.report.FalseNotRun = falseNotRun
	r.report.promise("a once-only request runs at most once", doubleRuns == 0, fmt.Sprintf("%d ran twice", doubleRuns))
	r.report.promise("what is reported as not run did not run", falseNotRun == 0, fmt.Sprintf("%d did", falseNotRun))
	r.report.promise("every answer is complete and its own", r.report.Mismatched+r.report.Truncated == 0,
		fmt.Sprintf("%d mixed, %d cut", r.report.Mismatched, r.report.Truncated))
	return nil
}

// countDoubleRuns adds the runs at one host to the totals of their service and
// counts the at-most-once actions whose total then exceeds one.
func (r *run) countDoubleRuns(h *host, c upstream.Counts) int {
	doubleRuns := 0
	for action, n := range c.ByAction {
		total := r.report.countAction(h.service+" "+action, n)
		if total > 1 {
			doubleRuns++
			r.progress("ran %d times: %s at %s", total, action, h.id)
		}
	}
	return doubleRuns
}

// DefaultBin returns the directory of the running program, which also holds
// toucangwd and standin.
func DefaultBin() (string, error) {
	program, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(program), nil
}
