package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"toucangw.example/core/gossip/gossiptest"
	"toucangw.example/standin/platform"
)

const (
	processNodes     = 13
	processZones     = 3
	listenersPerNode = 4 // callers, peers, egress, operator
	settleTime       = 8 * time.Second
	measureTime      = 16 * time.Second
	// The ports lie below the range of ephemeral ports, so that no outgoing
	// connection takes one of them before its node listens.
	firstPort = 22_000
	lastPort  = 30_000
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
)

// processSizes are the numbers of services that Processes measures.
var processSizes = []int{50, 200, 400, 650}

// Processes measures processor time and resident memory of real node processes
// on loopback that handle no calls, without changes and at the target rate of
// changes. bin is the directory of toucangwd. It takes about four minutes.
func Processes(ctx context.Context, bin string) ([]Row, error) {
	var all []*series
	for _, rate := range []struct {
		variant  string
		interval time.Duration
	}{
		{"at rest", 0},
		{"18,000 changes a day", secondsPerChange * 1000 * time.Millisecond},
	} {
		cpu := &series{scenario: "node processes", variant: rate.variant, metric: "mean share of a core", unit: "%", per: "services"}
		worst := &series{scenario: "node processes", variant: rate.variant, metric: "worst share of a core", unit: "%", per: "services"}
		memory := &series{scenario: "node processes", variant: rate.variant, metric: "worst resident memory", unit: "MB", per: "services"}
		for _, services := range processSizes {
			used, err := observeProcesses(ctx, bin, services, rate.interval)
			if err != nil {
				return nil, fmt.Errorf("processes with %d services: %w", services, err)
			}
			cpu.add(float64(services), used.meanCPU)
			worst.add(float64(services), used.worstCPU)
			memory.add(float64(services), used.worstMB)
		}
		all = append(all, cpu, worst, memory)
	}
	return flatten(all...), nil
}

// usage is the share of a core in percent and the resident memory in megabytes
// that a set of processes used.
type usage struct{ meanCPU, worstCPU, worstMB float64 }

// observeProcesses runs nodes with a base of the given number of services and
// publishes a change each interval, or none if the interval is zero.
func observeProcesses(ctx context.Context, bin string, services int, interval time.Duration) (usage, error) {
	dir, err := os.MkdirTemp("", "toucangw-control-")
	if err != nil {
		return usage{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	published := filepath.Join(dir, "published")
	files, nodes, err := generateFiles(dir, services)
	if err != nil {
		return usage{}, err
	}
	if err := writeAll(published, files); err != nil {
		return usage{}, err
	}
	source, err := platform.New(platform.Config{Dir: published})
	if err != nil {
		return usage{}, err
	}
	server := httptest.NewServer(source.Handler())
	defer server.Close()
	scanCtx, stopScan := context.WithCancel(ctx)
	defer stopScan()
	go source.Run(scanCtx, func(error) {})
	processes, err := startNodes(bin, dir, nodes, server.Listener.Addr().String())
	defer stopNodes(processes)
	if err != nil {
		return usage{}, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return usage{}, err
	}
	first, err := activeRevision(ctx, nodes[0].operator)
	if err != nil {
		return usage{}, err
	}
	used, err := measureUsage(ctx, processes, func(version int) error {
		return writeAll(published, map[string]string{"base.toml": string(baseFile(services, version))})
	}, interval)
	if err != nil {
		return usage{}, err
	}
	last, err := activeRevision(ctx, nodes[0].operator)
	if err == nil && (first == 0 || interval > 0 && last <= first) {
		err = fmt.Errorf("active revision went from %d to %d: the published changes did not arrive", first, last)
	}
	return used, err
}

// activeRevision returns the active configuration revision of a node.
func activeRevision(ctx context.Context, operator string) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/v1/status", nil)
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Revision uint64 `json:"revision"`
	}
	return status.Revision, json.NewDecoder(resp.Body).Decode(&status)
}

// nodeFile is the settings file of one node, without the platform section.
type nodeFile struct{ path, operator, text string }

// generateFiles returns the files to publish and the settings of the nodes.
func generateFiles(dir string, services int) (map[string]string, []nodeFile, error) {
	type host struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	hosts := map[string][]host{}
	var nodes []nodeFile
	port := firstPort
	for i := range processNodes {
		addrs, next, err := freeAddrs(listenersPerNode, port)
		port = next
		if err != nil {
			return nil, nil, err
		}
		zone := gossiptest.ZoneName(i % processZones)
		id := fmt.Sprintf("host-%d", i)
		hosts[zone] = append(hosts[zone], host{ID: id, Addr: addrs[1], Service: "service-000", Status: "live"})
		text := fmt.Sprintf("[host]\nid = %q\nregion = \"region-1\"\nzone = %q\n\n[listen]\ncallers = %q\npeers = %q\negress = %q\noperator = %q\n\n",
			id, zone, addrs[0], addrs[1], addrs[2], addrs[3])
		nodes = append(nodes, nodeFile{path: filepath.Join(dir, id+".toml"), operator: addrs[3], text: text})
	}
	files := map[string]string{"base.toml": string(baseFile(services, 0))}
	for zone, list := range hosts {
		body, err := json.Marshal(map[string]any{"zone": zone, "region": "region-1", "hosts": list})
		if err != nil {
			return nil, nil, err
		}
		files["hosts/"+zone+".json"] = string(body)
	}
	return files, nodes, nil
}

// freeAddrs returns the first n loopback addresses from port on that are free
// now, and the port after them.
func freeAddrs(n, port int) ([]string, int, error) {
	var out []string
	for ; len(out) < n; port++ {
		if port > lastPort {
			return nil, port, errors.New("no free ports")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, port, err
		}
		out = append(out, addr)
	}
	return out, port, nil
}

// writeAll writes files atomically, so that a reader never sees a truncated one.
func writeAll(dir string, files map[string]string) error {
	for name, body := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path+".new", []byte(body), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}

func startNodes(bin, dir string, nodes []nodeFile, platformAddr string) ([]*exec.Cmd, error) {
	var processes []*exec.Cmd
	for _, n := range nodes {
		text := n.text + fmt.Sprintf("[platform]\naddresses = [%q]\n", platformAddr)
		if err := os.WriteFile(n.path, []byte(text), 0o600); err != nil {
			return processes, err
		}
		cmd := exec.Command(filepath.Join(bin, "toucangwd"), "-c", n.path)
		cmd.Dir = dir
		if err := cmd.Start(); err != nil {
			return processes, fmt.Errorf("start node: %w", err)
		}
		processes = append(processes, cmd)
	}
	return processes, nil
}

func stopNodes(processes []*exec.Cmd) {
	for _, cmd := range processes {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range processes {
		_ = cmd.Wait()
	}
}

// measureUsage calls change each interval, or never if the interval is zero, and
// returns what the processes used.
func measureUsage(ctx context.Context, processes []*exec.Cmd, change func(version int) error, interval time.Duration) (usage, error) {
	before := make([]time.Duration, len(processes))
	for i, cmd := range processes {
		var err error
		if before[i], err = processTime(cmd.Process.Pid); err != nil {
			return usage{}, err
		}
	}
	start := time.Now()
	for version := 1; time.Since(start) < measureTime; version++ {
		wait := measureTime
		if interval > 0 {
			wait = interval
			if err := change(version); err != nil {
				return usage{}, err
			}
		}
		if err := sleep(ctx, wait); err != nil {
			return usage{}, err
		}
	}
	elapsed := time.Since(start)
	var used usage
	for i, cmd := range processes {
		after, err := processTime(cmd.Process.Pid)
		if err != nil {
			return usage{}, err
		}
		share := 100 * float64(after-before[i]) / float64(elapsed)
		used.meanCPU += share / float64(len(processes))
		used.worstCPU = max(used.worstCPU, share)
		mb, err := residentMB(cmd.Process.Pid)
		if err != nil {
			return usage{}, err
		}
		used.worstMB = max(used.worstMB, mb)
	}
	return used, nil
}

// processTime returns the processor time that a process has used.
func processTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field, the process name in parentheses, may contain spaces.
	// User and system time are fields 14 and 15.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, errors.New("unexpected format of /proc/PID/stat")
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errors.Join(err1, err2)
}

func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024 / 1e6, err
		}
	}
	return 0, errors.New("no VmRSS line in /proc/PID/status")
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
