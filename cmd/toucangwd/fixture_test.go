package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/node/operator"
	"toucangw.example/standin/platform"
	"toucangw.example/standin/upstream"
)

const waitTimeout = 20 * time.Second

var program string // path of toucangwd, built by TestMain

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "toucangwd-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "toucangwd")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is a toucangwd process with a fake upstream in the test process.
type daemon struct {
	id, service                      string
	callers, egress, peers, operator string
	settings                         string
	cmd                              *exec.Cmd
	log                              bytes.Buffer
	done                             chan struct{}
	upstream                         *upstream.Upstream
	server                           *httptest.Server
}

// cluster consists of daemons that read from one fake platform.
type cluster struct {
	t       *testing.T
	daemons []*daemon
}

func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = lis.Close() }()
		addrs = append(addrs, lis.Addr().String())
	}
	return addrs
}

func newCluster(t *testing.T, services ...string) *cluster {
	t.Helper()
	c := &cluster{t: t}
	addrs := freeAddrs(t, 4*len(services))
	type hostEntry struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	var hosts []hostEntry
	for i, service := range services {
		a := addrs[4*i : 4*i+4]
		d := &daemon{
			id: fmt.Sprintf("%s-%d", service, i), service: service,
			callers: a[0], egress: a[1], peers: a[2], operator: a[3],
		}
		c.daemons = append(c.daemons, d)
		hosts = append(hosts, hostEntry{ID: d.id, Addr: d.peers, Service: service, Status: "live"})
	}
	base, err := os.ReadFile("../../examples/drooglog/base.toml")
	require.NoError(t, err)
	list, err := json.Marshal(map[string]any{"zone": "flanders-a", "region": "flanders", "hosts": hosts})
	require.NoError(t, err)
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "published/config/base.toml"), base)
	writeFile(t, filepath.Join(dir, "published/hosts/flanders-a.json"), list)
	p, err := platform.New(platform.Config{Dir: filepath.Join(dir, "published")})
	require.NoError(t, err)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(c.stop)
	for _, d := range c.daemons {
		c.prepare(d, dir, server.Listener.Addr().String())
		c.start(d)
	}
	c.waitReady(c.daemons...)
	return c
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

func (c *cluster) prepare(d *daemon, dir, platformAddr string) {
	d.upstream = upstream.New(upstream.Config{
		Service: d.service, Slots: 100, Egress: "http://" + d.egress, Routes: upstream.Routes("drooglog", d.service),
	})
	d.server = httptest.NewServer(d.upstream)
	d.settings = filepath.Join(dir, d.id+".toml")
	writeFile(c.t, d.settings, fmt.Appendf(nil, `[host]
id = %q
region = "flanders"
zone = "flanders-a"
service = %q
[listen]
callers = %q
egress = %q
peers = %q
operator = %q
[upstream]
address = %q
[platform]
addresses = [%q]
[limits]
drain_timeout = "8s"
`, d.id, d.service, d.callers, d.egress, d.peers, d.operator, d.server.Listener.Addr(), platformAddr))
}

func (c *cluster) start(d *daemon) {
	d.cmd = exec.Command(program, "-c", d.settings)
	d.cmd.Stderr = &d.log
	d.done = make(chan struct{})
	require.NoError(c.t, d.cmd.Start())
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
}

func (c *cluster) waitReady(daemons ...*daemon) {
	for _, d := range daemons {
		require.Eventually(c.t, func() bool {
			r, err := send(http.MethodGet, "http://"+d.operator+"/v1/status", nil, "")
			var s operator.Status
			return err == nil && json.Unmarshal(r.body, &s) == nil && s.Ready && len(s.Members) == len(c.daemons)
		}, waitTimeout, 20*time.Millisecond, "%s is not ready", d.id)
	}
}

// exitCode waits until a daemon exits and returns its exit code.
func (c *cluster) exitCode(d *daemon) int {
	select {
	case <-d.done:
		return d.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		c.t.Fatalf("%s did not exit", d.id)
		return -1
	}
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
		if d.server != nil {
			d.server.CloseClientConnections()
			d.server.Close()
			d.upstream.Close()
		}
		if c.t.Failed() {
			text := d.log.String()
			c.t.Logf("end of the log of %s:\n%s", d.id, text[max(0, len(text)-1500):])
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func send(method, url string, header map[string]string, body string) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewBufferString(body)))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Toucangw-Caller", "scheldt")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data}, err
}

// sendAll sends n requests concurrently and returns a function that waits for
// their replies.
func sendAll(n int, url func(i int) string) func() ([]reply, []error) {
	replies := make([]reply, n)
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { replies[i], errs[i] = send(http.MethodGet, url(i), nil, "") })
	}
	return func() ([]reply, []error) {
		wg.Wait()
		return replies, errs
	}
}
