package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/limit"
)

const cost = 8 * time.Millisecond

// simulatedUpstream is an upstream under constant demand that runs a bounded
// number of calls at once; further calls wait inside it.
type simulatedUpstream struct {
	limit       *limit.Limiter
	random      *rand.Rand
	now         time.Time
	concurrency int
	slowdown    float64
	slotFree    []time.Time // time from which each slot is free
	inFlight    []runningCall
}

// runningCall is a call inside the simulated upstream.
type runningCall struct{ begin, end time.Time }

func newSimulatedUpstream(slots int) *simulatedUpstream {
	return &simulatedUpstream{
		limit:       limit.New(slots),
		random:      rand.New(rand.NewPCG(3, 4)),
		now:         time.Unix(1000, 0),
		concurrency: slots,
		slowdown:    1,
	}
}

// run simulates some time with a full queue and returns the number of calls
// completed.
func (u *simulatedUpstream) run(length time.Duration) int {
	completed := 0
	for end := u.now.Add(length); u.now.Before(end); u.now = u.now.Add(100 * time.Microsecond) {
		remaining := u.inFlight[:0]
		for _, r := range u.inFlight {
			if r.end.After(u.now) {
				remaining = append(remaining, r)
				continue
			}
			completed++
			u.limit.OnComplete(u.now, r.end.Sub(r.begin), cost)
		}
		u.inFlight = remaining
		u.limit.SetInFlight(u.now, len(u.inFlight))
		for len(u.inFlight) < u.limit.Current(u.now) {
			u.start()
		}
		u.limit.SetInFlight(u.now, len(u.inFlight))
	}
	return completed
}

func (u *simulatedUpstream) start() {
	for len(u.slotFree) < u.concurrency {
		u.slotFree = append(u.slotFree, u.now)
	}
	u.slotFree = u.slotFree[:u.concurrency]
	first := 0
	for i, at := range u.slotFree {
		if at.Before(u.slotFree[first]) {
			first = i
		}
	}
	begin := u.slotFree[first]
	if begin.Before(u.now) {
		begin = u.now
	}
	variation := 0.5 + u.random.Float64()
	end := begin.Add(time.Duration(u.slowdown * variation * float64(cost)))
	u.slotFree[first] = end
	u.inFlight = append(u.inFlight, runningCall{u.now, end})
}

// Guards against a limit that does not follow a loss of capacity, or that does
// not rise again with the capacity.
func TestFindsHalvedCapacityAndRecovers(t *testing.T) {
	u := newSimulatedUpstream(80)
	u.run(time.Second)
	assert.Equal(t, 80, u.limit.Current(u.now))
	u.concurrency = 40
	u.run(3 * time.Second)
	learned := u.limit.Current(u.now)
	assert.LessOrEqual(t, learned, 56)
	assert.GreaterOrEqual(t, learned, 34)
	u.concurrency = 80
	u.run(time.Second)
	assert.Equal(t, 80, u.limit.Current(u.now))
}

// Guards against lowering the limit of a service that is slow at any
// concurrency.
func TestLinearSlownessIsNotThrottled(t *testing.T) {
	u := newSimulatedUpstream(80)
	u.run(time.Second)
	u.slowdown = 5
	full := 80 / (5 * cost.Seconds()) * 4
	assert.Greater(t, float64(u.run(4*time.Second)), 0.95*full)
	u.slowdown = 1
	u.run(500 * time.Millisecond)
	assert.Equal(t, 80, u.limit.Current(u.now))
}

// Guards against lowering the limit of an upstream that is slow at any
// concurrency while it is cold.
func TestColdUpstreamKeepsItsSlots(t *testing.T) {
	u := newSimulatedUpstream(40)
	full, completed := 0.0, 0
	for step := range 10 {
		u.slowdown = 4 - 0.3*float64(step)
		full += 40 / (u.slowdown * cost.Seconds()) / 10
		completed += u.run(100 * time.Millisecond)
	}
	assert.Greater(t, float64(completed), 0.9*full)
}

// Guards against ignoring that the upstream itself sheds calls.
func TestShedLowersLimit(t *testing.T) {
	u := newSimulatedUpstream(80)
	u.run(time.Second)
	u.limit.OnShed(u.now, 60)
	assert.Equal(t, 57, u.limit.Current(u.now))
	u.limit.OnShed(u.now, 60)
	assert.Equal(t, 57, u.limit.Current(u.now), "calls shed in one burst count once")
	u.run(time.Second)
	assert.Equal(t, 80, u.limit.Current(u.now))
}

// Guards against a limit above the slots after they have been lowered.
func TestSetSlots(t *testing.T) {
	l := limit.New(80)
	now := time.Unix(1000, 0)
	l.SetSlots(20)
	assert.Equal(t, 20, l.Current(now))
	l.SetSlots(50)
	assert.Equal(t, 50, l.Current(now))
	l.SetSlots(0)
	assert.Equal(t, 1, l.Current(now))
}

// Guards against a limit that falls to its minimum after one call was shed by
// an idle upstream, so that too few calls would be admitted in a surge that
// follows.
func TestOneShedCallLeavesHalfTheLimit(t *testing.T) {
	l := limit.New(100)
	now := time.Unix(1000, 0)
	l.OnShed(now, 1)
	assert.InDelta(t, 48, l.Current(now), 1)
	for i := range 20 {
		l.OnShed(now.Add(time.Duration(i+1)*time.Second), 1)
	}
	assert.Equal(t, 10, l.Current(now.Add(time.Minute)), "repeated shedding still lowers the limit to its minimum")
}
