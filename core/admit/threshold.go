package admit

import (
	"math"
	"sort"
	"time"

	"toucangw.example/core/call"
)

const (
	// tieBits is the number of low bits of a rank, below importance and
	// density.
	tieBits = 12
	// thresholdInterval is the time between recomputations of the thresholds.
	thresholdInterval = 5 * time.Millisecond
	// demandTimeConstant is the time constant of the demand estimate. It covers
	// the time from the change of a threshold to the arrivals that it lets
	// through, about 20 ms.
	demandTimeConstant = 40 * time.Millisecond
	// targetWait is the shortest queue wait that the thresholds aim at: long
	// enough that a slot is seldom idle between arrivals, short enough that the
	// waiting calls do not hold slots of their parents' upstreams for long.
	targetWait = 3 * time.Millisecond
	// targetCalls is the number of waiting calls that the thresholds aim at
	// where calls are long compared with targetWait. With fewer waiting calls,
	// there are too few to order by the shares of their callers.
	targetCalls = 6
	// drainTime is the time over which a queue above targetWait is worked off,
	// and subCallDrainTime the same where all calls are sub-calls.
	drainTime        = 40 * time.Millisecond
	subCallDrainTime = 15 * time.Millisecond
	// maxBoost bounds the demand admitted above capacity while the queue wait
	// is below targetWait.
	maxBoost = 0.1
	// subCallMargin is the share of the slots that the thresholds leave idle
	// where all calls are sub-calls: a sub-call that waits holds the slots of
	// its parent calls, which are worth more than the slots left idle.
	subCallMargin = 0.15
	// admittedGrowth and admittedStep bound the growth of the admitted share of
	// a class in one thresholdInterval. It takes about 60 ms to grow from 0 to
	// 1, so that demand which was hidden by load shedding at other nodes is
	// noticed before it floods the upstream.
	admittedGrowth = 1.25
	admittedStep   = 0.02
	// minAdmittedShare is the least share assumed to have been let through when
	// the demand of a class below the threshold is estimated.
	minAdmittedShare = 0.02
	// fullyAdmitted is the admitted share from which on a class counts as fully
	// admitted.
	fullyAdmitted = 0.995
	// idleDemand is the demand in slots below which a fully admitted class is
	// dropped.
	idleDemand = 1e-4
)

// classDemand is the demand of one class of ranks (same importance and density)
// of one caller.
type classDemand struct {
	class            call.Rank
	arrivedCost      float64 // expected slot time of the arrivals since the last update, seconds
	admittedCost     float64 // the part of arrivedCost at or above the threshold
	observed         float64 // smoothed demand that arrives, in slots
	observedAdmitted float64 // the part of observed at or above the threshold
	admittedShare    float64 // share of the class admitted by the present threshold
	admittedShareAvg float64 // admittedShare, smoothed like observed
}

// demand estimates the demand that would arrive if the whole class were
// admitted. Calls at or above the threshold were not shed by the nodes that
// sent them; calls below it may have been.
func (c *classDemand) demand() float64 {
	admittedShare := math.Max(c.admittedShareAvg, minAdmittedShare)
	hidden := c.observedAdmitted * (1 - admittedShare) / admittedShare
	if below := c.observed - c.observedAdmitted; below > hidden/2 {
		// Most calls below the threshold still arrive: the observed demand is
		// exact.
		return c.observed
	}
	return c.observedAdmitted + hidden
}

// callerDemand is the demand of one caller by class, the highest class first,
// and the threshold derived from it.
type callerDemand struct {
	classes   []*classDemand
	threshold call.Rank
}

// add counts the arrival of a call.
func (d *callerDemand) add(rank call.Rank, cost time.Duration) {
	class := rank >> tieBits
	at := sort.Search(len(d.classes), func(i int) bool { return d.classes[i].class <= class })
	if at == len(d.classes) || d.classes[at].class != class {
		d.classes = append(d.classes, nil)
		copy(d.classes[at+1:], d.classes[at:])
		admittedShare := 1.0
		if class<<tieBits < d.threshold {
			admittedShare = 0
		}
		d.classes[at] = &classDemand{class: class, admittedShare: admittedShare, admittedShareAvg: math.Max(admittedShare, minAdmittedShare)}
	}
	c := d.classes[at]
	c.arrivedCost += cost.Seconds()
	if rank >= d.threshold {
		c.admittedCost += cost.Seconds()
	}
}

// smooth moves the arrivals of the last dt into the smoothed demand.
func (d *callerDemand) smooth(dt time.Duration) {
	weight := 1 - math.Exp(-float64(dt)/float64(demandTimeConstant))
	kept := d.classes[:0]
	for _, c := range d.classes {
		c.observed += weight * (c.arrivedCost/dt.Seconds() - c.observed)
		c.observedAdmitted += weight * (c.admittedCost/dt.Seconds() - c.observedAdmitted)
		c.admittedShareAvg += weight * (c.admittedShare - c.admittedShareAvg)
		c.arrivedCost = 0
		c.admittedCost = 0
		if c.observed > idleDemand || c.admittedShare < fullyAdmitted {
			kept = append(kept, c)
		}
	}
	clear(d.classes[len(kept):])
	d.classes = kept
}

// demandOf sums the demand of one importance.
func (d *callerDemand) demandOf(importance call.Importance) float64 {
	sum := 0.0
	for _, c := range d.classes {
		if c.importance() == importance {
			sum += c.demand()
		}
	}
	return sum
}

func (c *classDemand) importance() call.Importance { return (c.class << tieBits).Importance() }

// allocate divides capacity among the classes of one importance, the class of
// the highest density first.
func (d *callerDemand) allocate(importance call.Importance, capacity float64, steps float64) {
	for _, c := range d.classes {
		if c.importance() != importance {
			continue
		}
		demand := c.demand()
		target := 1.0
		if demand > capacity {
			target = capacity / demand
		}
		capacity = math.Max(0, capacity-demand)
		maximum := c.admittedShare*math.Pow(admittedGrowth, steps) + admittedStep*steps
		c.admittedShare = math.Min(target, maximum)
	}
}

// setThreshold derives the lowest admitted rank from the highest class that is
// not fully admitted. Classes below it are not admitted at all.
func (d *callerDemand) setThreshold() {
	d.threshold = 0
	closed := false
	for _, c := range d.classes {
		if closed {
			c.admittedShare = 0
			continue
		}
		if c.admittedShare < fullyAdmitted {
			tie := math.Round((1 - c.admittedShare) * (1 << tieBits))
			d.threshold = c.class<<tieBits + call.Rank(tie)
			closed = true
		}
	}
}

// updateThresholds recomputes the thresholds of all callers from the demand,
// the capacity in slots and the present queue wait.
func updateThresholds(callers []*callerState, capacity, subCallRatio float64, wait, target, dt time.Duration) {
	drain := float64(drainTime) + subCallRatio*float64(subCallDrainTime-drainTime)
	correction := float64(target-wait) / drain
	maximum := maxBoost - subCallRatio*(maxBoost+subCallMargin)
	capacity *= 1 + math.Max(-0.9, math.Min(maximum, correction))
	steps := math.Min(float64(dt)/float64(thresholdInterval), 20)
	for _, state := range callers {
		state.demand.smooth(dt)
	}
	for i := numImportances - 1; i >= 0; i-- {
		capacity -= allocateByShare(callers, call.Importance(i), capacity, steps)
	}
	for _, state := range callers {
		state.demand.setThreshold()
	}
}

// allocateByShare divides capacity among the callers within one importance by
// their shares; what a caller does not need goes to the others. It returns the
// allocated capacity.
func allocateByShare(callers []*callerState, importance call.Importance, capacity, steps float64) float64 {
	type claim struct {
		caller *callerState
		demand float64
	}
	var claims []claim
	shares := 0.0
	for _, state := range callers {
		if d := state.demand.demandOf(importance); d > 0 {
			claims = append(claims, claim{caller: state, demand: d})
			shares += state.share
		}
	}
	sort.SliceStable(claims, func(i, j int) bool {
		return claims[i].demand/claims[i].caller.share < claims[j].demand/claims[j].caller.share
	})
	used := 0.0
	for _, c := range claims {
		fairPart := (capacity - used) * c.caller.share / shares
		shares -= c.caller.share
		allocated := math.Min(fairPart, c.demand)
		c.caller.demand.allocate(importance, allocated, steps)
		used += allocated
	}
	return used
}
