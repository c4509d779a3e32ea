package baseline

import (
	"math"
	"time"

	"toucangw.example/core/admit"
	"toucangw.example/core/limit"
)

const (
	// gradientSamples is the number of completed calls between two changes of
	// the limit.
	gradientSamples = 100
	// gradientTolerance is the slowdown that is accepted as noise.
	gradientTolerance = 1.2
	// gradientSmooth is the weight of a new value in the smoothed limit.
	gradientSmooth = 0.3
	// gradientFloor is the least limit as a part of the slots.
	gradientFloor = 0.1
)

// gradient lowers the limit in proportion to the slowdown and adds room for a
// short queue. It cannot distinguish a slow upstream from a congested one.
type gradient struct {
	*limit.Limiter
	slots         float64
	current       float64
	bestSlowdown  float64
	samples       int
	spentTime     float64
	referenceTime float64
}

// Gradient returns a limiter that follows the ratio of the best latency to the
// present one.
func Gradient(slots int) admit.Limiter {
	return &gradient{Limiter: limit.Fixed(slots), slots: float64(slots), current: float64(slots)}
}

// Current implements admit.Limiter.
func (g *gradient) Current(now time.Time) int {
	return max(1, min(g.Limiter.Current(now), int(math.Round(g.current))))
}

// OnComplete implements admit.Limiter.
func (g *gradient) OnComplete(_ time.Time, took, reference time.Duration) {
	g.samples++
	g.spentTime += took.Seconds()
	g.referenceTime += reference.Seconds()
	if g.samples < gradientSamples || g.referenceTime <= 0 {
		return
	}
	slowdown := g.spentTime / g.referenceTime
	if g.bestSlowdown == 0 || slowdown < g.bestSlowdown {
		g.bestSlowdown = slowdown
	}
	factor := math.Min(1, math.Max(0.5, gradientTolerance*g.bestSlowdown/slowdown))
	next := g.current*factor + math.Sqrt(g.current)
	g.current += gradientSmooth * (next - g.current)
	g.current = math.Max(gradientFloor*g.slots, math.Min(g.slots, g.current))
	g.samples = 0
	g.spentTime = 0
	g.referenceTime = 0
}

// SetSlots implements admit.Limiter.
func (g *gradient) SetSlots(slots int) {
	g.Limiter.SetSlots(slots)
	g.slots = float64(slots)
	g.current = math.Min(g.current, g.slots)
}
