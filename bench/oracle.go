package bench

import (
	"math"
	"time"

	"toucangw.example/core/call"
)

// conditions are the capacities during a period, as factors of the normal ones.
type conditions struct {
	slotShares  map[string]float64 // usable share of the slots, by service
	slowFactors map[string]float64 // factor on the slot time at the service itself, by service
}

func (c conditions) slotShare(service string) float64 {
	if f, ok := c.slotShares[service]; ok {
		return f
	}
	return 1
}

func (c conditions) slowFactor(service string) float64 {
	if f, ok := c.slowFactors[service]; ok {
		return f
	}
	return 1
}

// withConditions returns the deployment with the slot times under some
// conditions.
func (d *Deployment) withConditions(c conditions) *Deployment {
	changed := *d
	changed.Kinds = make([]Kind, len(d.Kinds))
	for i, k := range d.Kinds {
		k.Chain = append([]Stage(nil), k.Chain...)
		for j := range k.Chain {
			k.Chain[j].Cost = time.Duration(float64(k.Chain[j].Cost) * c.slowFactor(k.Chain[j].Service))
		}
		changed.Kinds[i] = k
	}
	return &changed
}

// slotSeconds returns, by service and kind, the seconds for which one request of
// the kind holds slots of the service.
func (d *Deployment) slotSeconds() [][]float64 {
	index := map[string]int{}
	for i, s := range d.Services {
		index[s.Name] = i
	}
	out := make([][]float64, len(d.Services))
	for i := range out {
		out[i] = make([]float64, len(d.Kinds))
	}
	for j := range d.Kinds {
		k := &d.Kinds[j]
		for i, holdTime := range d.holdTimes(k) {
			out[index[k.Chain[i].Service]][j] += holdTime.Seconds()
		}
	}
	return out
}

// capacities returns the usable slots of each service.
func (d *Deployment) capacities(c conditions) []float64 {
	out := make([]float64, len(d.Services))
	for i, s := range d.Services {
		out[i] = float64(s.Hosts*s.Slots) * c.slotShare(s.Name)
	}
	return out
}

// Capacity returns the requests per second of the normal mix that saturate the
// bottleneck service.
func (d *Deployment) Capacity() float64 {
	use := d.slotSeconds()
	capacity := d.capacities(conditions{})
	best := math.Inf(1)
	for i := range use {
		sum := 0.0
		for j := range use[i] {
			sum += d.Kinds[j].Mix * use[i][j]
		}
		if sum > 0 {
			best = math.Min(best, capacity[i]/sum)
		}
	}
	return best
}

// oracle returns the highest worth per second that the slots allow when rate
// requests per second of the normal mix arrive, and the rate of each kind that
// gives it. It assumes perfect foresight, no waiting and divisible requests, so
// it is an upper bound.
func (d *Deployment) oracle(rate float64, c conditions) (float64, []float64) {
	changed := d.withConditions(c)
	use := changed.slotSeconds()
	capacity := d.capacities(c)
	worth := make([]float64, len(d.Kinds))
	maxRate := make([]float64, len(d.Kinds))
	for j, k := range d.Kinds {
		worth[j] = k.Worth
		maxRate[j] = rate * k.Mix
	}
	return maximize(worth, maxRate, use, capacity)
}

// criticalFits reports whether the slots suffice for the critical requests
// alone.
func (d *Deployment) criticalFits(rate float64, c conditions) bool {
	use := d.withConditions(c).slotSeconds()
	for i, limit := range d.capacities(c) {
		sum := 0.0
		for j, k := range d.Kinds {
			if k.Importance == call.Critical {
				sum += rate * k.Mix * use[i][j]
			}
		}
		if sum > limit {
			return false
		}
	}
	return true
}

// maximize solves a linear program: it maximizes worth*x subject to
// 0 <= x <= maxRate and use*x <= capacity, and returns the maximum and x. The
// optimum is a vertex, where as many constraints as variables hold with equality;
// there are few of either, so all combinations are tried.
func maximize(worth, maxRate []float64, use [][]float64, capacity []float64) (float64, []float64) {
	n := len(worth)
	var rows [][]float64
	var bounds []float64
	for j := range n {
		unit := make([]float64, n)
		unit[j] = 1
		rows = append(rows, unit, unit)
		bounds = append(bounds, 0, maxRate[j])
	}
	rows = append(rows, use...)
	bounds = append(bounds, capacity...)
	best := 0.0
	bestX := make([]float64, n)
	chosen := make([]int, 0, n)
	var try func(from int)
	try = func(from int) {
		if len(chosen) == n {
			x, ok := solve(rows, bounds, chosen)
			if ok && feasible(x, maxRate, use, capacity) {
				if value := dot(worth, x); value > best {
					best = value
					bestX = x
				}
			}
			return
		}
		for i := from; i < len(rows); i++ {
			chosen = append(chosen, i)
			try(i + 1)
			chosen = chosen[:len(chosen)-1]
		}
	}
	try(0)
	return best, bestX
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

func feasible(x, maxRate []float64, use [][]float64, capacity []float64) bool {
	const tolerance = 1e-7
	for j := range x {
		if x[j] < -tolerance*(1+maxRate[j]) || x[j] > maxRate[j]*(1+tolerance)+tolerance {
			return false
		}
	}
	for i := range use {
		if dot(use[i], x) > capacity[i]*(1+tolerance)+tolerance {
			return false
		}
	}
	return true
}

// solve returns the point at which the chosen constraints hold with equality, by
// Gauss-Jordan elimination. It reports false if they have no unique solution.
func solve(rows [][]float64, bounds []float64, chosen []int) ([]float64, bool) {
	n := len(chosen)
	m := make([][]float64, n)
	for i, c := range chosen {
		m[i] = append(append([]float64(nil), rows[c]...), bounds[c])
	}
	for col := range n {
		pivot := col
		for i := col; i < n; i++ {
			if math.Abs(m[i][col]) > math.Abs(m[pivot][col]) {
				pivot = i
			}
		}
		if math.Abs(m[pivot][col]) < 1e-12 {
			return nil, false
		}
		m[col], m[pivot] = m[pivot], m[col]
		for i := range n {
			if i == col {
				continue
			}
			f := m[i][col] / m[col][col]
			for j := col; j <= n; j++ {
				m[i][j] -= f * m[col][j]
			}
		}
	}
	x := make([]float64, n)
	for i := range n {
		x[i] = m[i][n] / m[i][i]
	}
	return x, true
}
