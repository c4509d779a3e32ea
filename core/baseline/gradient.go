package baseline

import (
	"math"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/limit"
)

const (
	// gradientSamples is the number of calls between two changes.
	gradientSamples = 100
	// gradientTolerance is the slowdown that is accepted as noise.
	gradientTolerance = 1.2
	// gradientSmooth is the weight of one change.
	gradientSmooth = 0.3
	// gradientFloor is the least part of the slots.
	gradientFloor = 0.1
)

// gradient lowers the limit in proportion to the slowdown and adds room for a
// short queue. It cannot tell a slow upstream from a congested one.
type gradient struct {
	*limit.Limiter
	slots   float64
	value   float64
	best    float64
	samples int
	spent   float64
	work    float64
}

// Gradient returns a limiter that follows the ratio of the best latency to the
// present one.
func Gradient(slots int) admit.Limiter {
	return &gradient{Limiter: limit.Fixed(slots), slots: float64(slots), value: float64(slots)}
}

// Current implements admit.Limiter.
func (g *gradient) Current(now time.Time) int {
	return max(1, min(g.Limiter.Current(now), int(math.Round(g.value))))
}

// OnComplete implements admit.Limiter.
func (g *gradient) OnComplete(_ time.Time, took, reference time.Duration) {
	g.samples++
	g.spent += took.Seconds()
	g.work += reference.Seconds()
	if g.samples < gradientSamples || g.work <= 0 {
		return
	}
	ratio := g.spent / g.work
	if g.best == 0 || ratio < g.best {
		g.best = ratio
	}
	slope := math.Min(1, math.Max(0.5, gradientTolerance*g.best/ratio))
	next := g.value*slope + math.Sqrt(g.value)
	g.value += gradientSmooth * (next - g.value)
	g.value = math.Max(gradientFloor*g.slots, math.Min(g.slots, g.value))
	g.samples = 0
	g.spent = 0
	g.work = 0
}

// SetSlots implements admit.Limiter.
func (g *gradient) SetSlots(slots int) {
	g.Limiter.SetSlots(slots)
	g.slots = float64(slots)
	g.value = math.Min(g.value, g.slots)
}
