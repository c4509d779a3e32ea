package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	stopTimeout  = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a child process with its log file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // set when done is closed
}

// startProcess starts a program whose output goes to a log file.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// Thirty processes share the machine, and each needs little parallelism.
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal unless the process has exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// wait waits until the process exits and returns its exit error. After
// stopTimeout it kills the process.
func (p *process) wait() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not exit within %v", p.name, stopTimeout)
	}
}

// checkRunning returns an error if the process has exited.
func (p *process) checkRunning() error {
	select {
	case <-p.done:
		return fmt.Errorf("%s exited unexpectedly (%s); see %s", p.name, p.cmd.ProcessState, p.log.Name())
	default:
		return nil
	}
}

// output runs a program until it exits and returns its standard output.
func output(ctx context.Context, program string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = stopTimeout
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %s", filepath.Base(program), err, stderr.String())
	}
	return out, nil
}

// Ports for child processes are below the range from which systems choose ports
// of outgoing connections. Otherwise such a connection could take a port before
// the child listens on it.
const (
	firstPort = 20000
	lastPort  = 30000
)

// freePorts returns n loopback addresses whose ports are currently free.
func freePorts(n int) ([]string, error) {
	var addrs []string
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if len(addrs) == n {
			return addrs, nil
		}
		port++
		if port == lastPort {
			port = firstPort
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := lis.Close(); err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return nil, fmt.Errorf("no %d free ports between %d and %d", n, firstPort, lastPort)
}

// waitUntil polls a condition until it is met or the timeout has passed.
func waitUntil(ctx context.Context, timeout time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met within %v", what, timeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
