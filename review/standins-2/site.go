package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the log of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Line adds a line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Print adds a line and also writes it to standard output.
func (r *Record) Print(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Ports of all hosts of a site. The metrics port is that of deploy/node.toml.
type ports struct{ callers, peers, ready, backend int }

// Site is a small deployment: a store, backends and the node beside each.
type Site struct {
	Store *Store
	Rec   *Record
	Grace string
	dir   string
	block [2]int
	ports ports
	hosts []*Host
	// storeFor returns the address of the store for the n-th host; nil for the store's own.
	storeFor func(n int) string
}

// Host is one machine: a backend and its node.
type Host struct {
	site    *Site
	Name    string
	Service string
	IP      string
	Zone    string
	Backend *Backend
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// NewSite starts a store and chooses free loopback addresses.
func NewSite(rec *Record) (*Site, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-site-")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: store, Rec: rec, Grace: "6s", dir: dir, block: [2]int{20 + rand.IntN(200), rand.IntN(250)}}
	base := 20000 + rand.IntN(10000)
	s.ports = ports{callers: base, peers: base + 1, ready: base + 2, backend: base + 3}
	return s, nil
}

// Close ends all processes and removes the temporary folder.
func (s *Site) Close() {
	for _, h := range s.hosts {
		h.Signal(syscall.SIGCONT)
		h.Kill()
		if h.Backend != nil {
			h.Backend.Close()
		}
	}
	s.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// AddHost starts a backend of a service and the node beside it.
func (s *Site) AddHost(service, zone string, cfg BackendConfig) (*Host, error) {
	n := len(s.hosts) + 1
	h := &Host{site: s, Name: fmt.Sprintf("sidecar-%d", n), Service: service, Zone: zone, IP: fmt.Sprintf("127.%d.%d.%d", s.block[0], s.block[1], n)}
	s.hosts = append(s.hosts, h)
	cfg.Service, cfg.Zone, cfg.Address = service, zone, fmt.Sprintf("%s:%d", h.IP, s.ports.backend)
	if cfg.ID == "" {
		cfg.ID = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	b, err := NewBackend(cfg, s.Store, s.Rec)
	if err != nil {
		return nil, err
	}
	h.Backend = b
	return h, h.Start()
}

// storeAddress is the address at which a host finds the store.
func (s *Site) storeAddress(h *Host) string {
	for i, other := range s.hosts {
		if other == h && s.storeFor != nil {
			return s.storeFor(i + 1)
		}
	}
	return s.Store.Address
}

// Callers is the address for the clients of the host.
func (h *Host) Callers() string { return fmt.Sprintf("%s:%d", h.IP, h.site.ports.callers) }

// settings writes the settings file from the template of the deploy file.
func (h *Host) settings() (string, error) {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return "", err
	}
	p := h.site.ports
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }
	text := strings.NewReplacer(
		"{{node-name}}", h.Name, "{{zone}}", h.Zone, "{{service}}", h.Service,
		"{{listen-addresses.outbound}}", at(p.callers), "{{listen-addresses.inbound}}", at(p.peers),
		"{{listen-addresses.ready}}", at(p.ready), "{{ip-address}}", h.IP,
		"{{application-address}}", at(p.backend), "{{platform.address}}", h.site.storeAddress(h),
		"{{bounds.grace-period}}", h.site.Grace, "{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.budget-window}}", "10s", "{{bounds.retry-budget-slack}}", "47",
	).Replace(string(template))
	path := filepath.Join(h.site.dir, h.Name+".conf")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Start starts the node with the command of the deploy file.
func (h *Host) Start() error {
	path, err := h.settings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.site.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	program := "target/toucangw-gateway"
	if p := os.Getenv("GATEWAY"); p != "" {
		program = p // another build, for longbody
	}
	cmd := exec.Command(program, "-c", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANGW_SETTINGS=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.site.Rec.Line("node %s of %s started, process %d", h.Name, h.Service, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		h.site.Rec.Line("node %s, process %d, ended: %v", h.Name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the node.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// Kill ends the node at once.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// Exited is closed when the node has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// Ready reports whether the node answers the platform's question with 200.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/api/readiness", h.IP, h.site.ports.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready, and a little longer, so that each has
// read all entries.
func (s *Site) AwaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for !h.Ready() {
			if time.Now().After(deadline) {
				return errors.New("node " + h.Name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // the stability window, too
	return nil
}

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	Timeout, Target       string
	Priority              int
}

// VirtualHost is the host of all routes.
const VirtualHost = "hulo84.example"

// Configure writes a configuration.
func (s *Site) Configure(version int, routes []Route, changes map[string]any) {
	services := map[string]bool{}
	var rules, list []any
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "path-prefix": r.Prefix, "kind": r.Kind, "timeout": r.Timeout, "target-latency": r.Target,
			"priority": r.Priority, "service": r.Service, "max-attempts": 2,
		})
		if !services[r.Service] {
			services[r.Service] = true
			list = append(list, map[string]any{"name": r.Service, "health-check-path": "/health", "max-connections": 646, "protocol": "h1", "tls": false})
		}
	}
	limits := map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"}
	for k, v := range changes {
		limits[k] = v
	}
	doc, _ := json.Marshal(map[string]any{
		"version": version, "services": list, "limits": limits, "base-version": version - 1,
		"virtual-hosts": []any{map[string]any{"host": VirtualHost, "path-rules": rules}},
	})
	s.Store.Put("op/config", doc)
}

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// dial opens a connection.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", method, path, VirtualHost, id, deadline.Milliseconds())
	if length > 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}
