package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangw.example/cmd/internal/nodecmd"
	"toucangw.example/standin/upstream"
)

// Guards against a wrong exit code or an unclear error of the command line, and
// against a check that starts the node.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[host]\nid = \"x\"\nname = 3\n"), 0o600))
	for name, tt := range map[string]struct {
		args []string
		code int
		text string
	}{
		"version":             {[]string{"--version"}, nodecmd.ExitOK, "toucangwd "},
		"help":                {[]string{"--help"}, nodecmd.ExitOK, "--check"},
		"no settings":         {nil, nodecmd.ExitSettings, "-c FILE is required"},
		"no file":             {[]string{"-c", "/does/not/exist"}, nodecmd.ExitSettings, "read settings"},
		"bad file":            {[]string{"-c", bad, "--check"}, nodecmd.ExitSettings, "bad.toml:3"},
		"unexpected argument": {[]string{"start"}, nodecmd.ExitSettings, `unexpected argument "start"`},
		"unknown flag":        {[]string{"--quick"}, nodecmd.ExitSettings, "quick"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, run(tt.args, nil, &out, &out))
			require.Contains(t, out.String(), tt.text)
		})
	}
}

// Guards invariant I7 of docs/design.md: SIGTERM interrupts no in-flight call,
// also if its sub-calls are still to come, and the process exits with 0.
func TestSIGTERMCompletesInFlightCalls(t *testing.T) {
	c := newCluster(t, "batchlog", "ledger", "quality")
	d := c.daemons[0]
	d.upstream.SetMode(upstream.Mode{Slow: 30}) // 144 ms and more
	const calls = 8
	wait := sendAll(calls, func(i int) string { return fmt.Sprintf("http://%s/batchlog/quality/%d", d.callers, i) })
	require.Eventually(t, func() bool { return d.upstream.Counts().Runs == calls }, waitTimeout, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	replies, errs := wait()
	for i := range calls {
		require.NoError(t, errs[i])
		require.Equal(t, http.StatusOK, replies[i].status, "%s", replies[i].body)
	}
	require.Equal(t, nodecmd.ExitOK, c.exitCode(d))
	require.Contains(t, d.log.String(), `"msg":"stopped"`, "the log was not flushed")
}

// Guards against a drain that hangs and cannot be aborted: a second signal ends
// the process with an exit code that says so.
func TestSecondSignal(t *testing.T) {
	c := newCluster(t, "ledger")
	d := c.daemons[0]
	d.upstream.SetMode(upstream.Mode{Unresponsive: true})
	_ = sendAll(1, func(int) string { return "http://" + d.callers + "/ledger/ledger/1" })
	require.Eventually(t, func() bool { return d.upstream.Counts().Runs == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		r, err := send(http.MethodGet, "http://"+d.operator+"/readyz", nil, "")
		return err == nil && r.status == http.StatusServiceUnavailable
	}, waitTimeout, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	require.Equal(t, nodecmd.ExitDrainIncomplete, c.exitCode(d))
}

// Guards against failed reads after a node is killed: another host answers them,
// and a new process at the same address receives requests again.
func TestKillAndReplace(t *testing.T) {
	c := newCluster(t, "ledger", "ledger", "batchlog")
	killed, entry := c.daemons[0], c.daemons[2]
	require.NoError(t, killed.cmd.Process.Kill())
	c.exitCode(killed)
	for i := range 20 {
		r, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/%d", entry.callers, i), nil, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	c.start(killed)
	c.waitReady(killed)
	runsBefore := killed.upstream.Counts().Runs
	i := 0
	require.Eventually(t, func() bool {
		i++
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/n%d", entry.callers, i), nil, "")
		return err == nil && killed.upstream.Counts().Runs > runsBefore
	}, waitTimeout, time.Millisecond, "the new process receives no requests")
}

// Guards invariants I4 and I5 of docs/design.md when the owner of a key is killed
// during the run: no node reports not-run, and the new process does not run the
// key.
func TestOwnerKilledDuringRun(t *testing.T) {
	c := newCluster(t, "release", "ledger", "quality")
	owner, entry := c.daemons[0], c.daemons[1]
	url := "http://" + entry.callers + "/release/sign-offs/lot-1"
	first, err := send(http.MethodPost, url, nil, "{}")
	require.NoError(t, err)
	key := first.header.Get("Idempotency-Key")
	require.NotEmpty(t, key, "%s", first.body)
	owner.upstream.SetMode(upstream.Mode{Unresponsive: true})
	header := map[string]string{"Idempotency-Key": key}
	interrupted := make(chan reply, 1)
	go func() {
		r, _ := send(http.MethodPost, url, header, "{}")
		interrupted <- r
	}()
	require.Eventually(t, func() bool { return owner.upstream.Counts().Runs == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, owner.cmd.Process.Kill())
	c.exitCode(owner)
	r := <-interrupted
	require.Equal(t, "may-have-run", r.header.Get("Toucangw-Verdict"), "%s", r.body)

	state, err := send(http.MethodGet, "http://"+entry.callers+"/.toucangw/keys/"+key, nil, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, state.status)
	require.Equal(t, "owner-unreachable", state.header.Get("Toucangw-Reason"))
	require.Equal(t, "may-have-run", state.header.Get("Toucangw-Verdict"))

	owner.upstream.SetMode(upstream.Mode{})
	c.start(owner)
	c.waitReady(owner)
	for _, d := range c.daemons {
		again, err := send(http.MethodPost, "http://"+d.callers+"/release/sign-offs/lot-1", header, "{}")
		require.NoError(t, err)
		require.NotEqual(t, "not-run", again.header.Get("Toucangw-Verdict"), "%s: %s", d.id, again.body)
	}
	require.Equal(t, 1, owner.upstream.Counts().ByAction["POST /sign-offs/lot-1"])
}

// Guards against failed reads while a process is paused: another host answers
// them, and after SIGCONT the process detects the pause and receives requests
// again.
func TestPauseAndResume(t *testing.T) {
	c := newCluster(t, "ledger", "ledger", "batchlog")
	paused, entry := c.daemons[0], c.daemons[2]
	for i := range 10 {
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/w%d", entry.callers, i), nil, "")
		require.NoError(t, err)
	}
	require.NoError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	until := time.Now().Add(1500 * time.Millisecond)
	answered, sent := 0, 0
	for time.Now().Before(until) {
		r, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/s%d", entry.callers, sent), nil, "")
		require.NoError(t, err)
		sent++
		if r.status == http.StatusOK {
			answered++
		} else {
			require.NotEqual(t, "run", r.header.Get("Toucangw-Verdict"))
		}
	}
	require.Greater(t, answered, sent*9/10, "%d of %d answered while one of two hosts was stopped", answered, sent)
	require.NoError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		r, err := send(http.MethodGet, "http://"+paused.operator+"/metrics", nil, "")
		return err == nil && strings.Contains(string(r.body), "toucangw_pauses_total 1")
	}, waitTimeout, 10*time.Millisecond)
	runsBefore, i := paused.upstream.Counts().Runs, 0
	require.Eventually(t, func() bool {
		i++
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/c%d", entry.callers, i), nil, "")
		return err == nil && paused.upstream.Counts().Runs > runsBefore
	}, waitTimeout, time.Millisecond, "the resumed process receives no requests")
}
