package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLogA = `{"time":"2026-12-04T08:00:00.9Z","level":"INFO","msg":"started","node":"a"}
  0.9 a {"time":"2026-12-04T08:00:01Z","msg":"answered","node":"a","request":"root","took_us":900000,"version":7,"route":"r1","service":"front","upstream":"i-1","attempts":1,"placed":1,"status":500}
{broken
{"time":"2026-12-04T08:00:01Z","msg":"refused","node":"a","request":"unrelated","status":404}
`

const testLogB = `{"time":"2026-12-04T08:00:00.5Z","msg":"refused","node":"b","request":"call","parent":"root","parent_certain":true,"took_us":1000,"route":"r2","service":"deep","status":503,"verdict":"not-run","reason":"queue-full","detail":"no slot in time"}
`

func traceFiles(t *testing.T) {
	t.Helper()
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write([]byte(testLogB))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	writeFiles(t, map[string]string{"a.log": testLogA, "b.log.gz": packed.String()})
}

// Guards against missing the cause of a failure deep in the call tree, and
// against a malformed line that hides the others.
func TestTraceFindsTheFailedCall(t *testing.T) {
	traceFiles(t)
	got := runTool("trace", "--request", "root", "a.log", "b.log.gz")
	require.Equal(t, exitOK, got.code, got.err)
	require.Contains(t, got.out, "deepest failed call: call to service deep, queue-full (no slot in time)")
	require.NotContains(t, got.out, "unrelated")
	require.Less(t, bytes.Index([]byte(got.out), []byte("answered root")), bytes.Index([]byte(got.out), []byte("refused call")), "lines are not in order of arrival")
	require.Contains(t, got.err, "a.log:3: skipped")

	got = runTool("trace", "--json", "--request", "root", "a.log", "b.log.gz")
	var lines []logLine
	require.NoError(t, json.Unmarshal([]byte(got.out), &lines))
	require.Len(t, lines, 2)
}

// Guards against a trace that takes the line about a crashed upstream for the outcome of the request.
func TestTraceShowsTheCrashUnderARequest(t *testing.T) {
	writeFiles(t, map[string]string{"a.log": `{"time":"2026-12-04T08:00:01Z","msg":"running at the end of an upstream","node":"b","request":"root","route":"r1","upstream":"i-1","crashes":2}
{"time":"2026-12-04T08:00:01.01Z","msg":"refused","node":"a","request":"root","took_us":90000,"version":7,"route":"r1","service":"deep","status":502,"verdict":"may-have-run","reason":"upstream-crashed","detail":"upstream process ended"}
`})
	got := runTool("trace", "--request", "root", "a.log")
	require.Equal(t, exitOK, got.code, got.err)
	require.Contains(t, got.out, "upstream i-1, route r1, crashes under equal requests: 2")
	require.Contains(t, got.out, "refused by a: upstream-crashed (may-have-run), upstream process ended")
}

// Guards against wrong exit codes for ids and files that do not exist.
func TestTraceExitCodes(t *testing.T) {
	traceFiles(t)
	got := runTool("trace", "--request", "nobody", "a.log")
	require.Equal(t, exitProblems, got.code)
	require.Contains(t, got.err, `no line names request "nobody"`)
	got = runTool("trace", "--request", "root", "missing.log")
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.err, "missing.log")
	require.Equal(t, exitUsage, runTool("trace").code)
}
