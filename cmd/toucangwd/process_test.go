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

	"toucangw.example/standin/upstream"
)

// Guards the command line: checks without starting, and clear errors.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[host]\nid = \"x\"\nname = 3\n"), 0o600))
	for name, tt := range map[string]struct {
		args []string
		code int
		text string
	}{
		"version":     {[]string{"--version"}, exitOK, "toucangwd "},
		"help":        {[]string{"--help"}, exitOK, "--check"},
		"no settings": {nil, exitSettings, "-c FILE is required"},
		"no file":     {[]string{"-c", "/does/not/exist"}, exitSettings, "read settings"},
		"bad file":    {[]string{"-c", bad, "--check"}, exitSettings, "bad.toml:3"},
		"odd word":    {[]string{"start"}, exitSettings, `unexpected argument "start"`},
		"odd flag":    {[]string{"--quick"}, exitSettings, "quick"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, run(tt.args, &out, &out))
			require.Contains(t, out.String(), tt.text)
		})
	}
}

// Guards I7: SIGTERM while calls are in flight, with sub-calls still to come,
// cuts none of them, and the process exits with 0.
func TestTermCutsNothing(t *testing.T) {
	f := newFleet(t, "batchlog", "ledger", "quality")
	d := f.daemons[0]
	d.upstream.SetMode(upstream.Mode{Slow: 30}) // 144 ms and more
	const calls = 8
	wait := sendAll(calls, func(i int) string { return fmt.Sprintf("http://%s/batchlog/quality/%d", d.callers, i) })
	require.Eventually(t, func() bool { return d.upstream.Counts().Runs == calls }, waitLimit, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	replies, errs := wait()
	for i := range calls {
		require.NoError(t, errs[i])
		require.Equal(t, http.StatusOK, replies[i].status, "%s", replies[i].body)
	}
	require.Equal(t, exitOK, f.exitCode(d))
	require.Contains(t, d.log.String(), `"msg":"stopped"`, "the log was not flushed")
}

// Guards the way out of a drain that hangs: a second signal ends the process
// with a failure.
func TestSecondSignal(t *testing.T) {
	f := newFleet(t, "ledger")
	d := f.daemons[0]
	d.upstream.SetMode(upstream.Mode{Unresponsive: true})
	_ = sendAll(1, func(int) string { return "http://" + d.callers + "/ledger/ledger/1" })
	require.Eventually(t, func() bool { return d.upstream.Counts().Runs == 1 }, waitLimit, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool {
		r, err := send(http.MethodGet, "http://"+d.operator+"/readyz", nil, "")
		return err == nil && r.status == http.StatusServiceUnavailable
	}, waitLimit, time.Millisecond)
	require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	require.Equal(t, exitCut, f.exitCode(d))
}

// Guards reads against a node that dies: they are answered by another host,
// and a new process at the same address takes part again.
func TestKillAndReplace(t *testing.T) {
	f := newFleet(t, "ledger", "ledger", "batchlog")
	dies, entry := f.daemons[0], f.daemons[2]
	require.NoError(t, dies.cmd.Process.Kill())
	f.exitCode(dies)
	for i := range 20 {
		r, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/%d", entry.callers, i), nil, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	f.start(dies)
	f.waitReady(dies)
	before := dies.upstream.Counts().Runs
	i := 0
	require.Eventually(t, func() bool {
		i++
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/n%d", entry.callers, i), nil, "")
		return err == nil && dies.upstream.Counts().Runs > before
	}, waitLimit, time.Millisecond, "the new process gets no work")
}

// Guards I4 and I5 against an owner that dies during the run: nobody says "not
// run", through any node, and the new process does not run the key.
func TestOwnerDies(t *testing.T) {
	f := newFleet(t, "release", "ledger", "quality")
	owner, entry := f.daemons[0], f.daemons[1]
	url := "http://" + entry.callers + "/release/sign-offs/lot-1"
	first, err := send(http.MethodPost, url, nil, "{}")
	require.NoError(t, err)
	key := first.header.Get("Idempotency-Key")
	require.NotEmpty(t, key, "%s", first.body)
	owner.upstream.SetMode(upstream.Mode{Unresponsive: true})
	header := map[string]string{"Idempotency-Key": key}
	broken := make(chan reply, 1)
	go func() {
		r, _ := send(http.MethodPost, url, header, "{}")
		broken <- r
	}()
	require.Eventually(t, func() bool { return owner.upstream.Counts().Runs == 1 }, waitLimit, time.Millisecond)
	require.NoError(t, owner.cmd.Process.Kill())
	f.exitCode(owner)
	r := <-broken
	require.Equal(t, "may-have-run", r.header.Get("Toucangw-Verdict"), "%s", r.body)

	state, err := send(http.MethodGet, "http://"+entry.callers+"/.toucangw/keys/"+key, nil, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, state.status)
	require.Equal(t, "owner-unreachable", state.header.Get("Toucangw-Reason"))
	require.Equal(t, "may-have-run", state.header.Get("Toucangw-Verdict"))

	owner.upstream.SetMode(upstream.Mode{})
	f.start(owner)
	f.waitReady(owner)
	for _, d := range f.daemons {
		again, err := send(http.MethodPost, "http://"+d.callers+"/release/sign-offs/lot-1", header, "{}")
		require.NoError(t, err)
		require.NotEqual(t, "not-run", again.header.Get("Toucangw-Verdict"), "%s: %s", d.id, again.body)
	}
	require.Equal(t, 1, owner.upstream.Counts().ByAction["POST /sign-offs/lot-1"])
}

// Guards against a stopped process: reads go elsewhere while it is stopped,
// and after it wakes up it notices the pause and works again.
func TestStopAndContinue(t *testing.T) {
	f := newFleet(t, "ledger", "ledger", "batchlog")
	stopped, entry := f.daemons[0], f.daemons[2]
	for i := range 10 {
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/w%d", entry.callers, i), nil, "")
		require.NoError(t, err)
	}
	require.NoError(t, stopped.cmd.Process.Signal(syscall.SIGSTOP))
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
	require.NoError(t, stopped.cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool {
		r, err := send(http.MethodGet, "http://"+stopped.operator+"/metrics", nil, "")
		return err == nil && strings.Contains(string(r.body), "toucangw_pauses_total 1")
	}, waitLimit, 10*time.Millisecond)
	before, i := stopped.upstream.Counts().Runs, 0
	require.Eventually(t, func() bool {
		i++
		_, err := send(http.MethodGet, fmt.Sprintf("http://%s/ledger/ledger/c%d", entry.callers, i), nil, "")
		return err == nil && stopped.upstream.Counts().Runs > before
	}, waitLimit, time.Millisecond, "the woken process gets no work")
}
