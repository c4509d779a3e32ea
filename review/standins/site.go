package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a loopback address with a node process and a server beside it.
type machine struct {
	name, ip, service   string
	server              *server
	outbound, ready     string
	settings, logPath   string
	root                string
	mu                  sync.Mutex
	cmd                 *exec.Cmd
	ended               chan struct{}
	inbound, app, store string
}

// site is a small deployment on loopback addresses, each run on others.
type site struct {
	root, dir string
	store     *store
	machines  []*machine
	record    *os.File
	began     time.Time
	net       string // first three bytes of the addresses
	ports     map[string]int
	version   uint64
}

const (
	zone     = "vl-a"
	services = 2
)

func newSite(root, caseDir string, staleLag time.Duration) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{root: root, dir: dir, record: record, began: time.Now(), ports: map[string]int{}}
	for range 20 {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.findPorts() == nil {
			break
		}
	}
	if len(s.ports) == 0 {
		return nil, errors.New("no free ports")
	}
	s.store, err = newStore(fmt.Sprintf("%s.250:%d", s.net, s.ports["store"]), staleLag)
	return s, err
}

// findPorts finds a port for each listener; each machine has an address of its own.
func (s *site) findPorts() error {
	for _, name := range []string{"outbound", "inbound", "ready", "app", "store"} {
		lis, err := net.Listen("tcp", s.net+".1:0")
		if err != nil {
			return err
		}
		defer func() { _ = lis.Close() }()
		s.ports[name] = lis.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// log writes a line to record.txt.
func (s *site) log(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// add starts a server and the node beside it.
func (s *site) add(service string, work func(*http.Request) time.Duration, body func(*http.Request) []byte) (*machine, error) {
	n := len(s.machines) + 1
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", s.net, n), service: service, root: s.root}
	at := func(name string) string { return fmt.Sprintf("%s:%d", m.ip, s.ports[name]) }
	m.outbound, m.inbound, m.ready, m.app, m.store = at("outbound"), at("inbound"), at("ready"), at("app"), s.store.address
	m.server = &server{service: service, address: m.app, zone: zone, store: s.store, work: work, body: body}
	m.settings, m.logPath = filepath.Join(s.dir, m.name+".toml"), filepath.Join(s.dir, m.name+".log")
	s.machines = append(s.machines, m)
	if err := m.server.start(); err != nil {
		return nil, err
	}
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	return m, m.startNode()
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// writeSettings fills deploy/node.toml as the platform does.
func (m *machine) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(m.root, "deploy", "node.toml"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node-name": m.name, "zone": zone, "service": m.service, "ip-address": m.ip,
		"listen-addresses.outbound": m.outbound, "listen-addresses.inbound": m.inbound, "listen-addresses.ready": m.ready,
		"application-address": m.app, "platform.address": m.store, "bounds.grace-period": "6s",
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-window": "10s", "bounds.retry-budget-slack": "47",
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		name := strings.Trim(p, "{}")
		v, ok := values[name]
		if !ok {
			missing = name
		}
		return v
	})
	if missing != "" {
		return fmt.Errorf("no value for %q", missing)
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// startNode runs the command of the deploy file.
func (m *machine) startNode() error {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.root, "target", "toucangw-gateway"), "-c", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.root, log, log
	// The node ends with this process, also if that one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// awaitListening waits until the node accepts connections of other nodes.
func (m *machine) awaitListening() error {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if nc, err := net.DialTimeout("tcp", m.inbound, time.Second); err == nil {
			return nc.Close()
		}
	}
	return fmt.Errorf("%s doesn't listen", m.name)
}

// signal sends a signal to the node.
func (m *machine) signal(sig os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(sig)
}

// stop ends the node, by SIGKILL after the grace period.
func (m *machine) stop(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
}

func (s *site) close() {
	for _, m := range s.machines {
		if m.cmd != nil {
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
		m.server.crash()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.record.Close()
}

type route struct{ name, prefix, kind, service, timeout string }

// configure writes a configuration into the store.
func (s *site) configure(routes ...route) {
	s.version++
	var names []string
	seen := map[string]bool{}
	var rules []map[string]any
	for _, r := range routes {
		if !seen[r.service] {
			seen[r.service] = true
			names = append(names, r.service)
		}
		rules = append(rules, map[string]any{
			"name": r.name, "path-prefix": r.prefix, "kind": r.kind, "timeout": r.timeout, "target-latency": "1500ms",
			"priority": 0, "service": r.service, "max-attempts": 2,
		})
	}
	var services []map[string]any
	for _, n := range names {
		services = append(services, map[string]any{"name": n, "health-check-path": "/health", "max-connections": 646})
	}
	s.store.put("op/config", map[string]any{
		"version": s.version, "services": services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms",
		},
		"virtual-hosts": []any{map[string]any{"host": host, "path-rules": rules}},
	})
}

const host = "h1.example"

// awaitReady waits until all nodes answer the readiness check with 200.
func (s *site) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range s.machines {
		for {
			response, err := http.Get("http://" + m.ready + "/api/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// conn is a kept connection of a client.
type conn struct {
	nc net.Conn
	br *bufio.Reader
}

// dial opens a connection of a client. A receive buffer of 0 is the system's.
func dial(address string, receiveBuffer int) (*conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	nc, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, br: bufio.NewReader(nc)}, nil
}

// send writes a request without waiting for its answer.
func (c *conn) send(method, path, id string, body string, limit time.Duration) error {
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c.nc, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n%s\r\n%s",
		method, path, host, id, limit.Milliseconds(), length, body)
	return err
}

// answer is what a client sees of a request.
type answer struct {
	status                         int
	id, signature, leaving, closes string
	length                         int
	err                            error
}

// read reads one answer to its end.
func (c *conn) read(limit time.Duration) answer {
	_ = c.nc.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, length: len(data), err: err}
	a.id, a.signature = response.Header.Get("Request-Id"), response.Header.Get("Response-Signature")
	a.leaving = response.Header.Get("Server-Leaving")
	if response.Close {
		a.closes = "close"
	}
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer: status %d, %d bytes, %v", a.status, a.length, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, signature %q %s", a.status, a.length, a.signature, a.closes)
}

// ask sends one request on a connection of its own and returns its answer.
func ask(m *machine, method, path, id string, limit time.Duration) answer {
	c, err := dial(m.outbound, 0)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.nc.Close() }()
	body := ""
	if method == http.MethodPost {
		body = "x"
	}
	if err := c.send(method, path, id, body, limit); err != nil {
		return answer{err: err}
	}
	return c.read(limit + time.Second)
}
