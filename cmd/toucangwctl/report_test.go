package main

import (
	"encoding/base64"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportLog returns a log of one minute with refusals in the middle of it.
func reportLog() string {
	var b strings.Builder
	from := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 600 {
		at := from.Add(time.Duration(i) * 100 * time.Millisecond).Format(time.RFC3339Nano)
		_, _ = fmt.Fprintf(&b, `{"time":%q,"msg":"answered","node":"a","request":"r%d","took_us":%d,"version":%d,"route":"reads","service":"front","status":200,"upstream_queued":%d}`+"\n",
			at, i, 20000+100*i, 7+i/300, i%5)
		if i > 200 && i < 400 {
			_, _ = fmt.Fprintf(&b, `{"time":%q,"msg":"refused","node":"b","request":"s%d","version":7,"route":"reads","service":"front","status":503,"verdict":"not-run","reason":"pressure","detail":"<deep> has no room"}`+"\n", at, i)
		}
	}
	return b.String()
}

// Guards against a report that needs other files, lacks what the logs contain,
// or does not escape text from the logs.
func TestReport(t *testing.T) {
	writeFiles(t, map[string]string{"a.log": reportLog()})
	got := runTool("report", "-o", "page.html", "a.log")
	require.Equal(t, exitOK, got.code, got.err)
	data, err := os.ReadFile("page.html")
	require.NoError(t, err)
	page := string(data)
	require.Contains(t, page, "799 logged decisions of 2 nodes")
	require.Contains(t, page, "&lt;deep&gt; has no room")
	require.NotContains(t, page, "<deep>")
	require.Contains(t, page, `<td class="number">199</td><td>503</td><td>reads</td><td>pressure</td>`)
	require.NotRegexp(t, `(src|href)="http`, page)
	images := regexp.MustCompile(`data:image/svg\+xml;base64,([A-Za-z0-9+/=]+)`).FindAllStringSubmatch(strings.ReplaceAll(page, "&#43;", "+"), -1)
	require.Len(t, images, 4)
	for i, names := range [][]string{{"answered", "pressure"}, {"p50", "p99"}, {"front"}, {"oldest", "newest"}} {
		svg, err := base64.StdEncoding.DecodeString(images[i][1])
		require.NoError(t, err)
		for _, name := range names {
			require.Contains(t, string(svg), name)
		}
	}
}

// Guards against wrong values in the series of the plots.
func TestReportSeries(t *testing.T) {
	writeFiles(t, map[string]string{"a.log": reportLog()})
	lines, err := readLogFile("a.log", os.Stderr)
	require.NoError(t, err)
	b := newBuckets(lines)
	require.Len(t, b.lines, 60)
	require.InDelta(t, 10, b.outcomes()["pressure"][30].value, 0.01)
	require.Zero(t, b.outcomes()["pressure"][5].value)
	require.Equal(t, []point{{59, 8}}, b.versions()["newest"][59:])
	require.InDelta(t, 20.9, b.latencies()["p99"][0].value, 0.2)
}

// Guards against writing an empty page when there is nothing to plot.
func TestReportWithoutDecisions(t *testing.T) {
	writeFiles(t, map[string]string{"a.log": `{"time":"2026-12-04T08:00:00Z","msg":"started","node":"a"}` + "\n"})
	got := runTool("report", "a.log")
	require.Equal(t, exitProblems, got.code)
	require.Contains(t, got.err, "no decisions")
	require.Equal(t, exitUsage, runTool("report", "missing.log").code)
}
