package main

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// maxBuckets bounds the points of a line.
	maxBuckets = 200
	// maxSeries bounds the lines of a plot, to keep the legend legible.
	maxSeries = 7
)

// point is a value at a time in seconds since the first decision.
type point struct{ seconds, value float64 }

// buckets hold decisions grouped into intervals of equal length.
type buckets struct {
	length time.Duration
	lines  [][]logLine
}

// newBuckets groups decisions, which are sorted by time, into intervals of one
// second or more.
func newBuckets(lines []logLine) *buckets {
	from, span := lines[0].Time, lines[len(lines)-1].Time.Sub(lines[0].Time)
	b := &buckets{length: max(time.Second, (span/maxBuckets).Truncate(time.Second)+time.Second)}
	if span < maxBuckets*time.Second {
		b.length = time.Second
	}
	b.lines = make([][]logLine, int(span/b.length)+1)
	for _, l := range lines {
		index := int(l.Time.Sub(from) / b.length)
		b.lines[index] = append(b.lines[index], l)
	}
	return b
}

// aggregate calls f for each interval and collects the values of each series by
// its name. With fill, a series without a value in an interval is zero there.
func (b *buckets) aggregate(fill bool, f func(lines []logLine) map[string]float64) map[string][]point {
	values := make([]map[string]float64, len(b.lines))
	names := map[string]bool{}
	for i, lines := range b.lines {
		values[i] = f(lines)
		for name := range values[i] {
			names[name] = true
		}
	}
	out := map[string][]point{}
	for name := range names {
		for i, v := range values {
			value, ok := v[name]
			if ok || fill {
				out[name] = append(out[name], point{float64(i) * b.length.Seconds(), value})
			}
		}
	}
	return out
}

func (b *buckets) outcomes() map[string][]point {
	return b.aggregate(true, func(lines []logLine) map[string]float64 {
		out := map[string]float64{}
		for _, l := range lines {
			out[outcomeOf(l)] += 1 / b.length.Seconds()
		}
		return out
	})
}

func outcomeOf(l logLine) string {
	switch {
	case l.Reason != "":
		return l.Reason
	case l.Status >= 500:
		return "failed at the upstream"
	}
	return "answered"
}

func (b *buckets) latencies() map[string][]point {
	return b.aggregate(false, func(lines []logLine) map[string]float64 {
		var millis []float64
		for _, l := range lines {
			if outcomeOf(l) == "answered" {
				millis = append(millis, float64(l.TookUS)/1000)
			}
		}
		if len(millis) == 0 {
			return nil
		}
		slices.Sort(millis)
		quantile := func(q float64) float64 { return millis[min(int(q*float64(len(millis))), len(millis)-1)] }
		return map[string]float64{"p50": quantile(0.5), "p95": quantile(0.95), "p99": quantile(0.99)}
	})
}

func (b *buckets) queues() map[string][]point {
	return b.aggregate(true, func(lines []logLine) map[string]float64 {
		out := map[string]float64{}
		for _, l := range lines {
			if l.Service != "" {
				out[l.Service] = max(out[l.Service], float64(l.Queued))
			}
		}
		return out
	})
}

func (b *buckets) versions() map[string][]point {
	return b.aggregate(false, func(lines []logLine) map[string]float64 {
		oldest, newest := math.Inf(1), 0.0
		for _, l := range lines {
			if l.Version > 0 {
				oldest, newest = min(oldest, float64(l.Version)), max(newest, float64(l.Version))
			}
		}
		if newest == 0 {
			return nil
		}
		return map[string]float64{"oldest": oldest, "newest": newest}
	})
}

// drawLines returns a line plot of series over time as SVG.
func drawLines(unit string, series map[string][]point) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range largestSeries(series) {
		points := make(plotter.XYs, 0, len(series[name]))
		for _, v := range series[name] {
			points = append(points, plotter.XY{X: v.seconds, Y: v.value})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width, line.Dashes = plotutil.Color(i), vg.Points(1.5), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

// largestSeries returns the names of the maxSeries series with the largest sums,
// sorted by name.
func largestSeries(series map[string][]point) []string {
	sum := func(name string) float64 {
		total := 0.0
		for _, v := range series[name] {
			total += v.value
		}
		return total
	}
	names := slices.SortedFunc(maps.Keys(series), func(a, b string) int {
		if sum(a) != sum(b) {
			return int(math.Copysign(1, sum(b)-sum(a)))
		}
		return bytes.Compare([]byte(a), []byte(b))
	})
	names = names[:min(len(names), maxSeries)]
	slices.Sort(names)
	return names
}
