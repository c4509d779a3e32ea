package admit

import (
	"math"
	"sort"
	"time"

	"toucangw.example/core/call"
)

const (
	// classBits is the part of a rank below importance and density.
	classBits = 12
	// levelInterval is the time between recomputations of the levels.
	levelInterval = 5 * time.Millisecond
	// rateTime is the time constant of the demand estimate. It covers the
	// time from a level to the arrivals that it lets through, about 20 ms.
	rateTime = 40 * time.Millisecond
	// targetWait is the least queue that the levels aim at: long enough that a
	// slot seldom idles between arrivals, short enough not to hold slots of
	// the callers' upstreams.
	targetWait = 3 * time.Millisecond
	// targetCalls is the queue in calls that the levels aim at where calls are
	// long against targetWait; with fewer waiting calls the order among
	// callers has nothing to choose from.
	targetCalls = 6
	// drainTime is the time over which a queue above targetWait is worked off,
	// and deepDrainTime where all calls are sub-calls.
	drainTime     = 40 * time.Millisecond
	deepDrainTime = 15 * time.Millisecond
	// maxBoost bounds the demand admitted above capacity while the queue is
	// below targetWait.
	maxBoost = 0.1
	// deepMargin is the share of the slots left idle by the levels where all
	// calls are sub-calls: a call that waits there holds slots of its parents,
	// which are worth more than the slots left idle.
	deepMargin = 0.15
	// openGrowth and openStep bound the growth of the admitted share of a
	// class in one levelInterval: from closed to open takes about 60 ms, so
	// that demand hidden by early refusal is noticed before it floods.
	openGrowth = 1.25
	openStep   = 0.02
	// minOpen is the least share assumed to have been let through when the
	// demand behind a closed level is estimated.
	minOpen = 0.02
	// fullyOpen is the admitted share from which on a class counts as open.
	fullyOpen = 0.995
	// forgetRate is the demand in slots below which an open class is dropped.
	forgetRate = 1e-4
)

// classRate is the demand of one class of ranks (importance and density) of
// one caller.
type classRate struct {
	class   call.Rank
	arrived float64 // expected slot time that arrived since the last update, seconds
	above   float64 // the part of arrived that the level admits
	seen    float64 // smoothed demand that arrives, in slots
	within  float64 // the part of seen that the level admits
	open    float64 // share of the class admitted by the present level
	openAvg float64 // open, smoothed as seen is
}

// demand estimates what would arrive if the class were open. Calls above the
// level were not refused early; those below it may or may not have been.
func (c *classRate) demand() float64 {
	open := math.Max(c.openAvg, minOpen)
	hidden := c.within * (1 - open) / open
	if below := c.seen - c.within; below > hidden/2 {
		// Most calls arrive without early refusal: the count is exact.
		return c.seen
	}
	return c.within + hidden
}

// rates is the demand of one caller, the highest class first, and the level
// derived from it.
type rates struct {
	classes []*classRate
	level   call.Rank
}

func (r *rates) add(rank call.Rank, cost time.Duration) {
	class := rank >> classBits
	at := sort.Search(len(r.classes), func(i int) bool { return r.classes[i].class <= class })
	if at == len(r.classes) || r.classes[at].class != class {
		r.classes = append(r.classes, nil)
		copy(r.classes[at+1:], r.classes[at:])
		open := 1.0
		if class<<classBits < r.level {
			open = 0
		}
		r.classes[at] = &classRate{class: class, open: open, openAvg: math.Max(open, minOpen)}
	}
	c := r.classes[at]
	c.arrived += cost.Seconds()
	if rank >= r.level {
		c.above += cost.Seconds()
	}
}

// age takes the arrivals of the last dt into the smoothed demand.
func (r *rates) age(dt time.Duration) {
	weight := 1 - math.Exp(-float64(dt)/float64(rateTime))
	kept := r.classes[:0]
	for _, c := range r.classes {
		c.seen += weight * (c.arrived/dt.Seconds() - c.seen)
		c.within += weight * (c.above/dt.Seconds() - c.within)
		c.openAvg += weight * (c.open - c.openAvg)
		c.arrived = 0
		c.above = 0
		if c.seen > forgetRate || c.open < fullyOpen {
			kept = append(kept, c)
		}
	}
	clear(r.classes[len(kept):])
	r.classes = kept
}

// demandOf sums the demand of one importance.
func (r *rates) demandOf(importance call.Importance) float64 {
	sum := 0.0
	for _, c := range r.classes {
		if c.importance() == importance {
			sum += c.demand()
		}
	}
	return sum
}

func (c *classRate) importance() call.Importance { return (c.class << classBits).Importance() }

// grant divides capacity among the classes of one importance, the densest
// first.
func (r *rates) grant(importance call.Importance, capacity float64, steps float64) {
	for _, c := range r.classes {
		if c.importance() != importance {
			continue
		}
		demand := c.demand()
		target := 1.0
		if demand > capacity {
			target = capacity / demand
		}
		capacity = math.Max(0, capacity-demand)
		most := c.open*math.Pow(openGrowth, steps) + openStep*steps
		c.open = math.Min(target, most)
	}
}

// setLevel derives the lowest admitted rank: the first class that is not open,
// taken from the top.
func (r *rates) setLevel() {
	r.level = 0
	closed := false
	for _, c := range r.classes {
		if closed {
			c.open = 0
			continue
		}
		if c.open < fullyOpen {
			tie := math.Round((1 - c.open) * (1 << classBits))
			r.level = c.class<<classBits + call.Rank(tie)
			closed = true
		}
	}
}

// updateLevels recomputes the levels of all callers from the demand, the
// capacity in slots and the present wait.
func updateLevels(accounts []*account, capacity, deep float64, wait, target, dt time.Duration) {
	drain := float64(drainTime) + deep*float64(deepDrainTime-drainTime)
	correction := float64(target-wait) / drain
	most := maxBoost - deep*(maxBoost+deepMargin)
	capacity *= 1 + math.Max(-0.9, math.Min(most, correction))
	steps := math.Min(float64(dt)/float64(levelInterval), 20)
	for _, a := range accounts {
		a.rates.age(dt)
	}
	for i := lanes - 1; i >= 0; i-- {
		capacity -= divide(accounts, call.Importance(i), capacity, steps)
	}
	for _, a := range accounts {
		a.rates.setLevel()
	}
}

// divide splits capacity among the callers within one importance by their
// shares; what a caller does not need goes to the others. It returns the part
// in use.
func divide(accounts []*account, importance call.Importance, capacity, steps float64) float64 {
	type claim struct {
		owner  *account
		demand float64
	}
	var claims []claim
	shares := 0.0
	for _, a := range accounts {
		if d := a.rates.demandOf(importance); d > 0 {
			claims = append(claims, claim{owner: a, demand: d})
			shares += a.share
		}
	}
	sort.SliceStable(claims, func(i, j int) bool {
		return claims[i].demand/claims[i].owner.share < claims[j].demand/claims[j].owner.share
	})
	used := 0.0
	for _, c := range claims {
		part := (capacity - used) * c.owner.share / shares
		shares -= c.owner.share
		got := math.Min(part, c.demand)
		c.owner.rates.grant(importance, got, steps)
		used += got
	}
	return used
}
