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

// process is a child process, ended by its id.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // set when done is closed
}

// start runs a program with its output in a log file.
func start(dir, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// Thirty processes share the machine; each needs little parallelism.
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

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// wait returns the exit error of the process, which is killed after a while.
func (p *process) wait() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not end within %v", p.name, stopTimeout)
	}
}

// failed returns an error if the process has ended.
func (p *process) failed() error {
	select {
	case <-p.done:
		return fmt.Errorf("%s ended unexpectedly (%s); see %s", p.name, p.cmd.ProcessState, p.log.Name())
	default:
		return nil
	}
}

// output runs a program to its end and returns its standard output.
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

// Ports for the children are below the ports that systems give to outgoing
// connections, which could otherwise take one before a child listens on it.
const (
	firstPort = 20000
	lastPort  = 30000
)

// freePorts returns loopback addresses that are free at the moment.
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

// until polls a condition.
func until(ctx context.Context, limit time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
