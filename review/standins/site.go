package main

import (
	"bufio"
	"fmt"
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

// virtualHost is the Host header of all routes.
const virtualHost = "shop.example"

// Path prefixes of routes.
const (
	signoffRoute  = "/signoff/"
	downloadRoute = "/download/"
)

const (
	clientsPort   = 7801
	peersPort     = 7810
	readinessPort = 7802
	metricsPort   = 7621
	upstreamPort  = 9000
)

// record is the file record.txt of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	priority              int
}

// site is a small installation on loopback addresses: the store, the backends and
// the node processes.
type site struct {
	root   string // of the repository
	dir    string // temporary folder
	block  int    // second octet of the loopback addresses
	grace  time.Duration
	store  *store
	record *record
	hosts  []*host
	idle   string // idle-timeout of the configuration
}

// host is a backend with the node in front of it. Other processes reach the node's
// peer listener and the backend at entryIP, the node itself listens at ip.
type host struct {
	site             *site
	name, zone       string
	service          string
	ip, entryIP      string
	backend          *backend
	peers            *relay
	settings         string
	mu               sync.Mutex
	cmd              *exec.Cmd
	exited           chan struct{}
	started          time.Time
	born             int64
	sequence, slotsN int
}

func newSite(root string, rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	s := &site{root: root, dir: dir, grace: 6 * time.Second, store: st, record: rec, idle: "15000ms"}
	for block := 60 + os.Getpid()%100; ; block++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, peersPort))
		if err == nil {
			_ = lis.Close()
			s.block = block
			break
		}
		if block > 250 {
			return nil, fmt.Errorf("no free loopback block: %w", err)
		}
	}
	return s, nil
}

// add adds a host. Its node starts with start.
func (s *site) add(service string, slots int, work time.Duration) (*host, error) {
	n := len(s.hosts) + 1
	h := &host{
		site: s, name: fmt.Sprintf("node-%d", n), zone: fmt.Sprintf("zone-%c", 'a'+n%3), service: service,
		ip: fmt.Sprintf("127.%d.0.%d", s.block, n), entryIP: fmt.Sprintf("127.%d.1.%d", s.block, n),
		born: time.Now().UnixMilli(), slotsN: slots,
	}
	var err error
	id := fmt.Sprintf("i-%s-%d", service, n)
	if h.backend, err = newBackend(addr(h.entryIP, upstreamPort), id, service, slots, work, s.record); err != nil {
		return nil, err
	}
	if h.peers, err = newRelay(addr(h.entryIP, peersPort), addr(h.ip, peersPort)); err != nil {
		return nil, err
	}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	h.register("ready")
	s.hosts = append(s.hosts, h)
	return h, nil
}

func (h *host) register(state string) {
	h.sequence++
	h.site.store.put("servers/"+h.backend.id, map[string]any{
		"service": h.service, "address": addr(h.entryIP, upstreamPort), "zone": h.zone, "version": "v1",
		"slots": h.slotsN, "state": state, "cold-remaining": "0ms", "sequence-number": h.sequence, "born": h.born,
	})
}

func (h *host) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(h.site.root, "deploy/node.toml"))
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{node-name}}", h.name, "{{zone}}", h.zone, "{{service}}", h.service,
		"{{listen-addresses.outbound}}", addr(h.ip, clientsPort),
		"{{listen-addresses.inbound}}", addr(h.ip, peersPort),
		"{{listen-addresses.ready}}", addr(h.ip, readinessPort),
		"{{ip-address}}", h.ip,
		"{{application-address}}", addr(h.entryIP, upstreamPort),
		"{{platform.address}}", h.site.store.address,
		"{{bounds.grace-period}}", h.site.grace.String(),
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.budget-window}}", "10s", "{{bounds.retry-budget-slack}}", "47",
	).Replace(string(template))
	h.settings = filepath.Join(h.site.dir, h.name+".conf")
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// configure writes the operator's configuration into the store.
func (s *site) configure(version int, routes ...route) {
	services := map[string]bool{}
	for _, h := range s.hosts {
		services[h.service] = true
	}
	var list, rules []any
	for name := range services {
		list = append(list, map[string]any{"name": name, "health-check-path": "/health", "max-connections": 600})
	}
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": "r" + r.prefix, "path-prefix": r.prefix, "kind": r.kind, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"target-latency": "1500ms", "priority": r.priority, "service": r.service, "max-attempts": 2,
		})
	}
	s.store.put("op/config", map[string]any{
		"version": version, "services": list,
		"limits":        map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout": "3000ms", "idle-timeout": s.idle},
		"virtual-hosts": []any{map[string]any{"host": virtualHost, "path-rules": rules}},
	})
}

// start starts the node's process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.site.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(h.site.root, "target/toucangw-gateway"), "-c", h.settings)
	cmd.Dir = h.site.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.started = cmd, exited, time.Now()
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
	default:
		_ = h.cmd.Process.Signal(sig)
		h.site.record.line("signal   %s to the process of %s", sig, h.name)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) client() string { return addr(h.ip, clientsPort) }

// ready asks the node's readiness path as the platform does.
func (h *host) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + addr(h.ip, readinessPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range s.hosts {
			all = all && h.ready()
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the nodes aren't ready after 15 s")
		}
	}
}

func (s *site) close() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGCONT)
			h.kill()
		}
		h.backend.close()
		h.peers.close()
	}
	s.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
