package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"toucangw.example/standin/backend"
	"toucangw.example/standin/relay"
)

// Host is one upstream and the node beside it. Other processes reach both
// through relays at an address of their own.
type Host struct {
	Name    string
	Zone    string
	Service Service
	IP      string // of the node and its upstream
	// PeerRelay carries the connections of other nodes; UpstreamRelay those of the
	// node to its upstream.
	PeerRelay, UpstreamRelay *relay.Relay

	site     *Site
	ctx      context.Context
	front    string // address of the relays
	server   *http.Server
	back     atomic.Pointer[backend.Backend]
	calls    *http.Client
	settings string

	// restarting is held from the signal that ends a process to the start of
	// the next one.
	restarting sync.Mutex

	mu    sync.Mutex
	past  []*backend.Backend
	id    string // of the upstream's lifetime
	cmd   *exec.Cmd
	began time.Time
	ended chan struct{}
	code  int
}

func (s *Site) newHost(ctx context.Context, service Service, zone string) (*Host, error) {
	n := len(s.Hosts) + 1
	h := &Host{
		Name: fmt.Sprintf("node-%d", n), Zone: zone, Service: service, site: s, ctx: ctx,
		IP: fmt.Sprintf("127.90.%d.%d", s.cfg.Block, n), front: fmt.Sprintf("127.91.%d.%d", s.cfg.Block, n),
		calls: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: service.Slots}},
	}
	if err := h.open(); err != nil {
		h.close()
		return nil, fmt.Errorf("%s: %w", h.Name, err)
	}
	return h, nil
}

// open starts the relays, the upstream and the node.
func (h *Host) open() error {
	var err error
	if h.PeerRelay, err = relay.Listen(address(h.front, peersPort), address(h.IP, peersPort)); err != nil {
		return err
	}
	if h.UpstreamRelay, err = relay.Listen(address(h.front, upstreamPort), address(h.IP, upstreamPort)); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", address(h.IP, upstreamPort))
	if err != nil {
		return err
	}
	h.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.back.Load().ServeHTTP(w, r) }),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = h.server.Serve(lis) }()
	h.ReplaceUpstream()
	if h.settings, err = h.site.settings(h); err != nil {
		return err
	}
	return h.Start()
}

// ReplaceUpstream begins a new lifetime of the upstream; the earlier one is gone.
func (h *Host) ReplaceUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != "" {
		h.site.Store.Delete("servers/" + h.id)
	}
	h.id = fmt.Sprintf("%s-%d", h.Name, len(h.past))
	b := backend.New(backend.Config{ID: h.id, Slots: h.Service.Slots, ServiceTime: h.Service.ServiceTime, Call: h.call()})
	h.past = append(h.past, b)
	h.back.Store(b)
	h.register("ready")
}

// DrainUpstream lets the upstream say that it leaves.
func (h *Host) DrainUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register("draining")
}

func (h *Host) register(state string) {
	h.site.Store.Put("servers/"+h.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining":"0ms","sequence-number":1,"born":%d}`,
		h.Service.Name, address(h.front, upstreamPort), h.Zone, h.Service.Slots, state, h.site.born+int64(len(h.past))))
}

var callNumber atomic.Uint64

// call returns the call that each request of the upstream makes.
func (h *Host) call() func(context.Context, time.Time) error {
	if h.Service.Calls == "" {
		return nil
	}
	return func(ctx context.Context, deadline time.Time) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ClientAddr()+h.Service.Calls, nil)
		if err != nil {
			return err
		}
		r.Host = VirtualHost
		r.Header.Set("Request-Id", fmt.Sprintf("call-%s-%d", h.Name, callNumber.Add(1)))
		r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		response, err := h.calls.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("call: status %d", response.StatusCode)
		}
		return nil
	}
}

func (h *Host) lifetimes() []*backend.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*backend.Backend(nil), h.past...)
}

// ClientAddr is the address for clients.
func (h *Host) ClientAddr() string { return address(h.IP, callersPort) }

// MetricsAddr is the address of the node's metrics.
func (h *Host) MetricsAddr() string { return address(h.IP, metricsPort) }

// LogPath is the file with the output of the node's processes.
func (h *Host) LogPath() string { return filepath.Join(h.site.cfg.Dir, h.Name+".log") }

// Start runs the node.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.CommandContext(h.ctx, h.site.cfg.Daemon, "--mode", "gateway", "-c", h.settings) //nolint:gosec // the caller's program
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.began, h.ended = cmd, time.Now(), ended
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		h.code = cmd.ProcessState.ExitCode()
		h.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the node.
func (h *Host) Signal(sig syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return errStopped
	default:
		return h.cmd.Process.Signal(sig)
	}
}

// Restart ends the node with a signal, waits for its end and starts it again.
// It returns the exit code. Overlapping restarts follow each other.
func (h *Host) Restart(sig syscall.Signal) (code int, err error) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	// A process that has not taken over its signals ends at once, without an
	// exit code of its own.
	h.mu.Lock()
	began := h.began
	h.mu.Unlock()
	time.Sleep(time.Until(began.Add(startTime)))
	if err := h.Signal(sig); err != nil {
		return 0, err
	}
	code = h.Wait()
	return code, h.Start()
}

// Wait waits for the end of the node and returns its exit code.
func (h *Host) Wait() int {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.code
}

// Ready asks the node whether it takes requests.
func (h *Host) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(h.IP, readinessPort)+"/api/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

const (
	// startTime is the time in which a process takes over its signals.
	startTime    = 300 * time.Millisecond
	readyTimeout = 500 * time.Millisecond
	readyCheck   = 20 * time.Millisecond
)

// AwaitReady waits until the node takes requests.
func (h *Host) AwaitReady(ctx context.Context) error {
	for !h.Ready(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", h.Name, ctx.Err())
		case <-time.After(readyCheck):
		}
	}
	return nil
}

// close ends the node and its upstream, as far as they were started.
func (h *Host) close() {
	if h.cmd != nil {
		_ = h.Signal(syscall.SIGCONT)
		_ = h.Signal(syscall.SIGKILL)
		h.Wait()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
	for _, r := range []*relay.Relay{h.PeerRelay, h.UpstreamRelay} {
		if r != nil {
			r.Close()
		}
	}
}
