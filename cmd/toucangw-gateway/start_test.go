package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucangw.example/cmd/internal/nodecmd"
)

const waitTimeout = 20 * time.Second

var program string // path of toucangw-gateway, built by TestMain

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "toucangw-gateway-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "toucangw-gateway")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func freeAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func settingsText(t *testing.T) string {
	return fmt.Sprintf(`[host]
id = "n"
zone = "z"
service = "s"
[listen]
callers = %q
peers = %q
readiness = %q
[upstream]
address = "127.0.0.1:9"
[store]
address = "127.0.0.1:9"
[drain]
announce = "10ms"
`, freeAddress(t), freeAddress(t), freeAddress(t))
}

// startingNode is a process that waits for its settings, which it reads from a
// named pipe.
type startingNode struct {
	cmd    *exec.Cmd
	log    bytes.Buffer
	pipe   string
	exited chan struct{}
}

func startNode(t *testing.T) *startingNode {
	n := &startingNode{pipe: filepath.Join(t.TempDir(), "node.toml"), exited: make(chan struct{})}
	require.NoError(t, syscall.Mkfifo(n.pipe, 0o600))
	n.cmd = exec.Command(program, "-c", n.pipe) //nolint:gosec // built by TestMain
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	require.NoError(t, n.cmd.Start())
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	})
	return n
}

// openPipe waits until the process reads its settings and returns the writer.
func (n *startingNode) openPipe(t *testing.T) *os.File {
	w, err := os.OpenFile(n.pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	return w
}

func (n *startingNode) awaitExit(t *testing.T) {
	select {
	case <-n.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit")
	}
}

// Guards against a SIGTERM that kills a process during its start instead of
// stopping it cleanly.
func TestStopDuringStart(t *testing.T) {
	n := startNode(t)
	w := n.openPipe(t)
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	_, err := w.WriteString(settingsText(t))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	n.awaitExit(t)
	assert.Equal(t, nodecmd.ExitOK, n.cmd.ProcessState.ExitCode(), "%s: %s", n.cmd.ProcessState, n.log.String())
	assert.Contains(t, n.log.String(), `"msg":"stopped"`)
}

// Guards against a SIGHUP that kills a process during its start, and against a
// reload that does not say which changed settings need a restart.
func TestReloadDuringStart(t *testing.T) {
	n := startNode(t)
	w := n.openPipe(t)
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGHUP))
	text := settingsText(t)
	changed := text + "[retries]\nratio = 0.5\n[log]\nlevel = \"debug\"\n"
	require.NoError(t, os.Remove(n.pipe)) // the reload reads a file instead
	require.NoError(t, os.WriteFile(n.pipe, []byte(changed), 0o600))
	_, err := w.WriteString(text)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	n.awaitExit(t)
	assert.Equal(t, nodecmd.ExitOK, n.cmd.ProcessState.ExitCode(), "%s: %s", n.cmd.ProcessState, n.log.String())
	assert.Contains(t, n.log.String(), `"log_level":"DEBUG"`)
	assert.Contains(t, n.log.String(), `"tables":"retries"`)
}
