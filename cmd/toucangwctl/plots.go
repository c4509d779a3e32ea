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
	// maxSteps bounds the points of a line.
	maxSteps = 200
	// maxSeries bounds the lines of a plot, so that the legend stays legible.
	maxSeries = 7
)

// point is a value at a time in seconds since the first decision.
type point struct{ seconds, value float64 }

// steps are the decisions in intervals of equal length.
type steps struct {
	length time.Duration
	lines  [][]logLine
}

// divide sorts decisions, in order of time, into intervals of a second or more.
func divide(lines []logLine) *steps {
	from, span := lines[0].Time, lines[len(lines)-1].Time.Sub(lines[0].Time)
	s := &steps{length: max(time.Second, (span/maxSteps).Truncate(time.Second)+time.Second)}
	if span < maxSteps*time.Second {
		s.length = time.Second
	}
	s.lines = make([][]logLine, int(span/s.length)+1)
	for _, l := range lines {
		at := int(l.Time.Sub(from) / s.length)
		s.lines[at] = append(s.lines[at], l)
	}
	return s
}

// each calls f for each interval and collects the values of its series. Series
// without a value in an interval are zero there if fill is set.
func (s *steps) each(fill bool, f func(lines []logLine) map[string]float64) map[string][]point {
	values := make([]map[string]float64, len(s.lines))
	names := map[string]bool{}
	for i, lines := range s.lines {
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
				out[name] = append(out[name], point{float64(i) * s.length.Seconds(), value})
			}
		}
	}
	return out
}

func (s *steps) outcomes() map[string][]point {
	return s.each(true, func(lines []logLine) map[string]float64 {
		out := map[string]float64{}
		for _, l := range lines {
			out[outcomeOf(l)] += 1 / s.length.Seconds()
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

func (s *steps) latencies() map[string][]point {
	return s.each(false, func(lines []logLine) map[string]float64 {
		var took []float64
		for _, l := range lines {
			if outcomeOf(l) == "answered" {
				took = append(took, float64(l.TookUS)/1000)
			}
		}
		if len(took) == 0 {
			return nil
		}
		slices.Sort(took)
		at := func(q float64) float64 { return took[min(int(q*float64(len(took))), len(took)-1)] }
		return map[string]float64{"p50": at(0.5), "p95": at(0.95), "p99": at(0.99)}
	})
}

func (s *steps) queues() map[string][]point {
	return s.each(true, func(lines []logLine) map[string]float64 {
		out := map[string]float64{}
		for _, l := range lines {
			if l.Service != "" {
				out[l.Service] = max(out[l.Service], float64(l.Queued))
			}
		}
		return out
	})
}

func (s *steps) versions() map[string][]point {
	return s.each(false, func(lines []logLine) map[string]float64 {
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

// drawLines returns a plot of lines over time as SVG.
func drawLines(unit string, series map[string][]point) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range largest(series) {
		xys := make(plotter.XYs, 0, len(series[name]))
		for _, v := range series[name] {
			xys = append(xys, plotter.XY{X: v.seconds, Y: v.value})
		}
		line, err := plotter.NewLine(xys)
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

// largest returns the names of the series with the largest sums, in order of
// their names.
func largest(series map[string][]point) []string {
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
