package site

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// Host is one upstream and the node in front of it. Other processes reach both
// through relays, which listen on a separate address.
type Host struct {
	Name    string
	Zone    string
	Service Service
	IP      string // IP address of the node and its upstream
	// PeerRelay forwards connections from other nodes to this one, UpstreamRelay
	// those from the node to its upstream.
	PeerRelay, UpstreamRelay *relay.Relay

	site     *Site
	ctx      context.Context
	relayIP  string // IP address of the relays
	server   *http.Server
	current  atomic.Pointer[backend.Backend]
	breaker  atomic.Pointer[answerBreaker] // nil while the upstream is well
	calls    *http.Client                  // for the calls that the upstream makes
	settings string

	// restarting is locked from the signal that stops a process until the next
	// process has been started.
	restarting sync.Mutex

	mu        sync.Mutex
	instances []*backend.Backend
	id        string // instance ID of the upstream
	crashed   bool   // by a request; the next instance has not started
	crashes   []Crash
	cmd       *exec.Cmd
	exited    chan struct{}
	exitCode  int
}

func (s *Site) newHost(ctx context.Context, service Service, zone string) (*Host, error) {
	n := len(s.Hosts) + 1
	h := &Host{
		Name: fmt.Sprintf("node-%d", n), Zone: zone, Service: service, site: s, ctx: ctx,
		IP: fmt.Sprintf("127.90.%d.%d", s.cfg.Block, n), relayIP: fmt.Sprintf("127.91.%d.%d", s.cfg.Block, n),
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
	if h.PeerRelay, err = relay.Listen(address(h.relayIP, peersPort), address(h.IP, peersPort)); err != nil {
		return err
	}
	if h.UpstreamRelay, err = relay.Listen(address(h.relayIP, upstreamPort), address(h.IP, upstreamPort)); err != nil {
		return err
	}
	lis, err := net.Listen("tcp", address(h.IP, upstreamPort))
	if err != nil {
		return err
	}
	h.server = &http.Server{
		Handler:           http.HandlerFunc(h.serveUpstream),
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = h.server.Serve(lis) }()
	h.ReplaceUpstream()
	if h.settings, err = h.site.settings(h); err != nil {
		return err
	}
	return h.Start()
}

// ReplaceUpstream replaces the upstream with a new instance under a new ID and
// removes the previous one from the store.
func (h *Host) ReplaceUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != "" {
		h.site.Store.Delete("servers/" + h.id)
	}
	h.id = fmt.Sprintf("%s-%d", h.Name, len(h.instances))
	b := backend.New(backend.Config{ID: h.id, Slots: h.Service.Slots, ServiceTime: h.Service.ServiceTime, Call: h.call()})
	h.instances = append(h.instances, b)
	h.current.Store(b)
	h.register("ready")
}

func (h *Host) serveUpstream(w http.ResponseWriter, r *http.Request) {
	upstream := h.current.Load()
	if h.crashedBy(r) {
		panic(http.ErrAbortHandler)
	}
	if b := h.breaker.Load(); b != nil {
		b.serve(w, r, upstream)
		return
	}
	upstream.ServeHTTP(w, r)
}

// BreakAnswers makes the upstream break half of its answers at random, until
// HealAnswers.
func (h *Host) BreakAnswers(seed uint64) {
	h.breaker.Store(&answerBreaker{random: rand.New(rand.NewPCG(seed, 0))})
}

// HealAnswers ends BreakAnswers.
func (h *Host) HealAnswers() { h.breaker.Store(nil) }

// CrashUpstream makes the upstream fail all requests and removes its entry, until
// ReplaceUpstream.
func (h *Host) CrashUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.site.Store.Delete("servers/" + h.id)
	h.current.Store(backend.New(backend.Config{ID: h.id, Handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}))
}

// DrainUpstream registers the upstream as draining.
func (h *Host) DrainUpstream() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register("draining")
}

func (h *Host) register(state string) {
	h.site.Store.Put("servers/"+h.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining":"0ms","sequence-number":1,"born":%d}`,
		h.Service.Name, address(h.relayIP, upstreamPort), h.Zone, h.Service.Slots, state, h.site.startedAt+int64(len(h.instances))))
}

var callNumber atomic.Uint64

// call returns the function for the call that each request of the upstream makes;
// nil if there is none.
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

func (h *Host) upstreamInstances() []*backend.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*backend.Backend(nil), h.instances...)
}

// ClientAddr returns the address of the node's listener for clients.
func (h *Host) ClientAddr() string { return address(h.IP, clientsPort) }

// MetricsAddr returns the address of the node's metrics listener.
func (h *Host) MetricsAddr() string { return address(h.IP, metricsPort) }

// LogPath returns the path of the log of all processes of the node.
func (h *Host) LogPath() string { return filepath.Join(h.site.cfg.Dir, h.Name+".log") }

// Start starts the node's process.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.CommandContext(h.ctx, h.site.cfg.Daemon, "-c", h.settings) //nolint:gosec // the caller's program
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		h.mu.Lock()
		h.exitCode = cmd.ProcessState.ExitCode()
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the node's process.
func (h *Host) Signal(sig syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return errStopped
	default:
		return h.cmd.Process.Signal(sig)
	}
}

// Restart stops the node with a signal, waits until it exits and starts it again. It
// returns the exit code. Concurrent restarts are serialized.
func (h *Host) Restart(sig syscall.Signal) (code int, err error) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	if err := h.SignalStarted(sig); err != nil {
		return 0, err
	}
	code = h.Wait()
	return code, h.Start()
}

// SignalStarted sends a signal to the node's process once it has started. A
// process that has not yet installed its signal handlers is killed by the signal
// and has no exit code of its own.
func (h *Host) SignalStarted(sig syscall.Signal) error {
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	if err := h.awaitStarted(ctx); err != nil {
		return err
	}
	return h.Signal(sig)
}

// SignalDuringStart stops the node with SIGTERM, starts it again and sends a
// signal to the new process after delay. If that ends the process, it starts
// another one, as the platform does. It returns how the signalled process ended,
// or nil if it went on.
func (h *Host) SignalDuringStart(sig syscall.Signal, delay time.Duration) (*os.ProcessState, error) {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	if err := h.SignalStarted(syscall.SIGTERM); err != nil {
		return nil, err
	}
	h.Wait()
	if err := h.Start(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	time.Sleep(delay)
	if err := cmd.Process.Signal(sig); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(h.ctx, startTimeout)
	defer cancel()
	if sig == syscall.SIGHUP && h.awaitStarted(ctx) == nil {
		return nil, nil
	}
	<-exited
	return cmd.ProcessState, h.Start()
}

// awaitStarted waits until the node's readiness endpoint answers with any status,
// which it does once the process has installed its signal handlers.
func (h *Host) awaitStarted(ctx context.Context) error {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	for h.readiness(ctx) == 0 {
		select {
		case <-exited:
			return errStopped
		case <-ctx.Done():
			return fmt.Errorf("%s has not started: %w", h.Name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// Wait waits until the node's process exits and returns its exit code.
func (h *Host) Wait() int {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	<-exited
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exitCode
}

// Ready reports whether the node's readiness endpoint answers 200.
func (h *Host) Ready(ctx context.Context) bool { return h.readiness(ctx) == http.StatusOK }

// readiness returns the status of the node's readiness endpoint, or 0 if there
// is no response.
func (h *Host) readiness(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(h.IP, readinessPort)+"/api/readiness", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

const (
	// startTimeout is the time in which a process must start, also on a busy
	// machine.
	startTimeout      = 10 * time.Second
	readyTimeout      = 500 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

// AwaitReady waits until the node is ready.
func (h *Host) AwaitReady(ctx context.Context) error {
	for !h.Ready(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", h.Name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// close stops those of node, upstream and relays that were started.
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
