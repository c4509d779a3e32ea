package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"toucangw.example/core/limit"
)

const cost = 8 * time.Millisecond

// plant is an upstream under constant demand that really runs only some calls
// at once; further calls wait inside it.
type plant struct {
	limit  *limit.Limiter
	random *rand.Rand
	now    time.Time
	real   int
	slow   float64
	free   []time.Time // when each real slot is free
	ends   []running
}

// running is a call inside the plant.
type running struct{ begin, end time.Time }

func newPlant(slots int) *plant {
	return &plant{
		limit:  limit.New(slots),
		random: rand.New(rand.NewPCG(3, 4)),
		now:    time.Unix(1000, 0),
		real:   slots,
		slow:   1,
	}
}

// run lets time pass with a full queue and returns the calls completed.
func (p *plant) run(length time.Duration) int {
	completed := 0
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(100 * time.Microsecond) {
		kept := p.ends[:0]
		for _, r := range p.ends {
			if r.end.After(p.now) {
				kept = append(kept, r)
				continue
			}
			completed++
			p.limit.OnComplete(p.now, r.end.Sub(r.begin), cost)
		}
		p.ends = kept
		p.limit.SetInFlight(p.now, len(p.ends))
		for len(p.ends) < p.limit.Current(p.now) {
			p.start()
		}
		p.limit.SetInFlight(p.now, len(p.ends))
	}
	return completed
}

func (p *plant) start() {
	for len(p.free) < p.real {
		p.free = append(p.free, p.now)
	}
	p.free = p.free[:p.real]
	first := 0
	for i, at := range p.free {
		if at.Before(p.free[first]) {
			first = i
		}
	}
	begin := p.free[first]
	if begin.Before(p.now) {
		begin = p.now
	}
	spread := 0.5 + p.random.Float64()
	end := begin.Add(time.Duration(p.slow * spread * float64(cost)))
	p.free[first] = end
	p.ends = append(p.ends, running{p.now, end})
}

// Guards against a limit that does not notice lost capacity, or that does not
// come back with it.
func TestFindsHalvedCapacityAndRecovers(t *testing.T) {
	p := newPlant(80)
	p.run(time.Second)
	assert.Equal(t, 80, p.limit.Current(p.now))
	p.real = 40
	p.run(3 * time.Second)
	found := p.limit.Current(p.now)
	assert.LessOrEqual(t, found, 56)
	assert.GreaterOrEqual(t, found, 34)
	p.real = 80
	p.run(time.Second)
	assert.Equal(t, 80, p.limit.Current(p.now))
}

// Guards against giving up capacity of a service that is slow at any
// concurrency.
func TestLinearSlownessIsNotThrottled(t *testing.T) {
	p := newPlant(80)
	p.run(time.Second)
	p.slow = 5
	full := 80 / (5 * cost.Seconds()) * 4
	assert.Greater(t, float64(p.run(4*time.Second)), 0.95*full)
	p.slow = 1
	p.run(500 * time.Millisecond)
	assert.Equal(t, 80, p.limit.Current(p.now))
}

// Guards against giving up capacity of an upstream that is slow at any
// concurrency while it is cold.
func TestColdUpstreamKeepsItsSlots(t *testing.T) {
	p := newPlant(40)
	full, completed := 0.0, 0
	for step := range 10 {
		p.slow = 4 - 0.3*float64(step)
		full += 40 / (p.slow * cost.Seconds()) / 10
		completed += p.run(100 * time.Millisecond)
	}
	assert.Greater(t, float64(completed), 0.9*full)
}

// Guards against ignoring an upstream's own refusals.
func TestShedLowersLimit(t *testing.T) {
	p := newPlant(80)
	p.run(time.Second)
	p.limit.OnShed(p.now, 60)
	assert.Equal(t, 57, p.limit.Current(p.now))
	p.limit.OnShed(p.now, 60)
	assert.Equal(t, 57, p.limit.Current(p.now), "refusals of one burst count once")
	p.run(time.Second)
	assert.Equal(t, 80, p.limit.Current(p.now))
}

// Guards against a limit above new, lower slots.
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

// Guards against a limit that one refusal of an idle upstream takes to its
// floor, which a surge that follows would then meet.
func TestOneRefusalLeavesHalfTheLimit(t *testing.T) {
	l := limit.New(100)
	now := time.Unix(1000, 0)
	l.OnShed(now, 1)
	assert.InDelta(t, 48, l.Current(now), 1)
	for i := range 20 {
		l.OnShed(now.Add(time.Duration(i+1)*time.Second), 1)
	}
	assert.Equal(t, 10, l.Current(now.Add(time.Minute)), "refusals in a row still reach the floor")
}
