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

const waitLimit = 20 * time.Second

var program string // toucangwd, built once

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

// daemon is a toucangwd process with a stand-in upstream in this process.
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

// fleet is a set of daemons with a platform.
type fleet struct {
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

func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	f := &fleet{t: t}
	addrs := freeAddrs(t, 4*len(services))
	type listed struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Service string `json:"service"`
		Status  string `json:"status"`
	}
	var hosts []listed
	for i, service := range services {
		a := addrs[4*i : 4*i+4]
		d := &daemon{
			id: fmt.Sprintf("%s-%d", service, i), service: service,
			callers: a[0], egress: a[1], peers: a[2], operator: a[3],
		}
		f.daemons = append(f.daemons, d)
		hosts = append(hosts, listed{ID: d.id, Addr: d.peers, Service: service, Status: "live"})
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
	t.Cleanup(f.stop)
	for _, d := range f.daemons {
		f.prepare(d, dir, server.Listener.Addr().String())
		f.start(d)
	}
	f.waitReady(f.daemons...)
	return f
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

func (f *fleet) prepare(d *daemon, dir, platform string) {
	d.upstream = upstream.New(upstream.Config{
		Service: d.service, Slots: 100, Egress: "http://" + d.egress, Routes: upstream.Routes("drooglog", d.service),
	})
	d.server = httptest.NewServer(d.upstream)
	d.settings = filepath.Join(dir, d.id+".toml")
	writeFile(f.t, d.settings, fmt.Appendf(nil, `[host]
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
`, d.id, d.service, d.callers, d.egress, d.peers, d.operator, d.server.Listener.Addr(), platform))
}

func (f *fleet) start(d *daemon) {
	d.cmd = exec.Command(program, "-c", d.settings)
	d.cmd.Stderr = &d.log
	d.done = make(chan struct{})
	require.NoError(f.t, d.cmd.Start())
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
}

func (f *fleet) waitReady(daemons ...*daemon) {
	for _, d := range daemons {
		require.Eventually(f.t, func() bool {
			r, err := send(http.MethodGet, "http://"+d.operator+"/v1/status", nil, "")
			var s operator.Status
			return err == nil && json.Unmarshal(r.body, &s) == nil && s.Ready && len(s.Members) == len(f.daemons)
		}, waitLimit, 20*time.Millisecond, "%s is not ready", d.id)
	}
}

// exitCode waits for the end of a daemon.
func (f *fleet) exitCode(d *daemon) int {
	select {
	case <-d.done:
		return d.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		f.t.Fatalf("%s did not end", d.id)
		return -1
	}
}

func (f *fleet) stop() {
	for _, d := range f.daemons {
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
		if f.t.Failed() {
			text := d.log.String()
			f.t.Logf("end of the log of %s:\n%s", d.id, text[max(0, len(text)-1500):])
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
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
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

// sendAll sends n requests at once and returns a function that waits for them.
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
