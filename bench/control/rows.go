// Package control measures the cost of the control plane of a node: gossip of
// configuration and host lists, compilation of the configuration, and memory.
// It fits slopes over several sizes, from which docs/CAPACITY.md derives the
// target size.
package control

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"
)

// Row is one measured value.
type Row struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Variant    string  `json:"variant"`
	Metric     string  `json:"metric"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
}

// Fit is a least-squares line through measured points.
type Fit struct {
	Slope     float64
	Intercept float64
	SlopeErr  float64 // standard error of Slope
	R2        float64
}

// FitLine fits a line by least squares. It needs at least three points.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
	}
	mx, my := sx/n, sy/n
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = my - f.Slope*mx
	residual := 0.0
	for i := range x {
		d := y[i] - f.Intercept - f.Slope*x[i]
		residual += d * d
	}
	f.SlopeErr = math.Sqrt(residual / (n - 2) / sxx)
	f.R2 = 1
	if syy > 0 {
		f.R2 = 1 - residual/syy
	}
	return f
}

// series collects one metric over several sizes.
type series struct {
	scenario, variant, metric, unit, per string
	x, y                                 []float64
	scale                                float64 // size difference to which the slope refers; 1000 if 0
}

func (s *series) add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

// rows returns the points and the fit.
func (s *series) rows() []Row {
	var out []Row
	for i := range s.x {
		out = append(out, s.row(fmt.Sprintf("%s at %.5g %s", s.metric, s.x[i], s.per), s.unit, s.y[i]))
	}
	f := FitLine(s.x, s.y)
	scale := s.scale
	if scale == 0 {
		scale = 1000
	}
	perUnit := fmt.Sprintf("%s per %.0f %s", s.unit, scale, s.per)
	return append(out,
		s.row(s.metric+": slope", perUnit, f.Slope*scale),
		s.row(s.metric+": standard error of slope", perUnit, f.SlopeErr*scale),
		s.row(s.metric+": intercept", s.unit, f.Intercept),
		s.row(s.metric+": R2", "", f.R2),
	)
}

func (s *series) row(metric, unit string, value float64) Row {
	return Row{Scenario: s.scenario, Deployment: Deployment, Variant: s.variant, Metric: metric, Unit: unit, Value: value}
}

func flatten(all ...*series) []Row {
	var out []Row
	for _, s := range all {
		out = append(out, s.rows()...)
	}
	return out
}

// cpuTime returns the processor time of this process, including garbage
// collection.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerRun returns the processor time of one run, in milliseconds.
func cpuPerRun(runs int, run func(i int)) float64 {
	runtime.GC()
	start := cpuTime()
	for i := range runs {
		run(i)
	}
	return float64(cpuTime()-start) / float64(runs) / float64(time.Millisecond)
}

// Rows runs all measurements; this takes about two minutes.
func Rows(ctx context.Context, seed uint64) ([]Row, error) {
	overhead, rows, err := Transport(ctx)
	if err != nil {
		return nil, err
	}
	compiled, err := Compile()
	if err != nil {
		return nil, err
	}
	rows = append(rows, compiled...)
	lists, err := Lists()
	if err != nil {
		return nil, err
	}
	rows = append(rows, lists...)
	memory, err := Memory(ctx)
	if err != nil {
		return nil, err
	}
	rows = append(rows, memory...)
	return append(rows, Clusters(seed, ClusterSizes, overhead)...), nil
}
